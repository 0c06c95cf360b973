// A move of a service's traffic to a new version that is bad, and how much of
// it the new version gets.
#ifndef REVIEW_ROLLOUT_2_H
#define REVIEW_ROLLOUT_2_H

#include "rig-2.h"

namespace rollout
{

constexpr double settle_ms = 6000;     // of traffic, before the order
constexpr double duration_ms = 30'000; // DurationS of the order
constexpr double requests_per_s = 100;
constexpr double expose_share = 0.1; // Bounds.ExposeShare
constexpr double expose_slack = 50;  // Bounds.ExposeSlack

struct setting
{
    std::string route; // JSON
    // Of the old version's servers; those of the new version differ in what
    // `spoil` changes.
    rig::server_spec servers;
    std::function<void(rig::server_spec&)> spoil;
    std::function<rig::client_request(std::string const& id)> request;
};

// The state that the system wrote last for the order; empty: none yet.
inline std::string state_of(rig::deployment& under)
{
    std::string const key = "rollout/huvo11a";
    std::string state;
    for (std::string const& record : under.the_store().records("keyed.status"))
    {
        auto const size = static_cast<unsigned char>(record[0]);
        if (record.substr(1, size) == key)
        {
            std::string const value = record.substr(1 + size);
            for (char const* const word :
                 {"running", "succeeded", "rolled_back"})
            {
                state = value.find(word) == std::string::npos ? state : word;
            }
        }
    }
    return state;
}

// Returns whether the bad version got more than it may.
inline bool run(setting const& given, std::string const& root,
                std::string const& scratch, rig::line_file& record)
{
    // These live until the process exits: detached threads use them.
    auto& under = *new rig::deployment(root, scratch, {});
    auto& servers = *new std::vector<std::unique_ptr<rig::server_process>>;
    under.the_store().put(
        "keyed.op", "config",
        "{\"Version\":7,\"Routes\":[" + given.route +
            "],\"Services\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\","
            "\"MaxConnections\":530,\"Protocol\":\"h1\",\"Tls\":false}],"
            "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            "\"Tenants\":[{\"Name\":\"hule930\","
            "\"ApiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],\"Priority\":1,"
            "\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":258231,"
            "\"Burst\":258231}]}");
    auto const add_servers = [&](std::string const& version, bool is_bad)
    {
        for (int i = 0; i < 6; ++i)
        {
            rig::server_spec spec = given.servers;
            spec.version = version;
            if (is_bad)
            {
                given.spoil(spec);
            }
            servers.push_back(std::make_unique<rig::server_process>(
                under, static_cast<int>(servers.size()), spec));
        }
    };
    add_servers("v1", false);
    under.start_vms();
    if (!under.wait_until_ready(20'000))
    {
        throw rig::unable("the VMs did not become ready");
    }
    rig::sleep_ms(3500);
    std::atomic<bool> done{false};
    std::atomic<int> in_progress{0};
    std::thread traffic(
        [&]
        {
            double const begin = rig::now_ms();
            for (std::uint64_t n = 1; !done; ++n)
            {
                std::string const id = rig::random_id(n);
                std::size_t const vm = n % under.vms.size();
                ++in_progress;
                std::thread(
                    [&, id, vm]
                    {
                        auto const got = rig::send_request(*under.vms[vm],
                                                           given.request(id));
                        record.line(
                            got.sent,
                            rig::format("sent %s answer=%d complete=%d "
                                        "after_ms=%.0f%s",
                                        id.c_str(), got.answer.status(),
                                        got.answer.complete,
                                        got.ended - got.sent,
                                        got.left > 0 ? " abandoned" : ""));
                        --in_progress;
                    })
                    .detach();
                rig::sleep_until(begin + static_cast<double>(n) * 1000 /
                                             requests_per_s);
            }
        });
    rig::sleep_ms(settle_ms);
    add_servers("v2", rig::has_trouble());
    rig::sleep_ms(2500);
    double const ordered = rig::now_ms();
    under.the_store().put(
        "keyed.op", "rollout/huvo11a",
        rig::format("{\"Service\":\"huvo11a\",\"Target\":\"v2\",\"DurationS\":"
                    "%.0f}",
                    duration_ms / 1000));
    record.line(ordered, "the move to v2 is ordered");
    std::string state;
    double ended = 0;
    while (rig::now_ms() < ordered + duration_ms)
    {
        rig::sleep_ms(20);
        std::string const newest = state_of(under);
        if (newest == state)
        {
            continue;
        }
        state = newest;
        ended = rig::now_ms();
        record.line(ended, "the system says: " + state);
        if (state == "succeeded")
        {
            for (auto& each : servers)
            {
                if (each->version() == "v1")
                {
                    each->end();
                }
            }
        }
    }
    done = true;
    traffic.join();
    while (in_progress > 0)
    {
        rig::sleep_ms(20);
    }
    std::size_t all = 0;
    std::size_t at_new = 0;
    std::size_t begun_at_new = 0;
    std::size_t dropped_at_new = 0;
    for (auto const& event : rig::events_of(servers))
    {
        if (event.at < ordered || event.at > ordered + duration_ms)
        {
            continue;
        }
        bool const is_new =
            servers[static_cast<std::size_t>(event.server)]->version() == "v2";
        all += event.what == "arrive" ? 1 : 0;
        at_new += event.what == "arrive" && is_new ? 1 : 0;
        begun_at_new += event.what == "begin" && is_new ? 1 : 0;
        dropped_at_new += event.what == "drop" && is_new ? 1 : 0;
    }
    for (auto& each : servers)
    {
        each->end();
    }
    under.end();
    if (all < 1000 || at_new == 0)
    {
        throw rig::unable(rig::format(
            "only %zu requests reached servers, %zu the new version", all,
            at_new));
    }
    double const most = expose_share * static_cast<double>(all) + expose_slack;
    std::string const verdict = rig::format(
        "between the order and its deadline %zu requests reached the service, "
        "%zu of them version v2, which %s (begun %zu, without a whole answer "
        "%zu; at most %.0f of a bad version); last state: %s",
        all, at_new, rig::has_trouble() ? "is bad" : "is good", begun_at_new,
        dropped_at_new, most, state.c_str());
    record.line(rig::now_ms(), verdict);
    std::printf("%s\n", verdict.c_str());
    return rig::has_trouble() && static_cast<double>(at_new) > most;
}

} // namespace rollout

#endif
