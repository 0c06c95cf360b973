#include "core/admission.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;

// Weight of the newest request in the moving averages.
constexpr double mean_gain = 0.02;

// Time between two checks for inactive organisations.
constexpr duration activity_check_interval = std::chrono::seconds(1);

// Window over which offers are counted, and the weight of the newest one.
constexpr duration rate_window = std::chrono::seconds(1);
constexpr double rate_gain = 0.3;

std::size_t level_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

// Maps an id to [0, 1), deterministically.
double spread_of(request_id const& id)
{
    std::uint64_t const hash = XXH3_64bits(id.data(), id.size());
    return static_cast<double>(hash >> 11) / static_cast<double>(1ull << 53);
}

} // namespace

admission::admission(admission_options options)
    : options_(options), limit_(options.limit), queue_(options.queue)
{
}

void admission::set_weight(std::string const& organisation, double weight)
{
    queue_.set_weight(organisation, weight);
}

admission_result admission::offer(time_point now,
                                  admission_request const& request)
{
    admission_result result;
    record_activity(now, request.organisation);
    update_interactive_rate(now, request.priority);
    // release() leaves only requests in the queue that may not run yet, so
    // this one overtakes none.
    auto const lowest = lowest_runnable(request.organisation);
    if (lowest && request.priority <= *lowest)
    {
        start(now, {request.id, request.organisation, request.priority,
                    request.tokens, request.bytes, now, now});
        queue_.add_served(request.organisation, request.tokens);
        result.outcome = admission_outcome::run_now;
        return result;
    }
    duration const allowed = allowed_wait(now, request);
    duration const wait = predicted_wait(request);
    // An organisation below its share is served as soon as running requests
    // end, however long the queues of the others are.
    bool const too_long =
        wait > allowed && !is_below_share(request.organisation);
    if (allowed <= duration::zero() || too_long)
    {
        result.why = refuse(request.id, "overloaded", wait);
        return result;
    }
    auto const evicted =
        queue_.push({request.id, request.organisation, request.priority,
                     request.tokens, request.bytes, now, now + allowed});
    result.outcome = admission_outcome::queued;
    for (queued_request const& dropped : evicted)
    {
        refusal why = refuse(dropped.id, "queue_full", wait);
        if (dropped.id == request.id)
        {
            result.outcome = admission_outcome::refused;
            result.why = std::move(why);
        }
        else
        {
            result.evicted.push_back({dropped.id, std::move(why)});
        }
    }
    return result;
}

bool admission::abandon(request_id const& id)
{
    return queue_.remove(id).has_value();
}

void admission::on_first_byte(time_point now, request_id const& id)
{
    auto const known = running_.find(id);
    if (known == running_.end() || known->second.answer_begun)
    {
        return;
    }
    running_row& row = known->second;
    row.answer_begun = true;
    duration const target =
        options_.classes[level_of(row.priority)].first_byte_target;
    bool const late = std::chrono::duration<double>(now - row.started) >
                      target * options_.upstream_target_share;
    limit_.on_sample(now, row.started, late,
                     static_cast<std::uint32_t>(in_flight()));
}

void admission::on_end(time_point now, request_id const& id,
                       std::uint32_t tokens)
{
    auto const known = running_.find(id);
    if (known == running_.end())
    {
        return;
    }
    running_row const ended = std::move(known->second);
    running_.erase(known);
    --active_[ended.organisation].in_flight;
    running_non_interactive_ -=
        ended.priority == request_class::interactive ? 0 : 1;
    queue_.add_served(ended.organisation,
                      static_cast<double>(tokens) -
                          static_cast<double>(ended.tokens));
    served_[ended.organisation] += tokens;
    update_means(ended, now - ended.started, tokens);
}

