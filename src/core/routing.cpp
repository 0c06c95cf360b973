#include "core/routing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace amarantharch
{

namespace
{

// Extra cost for each millisecond beyond the latency target of the class.
constexpr double lateness_factor = 3;

// Output tokens assumed per request while no attempt has ended yet.
constexpr double default_output_tokens = 128;

// Error of the estimate of an upstream's load, in requests: with a fresh
// report, and in addition for each second of its age.
constexpr double load_error = 1.5;
constexpr double load_error_per_second = 1.5;

// Weight of the newest sample in the moving averages.
constexpr double mean_gain = 0.05;

// Bound of fleet_ratio_.
constexpr double max_fleet_ratio = 64;

// Changes kept for an upstream between two of its reports.
constexpr std::size_t max_recent = 4'096;

// Where work times are stated: the cost of a millisecond before the target,
// against lateness_factor after it.
constexpr double early_factor = 0.2;

// Error of a predicted time, as a part of it, and the least error.
constexpr double time_error = 0.3;
constexpr double least_time_error_ms = 10;

// Cost of a millisecond of an idle upstream of usual speed, and how much it
// grows with its load in requests per slot.
constexpr double time_price = 0.5;
constexpr double time_price_per_load = 4;

// Power of the speed that the price grows with. A lower one leaves slow
// upstreams nearly unused, a higher one the fast ones (uneven_upstreams_test).
constexpr double scarcity = 1.5;

// Cost of a millisecond of prefill at the usual speed, beside the time itself:
// a prompt part that another upstream has cached would be computed again.
constexpr double recompute_price = 0.8;

// Part of the error of the prediction within which costs count as equal.
constexpr double tie_width = 0.2;

// One in so many requests goes to any candidate that serves it well in time.
constexpr std::uint64_t probe_interval = 24;

// An attempt tells the rate of the prefill if it has at least so many uncached
// tokens, and its upstream at most so many requests per slot.
constexpr std::uint32_t telling_tokens = 1'000;
constexpr double light_load = 0.5;
// Time to the first event from which it tells the speed of the upstream; a
// shorter one is mostly that of the network.
constexpr double telling_ms = 40;
// Events from which the time between them does.
constexpr std::uint64_t telling_events = 8;

// A report of memory is used for so long.
constexpr duration memory_lifetime = std::chrono::seconds(10);

double millis_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

// A smooth max(0, x), which is the expectation under an error of that size:
// softplus. Above 30 errors it equals its argument, and exp() might overflow.
double soft_excess(double x, double error)
{
    double const scaled = x / error;
    return scaled > 30 ? scaled * error : error * std::log1p(std::exp(scaled));
}

class_routing const& class_of(routing_options const& options,
                              request_features const& request)
{
    return options.classes[static_cast<std::size_t>(request.priority)];
}

} // namespace

std::array<router::strategy_row, 4> const router::strategies{{
    {routing_strategy::predicted, &router::choose_predicted},
    {routing_strategy::round_robin, &router::choose_round_robin},
    {routing_strategy::least_in_flight, &router::choose_least_in_flight},
    {routing_strategy::power_of_two, &router::choose_power_of_two},
}};

router::router(routing_options options)
    : options_(options), choose_with_(&router::choose_predicted),
      random_(options_.seed), cache_(options_.cache_budget_blocks)
{
    for (strategy_row const& row : strategies)
    {
        if (row.strategy == options_.strategy)
        {
            choose_with_ = row.choose;
        }
    }
}

std::optional<choice>
router::choose(time_point now, request_features const& request,
               upstream_table const& table,
               std::vector<upstream_index> const& exclusions)
{
    collect_candidates(now, request, table, exclusions);
    pass_over_full_memories(now, request, table);
    if (candidates_.empty())
    {
        return std::nullopt;
    }
    return (this->*choose_with_)(now, request, table);
}

void router::collect_candidates(time_point now, request_features const& request,
                                upstream_table const& table,
                                std::vector<upstream_index> const& exclusions)
{
    candidates_.clear();
    auto const& ring = table.ring(request.service);
    auto const usable = [&](upstream_index index)
    {
        upstream_row const& row = table.row(index);
        return row.takes_work(now) &&
               (request.version.empty() ||
                row.profile.version == request.version) &&
               (request.avoided_version.empty() ||
                row.profile.version != request.avoided_version) &&
               std::find(exclusions.begin(), exclusions.end(), index) ==
                   exclusions.end();
    };
    auto const collected = [&](upstream_index index)
    {
        return std::any_of(candidates_.begin(), candidates_.end(),
                           [index](candidate const& c)
                           { return c.upstream == index; });
    };
    // Walks the ring once, from the first point at or after `hash`, and adds
    // usable upstreams until there are `enough` candidates.
    auto const walk = [&](std::uint64_t hash, std::size_t enough, bool home)
    {
        auto const first = std::partition_point(ring.begin(), ring.end(),
                                                [hash](auto const& point)
                                                { return point.hash < hash; });
        auto const start = static_cast<std::size_t>(first - ring.begin());
        for (std::size_t i = 0; i < ring.size(); ++i)
        {
            if (candidates_.size() >= enough)
            {
                return;
            }
            upstream_index const index =
                ring[(start + i) % ring.size()].upstream;
            if (usable(index) && !collected(index))
            {
                candidates_.push_back({index, home});
            }
        }
    };
    if (!request.prefix.empty())
    {
        walk(request.affinity_key != 0 ? request.affinity_key
                                       : request.prefix.front(),
             options_.home_candidates, true);
    }
    // The golden ratio multiplier spreads small seeds over the ring.
    walk(options_.seed * 0x9E3779B97F4A7C15u, options_.max_candidates, false);
}

std::optional<choice> router::choose_predicted(time_point now,
                                               request_features const& request,
                                               upstream_table const& table)
{
    class_routing const& bounds = class_of(options_, request);
    update_fleet_ratio(table);
    if (service_pace const* const pace = pace_of(request.service))
    {
        return choose_by_pace(now, request, table, *pace);
    }
    double const bound = affinity_bound(table);
    std::optional<choice> best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        candidate const& c = candidates_[i];
        upstream_row const& row = table.row(c.upstream);
        bool const affinity = load_of(c.upstream, row) <= bound;
        choice const option =
            predict(now, request, table, c.upstream, affinity);
        double cost = option.predicted_ms;
        cost += row.profile.price_per_hour * bounds.ms_per_price;
        cost += lateness_factor *
                std::max(0.0, cost - bounds.first_token_target_ms);
        if (affinity && c.home && option.predicted_cached_tokens == 0)
        {
            // Homes nearer on the ring are preferred, so that requests with the
            // same prefix meet at the same upstream.
            double const rank = static_cast<double>(i + 1);
            cost -= options_.home_discount / rank * request.prompt_tokens /
                    row.profile.prefill_tokens_per_ms;
        }
        if (cost < best_cost)
        {
            best_cost = cost;
            best = option;
        }
    }
    return best;
}

