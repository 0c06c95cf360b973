// Servers in trouble send bytes without end where the size of the next chunk of
// a body is due. The platform ends a process whose memory is over its limit and
// starts it again. Fault: processes end so on two machines, three times each.
#include "../deployment.h"

using namespace rig;

namespace
{

constexpr int machine_count = 3;
constexpr int model_servers = 6;
constexpr int run_seconds = 70;
// garble: half of the servers, one answer in twenty, for 5 s at a time.
constexpr int spell_period_s = 10;
constexpr int spell_s = 5;
constexpr int spoiled_one_in = 20;
// A link of 1,000 Mbit/s passes 125 MB a second.
constexpr std::size_t burst_bytes = 64 * 1024;
constexpr int bursts_per_second = 1600;
constexpr int restart_delay_ms = 500;
constexpr int ends_each = 3;
constexpr int machines_that_end = 2;

bool in_spell()
{
    double const now = seconds();
    return with_trouble() && now > 8 &&
           static_cast<int>(now) % spell_period_s < spell_s;
}

// Bytes without end, until the caller closes or the case is over.
void send_garbage(stream& to, std::uint64_t& sent)
{
    std::string const burst(burst_bytes, 'x');
    auto const begin = clock::now();
    for (std::uint64_t i = 1; to.write(burst); ++i)
    {
        sent += burst.size();
        std::this_thread::sleep_until(
            begin + std::chrono::microseconds(1'000'000 / bursts_per_second *
                                              static_cast<long>(i)));
    }
}

struct counts
{
    std::atomic<int> asked = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> unconnected = 0;
};

void ask(record_file& record, machine const& at, std::string const& id,
         std::string const& path, fields const& headers, counts& all)
{
    ++all.asked;
    int const fd = connect_to(at.ip(), at.front());
    if (fd < 0)
    {
        ++all.unconnected;
        return;
    }
    stream connection(fd);
    connection.write(request_text("POST", path, headers, "a body"));
    answer const got =
        read_answer(connection, clock::now() + std::chrono::seconds(15));
    if (got.status == 200 && got.complete)
    {
        ++all.whole;
    }
    else if (got.status != 0 && got.status != 200)
    {
        ++all.refused;
    }
    else
    {
        ++all.cut;
        record.line("client: %s %s at %s: status=%d, no whole answer",
                    id.c_str(), path.c_str(), at.name().c_str(), got.status);
    }
}

int play(record_file& record)
{
    temporary_folder folder;
    auto& platform = *new store("127.0.0.1");
    auto& duties = *new cloud("127.0.0.1");
    static std::atomic<int> answers = 0;
    static std::atomic<int> claims_run = 0;
    // Never destroyed: their threads run until the process ends.
    auto& servers = *new std::vector<std::unique_ptr<server>>;
    for (int i = 0; i < model_servers; ++i)
    {
        std::string const id = "model-" + std::to_string(i);
        bool const troubled = i % 2 == 0;
        servers.push_back(std::make_unique<server>(
            id, "127.0.0.1", model_service, true, platform,
            [id, troubled, &record](stream& to, request const& what)
            {
                std::string const stamp = "Server-Stamp: " + id + "\r\n";
                sleep_ms(20);
                if (!to.write(stream_head(what, stamp) + chunk(event_text(1))))
                {
                    return false;
                }
                if (troubled && in_spell() && ++answers % spoiled_one_in == 0)
                {
                    record.line("server %s: bytes without end in the answer "
                                "to %s",
                                id.c_str(), what.header("request-id").c_str());
                    std::uint64_t sent = 0;
                    send_garbage(to, sent);
                    record.line("server %s: the caller of %s has closed after "
                                "%.1f MB",
                                id.c_str(), what.header("request-id").c_str(),
                                static_cast<double>(sent) / 1e6);
                    return false;
                }
                for (int event = 2; event <= 20; ++event)
                {
                    sleep_ms(20);
                    if (!to.write(chunk(event_text(event))))
                    {
                        return false;
                    }
                }
                return to.write("0\r\n\r\n");
            }));
    }
    for (int i = 0; i < 2; ++i)
    {
        std::string const id = "desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(
            id, "127.0.0.1", plain_service, false, platform,
            [id](stream& to, request const& what)
            {
                ++claims_run;
                sleep_ms(15);
                return to.write(whole_answer(
                    what, "Server-Stamp: " + id + "\r\n", "claimed"));
            }));
    }
    platform.put("keyed.op", "config", configuration(1));
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < machine_count; ++i)
    {
        machines.push_back(std::make_unique<machine>(
            machine_spec{"edge-" + std::to_string(i + 1),
                         "127.0.1." + std::to_string(i + 1), "asan",
                         platform.address(), duties.address()},
            folder.path()));
        machines.back()->start();
    }
    wait_ready(machines);
    record.line("%d machines are ready; trouble=%s", machine_count,
                with_trouble() ? "yes" : "no");

    counts surveys;
    counts claims;
    std::vector<std::thread> clients;
    std::vector<int> over_memory(machine_count, 0);
    std::vector<int> other_ends(machine_count, 0);
    std::vector<double> start_at(machine_count, 0);
    long greatest_kb = 0;
    double next_survey = seconds();
    int number = 0;
    while (seconds() < run_seconds)
    {
        for (int i = 0; i < machine_count; ++i)
        {
            machine& each = *machines[i];
            if (each.pid() < 0)
            {
                if (seconds() >= start_at[i])
                {
                    each.start();
                }
                continue;
            }
            long const kb = each.resident_kb();
            greatest_kb = std::max(greatest_kb, kb);
            if (auto const status = each.ended())
            {
                ++other_ends[i];
                record.line("platform: %s ended by itself, status %d",
                            each.name().c_str(), *status);
                start_at[i] = seconds() + restart_delay_ms / 1000.0;
            }
            else if (kb > 260 * 1024)
            {
                ++over_memory[i];
                record.line("platform: %s holds %ld MiB, over its 260: ended",
                            each.name().c_str(), kb / 1024);
                each.end(SIGKILL);
                start_at[i] = seconds() + restart_delay_ms / 1000.0;
            }
        }
        if (seconds() >= next_survey && seconds() < run_seconds - 3)
        {
            next_survey += 0.04; // 25 a second of both kinds
            ++number;
            machine const& at = *machines[number % machine_count];
            for (bool const claim : {false, true})
            {
                std::string const id =
                    (claim ? "claim-" : "survey-") + std::to_string(number);
                clients.emplace_back(
                    [&, id, claim, at = &at]
                    {
                        claim ? ask(record, *at, id, "/claim/1",
                                    plain_fields(id, 1000), claims)
                              : ask(record, *at, id, "/survey/1",
                                    model_fields(id, 15000), surveys);
                    });
            }
        }
        sleep_ms(5);
    }
    for (auto& each : machines)
    {
        each->end(SIGKILL);
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    auto const report = [&](char const* what, counts const& all)
    {
        record.line("%s: %d asked, %d whole, %d cut, %d refused, %d not "
                    "connected",
                    what, all.asked.load(), all.whole.load(), all.cut.load(),
                    all.refused.load(), all.unconnected.load());
    };
    report("surveys", surveys);
    report("claims", claims);
    record.line("claims run by servers: %d", claims_run.load());
    record.line("greatest memory seen: %ld MiB", greatest_kb / 1024);
    int ended = 0;
    for (int i = 0; i < machine_count; ++i)
    {
        int const ends = over_memory[i] + other_ends[i];
        record.line("%s: ended %d times for its memory, %d times by itself",
                    machines[i]->name().c_str(), over_memory[i], other_ends[i]);
        ended += ends >= ends_each ? 1 : 0;
    }
    if (surveys.whole == 0 || claims.whole == 0)
    {
        throw unable("nothing was served");
    }
    bool const fault = ended >= machines_that_end;
    record.line("%s", fault ? "BROKEN: Fault" : "HELD");
    return fault ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    run_case(play, argc, argv);
}
