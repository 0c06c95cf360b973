// Relays one stream of server-sent events to its caller, complete and in order,
// even if several attempts at different upstreams produce it.
//
// Event ids increase by one. Only complete events are forwarded, so a stream
// that breaks inside an event can resume after the last complete one. A later
// attempt may repeat events that the caller already has; these are dropped. A
// skipped id is a gap: the attempt fails and nothing after the gap is
// forwarded. Events without an id are forwarded unchanged. Bytes of any attempt
// but the current one are dropped.
//
// Cost: O(bytes); memory: one incomplete event, at most max_event_bytes.
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

    // `last`: id of the last event that the caller already has, if any.
    explicit event_relay(std::optional<std::uint64_t> last) : last_(last) {}

    // A new attempt was sent, which resumes after last_event().
    void begin_attempt(attempt_id attempt);

    // Appends to `out` the events to forward. Returns false if the attempt must
    // be cancelled: a gap, or an event over max_event_bytes.
    bool feed(attempt_id attempt, std::string_view bytes, std::string& out);

    // The upstream's answer ended. Returns false if it was broken off: inside
    // an event, or before the first event of a stream that was not resumed.
    bool end_attempt(attempt_id attempt);

    std::optional<std::uint64_t> last_event() const
    {
        return last_;
    }

    // Number of events forwarded, over all attempts.
    std::uint64_t events_relayed() const
    {
        return events_relayed_;
    }

private:
    // Returns false if the event skips an id.
    bool relay_event(std::string_view event_text, std::string& out);

    std::optional<std::uint64_t> last_;
    attempt_id attempt_ = 0;
    std::string unfinished_; // bytes after the last complete event
    std::uint64_t events_relayed_ = 0;
};

} // namespace amarantharch

#endif
