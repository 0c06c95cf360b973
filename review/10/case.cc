// Clients of a route whose requests may run once leave before their answer.
// One server at a time is silent for a second and goes on.
#include "../rig-2.h"

namespace
{

constexpr double length_ms = 100'000;
constexpr double late_ms = 500;         // after the client has closed
constexpr double silence_ms = 1000;     // of a sound server
constexpr double silence_gap_ms = 1500; // between two silences
constexpr double share_that_leaves = 0.3;
constexpr double target_ms = 300;
// "More than a few" of the rule.
constexpr std::size_t a_few = 10;
constexpr int servers_in_all = 4;
constexpr double requests_per_s = 160;

std::string configuration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-weigh","Hostname":"ficu95.example","PathPrefix":"/puxa403/","RouteKind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":1,"Service":"wuno96b","MaxAttempts":3,"Public":false,"StickySessions":false,"StreamResume":false}],"Services":[{"Name":"wuno96b","HealthPath":"/health","MaxConnections":460,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["i9n73hh2b9wu3fexd9dn"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":258231,"Burst":258231}]})";
}

std::string request_text(std::string const& id)
{
    std::string const body = "{\"entry\":\"" + id + "\"}";
    return rig::format(
               "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
               "Request-Id: %s\r\nDeadline-Ms: 4000\r\n"
               "X-Api-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: %zu\r\n\r\n",
               id.c_str(), body.size()) +
           body;
}

struct silence
{
    int server = 0;
    double from = 0;
    double until = 0;
};

bool run(std::string const& root, std::string const& scratch,
         rig::line_file& record)
{
    // Lives until the process exits: detached threads use it.
    rig::deployment_options options;
    options.vms = 9;
    auto& under = *new rig::deployment(root, scratch, options);
    under.the_store().put("keyed.op", "config", configuration());
    auto& servers = *new std::vector<std::unique_ptr<rig::server_process>>;
    for (int i = 0; i < servers_in_all; ++i)
    {
        servers.push_back(std::make_unique<rig::server_process>(
            under, i, rig::server_spec{"wuno96b", "plain", 6, 2, 60}));
    }
    under.start_vms();
    if (!under.wait_until_ready(20'000))
    {
        throw rig::unable("the VMs did not become ready");
    }
    rig::sleep_ms(3500);
    double const begin = rig::now_ms();
    std::mutex mutex;
    std::map<std::string, rig::client_result> results;
    std::atomic<int> in_progress{0};
    std::thread traffic(
        [&]
        {
            std::uint64_t n = 0;
            while (rig::now_ms() - begin < length_ms)
            {
                std::string const id = rig::random_id(++n);
                std::size_t const vm = n % under.vms.size();
                bool const leaves =
                    rig::has_trouble() && static_cast<double>(std::stoul(
                                              id.substr(0, 4), nullptr, 16)) /
                                                  65536 <
                                              share_that_leaves;
                ++in_progress;
                std::thread(
                    [&, id, vm, leaves]
                    {
                        rig::client_request what;
                        what.id = id;
                        what.text = request_text(id);
                        what.wait_ms = 4000;
                        what.leave_after_ms = leaves ? target_ms / 2 : 0;
                        auto got = rig::send_request(*under.vms[vm], what);
                        record.line(
                            got.sent,
                            rig::format("sent %s answer=%d after_ms=%.0f%s",
                                        id.c_str(), got.answer.status(),
                                        got.ended - got.sent,
                                        got.left > 0 ? " left" : ""));
                        {
                            std::lock_guard const lock(mutex);
                            results[id] = std::move(got);
                        }
                        --in_progress;
                    })
                    .detach();
                rig::sleep_until(begin + static_cast<double>(n) * 1000 /
                                             requests_per_s);
            }
        });
    std::vector<silence> silences;
    for (int turn = 0; rig::now_ms() - begin < length_ms - silence_gap_ms;
         ++turn)
    {
        rig::sleep_ms(silence_gap_ms - silence_ms);
        auto& server =
            *servers[static_cast<std::size_t>(turn) % servers.size()];
        silence each{server.number(), rig::now_ms(), 0};
        server.send_signal(SIGSTOP);
        rig::sleep_ms(silence_ms);
        server.send_signal(SIGCONT);
        each.until = rig::now_ms();
        record.line(each.from,
                    rig::format("server %d is silent for %.0f ms", each.server,
                                each.until - each.from));
        silences.push_back(each);
    }
    traffic.join();
    double const last = rig::now_ms() + 6000;
    while (in_progress > 0 && rig::now_ms() < last)
    {
        rig::sleep_ms(20);
    }
    std::lock_guard const lock(mutex);
    std::size_t left = 0;
    for (auto const& [id, result] : results)
    {
        left += result.left > 0 ? 1 : 0;
    }
    // What a server finds in its connections when it goes on was sent before.
    auto const was_silent = [&](rig::server_event const& event)
    {
        return std::ranges::any_of(silences,
                                   [&](silence const& each)
                                   {
                                       return each.server == event.server &&
                                              event.at >= each.from - 5 &&
                                              event.at <= each.until + 300;
                                   });
    };
    std::size_t late = 0;
    std::size_t late_begun = 0;
    std::set<std::string> late_ids;
    for (auto const& event : rig::events_of(servers))
    {
        auto const found = results.find(event.id);
        if (found == results.end() || found->second.left == 0)
        {
            continue;
        }
        double const after = event.at - found->second.left;
        if (event.what == "arrive" && after > late_ms && !was_silent(event))
        {
            ++late;
            late_ids.insert(event.id);
            record.line(event.at,
                        rig::format("server %d: arrive %s, %.0f ms after its "
                                    "client has closed",
                                    event.server, event.id.c_str(), after));
        }
        else if (event.what == "begin" && late_ids.contains(event.id))
        {
            ++late_begun;
        }
    }
    for (auto& each : servers)
    {
        each->end();
    }
    under.end();
    std::string const verdict = rig::format(
        "requests: %zu, of which clients left: %zu; reached a server over "
        "%.0f ms after their client had closed: %zu (begun: %zu; more than a "
        "few: over %zu)",
        results.size(), left, late_ms, late, late_begun, a_few);
    record.line(rig::now_ms(), verdict);
    std::printf("%s\n", verdict.c_str());
    return late > a_few;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
