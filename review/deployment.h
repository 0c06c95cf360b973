// A small deployment: machines, the platform, a service of model servers and
// one of plain servers, and clients.
#ifndef AMARANTHARCH_REVIEW_DEPLOYMENT_H
#define AMARANTHARCH_REVIEW_DEPLOYMENT_H

#include "rig.h"

namespace rig
{

inline constexpr char const* host = "desk.example";
inline constexpr char const* key = "k3y0of0the0tenant000";
inline constexpr char const* model_service = "drafting-pool";
inline constexpr char const* plain_service = "register-desk";

// The routes of the sheet: streams that may and may not be resumed, calls that
// may and may not be repeated; and one for calls with large bodies.
inline std::string configuration(int version)
{
    auto const route = [](std::string const& name, std::string const& kind,
                          std::string const& service, int timeout_ms,
                          int attempts, bool model, bool resume)
    {
        return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + host +
               "\",\"PathPrefix\":\"/" + name + "/\",\"RouteKind\":\"" + kind +
               "\",\"TimeoutMs\":" + std::to_string(timeout_ms) +
               ",\"TargetLatencyMs\":600,\"Priority\":1,\"Service\":\"" +
               service + "\",\"MaxAttempts\":" + std::to_string(attempts) +
               ",\"Public\":false,\"StickySessions\":" +
               (model ? "true" : "false") +
               ",\"StreamResume\":" + (resume ? "true" : "false") +
               ",\"GapAimMs\":800}";
    };
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" +
           route("survey", "streaming", model_service, 15000, 1, true, false) +
           "," +
           route("draft", "streaming", model_service, 12000, 2, true, true) +
           "," +
           route("claim", "non_idempotent", plain_service, 1000, 1, false,
                 false) +
           "," +
           route("status", "idempotent", plain_service, 1000, 2, false, false) +
           "," +
           route("upload", "non_idempotent", plain_service, 9000, 1, false,
                 false) +
           "],\"Services\":[{\"Name\":\"" + model_service +
           "\",\"HealthPath\":\"/health\",\"MaxConnections\":370,"
           "\"Protocol\":\"h1\",\"Tls\":false},{\"Name\":\"" +
           plain_service +
           "\",\"HealthPath\":\"/health\",\"MaxConnections\":110,"
           "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{"
           "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
           "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{"
           "\"Name\":\"tenant\",\"ApiKeys\":[\"" +
           key +
           "\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,"
           "\"RatePerS\":5000000,\"Burst\":5000000}]}";
}

// A server that registers itself in the store and answers by `run`.
class server
{
public:
    using handler = service::handler;

    server(std::string id, std::string ip, std::string of, bool model,
           store& platform, handler run)
        : id_(std::move(id)), service_name_(std::move(of)), model_(model),
          platform_(platform),
          born_(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          service_(std::move(ip),
                   [this, run = std::move(run)](stream& to, request const& what)
                   { return handle(to, what, run); })
    {
        beat();
        std::thread(
            [this]
            {
                while (!service_.stopped())
                {
                    sleep_ms(1200);
                    beat();
                }
            })
            .detach();
    }

    std::string const& id() const
    {
        return id_;
    }
    std::string address() const
    {
        return service_.address();
    }
    std::string stamp() const
    {
        return "Server-Stamp: " + id_ + "\r\n";
    }

    // Reports that it is leaving; returns once the store has accepted that.
    void drain()
    {
        draining_ = true;
        beat();
    }

    // Ends as planned: its entry goes at once.
    void leave()
    {
        service_.stop();
        platform_.put("keyed.servers", id_, "");
    }

    // Ends without a word; its entry goes after three heartbeat intervals.
    void crash()
    {
        service_.stop();
        std::thread(
            [this]
            {
                sleep_ms(3 * 1200);
                platform_.put("keyed.servers", id_, "");
            })
            .detach();
    }

private:
    void beat()
    {
        if (service_.stopped())
        {
            return;
        }
        platform_.put(
            "keyed.servers", id_,
            "{\"Service\":\"" + service_name_ + "\",\"Address\":\"" +
                service_.address() +
                "\",\"Zone\":\"asan\",\"Version\":\"v1\",\"Slots\":64,"
                "\"State\":\"" +
                (draining_ ? "draining" : "ready") +
                "\",\"ColdRemainingMs\":0," +
                (model_ ? "\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\","
                          "\"Version\":1,\"Adapters\":[]}],"
                        : "") +
                "\"born\":" + std::to_string(born_) +
                ",\"Sequence\":" + std::to_string(++sequence_) + "}");
    }

    bool handle(stream& to, request const& what, handler const& run)
    {
        if (what.path() == "/report")
        {
            return to.write(answer_text(
                200, "Content-Type: application/json\r\n",
                "{\"Stage\":\"both\",\"Models\":[],\"Busy\":false,"
                "\"Sequence\":0,\"Waiting\":0,\"Running\":1,\"KvUsed\":0,"
                "\"KvTotal\":550090,\"Handles\":0}"));
        }
        if (what.path() == "/health")
        {
            return to.write(
                answer_text(200, "Instance-Id: " + id_ + "\r\n", ""));
        }
        std::string const expected = what.header("expect-instance");
        if (!expected.empty() && expected != id_)
        {
            return to.write(
                answer_text(421, "Instance-Id: " + id_ + "\r\n", ""));
        }
        return run(to, what);
    }

    std::string id_;
    std::string service_name_;
    bool model_;
    store& platform_;
    long long born_;
    std::atomic<bool> draining_ = false;
    std::atomic<int> sequence_ = 0;
    service service_;
};

// The head of a streamed answer.
inline std::string stream_head(request const& what, std::string const& stamp)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + what.header("request-id") +
           "\r\n" + stamp +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(std::string const& bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
           "\n\n";
}

inline std::string whole_answer(request const& what, std::string const& stamp,
                                std::string const& body)
{
    return answer_text(
        200, "Request-Id: " + what.header("request-id") + "\r\n" + stamp, body);
}

inline fields model_fields(std::string const& id, int deadline_ms)
{
    return {{"Host", host},
            {"Request-Id", id},
            {"Deadline-Ms", std::to_string(deadline_ms)},
            {"X-Api-Key", key},
            {"Model-Name", "m"},
            {"Token-Usage", "1460,80"},
            {"Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}};
}

inline fields plain_fields(std::string const& id, int deadline_ms)
{
    return {{"Host", host},
            {"Request-Id", id},
            {"Deadline-Ms", std::to_string(deadline_ms)},
            {"X-Api-Key", key}};
}

} // namespace rig

#endif
