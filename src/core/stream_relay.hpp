// Relays one stream of generated tokens to its caller: every token exactly once
// and in order, even if several attempts at different upstreams produce them.
//
// A stream is a sequence of tokens numbered from 0; its state is the offset of
// the next token that the caller needs. Bytes from an upstream come with the id
// of their attempt, and all but those of the current attempt are dropped. The
// engine's events carry each token's index: a token below the offset is a
// duplicate and is dropped, the one at the offset is forwarded, and one above
// it is a gap. On a gap the attempt fails, nothing after the gap is forwarded,
// and the stream must be resumed from the offset. The relay is deterministic
// and depends only on the order of its calls.
//
// Memory: the incomplete last event of the current attempt, at most
// max_event_size bytes, and a history of the last forwarded tokens, at most
// history_size bytes, for callers that reconnect with an older offset.
// Time: linear in the number of bytes.
#ifndef AMARANTHARCH_CORE_STREAM_RELAY_HPP
#define AMARANTHARCH_CORE_STREAM_RELAY_HPP

#include "core/event.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amarantharch
{

// Number of a token in its stream, from 0.
using token_offset = std::uint64_t;

// One token from the engine.
struct stream_token
{
    token_offset index = 0;
    std::string text; // after JSON decoding
};

// Token counts of the prompt, which the engine sends before the first token.
struct prompt_usage
{
    std::uint64_t cached_tokens = 0;
    std::uint64_t prompt_tokens = 0;
};

// The engine's end event: there are no more tokens.
struct stream_done
{
};

using engine_event = std::variant<stream_token, prompt_usage, stream_done>;

// Incremental parser of an engine's server-sent events; the input may be split
// anywhere. After an error every call returns that error.
class engine_event_parser
{
public:
    // Appends the events completed by `bytes` to `events`. Fails with
    // InvalidArgument on anything that is not an engine's event, and with
    // ResourceExhausted on an event over max_event_size.
    absl::Status feed(std::string_view bytes,
                      std::vector<engine_event>& events);

    static constexpr std::size_t max_event_size = std::size_t{64} << 10;

private:
    absl::Status parse_line(std::vector<engine_event>& events);

    std::string line_; // the incomplete last line
    absl::Status failed_;
};

// Encodes `token` as a server-sent event for a caller.
std::string encode_event(stream_token const& token);

// The server-sent event that ends a stream.
std::string encode_end_event();

// State of the stream after a call.
enum class relay_state : std::uint8_t
{
    waiting,  // no current attempt: begin one at next_offset()
    relaying, // the current attempt is in progress
    done,     // all tokens were forwarded
};

class stream_relay
{
public:
    // The caller needs the tokens from `first` on. `history_size` bounds the
    // bytes kept for callers that reconnect.
    stream_relay(std::string stream_id, token_offset first,
                 std::size_t history_size);

    // A new attempt was sent, which resumes at next_offset(). Bytes of earlier
    // attempts are dropped from now on.
    void begin_attempt(attempt_id attempt);

    // Handles bytes of `attempt` and appends to `out` the events to forward.
    // Changes to `waiting` on a gap or malformed bytes; the attempt must then
    // be cancelled and a new one begun. Has no effect for other attempts than
    // the current one.
    relay_state feed(attempt_id attempt, std::string_view bytes,
                     std::string& out);

    // The attempt's answer ended or failed. Changes to `waiting` unless the end
    // event was received. Has no effect for other attempts than the current
    // one.
    relay_state end_attempt(attempt_id attempt);

    // The events from token `from` up to next_offset(), for a caller that
    // reconnects; the relay's further output follows them. OutOfRange if `from`
    // is beyond next_offset(), DataLoss if the history no longer has it.
    absl::StatusOr<std::string> replay_from(token_offset from) const;

    std::string const& stream_id() const
    {
        return stream_id_;
    }

    // Offset of the first token that has not been forwarded.
    token_offset next_offset() const
    {
        return next_;
    }

    relay_state state() const
    {
        return state_;
    }

    attempt_id attempt() const
    {
        return attempt_;
    }

    // Of the current attempt. The engine recomputes prompt - cached tokens.
    prompt_usage const& usage() const
    {
        return usage_;
    }

    // Duplicate tokens dropped so far, for metrics.
    std::uint64_t duplicates() const
    {
        return duplicates_;
    }

    // Calls with bytes of another attempt than the current one, for metrics.
    std::uint64_t late_pieces() const
    {
        return late_pieces_;
    }

private:
    // Returns false on a gap, and for any event after the end of the stream.
    bool relay_event(engine_event const& what, std::string& out);
    void append_to_history(std::string text);

    std::string stream_id_;
    token_offset next_;
    std::size_t history_size_;
    relay_state state_ = relay_state::waiting;
    attempt_id attempt_ = 0; // 0: none
    engine_event_parser parser_;
    prompt_usage usage_;
    std::deque<std::string> history_; // the encoded events before next_
    std::size_t history_bytes_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t late_pieces_ = 0;
};

} // namespace amarantharch

#endif