admission_release admission::release(time_point now)
{
    subtract_silent_peers(now);
    admission_release result;
    for (queued_request const& late : queue_.expire(now))
    {
        duration const wait = predicted_wait(
            {late.id, late.organisation, late.priority, late.tokens, 0, {}});
        result.refused.push_back({late.id, refuse(late.id, "timeout", wait)});
    }
    auto const filter = [this](std::string const& organisation)
    {
        return fair_queue::allowance{lowest_runnable(organisation),
                                     is_below_share(organisation)};
    };
    while (auto const next = queue_.pop(filter))
    {
        start(now, *next);
        result.run.push_back(next->id);
    }
    return result;
}

usage_summary admission::usage(std::string vm, std::uint64_t incarnation)
{
    usage_summary summary;
    summary.vm = std::move(vm);
    summary.incarnation = incarnation;
    summary.sequence = ++usage_sequence_;
    summary.limit = limit();
    for (auto const& [organisation, tokens] : served_)
    {
        auto const known = active_.find(organisation);
        std::uint32_t const running =
            known == active_.end() ? 0 : known->second.in_flight;
        summary.served.push_back({organisation, tokens, running});
    }
    return summary;
}

void admission::merge(time_point now, usage_summary const& peer)
{
    auto const [place, first_heard] = peers_.try_emplace(peer.vm);
    peer_row& known = place->second;
    auto const version = std::pair(peer.incarnation, peer.sequence);
    if (!first_heard && version <= std::pair(known.incarnation, known.sequence))
    {
        return;
    }
    if (peer.incarnation > known.incarnation)
    {
        known.served.clear();
    }
    known.incarnation = peer.incarnation;
    known.sequence = peer.sequence;
    known.heard_at = now;
    merge_served(known, peer, first_heard);
    subtract_in_flight(known);
    known.limit = peer.limit;
    peer_limit_ += peer.limit;
    for (organisation_usage const& usage : peer.served)
    {
        known.in_flight[usage.organisation] += usage.in_flight;
        peer_in_flight_[usage.organisation] += usage.in_flight;
    }
}

void admission::merge_served(peer_row& known, usage_summary const& peer,
                             bool first_heard)
{
    for (organisation_usage const& usage : peer.served)
    {
        std::uint64_t& counted = known.served[usage.organisation];
        // Usage before a VM's first report is not charged.
        if (usage.tokens > counted && !first_heard)
        {
            queue_.add_served_elsewhere(
                usage.organisation,
                static_cast<double>(usage.tokens - counted));
        }
        counted = std::max(counted, usage.tokens);
    }
}

void admission::forget_peer(std::string const& vm)
{
    auto const known = peers_.find(vm);
    if (known != peers_.end())
    {
        subtract_in_flight(known->second);
        peers_.erase(known);
    }
}

// Subtracts the peer's limit and requests in flight from the sums.
void admission::subtract_in_flight(peer_row& peer)
{
    peer_limit_ -= peer.limit;
    peer.limit = 0;
    for (auto const& [organisation, running] : peer.in_flight)
    {
        peer_in_flight_[organisation] -= running;
    }
    peer.in_flight.clear();
}

void admission::subtract_silent_peers(time_point now)
{
    for (auto& [vm, peer] : peers_)
    {
        if (peer.limit > 0 && now - peer.heard_at > options_.peer_timeout)
        {
            subtract_in_flight(peer);
        }
    }
}

bool admission::is_below_share(std::string const& organisation) const
{
    auto const known = active_.find(organisation);
    double const own = known == active_.end() ? 0 : known->second.in_flight;
    double const weight = queue_.weight(organisation);
    double const share = weight / std::max(active_weight_, weight);
    if (own < limit() * share)
    {
        return true;
    }
    auto const elsewhere = peer_in_flight_.find(organisation);
    double const others = elsewhere == peer_in_flight_.end()
                              ? 0
                              : static_cast<double>(elsewhere->second);
    double const whole = limit() + static_cast<double>(peer_limit_);
    return own + others < whole * share;
}

std::optional<request_class>
admission::lowest_runnable(std::string const& organisation) const
{
    double const open = is_below_share(organisation)
                            ? limit()
                            : limit() * (1 - options_.fair_headroom);
    if (static_cast<double>(in_flight()) >= std::max(1.0, open))
    {
        return std::nullopt;
    }
    double const others = open - interactive_reserve();
    return running_non_interactive_ < std::max(1.0, others)
               ? request_class::batch
               : request_class::interactive;
}

