// One connection's messages as HTTP/2 streams: nghttp2 as a codec, without
// sockets or a clock.
//
// The dialer sends each message as one POST stream; the listener answers 200
// once the message is whole, which acknowledges it. Bytes go in through
// feed() and come out through take_output(), so a session can be tested by
// joining two of them. Memory is bounded: a message above `message_bytes`, or
// one that does not fit beside the other unfinished ones, is reset.
#ifndef AMARANTHARCH_NET_MESSAGE_SESSION_HPP
#define AMARANTHARCH_NET_MESSAGE_SESSION_HPP

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

enum class session_role : std::uint8_t
{
    dialer,
    listener,
};

// Names one message within its session; chosen by the dialer's user.
using message_id = std::uint64_t;

struct message_result
{
    message_id id = 0;
    bool acknowledged = false; // else it was reset
};

class message_session
{
public:
    message_session(session_role role, std::size_t message_bytes);
    ~message_session();
    message_session(message_session const&) = delete;
    message_session& operator=(message_session const&) = delete;

    // Dialer only. Fails when no stream id is left or the listener is going
    // away; a new connection is needed then.
    absl::Status send(message_id id, std::string message);

    // Takes bytes that arrived. After a failure the connection is of no use.
    absl::Status feed(std::string_view bytes);

    // Bytes that are to be written to the connection, and forgets them.
    std::string take_output();

    // Whole messages that arrived since the last call. Listener only.
    std::vector<std::string> take_received();

    // Messages whose fate became known since the last call. Dialer only.
    std::vector<message_result> take_results();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
