// This VM's part of a limit on requests that an upstream names for all VMs
// together.
//
// Algorithm. The limit is dealt out in turns. With n VMs and a limit of r
// requests a second each VM has a turn every n / r seconds, which allows one
// request. The turns of the VMs, in the order of their names, follow each other
// at intervals of 1 / r, counted from when the limit was first heard of. A turn
// that is not used within `turn_lifetime` is lost, so turns do not pile up
// while there is no work.
//
// Why the limit holds: a VM needs to know the number of VMs only, not what the
// others have sent, so it holds while VMs are cut off from each other, and for
// a VM that has just started. The turns that can be used in a span of t are
// those that begin in t + turn_lifetime: r * (t + turn_lifetime) + 1 of all
// VMs. VMs that have heard of the limit at other times take turns at other
// moments, but not more often.
//
// If the limit or the number of VMs changes, turns are counted anew. The next
// one is then at least half of the interval between two turns away from the
// last request.
//
// Cost: O(1), some 60 bytes for each limited upstream.
#ifndef AMARANTHARCH_CORE_LIMIT_SHARE_HPP
#define AMARANTHARCH_CORE_LIMIT_SHARE_HPP

#include "core/fleet_position.hpp"
#include "core/time.hpp"

namespace amarantharch
{

// Limits are taken to be at least this. With fewer requests nobody would learn
// that a limit has ended.
inline constexpr double min_requests_per_second = 0.05;

class limit_share
{
public:
    static constexpr duration turn_lifetime = std::chrono::milliseconds(500);

    // `since`: when any VM first heard of this limit.
    limit_share(time_point now, time_point since, double per_second,
                fleet_position position);

    // The named limit of all VMs.
    double per_second() const
    {
        return per_second_;
    }

    void change(time_point now, time_point since, double per_second);
    void set_position(time_point now, fleet_position position);

    // Whether a request may be sent now. Never while the number of VMs is not
    // known.
    bool admits(time_point now) const;

    // Uses up a turn.
    void on_sent(time_point now);

    // The begin of the open turn or, if none is open, of the next one. The
    // greatest time_point while the number of VMs is not known.
    time_point next_turn(time_point now) const;

    // Between two turns of this VM.
    duration interval() const;

private:
    void count_turns_anew(time_point now);

    double per_second_;
    time_point since_;
    fleet_position position_;
    time_point next_;
    time_point last_sent_{};
};

} // namespace amarantharch

#endif