// The load up to which an upstream's cache counts.
double router::affinity_bound(upstream_table const& table) const
{
    double total_load = 0;
    for (candidate const& c : candidates_)
    {
        total_load += load_of(c.upstream, table.row(c.upstream));
    }
    return options_.affinity_load_bound *
               (total_load / static_cast<double>(candidates_.size())) +
           0.5;
}

std::optional<choice> router::choose_by_pace(time_point now,
                                             request_features const& request,
                                             upstream_table const& table,
                                             service_pace const& pace)
{
    class_routing const& bounds = class_of(options_, request);
    double const target =
        request.latency_target > duration::zero()
            ? millis_between(time_point(), time_point(request.latency_target))
            : bounds.first_token_target_ms;
    double const bound = affinity_bound(table);
    prospects_.clear();
    costs_.clear();
    double least_cost = std::numeric_limits<double>::infinity();
    double width = 0;
    for (std::size_t i = 0; i < candidates_.size(); ++i)
    {
        candidate const& c = candidates_[i];
        upstream_row const& row = table.row(c.upstream);
        bool const affinity = load_of(c.upstream, row) <= bound;
        prospect const found =
            prospect_at(now, request, table, c.upstream, affinity, pace);
        double const ms = found.option.predicted_ms;
        double const error = std::max(time_error * ms, least_time_error_ms);
        // The fast ones are scarce: a millisecond there does more work.
        double const lasting = speed_.lasting(now, c.upstream);
        double const price = (time_price + time_price_per_load * found.load) /
                             std::pow(lasting, scarcity);
        double cost = early_factor * ms +
                      lateness_factor * soft_excess(ms - target, error) +
                      price * found.own_ms +
                      recompute_price * found.prefill_ms +
                      row.profile.price_per_hour * bounds.ms_per_price;
        if (affinity && c.home && found.option.predicted_cached_tokens == 0)
        {
            double const rank = static_cast<double>(i + 1);
            cost -= options_.home_discount / rank * (1 + recompute_price) *
                    request.prompt_tokens / pace.prefill_tokens_per_ms();
        }
        prospects_.push_back(found);
        costs_.push_back(cost);
        if (cost < least_cost)
        {
            least_cost = cost;
            width = tie_width * early_factor * error;
        }
    }
    if (random_() % probe_interval == 0)
    {
        // A slow upstream gets some work, so that its recovery is noticed.
        prospect const& probed = prospects_[random_() % prospects_.size()];
        if (probed.option.predicted_ms <= target / 2)
        {
            return probed.option;
        }
    }
    std::size_t drawn = 0;
    std::size_t ties = 0;
    for (std::size_t i = 0; i < costs_.size(); ++i)
    {
        // Draws one of those within the width, each with the same chance.
        if (costs_[i] <= least_cost + width && random_() % ++ties == 0)
        {
            drawn = i;
        }
    }
    return prospects_[drawn].option;
}

