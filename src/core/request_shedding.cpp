// The part of request_path that holds or rejects requests in an overload; the
// decisions are those of load_shedding.
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int service_unavailable = 503;
// Older loads are not known any more.
constexpr duration max_load_age = std::chrono::seconds(3);
// Engines' loads are shared between VMs about once a second, so they are taken
// as they are for that long. Those of other upstreams come with answers only;
// without new requests they fall from the moment they are heard.
constexpr duration engine_load_interval = std::chrono::seconds(1);
// How long an upstream that is heard with answers only counts as full: a queue
// of short requests is gone by then.
constexpr duration plain_full_time = std::chrono::milliseconds(250);

} // namespace

// The ranks of each service. Where all its routes have one, there is nothing to
// reserve room for, whatever the ranks of organisations.
void request_path::refresh_ranks()
{
    struct rank_lists
    {
        std::vector<std::uint8_t> of_routes;
        std::vector<std::uint8_t> all;
    };
    std::map<std::string, rank_lists> services;
    for (route_spec const& route : tables_->routes)
    {
        rank_lists lists{{route.urgency_rank}, {}};
        for (organisation_spec const& organisation : tables_->organisations)
        {
            if (admits(route, organisation.name))
            {
                lists.all.push_back(urgency_of(organisation.name, route));
            }
        }
        if (lists.all.empty() || route.open_to_all)
        {
            lists.all.push_back(urgency_of({}, route));
        }
        auto const add = [&](std::string const& service)
        {
            rank_lists& known = services[service];
            known.of_routes.push_back(route.urgency_rank);
            known.all.insert(known.all.end(), lists.all.begin(),
                             lists.all.end());
        };
        add(route.service);
        for (service_share const& share : route.shares)
        {
            if (share.service != route.service)
            {
                add(share.service);
            }
        }
    }
    for (auto& [service, lists] : services)
    {
        auto const [lowest, highest] =
            std::ranges::minmax_element(lists.of_routes);
        shedding_of(service).set_ranks(
            *lowest == *highest ? std::vector{*lowest} : std::move(lists.all));
    }
}

load_shedding& request_path::shedding_of(std::string const& service)
{
    return sheddings_.try_emplace(service, options_.shedding).first->second;
}

// By the newest load and what was sent since. Beyond the time for which loads
// are current, it falls as if requests ended and none came.
double request_path::occupancy_at(time_point now, upstream_index upstream) const
{
    upstream_row const& known = upstreams_.row(upstream);
    double const load = router_.load_of(upstream, known);
    auto const hold = mean_holds_.find(known.profile.service);
    if (!known.report || hold == mean_holds_.end() ||
        hold->second <= duration::zero())
    {
        return load;
    }
    duration const current = known.profile.kind == upstream_kind::engine
                                 ? engine_load_interval
                                 : duration::zero();
    duration const beyond =
        std::max(now - known.report->measured_at - current, duration::zero());
    double const ended = std::chrono::duration<double>(beyond) /
                         std::chrono::duration<double>(hold->second);
    double const own = static_cast<double>(known.in_flight) /
                       std::max(1u, known.profile.slots);
    return std::max(own, load - ended);
}

// Unknown where the loads of most upstreams are.
std::optional<request_path::occupancy_estimate>
request_path::occupancy_of(time_point now, std::string const& service) const
{
    std::size_t count = 0;
    std::size_t known = 0;
    double sum = 0;
    occupancy_estimate estimate;
    for (auto const& point : upstreams_.ring(service))
    {
        upstream_row const& upstream = upstreams_.row(point.upstream);
        if (!upstream.takes_relayed(now))
        {
            continue;
        }
        ++count;
        if (!upstream.report ||
            now - upstream.report->measured_at > max_load_age)
        {
            continue;
        }
        double const occupancy = occupancy_at(now, point.upstream);
        estimate.least =
            known == 0 ? occupancy : std::min(estimate.least, occupancy);
        sum += occupancy;
        ++known;
    }
    if (known == 0 || known * 2 < count)
    {
        return std::nullopt;
    }
    // An upstream of unknown load may have room.
    estimate.least = known < count ? 0 : estimate.least;
    estimate.mean = sum / static_cast<double>(known);
    return estimate;
}

// Whether the upstream has rejected a request for want of room, and no newer
// load of it is known.
bool request_path::is_full(time_point now, upstream_index upstream) const
{
    auto const marked = full_since_.find(upstream);
    if (marked == full_since_.end())
    {
        return false;
    }
    upstream_row const& known = upstreams_.row(upstream);
    duration const lasts = known.profile.kind == upstream_kind::engine
                               ? engine_load_interval
                               : plain_full_time;
    bool const is_newer_known =
        known.report && known.report->measured_at > marked->second;
    return !is_newer_known && now >= marked->second &&
           now - marked->second < lasts;
}

void request_path::mark_full(time_point now, row& r,
                             std::optional<answer_load> load)
{
    r.lacked_room = true;
    full_since_[r.upstream] = now;
    load_shedding& shedding = shedding_of(r.route.service);
    upstream_row const& upstream = upstreams_.row(r.upstream);
    double const slots = std::max(1u, upstream.profile.slots);
    if (load)
    {
        shedding.on_rejection((load->running + load->waiting) / slots);
        return; // the load is known from the answer
    }
    // An upstream that never states its load would count as full for ever.
    if (upstream.report)
    {
        auto const waiting = static_cast<std::uint32_t>(
            std::lround((shedding.limit() - 1) * slots));
        router_.on_report(r.upstream, {now, upstream.profile.slots, waiting, 0},
                          upstreams_);
    }
}

