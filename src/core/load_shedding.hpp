// Load shedding for one service: decides whether a request is sent to the
// upstream that the router has chosen, held, or rejected.
//
// Occupancy is the number of requests at an upstream, running and waiting, per
// slot. Each priority rank of the service's routes has a threshold of
// occupancy, and its requests are sent only below it. The least urgent rank has
// `least_urgent_occupancy`, where the requests that run begin to delay others;
// each more urgent rank has a little more. The most urgent rank has the
// upstream's own limit or, if it is lower, the occupancy up to which its
// requests have met their latency target: beyond that, more requests only make
// all of them late. As occupancy rises, the ranks stop one after the other, and
// room remains for the more urgent. The thresholds of a rank's requests are
// spread over a band by the hash of their ids (except the most urgent), so that
// VMs which see the same loads do not all stop and resume at the same moment.
//
// The occupancy compared is the mean of the service or, if it is lower, that of
// the chosen upstream plus `estimate_error`: the mean is hardly affected by
// the error of a single load, but an upstream that has just become free should
// be used.
//
// Rules, in this order:
// 1. With less than two ranks, or without known loads, a request is sent.
// 2. Below the lowest threshold of all, a request is sent. So nothing changes
//    without an overload.
// 3. A request whose predicted first event is beyond its deadline is rejected.
// 4. Below the threshold of its rank, a request is sent. One that can no longer
//    meet its latency target has the threshold of the next less urgent rank.
// 5. Otherwise it is held for at most a part of its slack (deadline less
//    predicted time), so that it can still be on time after that, and then
//    rejected, or sent if it has the most urgent rank and the upstream is not
//    full. Less urgent ranks are held less long, as holding them longer only
//    made them late. Each `ageing` of waiting raises a request by a rank.
//
// No rank starves, however much the most urgent one offers: a held request
// rises in rank, and `aged_share` of the requests rise to the most urgent rank.
// The others stop below it, or its reserve would be gone after `ageing`. No
// size of prompt starves: no threshold depends on the size, and of equal ranks
// the least slack is served first, which favours large prompts. Organisations
// are not distinguished.
//
// Retry-After is the predicted time until occupancy is below the threshold of
// the rank, from how fast occupancy has been falling or, if it is not, from how
// long a request holds a slot.
//
// The decision is a function of its arguments, the configured ranks and what
// the on_ functions were told. Cost: O(ranks) for each call.
#ifndef AMARANTHARCH_CORE_LOAD_SHEDDING_HPP
#define AMARANTHARCH_CORE_LOAD_SHEDDING_HPP

