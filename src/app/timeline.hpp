// The time line: what one process did, and the merge of several processes'.
//
// Each process keeps its newest entries in a ring bounded in bytes. Entries
// carry hybrid logical timestamps, so sorting the entries of several
// processes by timestamp puts every cause before its effects.
#ifndef AMARANTHARCH_APP_TIMELINE_HPP
#define AMARANTHARCH_APP_TIMELINE_HPP

#include "core/call.hpp"
#include "core/hybrid_clock.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

struct timeline_entry
{
    hybrid_time at;
    std::string vm;
    std::string kind;    // stable name, such as "attempt_started"
    request_id request;  // empty if it concerns no request
    std::string details; // "key=value" pairs separated by spaces
    bool operator==(timeline_entry const&) const = default;
};

class timeline
{
public:
    // Keeps at most `budget_bytes` of entries; the oldest go first.
    timeline(std::string vm, std::size_t budget_bytes);

    void record(time_point now, std::string kind, request_id request,
                std::string details);

    // Takes the timestamp that came with a peer's message, so that what is
    // recorded next sorts after what that peer recorded before sending.
    void observe(time_point now, hybrid_time received);

    // The timestamp to send along with a message to a peer.
    hybrid_time stamp(time_point now);

    std::deque<timeline_entry> const& entries() const
    {
        return entries_;
    }

    // How many entries were dropped to keep the budget.
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::string vm_;
    std::size_t budget_bytes_;
    std::size_t used_bytes_ = 0; // the sum of size_of over entries_
    std::uint64_t dropped_ = 0;
    hybrid_clock clock_;
    std::deque<timeline_entry> entries_; // ascending by timestamp
};

// All entries in causal order; ties go by vm, then by their order in a part.
std::vector<timeline_entry>
merge_timelines(std::vector<std::vector<timeline_entry>> const& parts);

// One line an entry.
std::string timeline_as_text(std::vector<timeline_entry> const& entries);

// Chrome's trace event format: a track per VM, and a span per request from
// its first to its last entry on that VM.
std::string timeline_as_trace(std::vector<timeline_entry> const& entries);

// The form that the admin endpoint serves, and its reading. Fails on text
// that is not such a document.
std::string timeline_as_json(std::vector<timeline_entry> const& entries);
absl::StatusOr<std::vector<timeline_entry>>
timeline_from_json(std::string_view text);

} // namespace amarantharch

#endif