// What the request would find at an upstream. The prefill of other VMs'
// requests is not reported: of each waiting request it is that of the mean
// prompt, of a running one the part that Little's law gives.
router::prospect router::prospect_at(time_point now,
                                     request_features const& request,
                                     upstream_table const& table,
                                     upstream_index upstream, bool affinity,
                                     service_pace const& pace) const
{
    upstream_row const& row = table.row(upstream);
    double const factor = speed_.momentary(now, upstream);
    double const usual_rate = pace.prefill_tokens_per_ms();
    double const slots = std::max(1u, row.profile.slots);
    double const requests = requests_at(upstream, row);
    double const prompt_ms = pace.prompt_tokens() / usual_rate;
    double const in_prefill =
        std::min(requests, slots) *
        std::min(prompt_ms / std::max(pace.hold_ms(), 1.0), 1.0) / 2;
    double const waiting = std::max(requests - slots, 0.0);
    double const others_tokens = (in_prefill + waiting) * pace.prompt_tokens();
    double const own_waiting =
        upstream < sent_.size()
            ? static_cast<double>(sent_[upstream].awaiting_tokens)
            : 0;
    double const cached = affinity ? cached_tokens(request, upstream) : 0;
    double const uncached = request.prompt_tokens - cached;
    prospect result;
    result.option.upstream = upstream;
    result.option.predicted_cached_tokens = static_cast<std::uint32_t>(cached);
    result.usual_ms =
        (std::max(others_tokens, own_waiting) + uncached) / usual_rate +
        requests_before(now, upstream, row) * pace.hold_ms() / slots;
    if (row.profile.kind == upstream_kind::plain)
    {
        result.usual_ms += pace.hold_ms();
    }
    result.option.predicted_ms = result.usual_ms * factor;
    result.prefill_ms = uncached / usual_rate;
    result.own_ms = row.profile.kind == upstream_kind::plain
                        ? pace.hold_ms() * factor / slots
                        : uncached / usual_rate * factor;
    result.load = requests / slots;
    return result;
}

double router::cached_tokens(request_features const& request,
                             upstream_index upstream) const
{
    double const cached =
        static_cast<double>(cache_.predicted_blocks(upstream, request.prefix)) *
        tokens_per_block * cache_.confidence(upstream);
    return std::min(cached, static_cast<double>(request.prompt_tokens));
}

// Removes the candidates whose memory does not hold the request, unless that
// holds for all of them. Of what was sent since the report, only this VM's part
// counts: times the fleet's factor, one large prompt of this VM would fill an
// engine for the seconds until the next report.
void router::pass_over_full_memories(time_point now,
                                     request_features const& request,
                                     upstream_table const& table)
{
    double const need =
        static_cast<double>(request.prompt_tokens) + request.expected_output;
    auto const is_full = [&](candidate const& c)
    {
        auto const& memory = table.row(c.upstream).memory;
        if (!memory || now - memory->measured_at > memory_lifetime)
        {
            return false;
        }
        double const since =
            c.upstream < sent_.size()
                ? static_cast<double>(sent_[c.upstream].memory_since_report)
                : 0;
        return static_cast<double>(memory->used) + since + need >
               static_cast<double>(memory->total);
    };
    if (std::ranges::any_of(candidates_, is_full) &&
        !std::ranges::all_of(candidates_, is_full))
    {
        std::erase_if(candidates_, is_full);
    }
}

