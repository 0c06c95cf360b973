// What one stand-in is: a state machine over HTTP requests and time.
//
// A role takes whole requests and the present time and gives replies. It has
// no sockets, clock or threads, so its tests are plain calls; http_front
// joins it to a port.
#ifndef AMARANTHARCH_STANDIN_ROLE_HPP
#define AMARANTHARCH_STANDIN_ROLE_HPP

#include "core/call.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace amarantharch::standin
{

// Names one request to the role; chosen by its caller.
using exchange_id = std::uint64_t;

// A whole answer.
struct whole_reply
{
    exchange_id exchange;
    int status;
    std::string content_type;
    std::string body;
};

// The head of an answer that follows in pieces and ends with reply_end.
struct reply_head
{
    exchange_id exchange;
    int status;
    std::string content_type;
};

struct reply_piece
{
    exchange_id exchange;
    std::string bytes;
};

struct reply_end
{
    exchange_id exchange;
};

// The connection closes without the rest of an answer.
struct reply_cut
{
    exchange_id exchange;
};

// The process dies, as by a crash.
struct reply_crash
{
};

using reply = std::variant<whole_reply, reply_head, reply_piece, reply_end,
                           reply_cut, reply_crash>;
using reply_sink = std::function<void(reply)>;

class role
{
public:
    role() = default;
    role(role const&) = delete;
    role& operator=(role const&) = delete;
    virtual ~role() = default;

    // A whole request has arrived.
    virtual void receive(time_point now, exchange_id exchange,
                         call const& request, reply_sink const& emit) = 0;

    // The caller of `exchange` left before its answer ended.
    virtual void abandon(time_point now, exchange_id exchange) = 0;

    // Time passed; called every few milliseconds.
    virtual void tick(time_point now, reply_sink const& emit) = 0;
};

} // namespace amarantharch::standin

#endif