void admission::record_activity(time_point now, std::string const& organisation)
{
    auto const [place, added] = active_.try_emplace(organisation);
    place->second.last_offer = now;
    if (added)
    {
        active_weight_ += queue_.weight(organisation);
    }
    if (now - activity_checked_at_ >= activity_check_interval)
    {
        activity_checked_at_ = now;
        forget_inactive(now);
    }
}

void admission::forget_inactive(time_point now)
{
    std::erase_if(active_,
                  [&](auto const& item)
                  {
                      organisation_row const& row = item.second;
                      return row.in_flight == 0 &&
                             row.last_offer + options_.activity_window < now;
                  });
    active_weight_ = 0;
    for (auto const& [name, row] : active_)
    {
        active_weight_ += queue_.weight(name);
    }
}

duration admission::predicted_wait(admission_request const& request) const
{
    double const rate = tokens_per_ms();
    if (rate <= 0)
    {
        return duration::zero();
    }
    double const ahead = queue_.tokens_ahead(request.organisation,
                                             request.priority, request.tokens);
    double const wait_ms = std::min(
        ahead / rate, static_cast<double>(to_millis(options_.max_retry_after)));
    return duration(static_cast<std::int64_t>(wait_ms * 1'000));
}

duration admission::allowed_wait(time_point now,
                                 admission_request const& request) const
{
    duration const by_class =
        options_.classes[level_of(request.priority)].max_wait;
    if (!request.deadline)
    {
        return by_class;
    }
    return std::min(by_class, *request.deadline - now);
}

refusal admission::refuse(request_id const& id, std::string reason,
                          duration wait) const
{
    double const spread = 1 + spread_of(id) / 2;
    auto const spaced = duration(static_cast<std::int64_t>(
        spread *
        static_cast<double>(std::max(wait, options_.min_retry_after).count())));
    int const status =
        reason == "overloaded" ? too_many_requests : service_unavailable;
    return {status, verdict::not_run, std::move(reason),
            std::min(spaced, options_.max_retry_after)};
}

void admission::start(time_point now, queued_request const& request)
{
    running_row const row{request.organisation, request.priority,
                          request.tokens, now, false};
    if (running_.emplace(request.id, row).second)
    {
        ++active_[request.organisation].in_flight;
        running_non_interactive_ +=
            request.priority == request_class::interactive ? 0 : 1;
    }
}

void admission::update_means(running_row const& ended, duration ran,
                             std::uint32_t tokens)
{
    double const ms = std::chrono::duration<double, std::milli>(ran).count();
    auto const learn = [](double& mean, double sample)
    {
        mean += (mean == 0 ? 1 : mean_gain) * (sample - mean);
    };
    learn(mean_run_ms_, ms);
    learn(mean_tokens_, tokens);
    if (ended.priority == request_class::interactive)
    {
        learn(interactive_run_ms_, ms);
    }
}

void admission::update_interactive_rate(time_point now, request_class priority)
{
    if (now - window_start_ >= rate_window)
    {
        double const ms =
            std::chrono::duration<double, std::milli>(now - window_start_)
                .count();
        interactive_rate_ +=
            rate_gain * (window_offers_ / ms - interactive_rate_);
        window_start_ = now;
        window_offers_ = 0;
    }
    window_offers_ += priority == request_class::interactive ? 1 : 0;
}

double admission::interactive_reserve() const
{
    // Mean number in flight (Little's law) plus one standard deviation of a
    // Poisson distribution.
    double const mean = interactive_rate_ * interactive_run_ms_;
    return std::min(mean + std::sqrt(mean),
                    limit() * options_.max_interactive_reserve);
}

double admission::tokens_per_ms() const
{
    return mean_run_ms_ == 0 ? 0 : limit() * mean_tokens_ / mean_run_ms_;
}

} // namespace amarantharch
