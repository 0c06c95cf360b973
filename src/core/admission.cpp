#include "core/admission.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;

// Weight of the newest request in the means.
constexpr double mean_gain = 0.02;

std::size_t level_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

// A number from 0 to 1 that is the same for the same id.
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

admission_result admission::offer(time_point now, admission_request const& what)
{
    admission_result result;
    learn_activity(now, what.organisation);
    // What waits is what may not run (see release()), so nobody is overtaken.
    auto const lowest = lowest_runnable(what.organisation);
    if (lowest && what.priority <= *lowest)
    {
        start(now, {what.id, what.organisation, what.priority, what.tokens,
                    what.bytes, now, now});
        queue_.add_served(what.organisation, what.tokens);
        result.outcome = admission_outcome::run_now;
        return result;
    }
    duration const allowed = allowed_wait(now, what);
    duration const wait = predicted_wait(what);
    if (allowed <= duration::zero() || wait > allowed)
    {
        result.why = refuse(what.id, "overloaded", wait);
        return result;
    }
    auto const given_up =
        queue_.push({what.id, what.organisation, what.priority, what.tokens,
                     what.bytes, now, now + allowed});
    result.outcome = admission_outcome::queued;
    for (queued_request const& lost : given_up)
    {
        refusal why = refuse(lost.id, "queue_full", wait);
        if (lost.id == what.id)
        {
            result.outcome = admission_outcome::refused;
            result.why = std::move(why);
        }
        else
        {
            result.given_up.push_back({lost.id, std::move(why)});
        }
    }
    return result;
}

bool admission::abandon(request_id const& id)
{
    return queue_.remove(id).has_value();
}

void admission::on_first(time_point now, request_id const& id)
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
    running_others_ -= ended.priority == request_class::interactive ? 0 : 1;
    queue_.add_served(ended.organisation,
                      static_cast<double>(tokens) -
                          static_cast<double>(ended.tokens));
    served_[ended.organisation] += tokens;
    measure(now - ended.started, tokens);
}

admission_release admission::release(time_point now)
{
    admission_release result;
    for (queued_request const& late : queue_.expire(now))
    {
        duration const wait = predicted_wait(
            {late.id, late.organisation, late.priority, late.tokens, 0, {}});
        result.refused.push_back({late.id, refuse(late.id, "timeout", wait)});
    }
    auto const lowest = [this](std::string const& organisation)
    {
        return lowest_runnable(organisation);
    };
    while (auto const next = queue_.pop(lowest))
    {
        start(now, *next);
        result.run.push_back(next->id);
    }
    return result;
}

usage_summary admission::usage(std::string vm, std::uint64_t incarnation) const
{
    usage_summary summary;
    summary.vm = std::move(vm);
    summary.incarnation = incarnation;
    for (auto const& [organisation, tokens] : served_)
    {
        summary.served.push_back({organisation, tokens});
    }
    return summary;
}

void admission::merge(usage_summary const& peer)
{
    auto const [place, first_heard] = peers_.try_emplace(peer.vm);
    peer_row& known = place->second;
    if (!first_heard && peer.incarnation < known.incarnation)
    {
        return;
    }
    if (peer.incarnation > known.incarnation)
    {
        known.served.clear();
        known.incarnation = peer.incarnation;
    }
    for (organisation_usage const& usage : peer.served)
    {
        std::uint64_t& counted = known.served[usage.organisation];
        // What a VM served before it was first heard is history, not lead.
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
    peers_.erase(vm);
}

bool admission::under_share(std::string const& organisation) const
{
    auto const known = active_.find(organisation);
    std::uint32_t const own =
        known == active_.end() ? 0 : known->second.in_flight;
    double const share = queue_.weight(organisation) /
                         std::max(active_weight_, queue_.weight(organisation));
    return own < limit() * share;
}

std::optional<request_class>
admission::lowest_runnable(std::string const& organisation) const
{
    double const open = under_share(organisation)
                            ? limit()
                            : limit() * (1 - options_.fair_headroom);
    if (static_cast<double>(in_flight()) >= std::max(1.0, open))
    {
        return std::nullopt;
    }
    double const others = open * (1 - options_.interactive_reserve);
    return running_others_ < std::max(1.0, others) ? request_class::batch
                                                   : request_class::interactive;
}

void admission::learn_activity(time_point now, std::string const& organisation)
{
    active_[organisation].last_offer = now;
    active_weight_ = 0;
    std::erase_if(active_,
                  [&](auto const& item)
                  {
                      organisation_row const& row = item.second;
                      return row.in_flight == 0 &&
                             row.last_offer + options_.activity_window < now;
                  });
    for (auto const& [name, row] : active_)
    {
        active_weight_ += queue_.weight(name);
    }
}

duration admission::predicted_wait(admission_request const& what) const
{
    double const rate = tokens_per_ms();
    if (rate <= 0)
    {
        return duration::zero();
    }
    double const ahead =
        queue_.tokens_ahead(what.organisation, what.priority, what.tokens);
    double const wait_ms = std::min(
        ahead / rate, static_cast<double>(to_millis(options_.max_retry_after)));
    return duration(static_cast<std::int64_t>(wait_ms * 1'000));
}

duration admission::allowed_wait(time_point now,
                                 admission_request const& what) const
{
    duration const by_class =
        options_.classes[level_of(what.priority)].max_wait;
    if (!what.deadline)
    {
        return by_class;
    }
    return std::min(by_class, *what.deadline - now);
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

void admission::start(time_point now, queued_request const& what)
{
    running_row const row{what.organisation, what.priority, what.tokens, now,
                          false};
    if (running_.emplace(what.id, row).second)
    {
        ++active_[what.organisation].in_flight;
        running_others_ += what.priority == request_class::interactive ? 0 : 1;
    }
}

void admission::measure(duration ran, std::uint32_t tokens)
{
    double const ms = std::chrono::duration<double, std::milli>(ran).count();
    double const gain = mean_run_ms_ == 0 ? 1 : mean_gain;
    mean_run_ms_ += gain * (ms - mean_run_ms_);
    mean_tokens_ += gain * (tokens - mean_tokens_);
}

double admission::tokens_per_ms() const
{
    return mean_run_ms_ == 0 ? 0 : limit() * mean_tokens_ / mean_run_ms_;
}

} // namespace amarantharch
