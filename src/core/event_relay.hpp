// Hands one stream of server-sent events to its caller whole and in order,
// although it may come in several attempts from several upstreams.
//
// Events carry ascending ids. Only whole events are passed on, so a stream that
// breaks inside an event can be joined behind the last whole one. Of a later
// attempt, events that the caller has are dropped; one that leaves out an id is
// a gap, and the attempt is given up before anything beyond it is passed on.
// Events without an id pass as they are. Bytes of any attempt but the present
// one are dropped.
//
// Cost: O(bytes); memory: one unfinished event, at most max_event_bytes.
#ifndef AMARANTHARCH_CORE_EVENT_RELAY_HPP
#define AMARANTHARCH_CORE_EVENT_RELAY_HPP

#include "core/event.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amarantharch
{

class event_relay
{
public:
    static constexpr std::size_t max_event_bytes = std::size_t{256} << 10;

    // `last`: the last event that the caller has, if any.
    explicit event_relay(std::optional<std::uint64_t> last) : last_(last) {}

    // A new attempt was sent, to go on behind last_event().
    void begin(attempt_id attempt);

    // Appends to `out` what goes to the caller. False if the attempt is to be
    // given up: a gap, or an event over max_event_bytes.
    bool piece(attempt_id attempt, std::string_view bytes, std::string& out);

    // The answer ended in order. Appends what is left; false if that is a part
    // of an event.
    bool end(attempt_id attempt);

    std::optional<std::uint64_t> last_event() const
    {
        return last_;
    }

    // Events passed on, over all attempts.
    std::uint64_t passed() const
    {
        return passed_;
    }

private:
    bool take(std::string_view whole, std::string& out);

    std::optional<std::uint64_t> last_;
    attempt_id attempt_ = 0;
    std::string unfinished_; // the bytes behind the last whole event
    std::uint64_t passed_ = 0;
};

} // namespace amarantharch

#endif