#include "core/call.hpp"
#include "core/name_table.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace amarantharch
{

enum class shedding_action : std::uint8_t
{
    send,
    hold,
    reject,
};

enum class shedding_reason : std::uint8_t
{
    no_priorities, // all routes of the service have the same rank
    loads_unknown,
    no_overload,
    room,          // below the threshold of the rank
    past_deadline, // the predicted first event is
    upstream_full, // by its own statement
    no_room,       // at or above the threshold of the rank
};

inline constexpr name_table<shedding_reason, 7> shedding_reason_names{{
    {shedding_reason::no_priorities, "no_priorities"},
    {shedding_reason::loads_unknown, "loads_unknown"},
    {shedding_reason::no_overload, "no_overload"},
    {shedding_reason::room, "room"},
    {shedding_reason::past_deadline, "past_deadline"},
    {shedding_reason::upstream_full, "upstream_full"},
    {shedding_reason::no_room, "no_room"},
}};

struct load_shedding_options
{
    // Engines are used to 0.25 to 0.35 on a day without overload.
    double least_urgent_occupancy = 0.5;
    // By which the threshold of a more urgent rank is higher, as a part of
    // least_urgent_occupancy.
    double rank_step = 0.2;
    // Part of the latency target that may pass before the first event; the rest
    // is a margin for the error of the estimate.
    double target_share = 0.8;
    // Occupancy at which an upstream rejects requests, until one has done so.
    double assumed_limit = 3.0;
    // Width of the band of thresholds of a rank, as a part of the distance to
    // the threshold of the next rank.
    double band = 0.3;
    // Error of the occupancy of a single upstream: loads are up to a second
    // old.
    double estimate_error = 0.25;
    duration retry_interval = std::chrono::milliseconds(20);
    int hold_divisor = 4; // of the slack
    // Of the most urgent rank; halved for each less urgent one.
    duration max_hold = std::chrono::milliseconds(1'000);
    duration ageing = std::chrono::milliseconds(300);
    double aged_share = 0.2;
    // Assumed while no request of the service has ended.
    duration assumed_slot_time = std::chrono::milliseconds(500);
    duration min_retry_after = std::chrono::milliseconds(50);
};

struct shedding_question
{
    request_id id;
    std::uint8_t rank = 0; // 0 is the most urgent
    time_point received;
    time_point deadline;
    duration latency_target{}; // to the first event; 0: none
    duration predicted{};      // to the first event
    double upstream_occupancy = 0;
    bool upstream_full = false; // it has rejected a request for want of room
    // Mean of the service's upstreams; empty: unknown.
    std::optional<double> service_occupancy;
    duration slot_time{}; // that a request holds a slot; 0: unknown
    // If the request has been held.
    std::optional<time_point> held_since;
    time_point held_until;
};

struct shedding_decision
{
    shedding_action action = shedding_action::send;
    shedding_reason reason = shedding_reason::room;
    time_point held_until;  // if held
    duration retry_after{}; // if rejected
    double occupancy = 0;   // compared with the threshold
    double threshold = 0;
};

// Counters of one rank.
struct shedding_counts
{
    std::uint64_t held = 0;     // requests, once each
    std::uint64_t rejected = 0; // by a decision
    std::uint64_t expired = 0;  // reached their deadline while held
    std::uint64_t waiting = 0;  // held now
};

class load_shedding
{
public:
    explicit load_shedding(load_shedding_options options = {});

    // The ranks that requests of the service can have.
    void set_ranks(std::vector<std::uint8_t> ranks);

    // The present mean occupancy of the service.
    void on_occupancy(time_point now, double occupancy);

    // An upstream with this occupancy has rejected a request for want of room.
    void on_rejection(double occupancy);

    // The first event of a request came `after` it was received; it was sent at
    // this occupancy, as decided.
    void on_first_event(std::uint8_t rank, double occupancy, duration after,
                        duration latency_target);

    shedding_decision decide(time_point now,
                             shedding_question const& what) const;

    // When a rejected caller should come back.
    duration retry_after(time_point now, shedding_question const& what) const;

    // The rank of the request after ageing, as a position in the order of the
    // service's ranks; 0 is the most urgent.
    std::size_t position_of(time_point now,
                            shedding_question const& what) const;

    // The rank that the request has after ageing.
    std::uint8_t rank_of(time_point now, shedding_question const& what) const
    {
        return ranks_.empty() ? what.rank : ranks_[position_of(now, what)];
    }

    duration retry_interval() const
    {
        return options_.retry_interval;
    }
    bool has_priorities() const
    {
        return ranks_.size() > 1;
    }
    // Occupancy at which upstreams reject requests, as far as is known.
    double limit() const
    {
        return limit_.value_or(options_.assumed_limit);
    }

private:
    double rank_threshold(std::size_t position) const;
    double threshold_of(std::size_t position, request_id const& id) const;
    std::size_t least_urgent() const
    {
        return ranks_.empty() ? 0 : ranks_.size() - 1;
    }
    duration hold_time(time_point now, shedding_question const& what) const;

    load_shedding_options options_;
    std::vector<std::uint8_t> ranks_; // ascending, each once
    std::optional<double> limit_;     // observed
    // Part of the latency target that passes before the first event of the most
    // urgent rank, per unit of occupancy; a moving average over requests sent
    // in an overload, 0 before the first.
    double target_use_ = 0;
    // The last sample of occupancy, and how much it falls each second, a moving
    // average; negative if it rises.
    std::optional<time_point> sampled_at_;
    double sampled_ = 0;
    double falls_per_second_ = 0;
};

} // namespace amarantharch

#endif
