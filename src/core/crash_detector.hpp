// Distinguishes the crash of an upstream from the loss of single connections.
//
// When a process dies, all its connections close at about the same time. The
// first lost connection opens a group of all attempts then in flight at the
// upstream. If every attempt of the group is lost within `window`, the upstream
// has crashed with these requests in flight; otherwise nothing is concluded.
// Cost: O(attempts at the upstream) for each lost connection.
#ifndef AMARANTHARCH_CORE_CRASH_DETECTOR_HPP
#define AMARANTHARCH_CORE_CRASH_DETECTOR_HPP

#include "core/event.hpp"
#include "core/quarantine.hpp"
#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <map>
#include <optional>
#include <set>

namespace amarantharch
{

// The attempts in flight at an upstream, with the fingerprints of their
// requests.
using attempts_in_flight = std::map<attempt_id, fingerprint>;

class crash_detector
{
public:
    explicit crash_detector(duration window) : window_(window) {}

    // Records that the connection of `attempt` to `upstream` was lost.
    // `in_flight` holds all attempts at the upstream, including `attempt`.
    // Returns the fingerprints of the group if this was its last attempt, that
    // is, if the upstream crashed.
    std::optional<std::set<fingerprint>>
    record_lost_connection(time_point now, upstream_index upstream,
                           attempt_id attempt,
                           attempts_in_flight const& in_flight);

    // Records that `attempt` was answered or cancelled. Its group can no longer
    // prove a crash and is dropped.
    void record_ended_attempt(upstream_index upstream, attempt_id attempt);

private:
    struct group
    {
        time_point since;
        std::set<attempt_id> missing; // attempts not lost yet
        std::set<fingerprint> fingerprints;
    };

    duration window_;
    std::map<upstream_index, group> groups_;
};

} // namespace amarantharch

#endif
