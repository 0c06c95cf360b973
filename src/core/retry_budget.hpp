// Decides whether a failed attempt may be retried or a slow one hedged.
//
// Safety depends on the verdict: an attempt that was not run may always be
// retried, any other only if the request is idempotent. In addition, a token
// bucket per service bounds the load that retries add: each success deposits
// `ratio`, each retry withdraws one. The balance starts at `initial` and is
// capped at `cap`, so a VM makes at most initial + ratio * successes retries.
// The load is therefore amplified by at most 1 + ratio + initial / requests on
// each VM, and so in the whole fleet, without coordination between VMs. A
// service whose requests all fail earns no retries.
//
// A request that moves off an upstream that announced its shutdown is never
// refused, because it was already admitted. It withdraws too, and may overdraw
// the balance; other retries then wait until successes have restored it.
//
// An attempt that made no connection puts no load on an upstream, so retrying
// it elsewhere is limited only by the number of attempts. The loss of a few
// upstreams thus does not exhaust the budget of a service with little traffic.
//
// Cost: O(1), a few dozen bytes for each service.
#ifndef AMARANTHARCH_CORE_RETRY_BUDGET_HPP
#define AMARANTHARCH_CORE_RETRY_BUDGET_HPP

#include "core/call.hpp"
#include "core/name_table.hpp"
#include "core/time.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace amarantharch
{

struct retry_budget_options
{
    double ratio = 0.15;
    double initial = 2;
    double cap = 50;
    std::uint32_t max_attempts = 3;                       // of one request
    std::uint32_t max_connect_attempts = 8;               // if none connected
    duration min_attempt = std::chrono::milliseconds(50); // least time left
    duration backoff = std::chrono::milliseconds(25);     // doubles each time
    // A hedge is sent once this share of answers would have begun.
    double hedge_quantile = 0.95;
    duration min_hedge_delay = std::chrono::milliseconds(20);
};

enum class retry_cause : std::uint8_t
{
    failed,           // the attempt failed
    upstream_leaving, // announced shutdown: admitted requests move
    hedge,            // the attempt is slow
    not_connected,    // no connection was made, so no load on an upstream
};

struct retry_question
{
    std::string service;
    request_id id;
    retry_cause cause = retry_cause::failed;
    verdict run = verdict::may_have_run; // of all attempts so far, combined
    bool idempotent = false;
    bool answer_begun = false; // bytes were sent to the caller
    bool resumable = false;    // the stream can resume at an offset
    std::uint32_t attempts = 1;
    std::uint32_t max_attempts = 0; // of the request's route; 0: the budget's
    time_point deadline;
};

enum class retry_answer : std::uint8_t
{
    allowed,
    not_safe,      // may have run and is not idempotent, or cannot resume
    too_many,      // max_attempts made
    past_deadline, // too little time left
    budget_exhausted,
};

inline constexpr name_table<retry_answer, 5> retry_answer_names{{
    {retry_answer::allowed, "allowed"},
    {retry_answer::not_safe, "not_safe"},
    {retry_answer::too_many, "too_many"},
    {retry_answer::past_deadline, "past_deadline"},
    {retry_answer::budget_exhausted, "budget_exhausted"},
}};

struct retry_decision
{
    retry_answer answer = retry_answer::not_safe;
    duration delay{}; // if allowed: send after this time
};

// The deadline to send with an attempt: the request's, less the time that the
// answer needs to return. Never before `now`.
time_point attempt_deadline(time_point now, time_point deadline,
                            duration return_time);

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // Call once for each request that succeeded.
    void on_success(std::string const& service);

    // Records an attempt's time to first byte, for the hedge delay.
    void on_first_byte(std::string const& service, duration after);

    // Decides on a retry; withdraws from the budget if it is allowed.
    retry_decision ask(time_point now, retry_question const& what);

    // How long an idempotent interactive request waits for the first byte
    // before it asks to hedge; nothing until there are enough samples.
    std::optional<duration> hedge_delay(std::string const& service) const;

    double balance(std::string const& service) const;

    // Changes the cap on the balance of each service.
    void set_cap(double cap);

private:
    struct service_row
    {
        double balance = 0;
        double quantile_ms = 0; // estimated by stochastic approximation
        std::uint32_t samples = 0;
    };

    service_row& row_of(std::string const& service);
    retry_answer check(time_point now, retry_question const& what,
                       service_row const& row) const;

    retry_budget_options options_;
    std::map<std::string, service_row> services_;
};

} // namespace amarantharch

#endif
