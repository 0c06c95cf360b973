// The part of request_path that sends final answers and removes requests.
#include "core/call_fields.hpp"
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr int bad_gateway = 502;

} // namespace

void request_path::finish(time_point now, row& r)
{
    if (r.caller_waits)
    {
        release_held_answer(r);
        emit_(answer_end{r.request.id});
    }
    add_timeline_entry(
        "request_answered", r.request.id,
        fmt::format("status={} bytes={}", r.outcome.status, r.answer_bytes));
    report_to_ledger(now, r);
    remove(now, r);
}

void request_path::refuse(time_point now, row& r, int status,
                          std::string reason, duration retry_after)
{
    if (r.run == verdict::may_have_run && !r.route.idempotent && r.attempts > 0)
    {
        retry_after = duration::zero(); // a retry would learn no more
    }
    if (r.run != verdict::not_run &&
        options_.api_dialect->promises_not_run(status))
    {
        status = bad_gateway;
        retry_after = duration::zero();
    }
    add_timeline_entry(
        "request_refused", r.request.id,
        fmt::format("verdict={} reason={}", name(r.run), reason));
    if (r.caller_waits)
    {
        emit_(answer_refusal{r.request.id,
                             {status, r.run, std::move(reason), retry_after}});
    }
    // An incomplete answer cannot be replayed to a retry.
    verdict const recorded_verdict =
        r.run == verdict::not_run ? verdict::not_run : verdict::may_have_run;
    r.outcome = run_outcome{recorded_verdict, 0, "", ""};
    report_to_ledger(now, r);
    remove(now, r);
}

// Ends a stream that has begun with an error event, which tells the caller
// where to resume. A refusal is no longer possible then.
void request_path::send_stream_error(row const& r, refusal const& why)
{
    if (!r.token_relay || !r.answer_begun)
    {
        return;
    }
    emit_(answer_piece{
        r.request.id,
        fmt::format("event: error\ndata: {{\"verdict\":\"{}\",\"reason\":"
                    "\"{}\",\"retry_after_ms\":{},\"resume_from\":{}}}\n\n",
                    name(why.run), why.reason, to_millis(why.retry_after),
                    r.token_relay->next_offset())});
}

// Reports the outcome to the ledger, if it granted this row a run.
void request_path::report_to_ledger(time_point now, row& r)
{
    if (!r.ledger_run)
    {
        return;
    }
    run_id const right = *std::exchange(r.ledger_run, std::nullopt);
    ledger_.finish(now, right, std::move(r.outcome));
}

void request_path::remove(time_point now, row& r)
{
    end_wait_for_turn(r);
    end_hold(r);
    if (r.admitted)
    {
        std::uint32_t const tokens = charged_tokens(
            prompt_tokens(r),
            static_cast<std::uint32_t>(r.answer_bytes / bytes_per_token));
        admission_of(r.route.service).on_end(now, r.request.id, tokens);
    }
    if (r.run == verdict::not_run)
    {
        quotas_.refund(r.organisation, r.quota_units);
    }
    body_bytes_ -= memory_of_body(r.request);
    rows_.erase(request_id(r.request.id));
}

// Whether a request runs to completion after its caller has disconnected: its
// outcome must be recorded, or a retry could repeat its effect.
bool request_path::outlives_caller(row const& r) const
{
    bool const effect = !r.route.idempotent && !r.sse_relay && !r.token_relay;
    return r.ledger_run || (!options_.records_requests && effect &&
                            r.current_stage == stage::running);
}

void request_path::handle(time_point now, call_abandoned const& what)
{
    event_time_ = now;
    auto const found = rows_.find(what.request);
    if (found == rows_.end())
    {
        ledger_.abandon(now, what.request);
        return;
    }
    row& r = found->second;
    add_timeline_entry("caller_left", what.request, "");
    r.caller_waits = false;
    if (outlives_caller(r))
    {
        return;
    }
    if (r.current_stage == stage::deciding)
    {
        ledger_.abandon(now, what.request);
    }
    if (r.current_stage == stage::running)
    {
        emit_(cancel_attempt{r.attempt});
        end_attempt(now, r);
    }
    if (!r.admitted)
    {
        admission_of(r.route.service).abandon(what.request);
    }
    remove(now, r);
}

// Ends a request at its deadline, or when the VM stops.
void request_path::expire(time_point now, row& r, int status,
                          std::string reason)
{
    if (r.current_stage == stage::running)
    {
        emit_(cancel_attempt{r.attempt});
        r.run = combine(r.run, verdict::may_have_run);
        end_attempt(now, r);
    }
    if (r.current_stage == stage::deciding)
    {
        ledger_.abandon(now, r.request.id);
    }
    if (!r.admitted)
    {
        admission_of(r.route.service).abandon(r.request.id);
    }
    if (r.held_since)
    {
        ++shed_requests_[r.urgency].expired;
    }
    refuse(now, r, status, std::move(reason), failure_retry_after);
}

} // namespace amarantharch
