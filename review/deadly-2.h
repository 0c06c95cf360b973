// Requests whose prompts may hold a part that crashes the servers that begin
// them, and the clients that send them.
#ifndef REVIEW_DEADLY_2_H
#define REVIEW_DEADLY_2_H

#include "rig-2.h"

namespace deadly
{

constexpr double contact_ms = 3000; // Bounds.ContactMs
// Of the rule: requests that may reach servers, sent by machines in touch later
// than contact_ms after this crash.
constexpr std::size_t crashes_for_rule = 5;
constexpr std::size_t most_requests = 3;
inline char const* const deadly_part = "dead5afe";

inline std::string configuration()
{
    return R"({"Version":7,"Routes":[{"Name":"r-draft","Hostname":"ficu95.example","PathPrefix":"/lohu930/","RouteKind":"streaming","TimeoutMs":12000,"TargetLatencyMs":1200,"Priority":1,"Service":"huvo11a","MaxAttempts":2,"Public":false,"StickySessions":true,"StreamResume":false,"GapAimMs":800}],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["i9n73hh2b9wu3fexd9dn"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":258231,"Burst":258231}]})";
}

inline std::string request_text(std::string const& id, bool deadly)
{
    std::string const body = "{\"text\":\"" + id + "\"}";
    return rig::format(
               "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
               "Request-Id: %s\r\nModel-Name: m\r\nToken-Usage: %d,12\r\n"
               "Prefix-Hash: 5c1e07a2:800,%s%s:250\r\nDeadline-Ms: 12000\r\n"
               "X-Api-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: %zu\r\n\r\n",
               id.c_str(), deadly ? 1460 : 1050,
               deadly ? (std::string(deadly_part) + ":410,").c_str() : "",
               id.substr(0, 8).c_str(), body.size()) +
           body;
}

struct sent_request
{
    double at = 0;
    std::size_t vm = 0;
    bool deadly = false;
};

class clients
{
public:
    clients(rig::deployment& under, rig::line_file& record)
        : under_(under), record_(record)
    {
    }

    void send(bool deadly)
    {
        std::size_t vm = next_vm_++;
        for (std::size_t i = 0; i < under_.vms.size(); ++i, ++vm)
        {
            if (under_.vms[vm % under_.vms.size()]->ready)
            {
                break;
            }
        }
        vm %= under_.vms.size();
        std::string const id = rig::random_id(++ids_);
        {
            std::lock_guard const lock(mutex_);
            sent_[id] = {rig::now_ms(), vm, deadly};
        }
        std::thread(
            [this, id, vm, deadly]
            {
                rig::client_request what;
                what.id = id;
                what.text = request_text(id, deadly);
                what.wait_ms = 12'000;
                auto const got = rig::send_request(*under_.vms[vm], what);
                record_.line(
                    got.sent,
                    rig::format("sent %s vm=%s deadly=%d answer=%d "
                                "complete=%d after_ms=%.0f",
                                id.c_str(), under_.vms[vm]->name.c_str(),
                                deadly, got.answer.status(),
                                got.answer.complete, got.ended - got.sent));
            })
            .detach();
    }

    std::map<std::string, sent_request> sent()
    {
        std::lock_guard const lock(mutex_);
        return sent_;
    }

private:
    rig::deployment& under_;
    rig::line_file& record_;
    std::mutex mutex_;
    std::map<std::string, sent_request> sent_;
    std::atomic<std::size_t> next_vm_{0};
    std::atomic<std::uint64_t> ids_{0};
};

// The times at which servers crashed.
inline std::vector<double>
crashes_of(std::vector<std::unique_ptr<rig::server_process>> const& servers)
{
    std::vector<double> times;
    for (auto const& event : rig::events_of(servers))
    {
        if (event.what == "crash")
        {
            times.push_back(event.at);
        }
    }
    return times;
}

struct counts
{
    std::size_t crashes = 0;
    std::size_t before = 0; // reached servers until contact_ms after the fifth
    std::size_t later = 0;  // the same later, sent by machines in touch
};

// Counts the requests with the part that reached servers, and records them.
inline counts
judge(rig::deployment const& under, clients& callers,
      std::vector<std::unique_ptr<rig::server_process>> const& servers,
      rig::line_file& record)
{
    auto const crashes = crashes_of(servers);
    double const fifth = crashes.size() < crashes_for_rule
                             ? rig::now_ms()
                             : crashes[crashes_for_rule - 1];
    auto const sent = callers.sent();
    counts result;
    result.crashes = crashes.size();
    for (auto const& event : rig::events_of(servers))
    {
        auto const request = sent.find(event.id);
        if (request == sent.end() || !request->second.deadly)
        {
            continue;
        }
        record.line(event.at,
                    rig::format("server %d: %s %s", event.server,
                                event.what.c_str(), event.id.c_str()));
        if (event.what != "arrive")
        {
            continue;
        }
        rig::vm const& by = *under.vms[request->second.vm];
        bool const in_touch = event.at - by.running.started() >= contact_ms;
        bool const is_late = event.at > fifth + contact_ms;
        result.before += is_late ? 0 : 1;
        result.later += is_late && in_touch ? 1 : 0;
    }
    std::string const verdict = rig::format(
        "crashes in all: %zu; requests with the part that reached servers "
        "until %.0f ms after the fifth crash: %zu; later, sent by machines in "
        "touch: %zu (at most %zu)",
        result.crashes, contact_ms, result.before, result.later, most_requests);
    record.line(rig::now_ms(), verdict);
    std::printf("%s\n", verdict.c_str());
    return result;
}

} // namespace deadly

#endif
