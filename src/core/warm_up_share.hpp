// This VM's part of the requests that a cold upstream can handle.
//
// Algorithm. An upstream that has just started handles r requests a second of
// all VMs together. Time is divided into slots of 1 / r seconds, counted from a
// moment that depends on the upstream's name only, and n VMs own the slots in
// turn: a VM may send one request in each of its slots, up to `turn_lifetime`
// after the slot's begin. What is not used then is lost.
//
// Why the sum holds: a VM needs to know only the number of VMs and its own
// place, so it does not depend on messages. In any second, the slots that can
// be used are those that begin in 1 s + turn_lifetime: 1.2 r + 1 of all VMs,
// where r x 1.5 + 5 are allowed. What is left is the margin for
//  - clocks: the slots are counted by the time of day, and a clock that is off
//    by e moves its VM's slots by e. With all clocks off by up to e, slots of
//    1.2 s + 2e meet in a second, so e may be 0.15 s + 2 / r;
//  - VMs that know different numbers of VMs. Each group uses its own part of
//    the slots, so the mean stays near r: a VM that has kept a list of m VMs
//    while there are n uses n / m of its part. The places are spread over the
//    slots by steps of the golden ratio, so that a group of neighbours in the
//    list, as the VMs of one failure domain are, has its slots spread evenly.
// A VM that has restarted uses only slots that begin afterwards. A VM uses none
// for `settle_time` after its list of VMs has changed: a list that is being
// read is incomplete and would give it too large a part.
//
// Cost: O(1) for each call, 64 bytes for each cold upstream.
#ifndef AMARANTHARCH_CORE_WARM_UP_SHARE_HPP
#define AMARANTHARCH_CORE_WARM_UP_SHARE_HPP

#include "core/fleet_position.hpp"
#include "core/time.hpp"

#include <cstdint>

namespace amarantharch
{

// A rate below this is taken for this one: an upstream would get no request for
// minutes.
inline constexpr double min_warm_up_rate = 0.05;

class warm_up_share
{
public:
    // Longer than the interval at which a waiting request looks for an
    // upstream, 20 ms, and short enough for the bound above.
    static constexpr duration turn_lifetime = std::chrono::milliseconds(200);
    // Longer than the pages of one listing of the VMs take, 200 ms each where
    // the store is slow.
    static constexpr duration settle_time = std::chrono::seconds(1);

    // `seed`: of the upstream, the same at all VMs. `known_since`: when this
    // VM's list of VMs changed last.
    warm_up_share(time_point now, std::uint64_t seed, double per_second,
                  fleet_position position, time_point known_since);

    // Of all VMs.
    double per_second() const
    {
        return per_second_;
    }

    // This VM's list of VMs has changed.
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
    time_point first_slot() const;

    double per_second_;
    time_point origin_;
    fleet_position position_;
    time_point usable_from_; // no slot that begins earlier is used
    time_point last_sent_{};
};

} // namespace amarantharch

#endif
