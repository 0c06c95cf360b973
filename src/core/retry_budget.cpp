#include "core/retry_budget.hpp"

#include <xxhash.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

// Samples before the hedge delay is trusted.
constexpr std::uint32_t min_hedge_samples = 100;

// Step of the quantile estimate, as a share of the estimate.
constexpr double quantile_step = 0.02;

// The delay of the retry after `attempts`: doubled each time, spread from half
// to the whole by the request's id.
duration backoff_after(duration first, std::uint32_t attempts,
                       request_id const& id)
{
    std::uint32_t const doublings = std::min(attempts - 1, 10u);
    double const whole = static_cast<double>(first.count() << doublings);
    std::uint64_t const hash =
        XXH3_64bits_withSeed(id.data(), id.size(), attempts);
    double const spread = static_cast<double>(hash % 1'024) / 1'024;
    return duration(static_cast<std::int64_t>(whole * (0.5 + spread / 2)));
}

bool safe_to_repeat(retry_question const& what)
{
    if (what.answer_begun && !what.resumable)
    {
        return false;
    }
    return what.run == verdict::not_run || what.idempotent;
}

} // namespace

time_point attempt_deadline(time_point now, time_point deadline,
                            duration way_back)
{
    return std::max(now, deadline - way_back);
}

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::on_success(std::string const& service)
{
    service_row& row = row_of(service);
    row.balance = std::min(options_.cap, row.balance + options_.ratio);
}

void retry_budget::on_first_byte(std::string const& service, duration after)
{
    service_row& row = row_of(service);
    double const ms = std::chrono::duration<double, std::milli>(after).count();
    ++row.samples;
    if (row.samples == 1)
    {
        row.quantile_ms = ms;
        return;
    }
    // Rises by q and falls by 1 - q steps: at rest where a share q lies below.
    double const step = std::max(row.quantile_ms, 1.0) * quantile_step;
    row.quantile_ms += ms > row.quantile_ms
                           ? step * options_.hedge_quantile
                           : -step * (1 - options_.hedge_quantile);
}

retry_decision retry_budget::ask(time_point now, retry_question const& what)
{
    service_row& row = row_of(what.service);
    retry_decision decision;
    decision.answer = check(now, what, row);
    if (decision.answer != retry_answer::allowed)
    {
        return decision;
    }
    if (what.cause != retry_cause::not_connected)
    {
        row.balance -= 1;
    }
    if (what.cause == retry_cause::failed)
    {
        duration const wait =
            backoff_after(options_.backoff, what.attempts, what.id);
        decision.delay =
            std::min(wait, what.deadline - now - options_.min_attempt);
    }
    return decision;
}

std::optional<duration>
retry_budget::hedge_delay(std::string const& service) const
{
    auto const known = services_.find(service);
    if (known == services_.end() || known->second.samples < min_hedge_samples)
    {
        return std::nullopt;
    }
    auto const delay =
        duration(static_cast<std::int64_t>(known->second.quantile_ms * 1'000));
    return std::max(delay, options_.min_hedge_delay);
}

double retry_budget::balance(std::string const& service) const
{
    auto const known = services_.find(service);
    return known == services_.end() ? options_.initial : known->second.balance;
}

void retry_budget::set_cap(double cap)
{
    options_.cap = cap;
    options_.initial = std::min(options_.initial, cap);
    for (auto& [service, row] : services_)
    {
        row.balance = std::min(row.balance, cap);
    }
}

retry_budget::service_row& retry_budget::row_of(std::string const& service)
{
    auto const [place, added] = services_.try_emplace(service);
    if (added)
    {
        place->second.balance = options_.initial;
    }
    return place->second;
}

retry_answer retry_budget::check(time_point now, retry_question const& what,
                                 service_row const& row) const
{
    if (!safe_to_repeat(what) ||
        (what.cause == retry_cause::hedge && !what.idempotent))
    {
        return retry_answer::not_safe;
    }
    bool const moves = what.cause == retry_cause::upstream_leaving;
    bool const weightless = what.cause == retry_cause::not_connected;
    std::uint32_t const given =
        what.max_attempts > 0 ? what.max_attempts : options_.max_attempts;
    std::uint32_t const most =
        weightless ? std::max(given, options_.max_connect_attempts) : given;
    if (!moves && what.attempts >= most)
    {
        return retry_answer::too_many;
    }
    if (what.deadline - now < options_.min_attempt)
    {
        return retry_answer::past_deadline;
    }
    if (!moves && !weightless && row.balance < 1)
    {
        return retry_answer::budget_exhausted;
    }
    return retry_answer::allowed;
}

} // namespace amarantharch
