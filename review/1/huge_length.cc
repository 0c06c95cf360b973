// Servers in trouble break off some of their answers, whose heads state a
// length with many digits. The platform starts a process that has ended again.
// Fault: processes end by themselves on two machines, three times each.
#include "../deployment.h"

using namespace rig;

namespace
{

constexpr int machine_count = 3;
constexpr int server_count = 5;
constexpr int run_s = 60;
// garble: three of the five servers (share 0.6), one answer in twenty (x 0.05),
// for 5 s at a time. Those that get most requests are the ones in trouble.
constexpr std::size_t troubled_servers = 3;
constexpr int spell_period_s = 10;
constexpr int spell_s = 5;
constexpr int spoiled_one_in = 20;
constexpr double request_interval_s = 1.0 / 35; // 25 claims and 10 lookups
constexpr int work_ms = 15;
constexpr int restart_delay_ms = 500;
constexpr int ends_each = 3;
constexpr int machines_that_end = 2;

bool in_spell()
{
    double const now = seconds();
    return with_trouble() && now > 8 &&
           static_cast<int>(now) % spell_period_s < spell_s;
}

struct counts
{
    std::mutex mutex;
    std::map<std::string, int> runs_at; // by server
    std::set<std::string> troubled;
    std::map<std::string, int> runs;         // by Request-Id
    std::map<std::string, int> claim_answer; // 0: none, or not whole
    std::map<int, int> answers;              // by status
    int refused_connections = 0;
};

// Chooses the servers that are in trouble in the next spell.
void choose_troubled(counts& all)
{
    std::lock_guard const lock(all.mutex);
    std::multimap<int, std::string, std::greater<>> busiest;
    for (auto const& [id, runs] : all.runs_at)
    {
        busiest.emplace(runs, id);
    }
    all.troubled.clear();
    for (auto const& [runs, id] : busiest)
    {
        if (all.troubled.size() < troubled_servers)
        {
            all.troubled.insert(id);
        }
    }
    all.runs_at.clear();
}

void ask(record_file& record, machine const& at, std::string const& id,
         bool claim, counts& all)
{
    int const fd = connect_to(at.ip(), at.front());
    if (fd < 0)
    {
        std::lock_guard const lock(all.mutex);
        ++all.refused_connections;
        return;
    }
    stream connection(fd);
    connection.write(request_text(claim ? "POST" : "GET",
                                  claim ? "/claim/1" : "/status/1",
                                  plain_fields(id, 1000), ""));
    answer const got =
        read_answer(connection, clock::now() + milliseconds(1200));
    int const status = got.complete ? got.status : 0;
    if (status != 200)
    {
        record.line("client: %s at %s: status %d%s", id.c_str(),
                    at.name().c_str(), got.status,
                    got.complete ? "" : ", no whole answer");
    }
    std::lock_guard const lock(all.mutex);
    ++all.answers[status];
    if (claim)
    {
        all.claim_answer[id] = status;
    }
}

int play(record_file& record)
{
    temporary_folder folder;
    // Never destroyed: their threads run until the process ends.
    auto& platform = *new store("127.0.0.1");
    auto& duties = *new cloud("127.0.0.1");
    auto& all = *new counts;
    auto& answers = *new std::atomic<int>(0);
    auto& servers = *new std::vector<std::unique_ptr<server>>;
    for (int i = 0; i < server_count; ++i)
    {
        std::string const id = "desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(
            id, "127.0.0.1", plain_service, false, platform,
            [id, &all, &answers, &record](stream& to, request const& what)
            {
                std::string const name = what.header("request-id");
                bool troubled = false;
                {
                    std::lock_guard const lock(all.mutex);
                    ++all.runs[name];
                    ++all.runs_at[id];
                    troubled = all.troubled.contains(id);
                }
                sleep_ms(work_ms);
                std::string const stamp = "Server-Stamp: " + id + "\r\n";
                std::string const body(800, 'a');
                if (!troubled || !in_spell() || ++answers % spoiled_one_in != 0)
                {
                    return to.write(whole_answer(what, stamp, body));
                }
                record.line("server %s: breaks off the answer to %s",
                            id.c_str(), name.c_str());
                to.write("HTTP/1.1 200 OK\r\nRequest-Id: " + name + "\r\n" +
                         stamp + "Content-Length: 800000000000000\r\n\r\n" +
                         body);
                return false;
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
    std::vector<std::thread> clients;
    std::vector<int> ends(machine_count, 0);
    std::vector<double> start_at(machine_count, 0);
    double next_request = seconds();
    int number = 0;
    bool was_spell = false;
    while (seconds() < run_s)
    {
        if (in_spell() != was_spell)
        {
            was_spell = !was_spell;
            choose_troubled(all);
        }
        for (int i = 0; i < machine_count; ++i)
        {
            machine& each = *machines[i];
            if (each.pid() < 0 && seconds() >= start_at[i])
            {
                each.start();
            }
            else if (auto const status = each.ended())
            {
                ++ends[i];
                record.line("platform: %s ended by itself, by signal %d",
                            each.name().c_str(),
                            WIFSIGNALED(*status) ? WTERMSIG(*status) : 0);
                start_at[i] = seconds() + restart_delay_ms / 1000.0;
            }
        }
        if (seconds() >= next_request && seconds() < run_s - 2)
        {
            next_request += request_interval_s;
            ++number;
            bool const claim = number % 7 < 5;
            std::string const id =
                (claim ? "claim-" : "status-") + std::to_string(number);
            clients.emplace_back(
                [&, id, claim, at = machines[number % machine_count].get()]
                { ask(record, *at, id, claim, all); });
        }
        sleep_ms(5);
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    for (auto& each : machines)
    {
        each->end(SIGKILL);
    }
    std::lock_guard const lock(all.mutex);
    for (auto const& [status, count] : all.answers)
    {
        record.line("answers %d: %d%s", status, count,
                    status == 0 ? " (none, or not whole)" : "");
    }
    int lost = 0;
    for (auto const& [id, status] : all.claim_answer)
    {
        lost += status == 0 && all.runs.contains(id) ? 1 : 0;
    }
    record.line(
        "connections refused: %d; claims that ran and got no answer: %d",
        all.refused_connections, lost);
    int ended = 0;
    for (int i = 0; i < machine_count; ++i)
    {
        record.line("%s: ended %d times by itself", machines[i]->name().c_str(),
                    ends[i]);
        ended += ends[i] >= ends_each ? 1 : 0;
    }
    if (all.answers[200] == 0)
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
