// Each machine gets one short request after the other from one client. A server
// leaves as planned meanwhile. DRAIN: a request that a client sent later than
// DrainMs after the store had accepted that the server is draining reaches it.
#include "../deployment.h"

#include <random>

using namespace rig;

namespace
{

constexpr int machine_count = 3;
constexpr int server_count = 3;
constexpr double drain_s = 2.0;
// How much longer than that the server goes on: "a little longer".
constexpr double linger_s = 2.0;
constexpr double begin_s = 8.0;  // from the readiness to the report
constexpr double after_s = 12.0; // from the report to the end of the traffic
// Between a client's answer and its next request.
constexpr int shortest_pause_ms = 12;
constexpr int longest_pause_ms = 25;

int work_ms()
{
    char const* const given = std::getenv("WORK_MS");
    return given == nullptr ? 3 : std::atoi(given);
}

struct world
{
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs; // ids, by server
    std::map<std::string, double> sent;
    std::map<int, int> claim_answers; // by status; 0: no whole answer
    std::atomic<bool> stop = false;
};

void keep_asking(machine const& at, int number, world& all, record_file& record)
{
    std::mt19937 random(static_cast<unsigned>(number));
    std::uniform_int_distribution pause(shortest_pause_ms, longest_pause_ms);
    std::unique_ptr<stream> connection;
    for (int i = 0; !all.stop; ++i)
    {
        if (!connection)
        {
            int const fd = connect_to(at.ip(), at.front());
            if (fd < 0)
            {
                throw unable("no connection to " + at.name());
            }
            connection = std::make_unique<stream>(fd);
        }
        bool const claim = i % 3 != 0;
        std::string const id = (claim ? "claim-" : "status-") +
                               std::to_string(number) + "-" + std::to_string(i);
        {
            std::lock_guard const lock(all.mutex);
            all.sent[id] = seconds();
        }
        connection->write(request_text(claim ? "POST" : "GET",
                                       claim ? "/claim/1" : "/status/1",
                                       plain_fields(id, 1000), ""));
        answer const got =
            read_answer(*connection, clock::now() + milliseconds(1200));
        if (claim)
        {
            std::lock_guard const lock(all.mutex);
            ++all.claim_answers[got.complete ? got.status : 0];
        }
        if (got.status != 200 || !got.complete)
        {
            record.line("client %d: %s at %s: status %d, %s", number,
                        id.c_str(), at.name().c_str(), got.status,
                        got.complete ? "whole" : "not whole");
            connection.reset();
        }
        sleep_ms(pause(random));
    }
}

int play(record_file& record)
{
    temporary_folder folder;
    // Never destroyed: their threads run until the process ends.
    auto& platform = *new store("127.0.0.1");
    auto& duties = *new cloud("127.0.0.1");
    auto& all = *new world;
    auto& servers = *new std::vector<std::unique_ptr<server>>;
    for (int i = 0; i < server_count; ++i)
    {
        std::string const id = "desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(
            id, "127.0.0.1", plain_service, false, platform,
            [id, &all](stream& to, request const& what)
            {
                {
                    std::lock_guard const lock(all.mutex);
                    all.runs[id].push_back(what.header("request-id"));
                }
                sleep_ms(work_ms());
                return to.write(
                    whole_answer(what, "Server-Stamp: " + id + "\r\n", "done"));
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
    record.line("%d machines are ready; trouble=%s; a request takes %d ms",
                machine_count, with_trouble() ? "yes" : "no", work_ms());
    std::vector<std::thread> clients;
    for (int i = 0; i < machine_count; ++i)
    {
        clients.emplace_back([&, i]
                             { keep_asking(*machines[i], i, all, record); });
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(begin_s));
    double accepted = 0;
    // The server that gets most of the requests is the one to leave.
    server* leaving = servers[0].get();
    {
        std::lock_guard const lock(all.mutex);
        for (auto& each : servers)
        {
            leaving =
                all.runs[each->id()].size() > all.runs[leaving->id()].size()
                    ? each.get()
                    : leaving;
        }
    }
    if (with_trouble())
    {
        leaving->drain();
        accepted = seconds();
        record.line("the store has accepted that %s is draining",
                    leaving->id().c_str());
        std::this_thread::sleep_for(
            std::chrono::duration<double>(drain_s + linger_s));
        record.line("%s ends", leaving->id().c_str());
        leaving->leave();
        std::this_thread::sleep_for(
            std::chrono::duration<double>(after_s - drain_s - linger_s));
    }
    else
    {
        std::this_thread::sleep_for(std::chrono::duration<double>(after_s));
    }
    all.stop = true;
    for (std::thread& each : clients)
    {
        each.join();
    }
    for (auto& each : machines)
    {
        each->end(SIGKILL);
    }
    std::lock_guard const lock(all.mutex);
    std::string const& name = leaving->id();
    if (all.claim_answers[200] == 0 || all.runs[name].empty())
    {
        throw unable("nothing was served");
    }
    int late = 0;
    int before = 0;
    for (std::string const& id : all.runs[name])
    {
        double const sent = all.sent.at(id);
        bool const counts = with_trouble() && sent > accepted + drain_s;
        before += counts ? 0 : 1;
        if (counts && ++late <= 20)
        {
            record.line("%s, sent %.3f s after the report, reached %s",
                        id.c_str(), sent - accepted, name.c_str());
        }
    }
    for (auto const& [status, count] : all.claim_answers)
    {
        record.line("claims answered %d: %d%s", status, count,
                    status == 0 ? " (no whole answer)" : "");
    }
    record.line("%s got %d requests before that and %d later than DrainMs",
                name.c_str(), before, late);
    record.line("%s", late > 0 ? "BROKEN: DRAIN" : "HELD");
    return late > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    run_case(play, argc, argv);
}