std::optional<choice>
router::choose_round_robin(time_point now, request_features const& request,
                           upstream_table const& table)
{
    candidate const& c = candidates_[turns_ % candidates_.size()];
    ++turns_;
    return predict(now, request, table, c.upstream, true);
}

std::optional<choice>
router::choose_least_in_flight(time_point now, request_features const& request,
                               upstream_table const& table)
{
    // The search starts at another candidate each time, so ties are spread.
    std::size_t const start = turns_++ % candidates_.size();
    upstream_index best = candidates_[start].upstream;
    for (std::size_t i = 1; i < candidates_.size(); ++i)
    {
        upstream_index const other =
            candidates_[(start + i) % candidates_.size()].upstream;
        if (table.row(other).in_flight < table.row(best).in_flight)
        {
            best = other;
        }
    }
    return predict(now, request, table, best, true);
}

std::optional<choice>
router::choose_power_of_two(time_point now, request_features const& request,
                            upstream_table const& table)
{
    upstream_index const a =
        candidates_[random_() % candidates_.size()].upstream;
    upstream_index const b =
        candidates_[random_() % candidates_.size()].upstream;
    bool const first = table.row(a).in_flight <= table.row(b).in_flight;
    return predict(now, request, table, first ? a : b, true);
}

choice router::predict(time_point now, request_features const& request,
                       upstream_table const& table, upstream_index upstream,
                       bool affinity) const
{
    upstream_row const& row = table.row(upstream);
    double const cached = affinity ? cached_tokens(request, upstream) : 0;
    double const work =
        queued_tokens(now, upstream, row) + request.prompt_tokens - cached;
    choice result;
    result.upstream = upstream;
    result.predicted_cached_tokens = static_cast<std::uint32_t>(cached);
    result.predicted_ms = work / row.profile.prefill_tokens_per_ms +
                          slot_wait_ms(now, upstream, row);
    return result;
}

double router::queued_tokens(time_point now, upstream_index upstream,
                             upstream_row const& row) const
{
    double const rate = row.profile.prefill_tokens_per_ms;
    sent_work const none;
    sent_work const& own = upstream < sent_.size() ? sent_[upstream] : none;
    double const own_waiting = static_cast<double>(own.awaiting_tokens);
    if (!row.report)
    {
        return own_waiting;
    }
    double const age = millis_between(row.report->measured_at, now);
    double const known =
        static_cast<double>(row.report->queued_prefill_tokens) +
        static_cast<double>(own.tokens_since_report) * fleet_factor();
    return std::max(own_waiting, known - age * rate);
}

double router::requests_at(upstream_index upstream,
                           upstream_row const& row) const
{
    double const own = row.in_flight;
    if (!row.report)
    {
        return own;
    }
    int const since =
        upstream < sent_.size() ? sent_[upstream].in_flight_since_report : 0;
    double const reported =
        static_cast<double>(row.report->running) + row.report->waiting;
    return std::max(own, reported + since * fleet_factor());
}

double router::load_of(upstream_index upstream, upstream_row const& row) const
{
    return requests_at(upstream, row) / std::max(1u, row.profile.slots);
}

double router::slot_wait_ms(time_point now, upstream_index upstream,
                            upstream_row const& row) const
{
    double const slots = std::max(1u, row.profile.slots);
    double const known_hold =
        upstream < sent_.size() ? sent_[upstream].mean_hold_ms : 0;
    double const hold = known_hold > 0 ? known_hold
                                       : default_output_tokens *
                                             row.profile.ms_per_output_token;
    return requests_before(now, upstream, row) * hold / slots;
}

// Expected number of requests that must end before another one gets a slot.
double router::requests_before(time_point now, upstream_index upstream,
                               upstream_row const& row) const
{
    double const slots = std::max(1u, row.profile.slots);
    double const age_seconds =
        row.report ? millis_between(row.report->measured_at, now) / 1'000 : 0;
    double const error = load_error + load_error_per_second * age_seconds;
    return soft_excess(requests_at(upstream, row) + 1 - slots, error);
}

double router::fleet_factor() const
{
    return 1 + (fleet_ratio_ - 1) * options_.herd_share;
}

