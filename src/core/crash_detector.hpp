// Tells the crash of an upstream from the loss of single connections.
//
// A process that dies cuts all its connections together. When the first is
// lost, the attempts then in flight at the upstream become a group; if every
// one of them is lost within `window`, the upstream crashed with these requests
// in flight, else nothing is concluded. Cost: O(attempts at the upstream) for
// a lost connection.
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

// The attempts in flight at an upstream and what they carry.
using attempts_in_flight = std::map<attempt_id, fingerprint>;

class crash_detector
{
public:
    explicit crash_detector(duration window) : window_(window) {}

    // `attempt`'s connection to `upstream` was lost; `present` are all that
    // were in flight there, `attempt` among them. Returns the fingerprints in
    // flight at the crash if this was the last of a group.
    std::optional<std::set<fingerprint>>
    lost(time_point now, upstream_index upstream, attempt_id attempt,
         attempts_in_flight const& present);

    // `attempt` had an answer or was cancelled: the upstream lives, as far as
    // it goes, and its group is dropped.
    void ended(upstream_index upstream, attempt_id attempt);

private:
    struct group
    {
        time_point since;
        std::set<attempt_id> missing; // not lost yet
        std::set<fingerprint> carried;
    };

    duration window_;
    std::map<upstream_index, group> groups_;
};

} // namespace amarantharch

#endif
