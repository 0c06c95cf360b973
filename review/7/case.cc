// A new version of a service answers half of its requests eight times slower.
// Clients abandon a stream before its first event as PROTOCOL.md says.
#include "../rollout-2.h"

namespace
{

constexpr double first_event_ms = 350;
// The longest of two seconds, four times the objective (400 ms) and eight times
// GapAimMs (300 ms).
constexpr double patience_ms = 2400;

rig::client_request request_of(std::string const& id)
{
    std::string const body = "{\"text\":\"" + id + "\"}";
    rig::client_request what;
    what.id = id;
    what.text =
        rig::format(
            "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
            "Request-Id: %s\r\nModel-Name: m\r\nToken-Usage: 628,24\r\n"
            "Prefix-Hash: 5c1e07a2:198,%s:430\r\nDeadline-Ms: 10000\r\n"
            "X-Api-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: %zu\r\n\r\n",
            id.c_str(), id.substr(0, 8).c_str(), body.size()) +
        body;
    what.first_within_ms = patience_ms;
    what.wait_ms = 10'000;
    return what;
}

bool run(std::string const& root, std::string const& scratch,
         rig::line_file& record)
{
    rollout::setting what;
    what.route =
        R"({"Name":"r-gate","Hostname":"ficu95.example","PathPrefix":"/pufi791/","RouteKind":"streaming","TimeoutMs":10000,"TargetLatencyMs":400,"Priority":0,"Service":"huvo11a","MaxAttempts":2,"Public":false,"StickySessions":true,"StreamResume":false,"GapAimMs":300})";
    what.servers =
        rig::server_spec{"huvo11a", "engine", 64, 12, first_event_ms};
    what.spoil = [](rig::server_spec& spec)
    {
        spec.slow_share = 0.5;
        spec.slow_factor = 8;
    };
    what.request = request_of;
    return rollout::run(what, root, scratch, record);
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
