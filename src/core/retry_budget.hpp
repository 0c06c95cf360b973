// Decides whether a failed attempt may be repeated or a slow one hedged.
//
// Permission comes from the verdict: an attempt that was not run may always be
// repeated, any other only if the request is idempotent. On top of it a budget
// per service bounds the load that repeats add: each success deposits `ratio`,
// each repeat withdraws one. Started with `initial` and capped at `cap`, the
// repeats of a VM are at most initial + ratio * successes, hence the
// amplification of any load is at most 1 + ratio + initial / requests, on every
// VM and so over all of them, without talk between VMs. A service that only
// fails earns no repeats at all.
//
// Work moved off an upstream that announced its leaving is not refused (it was
// accepted), but withdraws as well and may overdraw; repeats of other causes
// then wait until successes have paid it back.
// An attempt that made no connection puts no load on an upstream, so repeating
// it elsewhere is bounded by a number of attempts only; thus the loss of a few
// upstreams does not use up the budget of a service that is seldom called.
// Cost: O(1), a few dozen bytes a service.
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
    std::uint32_t max_attempts = 3;         // of one request
    std::uint32_t max_connect_attempts = 8; // where none connected
    duration min_attempt = std::chrono::milliseconds(50); // time worth a try
    duration backoff = std::chrono::milliseconds(25);     // doubles each time
    // Share of answers that come before a hedge is sent.
    double hedge_quantile = 0.95;
    duration min_hedge_delay = std::chrono::milliseconds(20);
};

enum class retry_cause : std::uint8_t
{
    failed,           // the attempt failed
    upstream_leaving, // announced: accepted work moves
    hedge,            // the attempt is slow
    not_connected,    // no connection was made: no load on any upstream
};

struct retry_question
{
    std::string service;
    request_id id;
    retry_cause cause = retry_cause::failed;
    verdict run = verdict::may_have_run; // of all attempts so far, combined
    bool idempotent = false;
    bool answer_begun = false; // bytes reached the caller
    bool resumable = false;    // the stream can go on at an offset
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

// The deadline to hand on with an attempt: the request's, less the time that
// the answer needs on its way back. Never before `now`.
time_point attempt_deadline(time_point now, time_point deadline,
                            duration way_back);

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // A request of the service succeeded (once for each request).
    void on_success(std::string const& service);

    // Time to the first byte of an attempt, for the hedge delay.
    void on_first_byte(std::string const& service, duration after);

    // Decides and, if allowed, withdraws.
    retry_decision ask(time_point now, retry_question const& what);

    // How long an idempotent interactive request waits for a first byte before
    // it asks to hedge; nothing until enough has been measured.
    std::optional<duration> hedge_delay(std::string const& service) const;

    double balance(std::string const& service) const;

    // Bounds what each service may save up from now on.
    void set_cap(double cap);

private:
    struct service_row
    {
        double balance = 0;
        double quantile_ms = 0; // tracked by stochastic approximation
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