void router::update_fleet_ratio(upstream_table const& table)
{
    double own = 0;
    double all = 0;
    for (candidate const& c : candidates_)
    {
        upstream_row const& row = table.row(c.upstream);
        own += row.in_flight;
        all += row.report ? static_cast<double>(row.report->running) +
                                row.report->waiting
                          : 0;
    }
    if (own > 0)
    {
        double const sample = std::clamp(all / own, 1.0, max_fleet_ratio);
        fleet_ratio_ += mean_gain * (sample - fleet_ratio_);
    }
}

void router::on_sent(time_point now, attempt_id attempt,
                     request_features const& request, choice const& picked,
                     upstream_table& table)
{
    upstream_row& row = table.row(picked.upstream);
    std::uint32_t const uncached =
        request.prompt_tokens -
        std::min(request.prompt_tokens, picked.predicted_cached_tokens);
    auto const [place, added] = attempts_.try_emplace(attempt);
    if (!added)
    {
        return;
    }
    attempt_row& sent = place->second;
    sent.upstream = picked.upstream;
    sent.sent_at = now;
    sent.uncached_tokens = uncached;
    sent.predicted_cached_tokens = static_cast<std::uint32_t>(
        cache_.predicted_blocks(picked.upstream, request.prefix) *
        tokens_per_block);
    ++row.in_flight;
    table.use_turns(now, picked.upstream);
    sent_work& own = work_at(picked.upstream);
    own.awaiting_tokens += uncached;
    add_change(own, {now, uncached, 1});
    // The memory that it takes is counted where engines report theirs.
    if (row.memory)
    {
        std::uint32_t const memory =
            request.prompt_tokens + request.expected_output;
        own.recent_memory.push_back({now, memory, 1});
        own.memory_since_report += memory;
        if (own.recent_memory.size() > max_recent)
        {
            own.memory_since_report -= own.recent_memory.front().tokens;
            own.recent_memory.pop_front();
        }
    }
    auto const pace = paces_.find(request.service);
    if (pace != paces_.end())
    {
        pace->second.on_prompt(uncached);
        sent.usual_ms =
            picked.predicted_ms / speed_.momentary(now, picked.upstream);
        // Other VMs may have brought the shared part of a prompt to the
        // engine's cache; only what follows a part known to be cached is
        // certainly not there.
        sent.knows_uncached =
            sent.predicted_cached_tokens > 0 || request.affinity_key == 0;
        sent.lightly_loaded = load_of(picked.upstream, row) <= light_load;
    }
    cache_.on_sent(picked.upstream, request.prefix);
}

void router::on_first_event(time_point now, attempt_id attempt,
                            upstream_table const& table)
{
    auto const known = attempts_.find(attempt);
    if (known == attempts_.end() || known->second.first_event_at)
    {
        return;
    }
    attempt_row& sent = known->second;
    sent.first_event_at = now;
    auto const pace = paces_.find(table.row(sent.upstream).profile.service);
    if (pace == paces_.end())
    {
        return;
    }
    double const ms = millis_between(sent.sent_at, now);
    bool const tells_rate = sent.knows_uncached && sent.lightly_loaded &&
                            sent.uncached_tokens >= telling_tokens;
    if (tells_rate)
    {
        pace->second.on_first_event(sent.uncached_tokens, ms,
                                    speed_.momentary(now, sent.upstream));
    }
    if (tells_rate && sent.usual_ms >= telling_ms)
    {
        speed_.on_observed(now, sent.upstream, ms / sent.usual_ms);
    }
}

void router::on_last_event(time_point now, attempt_id attempt,
                           std::uint64_t events, upstream_table const& table)
{
    auto const known = attempts_.find(attempt);
    if (known == attempts_.end() || !known->second.first_event_at ||
        events < telling_events)
    {
        return;
    }
    attempt_row const& sent = known->second;
    auto const pace = paces_.find(table.row(sent.upstream).profile.service);
    if (pace == paces_.end())
    {
        return;
    }
    double const gap = millis_between(*sent.first_event_at, now) /
                       static_cast<double>(events - 1);
    speed_.on_observed(now, sent.upstream, pace->second.gap_factor(gap));
    pace->second.on_gap(gap, speed_.lasting(now, sent.upstream));
}

service_pace const* router::pace_of(std::string const& service) const
{
    auto const known = paces_.find(service);
    return known == paces_.end() ? nullptr : &known->second;
}

