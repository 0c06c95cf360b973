#include "core/retry_budget.hpp"

#include <xxhash.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

// Samples needed before the hedge delay is used.
constexpr std::uint32_t min_hedge_samples = 100;

// Step of the quantile estimate, as a fraction of the estimate.
constexpr double quantile_step = 0.02;

// Exponential backoff before the retry after `attempts`, with jitter: between
// half of the doubled delay and all of it, by a hash of the request id.
duration backoff_after(duration first, std::uint32_t attempts,
                       request_id const& id)
{
    std::uint32_t const exponent = std::min(attempts - 1, 10u);
    double const max_delay = static_cast<double>(first.count() << exponent);
    std::uint64_t const hash =
        XXH3_64bits_withSeed(id.data(), id.size(), attempts);
    double const jitter = static_cast<double>(hash % 1'024) / 1'024;
    return duration(static_cast<std::int64_t>(max_delay * (0.5 + jitter / 2)));
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
                            duration return_time)
{
    return std::max(now, deadline - return_time);
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
    // Rises by q steps and falls by 1 - q, so it converges to the value that a
    // share q of samples lies below.
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
    auto const found = services_.find(service);
    if (found == services_.end() || found->second.samples < min_hedge_samples)
    {
        return std::nullopt;
    }
    auto const delay =
        duration(static_cast<std::int64_t>(found->second.quantile_ms * 1'000));
    return std::max(delay, options_.min_hedge_delay);
}

double retry_budget::balance(std::string const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? options_.initial : found->second.balance;
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
    auto const [entry, added] = services_.try_emplace(service);
    if (added)
    {
        entry->second.balance = options_.initial;
    }
    return entry->second;
}

retry_answer retry_budget::check(time_point now, retry_question const& what,
                                 service_row const& row) const
{
    if (!safe_to_repeat(what) ||
        (what.cause == retry_cause::hedge && !what.idempotent))
    {
        return retry_answer::not_safe;
    }
    bool const upstream_leaves = what.cause == retry_cause::upstream_leaving;
    bool const not_connected = what.cause == retry_cause::not_connected;
    std::uint32_t const configured_max =
        what.max_attempts > 0 ? what.max_attempts : options_.max_attempts;
    std::uint32_t const max_attempts =
        not_connected ? std::max(configured_max, options_.max_connect_attempts)
                      : configured_max;
    if (!upstream_leaves && what.attempts >= max_attempts)
    {
        return retry_answer::too_many;
    }
    if (what.deadline - now < options_.min_attempt)
    {
        return retry_answer::past_deadline;
    }
    if (!upstream_leaves && !not_connected && row.balance < 1)
    {
        return retry_answer::budget_exhausted;
    }
    return retry_answer::allowed;
}

} // namespace amarantharch
