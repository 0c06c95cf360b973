// The operators' HTTP endpoints of one VM, on a port of their own.
//
// GET /health answers 200 while the event loop runs. GET /ready answers 200
// or 503 with the reason. GET /status, /timeline and /metrics return what the
// callbacks give. POST /drain?timeout_ms=N starts a graceful shutdown and
// answers 202 at once. GET /configuration shows the revision in force and
// POST /publish takes a change: see publish_admin.hpp. Other methods get 405,
// other paths 404, and a callback that is not set 501, all as JSON
// {"error":"…"}.
#ifndef AMARANTHARCH_APP_ADMIN_SERVER_HPP
#define AMARANTHARCH_APP_ADMIN_SERVER_HPP

#include "core/call.hpp"
#include "net/http_server.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>

namespace amarantharch
{

struct readiness
{
    bool ready = false;
    std::string reason; // why not; a stable word such as "draining"
};

struct admin_answer
{
    int status;
    std::string content_type;
    std::string body;
};

// The parts of the process that the endpoints show or steer.
struct admin_callbacks
{
    std::function<readiness()> ready;
    std::function<std::string()> status;   // a JSON object
    std::function<std::string()> timeline; // timeline_as_json's text
    std::function<std::string()> metrics;  // exposition text
    // Stop within `timeout`; zero means the drain_timeout of the settings.
    std::function<void(duration timeout)> drain;
    std::function<admin_answer()> configuration = nullptr;
    std::function<admin_answer(std::string const& body)> publish = nullptr;
};

// What `request` gets. Separate from the sockets so that it can be tested
// without them.
admin_answer answer_admin(admin_callbacks const& callbacks,
                          call const& request);

class admin_server
{
public:
    explicit admin_server(admin_callbacks callbacks);

    // Port 0 takes any free one. Fails if the address cannot be bound, and may
    // be called again then.
    absl::Status listen(QHostAddress const& address, std::uint16_t port);
    std::uint16_t port() const;

private:
    admin_callbacks callbacks_;
    http_server server_;
};

} // namespace amarantharch

#endif
