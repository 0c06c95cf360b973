// Hands one stream of generated tokens to its caller whole, in order and once,
// although it may come in several attempts from several upstreams.
//
// A stream is a sequence of tokens numbered from 0; its state is the offset of
// the next token the caller needs. Each piece from an upstream carries the
// attempt it belongs to, and only the present attempt is listened to. Within
// it the engine's events name each token's index, so a token below the offset
// is a duplicate and is dropped, the one at the offset is passed on, and one
// above it is a gap: the attempt is given up, nothing of it beyond the gap
// reaches the caller, and the stream is to be resumed from the offset. The
// relay is deterministic and depends only on the order of its calls.
//
// Memory: the torn last event of the present attempt, at most max_event_size,
// and the last tokens passed on, at most history_size bytes, so that a caller
// who comes back with an older offset gets the rest. Time: linear in the bytes
// fed.
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

// One token as the engine sent it.
struct stream_token
{
    token_offset index = 0;
    std::string text; // decoded
};

// What the engine says of the prompt before the first token.
struct prompt_usage
{
    std::uint64_t cached_tokens = 0;
    std::uint64_t prompt_tokens = 0;
};

// The engine closed the stream: there are no more tokens.
struct stream_done
{
};

using engine_event = std::variant<stream_token, prompt_usage, stream_done>;

// Cuts an engine's bytes into its server-sent events, wherever the pieces are
// torn. After an error it stays failed.
class engine_event_parser
{
public:
    // Appends the events that `bytes` complete to `events`. Fails with
    // InvalidArgument on anything that is not an engine's event,
    // ResourceExhausted on an event over max_event_size.
    absl::Status feed(std::string_view bytes,
                      std::vector<engine_event>& events);

    static constexpr std::size_t max_event_size = std::size_t{64} << 10;

private:
    absl::Status take_line(std::vector<engine_event>& events);

    std::string line_; // the torn last line
    absl::Status failed_;
};

// The server-sent event that carries `token` to a caller.
std::string encode_event(stream_token const& token);

// The server-sent event that ends a stream.
std::string encode_end_event();

// What became of the present attempt after a call.
enum class relay_state : std::uint8_t
{
    waiting,  // no attempt: begin one at next_offset()
    relaying, // the present attempt goes on
    done,     // the caller has every token
};

class stream_relay
{
public:
    // A stream whose caller needs the tokens from `first` on; `history_size`
    // bounds the bytes kept for callers who come back.
    stream_relay(std::string stream, token_offset first,
                 std::size_t history_size);

    // A new attempt has been sent to an upstream that is to begin at
    // next_offset(); pieces of older attempts are dropped from now on.
    void begin(attempt_id attempt);

    // Appends to `out` what goes to the caller. Changes to `waiting` on a gap
    // or malformed bytes; the caller then cancels the attempt and begins
    // another. Pieces of other attempts have no effect.
    relay_state piece(attempt_id attempt, std::string_view bytes,
                      std::string& out);

    // The upstream ended or failed: `waiting` unless the stream was closed by
    // its own end event. Ends of other attempts have no effect.
    relay_state end(attempt_id attempt);

    // What a caller who has every token below `from` lacks, as events; then
    // the relay's output goes to that caller. OutOfRange if `from` is beyond
    // next_offset(), DataLoss if it is older than the history.
    absl::StatusOr<std::string> rest(token_offset from) const;

    std::string const& stream() const
    {
        return stream_;
    }

    // The first token that the caller has not been sent.
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

    // Of the present attempt; recomputed tokens are prompt - cached.
    prompt_usage const& usage() const
    {
        return usage_;
    }

    // Dropped so far, for the metrics.
    std::uint64_t duplicates() const
    {
        return duplicates_;
    }

    std::uint64_t late_pieces() const
    {
        return late_pieces_;
    }

private:
    bool take(engine_event const& what, std::string& out);
    void remember(std::string text);

    std::string stream_;
    token_offset next_;
    std::size_t history_size_;
    relay_state state_ = relay_state::waiting;
    attempt_id attempt_ = 0; // 0: none
    engine_event_parser parser_;
    prompt_usage usage_;
    std::deque<std::string> history_; // the events just below next_
    std::size_t history_bytes_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t late_pieces_ = 0;
};

} // namespace amarantharch

#endif