// The load of an upstream that is heard with answers only would stay as it was
// when it rejected a request, since the router sends it no other. At the end of
// the mark its queue is taken as empty.
void request_path::end_full_marks(time_point now)
{
    std::erase_if(full_since_,
                  [&](auto const& marked)
                  {
                      if (is_full(now, marked.first))
                      {
                          return false;
                      }
                      upstream_row const& upstream =
                          upstreams_.row(marked.first);
                      bool const is_unheard =
                          upstream.profile.kind == upstream_kind::plain &&
                          upstream.report &&
                          upstream.report->measured_at <= marked.second;
                      if (is_unheard)
                      {
                          upstream_report const assumed{
                              now, upstream.report->running, 0, 0};
                          router_.on_report(marked.first, assumed, upstreams_);
                      }
                      return true;
                  });
}

shedding_question request_path::question_of(time_point now, row const& r) const
{
    shedding_question question;
    question.id = r.request.id;
    question.rank = r.urgency;
    question.received = r.received;
    question.deadline = r.deadline;
    question.latency_target = r.route.latency_target;
    question.predicted = r.predicted;
    question.held_since = r.held_since;
    question.held_until = r.held_until;
    auto const hold = mean_holds_.find(r.route.service);
    question.slot_time =
        hold == mean_holds_.end() ? duration::zero() : hold->second;
    if (auto const estimate = occupancy_of(now, r.route.service))
    {
        question.service_occupancy = estimate->mean;
        question.upstream_occupancy = estimate->least;
    }
    return question;
}

// Whether a held request would be held or rejected at any upstream. This saves
// the router's choice, which costs much more.
bool request_path::is_held_on(time_point now, row& r)
{
    if (!r.held_since)
    {
        return false;
    }
    shedding_question const question = question_of(now, r);
    return carry_out(now, r, question,
                     shedding_of(r.route.service).decide(now, question));
}

// Holds or rejects the request if load shedding decides so; it may be sent to
// `chosen` if this returns false. A stream that has begun is resumed at once.
bool request_path::hold_or_reject(time_point now, row& r, choice const& chosen)
{
    load_shedding& shedding = shedding_of(r.route.service);
    if (!shedding.has_priorities() || r.runs_alone || r.answer_begun)
    {
        end_hold(r);
        return false;
    }
    r.predicted = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(chosen.predicted_ms));
    shedding_question question = question_of(now, r);
    question.upstream_occupancy = occupancy_at(now, chosen.upstream);
    question.upstream_full = is_full(now, chosen.upstream);
    if (question.service_occupancy)
    {
        shedding.on_occupancy(now, *question.service_occupancy);
    }
    shedding_decision const decision = shedding.decide(now, question);
    if (carry_out(now, r, question, decision))
    {
        return true;
    }
    end_hold(r);
    r.occupancy_when_sent = decision.occupancy;
    return false;
}

// Returns false if the request may be sent.
bool request_path::carry_out(time_point now, row& r,
                             shedding_question const& question,
                             shedding_decision const& decision)
{
    if (decision.action == shedding_action::send)
    {
        return false;
    }
    bool const is_rejected = decision.action == shedding_action::reject;
    bool const is_first = !r.held_since;
    shedding_counts& counts = shed_requests_[r.urgency];
    if (is_rejected || is_first)
    {
        add_timeline_entry(
            is_rejected ? "request_shed" : "request_held", r.request.id,
            fmt::format(
                "reason={} rank={} occupancy={:.2f} threshold={:.2f} "
                "upstream_occupancy={:.2f} predicted_ms={} left_ms={} {}={}",
                name_in(shedding_reason_names, decision.reason), r.urgency,
                decision.occupancy, decision.threshold,
                question.upstream_occupancy, to_millis(question.predicted),
                to_millis(r.deadline - now),
                is_rejected ? "retry_after_ms" : "at_most_ms",
                to_millis(is_rejected ? decision.retry_after
                                      : decision.held_until - now)));
    }
    if (is_rejected)
    {
        ++counts.rejected;
        refuse(now, r, service_unavailable, "overloaded", decision.retry_after);
        return true;
    }
    if (is_first)
    {
        ++counts.held;
        ++counts.waiting;
        r.held_since = now;
        r.held_until = decision.held_until;
    }
    r.current_stage = stage::waiting;
    r.attempt_due = now + shedding_of(r.route.service).retry_interval();
    return true;
}

void request_path::end_hold(row& r)
{
    if (std::exchange(r.held_since, std::nullopt))
    {
        --shed_requests_[r.urgency].waiting;
    }
}

void request_path::note_first_event(time_point now, row& r)
{
    double const occupancy = std::exchange(r.occupancy_when_sent, 0);
    if (occupancy > 0)
    {
        shedding_of(r.route.service)
            .on_first_event(r.urgency, occupancy, now - r.attempt_started,
                            r.route.latency_target);
    }
}

std::uint8_t request_path::rank_in_queue(time_point now, row const& r) const
{
    auto const shedding = sheddings_.find(r.route.service);
    if (!r.held_since || shedding == sheddings_.end())
    {
        return r.urgency;
    }
    shedding_question question;
    question.id = r.request.id;
    question.rank = r.urgency;
    question.held_since = r.held_since;
    return shedding->second.rank_of(now, question);
}

// For a request that upstreams have rejected for want of room.
duration request_path::room_retry_after(time_point now, row const& r)
{
    shedding_question question = question_of(now, r);
    question.upstream_full = true;
    return shedding_of(r.route.service).retry_after(now, question);
}

} // namespace amarantharch