router::speed_range router::speeds(time_point now,
                                   upstream_table const& table) const
{
    std::vector<double> factors;
    for (upstream_index i = 0; !paces_.empty() && i < table.size(); ++i)
    {
        upstream_row const& row = table.row(i);
        if (row.present && pace_of(row.profile.service) != nullptr)
        {
            factors.push_back(speed_.lasting(now, i));
        }
    }
    if (factors.empty())
    {
        return {};
    }
    std::ranges::sort(factors);
    return {factors.front(), factors[factors.size() / 2], factors.back()};
}

std::vector<router::speed_change>
router::take_speed_changes(time_point now, upstream_table const& table)
{
    std::vector<speed_change> changes;
    for (upstream_index i = 0; !paces_.empty() && i < table.size(); ++i)
    {
        if (auto const factors = speed_.take_change(now, i))
        {
            changes.push_back({i, *factors});
        }
    }
    return changes;
}

void router::on_first_token(attempt_id attempt,
                            std::optional<std::uint32_t> cached_tokens)
{
    auto const known = attempts_.find(attempt);
    if (known == attempts_.end() || known->second.first_token_seen)
    {
        return;
    }
    attempt_row& row = known->second;
    row.first_token_seen = true;
    work_at(row.upstream).awaiting_tokens -= row.uncached_tokens;
    if (cached_tokens)
    {
        cache_.on_reported(row.upstream,
                           row.predicted_cached_tokens / tokens_per_block,
                           *cached_tokens / tokens_per_block);
    }
}

void router::on_end(time_point now, attempt_id attempt, upstream_table& table)
{
    auto const known = attempts_.find(attempt);
    if (known == attempts_.end())
    {
        return;
    }
    on_first_token(attempt, std::nullopt);
    attempt_row const& ended = known->second;
    --table.row(ended.upstream).in_flight;
    sent_work& own = work_at(ended.upstream);
    add_change(own, {now, 0, -1});
    double const held = millis_between(ended.sent_at, now);
    double const gain = own.mean_hold_ms == 0 ? 1 : mean_gain;
    own.mean_hold_ms += gain * (held - own.mean_hold_ms);
    auto const pace = paces_.find(table.row(ended.upstream).profile.service);
    if (pace != paces_.end())
    {
        pace->second.on_hold(held, speed_.lasting(now, ended.upstream));
    }
    attempts_.erase(known);
}

void router::add_change(sent_work& own, recent_change const& change)
{
    own.recent.push_back(change);
    own.tokens_since_report += change.tokens;
    own.in_flight_since_report += change.in_flight;
    if (own.recent.size() > max_recent)
    {
        drop_oldest(own);
    }
}

void router::on_report(upstream_index upstream, upstream_report const& report,
                       upstream_table& table)
{
    upstream_row& row = table.row(upstream);
    if (report.work && options_.uses_work_times)
    {
        speed_.on_stated(upstream, *report.work);
        paces_.try_emplace(row.profile.service,
                           row.profile.prefill_tokens_per_ms);
    }
    bool const has_newer_memory =
        report.memory && options_.uses_work_times &&
        (!row.memory || row.memory->measured_at < report.memory->measured_at);
    if (has_newer_memory)
    {
        row.memory = report.memory;
        sent_work& own = work_at(upstream);
        while (!own.recent_memory.empty() &&
               own.recent_memory.front().at <= report.memory->measured_at)
        {
            own.memory_since_report -= own.recent_memory.front().tokens;
            own.recent_memory.pop_front();
        }
    }
    if (row.report && row.report->measured_at >= report.measured_at)
    {
        return;
    }
    row.report = report;
    sent_work& own = work_at(upstream);
    while (!own.recent.empty() && own.recent.front().at <= report.measured_at)
    {
        drop_oldest(own);
    }
}

void router::drop_oldest(sent_work& own)
{
    own.tokens_since_report -= own.recent.front().tokens;
    own.in_flight_since_report -= own.recent.front().in_flight;
    own.recent.pop_front();
}

void router::on_cache_events(upstream_index upstream,
                             cache_events const& events)
{
    cache_.on_events(upstream, events);
}

void router::on_upstream_reset(upstream_index upstream)
{
    cache_.forget(upstream);
    sent_work& own = work_at(upstream);
    own.recent.clear();
    own.tokens_since_report = 0;
    own.in_flight_since_report = 0;
    own.recent_memory.clear();
    own.memory_since_report = 0;
    speed_.reset(upstream);
}

router::sent_work& router::work_at(upstream_index upstream)
{
    if (upstream >= sent_.size())
    {
        sent_.resize(upstream + 1);
    }
    return sent_[upstream];
}

} // namespace amarantharch
