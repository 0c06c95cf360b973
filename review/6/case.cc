// A new version of a service breaks off half of its answers.
#include "../rollout-2.h"

namespace
{

rig::client_request request_of(std::string const& id)
{
    std::string const body = "{\"entry\":\"" + id + "\"}";
    rig::client_request what;
    what.id = id;
    what.text =
        rig::format(
            "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
            "Request-Id: %s\r\nDeadline-Ms: 4000\r\n"
            "X-Api-Key: i9n73hh2b9wu3fexd9dn\r\nContent-Length: %zu\r\n\r\n",
            id.c_str(), body.size()) +
        body;
    what.wait_ms = 4000;
    return what;
}

bool run(std::string const& root, std::string const& scratch,
         rig::line_file& record)
{
    rollout::setting what;
    what.route =
        R"({"Name":"r-weigh","Hostname":"ficu95.example","PathPrefix":"/puxa403/","RouteKind":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":300,"Priority":1,"Service":"huvo11a","MaxAttempts":3,"Public":false,"StickySessions":false,"StreamResume":false})";
    what.servers = rig::server_spec{"huvo11a", "plain", 6, 4, 60};
    what.spoil = [](rig::server_spec& spec)
    {
        spec.cut_share = 0.5;
    };
    what.request = request_of;
    return rollout::run(what, root, scratch, record);
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
