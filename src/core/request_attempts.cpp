// The part of request_path that sends requests to upstreams and takes what
// comes back.
#include "core/call_fields.hpp"
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_server_error = 500;
constexpr int bad_gateway = 502;
constexpr duration no_upstream_retry_after = std::chrono::seconds(1);
constexpr std::string_view upstream_error = "upstream_error";
// Time that an answer needs on its way back to the caller.
constexpr duration way_back = std::chrono::milliseconds(5);
// How long an upstream whose address another one holds gets no requests; the
// directory's news of it should come within this time.
constexpr duration moved_upstream_pause = std::chrono::seconds(2);
// How often a request looks again for an upstream that it may run on.
constexpr duration upstream_wait = std::chrono::milliseconds(20);
// Crashes of one upstream seen within this time are one crash; it names the
// crash alike at all VMs, since an upstream does not tell its incarnation.
constexpr duration crash_resolution = std::chrono::milliseconds(500);

// Why an attempt that ended with `reason` is to be repeated.
retry_cause cause_of(verdict run, std::string const& reason)
{
    bool const unconnected =
        run == verdict::not_run &&
        (reason == "connect_failed" || reason == "connect_timeout");
    return unconnected ? retry_cause::not_connected : retry_cause::failed;
}

} // namespace

request_features request_path::features_of(row const& r) const
{
    request_features features;
    features.service = r.route.service;
    features.priority = r.priority;
    if (r.route.kind == upstream_kind::engine)
    {
        features.prefix = r.request.terms.size
                              ? chain_of(r.request.terms.prompt)
                              : hash_prefix(r.request.body);
        features.gather_by =
            shared_end(r.request.terms.prompt, features.prefix);
        features.prompt_tokens = prompt_tokens(r);
        features.expected_output = expected_output(r);
    }
    return features;
}

call request_path::outgoing(time_point now, row const& r) const
{
    attempt_terms terms;
    terms.upstream = upstreams_.row(r.upstream).profile.name;
    terms.organisation = r.organisation;
    terms.priority = r.route.priority;
    terms.urgency = r.urgency;
    terms.time_left = attempt_deadline(now, r.deadline, way_back) - now;
    if (r.relay)
    {
        terms.stream = r.relay->stream();
        terms.next_token = r.relay->next_offset();
    }
    if (r.events)
    {
        terms.last_event = r.events->last_event();
    }
    return options_.spoken->write_attempt(r.request, terms);
}

// Refuses a request that has crashed upstreams, or that may have until all
// VMs' marks are in. True if the row is gone.
bool request_path::held_back(time_point now, row& r)
{
    quarantine_decision const decision = quarantine_.decide(now, r.print);
    r.alone = decision == quarantine_decision::run_alone;
    if (decision == quarantine_decision::refuse)
    {
        refuse(now, r, options_.quarantined_status, "quarantined",
               duration::zero());
        return true;
    }
    if (decision == quarantine_decision::hold)
    {
        refuse(now, r, 503, "crash_suspected",
               options_.quarantined.settle_time);
        return true;
    }
    return false;
}

// Upstreams that the request has failed at, those reserved for others and,
// if it must run alone, those that are in use.
std::vector<upstream_index> request_path::exclusions_for(row const& r) const
{
    std::vector<upstream_index> excluded = r.tried;
    for (auto const& [upstream, request] : reserved_)
    {
        excluded.push_back(upstream);
    }
    for (upstream_index i = 0; r.alone && i < upstreams_.size(); ++i)
    {
        if (upstreams_.row(i).in_flight > 0)
        {
            excluded.push_back(i);
        }
    }
    return excluded;
}

void request_path::wait_for_upstream(time_point now, row& r)
{
    r.at = stage::waiting;
    r.attempt_due = now + upstream_wait;
}

// The upstream for the next attempt, of the version that the request is
// assigned to, or else of the old one.
std::optional<choice> request_path::pick(time_point now, row& r,
                                         request_features& features)
{
    std::vector<upstream_index> const excluded = exclusions_for(r);
    if (r.attempts == 0)
    {
        r.version = moves_.choose(now, r.route.service, r.request.id);
    }
    features.version = r.version.version;
    features.avoided_version = r.version.avoided;
    auto picked = router_.choose(now, features, upstreams_, excluded);
    bool const newer = r.version.arm == version_arm::new_version;
    if (!picked && (newer || !r.version.other.empty()) &&
        !r.version.move.empty())
    {
        features.version = r.version.other;
        features.avoided_version =
            features.version.empty() ? r.version.version : std::string();
        picked = router_.choose(now, features, upstreams_, excluded);
        r.version.move.clear(); // it tells nothing of the new version
    }
    if (picked && r.attempts == 0)
    {
        upstream_row const& upstream = upstreams_.row(picked->upstream);
        double const load = upstream.profile.slots == 0
                                ? 0
                                : static_cast<double>(upstream.in_flight) /
                                      upstream.profile.slots;
        r.version.band =
            load >= high_band_load ? load_band::high : load_band::low;
    }
    return picked;
}

// Evidence for a version move: the outcome of a request's first attempt.
void request_path::note_version(time_point now, row& r, bool answered)
{
    if (r.version.move.empty() || r.attempts != 1)
    {
        return;
    }
    answered
        ? moves_.answered(now, r.route.name, r.version, now - r.attempt_started)
        : moves_.failed(r.route.name, r.version);
    r.version.move.clear();
}

void request_path::dispatch(time_point now, row& r)
{
    if (held_back(now, r))
    {
        return;
    }
    request_features features = features_of(r);
    auto const picked = pick(now, r, features);
    if (!picked && (r.alone || !reserved_.empty()))
    {
        wait_for_upstream(now, r);
        return;
    }
    if (!picked)
    {
        refuse(now, r, 503, "no_upstream", no_upstream_retry_after);
        return;
    }
    r.at = stage::running;
    r.attempt = next_attempt_++;
    r.attempt_started = now;
    r.upstream = picked->upstream;
    ++r.attempts;
    attempts_[r.attempt] = r.request.id;
    if (r.alone)
    {
        reserved_[r.upstream] = r.request.id;
    }
    if (r.relay)
    {
        r.relay->begin(r.attempt);
    }
    if (r.events)
    {
        r.events->begin(r.attempt);
    }
    router_.on_sent(now, r.attempt, features, *picked, upstreams_);
    upstream_profile const& profile = upstreams_.row(r.upstream).profile;
    note("attempt_started", r.request.id,
         fmt::format("attempt={} upstream={}", r.attempt, profile.name));
    emit_(start_attempt{r.attempt, profile.name, profile.address,
                        outgoing(now, r)});
}

request_path::row* request_path::row_of(attempt_id attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &rows_.at(found->second);
}

void request_path::end_attempt(time_point now, row& r)
{
    crashes_.ended(r.upstream, r.attempt);
    if (r.alone)
    {
        reserved_.erase(r.upstream);
    }
    router_.on_end(now, r.attempt, upstreams_);
    attempts_.erase(r.attempt);
    r.attempt = 0;
}

void request_path::handle(time_point now, upstream_head const& what)
{
    present_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    answer_terms const terms =
        options_.spoken->read_answer(r->request.id, what.status, what.headers);
    if (terms.load)
    {
        upstream_reported(upstreams_.row(r->upstream).profile.name,
                          {now, terms.load->running, terms.load->waiting, 0});
    }
    bool const not_run = terms.stated == verdict::not_run;
    bool const fault = what.status >= http_server_error;
    // A status that promises what the upstream has not said goes no further.
    bool const false_promise = options_.spoken->promises_not_run(what.status);
    if (not_run || terms.foreign || !terms.vouched || false_promise ||
        (fault && r->route.idempotent))
    {
        fail_head(now, *r, what, terms);
        return;
    }
    note_version(now, *r, !fault);
    begin_answer(now, *r, what);
}

// Ends an attempt whose head shows that its answer is of no use.
void request_path::fail_head(time_point now, row& r, upstream_head const& what,
                             answer_terms const& terms)
{
    emit_(cancel_attempt{what.attempt});
    if (terms.other_upstream)
    {
        // Its entry will name its new address, if it lives.
        upstreams_.row(r.upstream).ejected_until = now + moved_upstream_pause;
    }
    if (terms.foreign || !terms.vouched)
    {
        failed(now, r, verdict::may_have_run,
               terms.foreign ? "foreign_answer" : "unvouched_answer");
        return;
    }
    bool const not_run = terms.stated == verdict::not_run;
    note("attempt_declined", r.request.id,
         fmt::format("attempt={} status={}", what.attempt, what.status));
    failed(now, r, not_run ? verdict::not_run : verdict::ran,
           std::string(upstream_error));
}

void request_path::begin_answer(time_point now, row& r,
                                upstream_head const& what)
{
    r.run = verdict::ran;
    if (!std::exchange(r.begun, true))
    {
        begun_.began(now, r.organisation);
    }
    retries_.on_first_byte(r.route.service, now - r.attempt_started);
    if (!r.relay)
    {
        router_.on_first_token(what.attempt, std::nullopt);
    }
    if (r.admitted)
    {
        admission_of(r.route.service).on_first(now, r.request.id);
    }
    r.outcome.run = verdict::ran;
    r.outcome.status = what.status;
    r.outcome.content_type =
        std::string(header_value(what.headers, "Content-Type"));
    if (what.status != http_ok) // an error's body is passed on as it is
    {
        r.relay.reset();
        r.events.reset();
    }
    if (!r.caller_waits || r.answer_begun)
    {
        return;
    }
    header_list headers = what.headers;
    if (r.relay)
    {
        headers.push_back({std::string(stream_id_header), r.relay->stream()});
    }
    headers.push_back({"X-Verdict", std::string(name(verdict::ran))});
    r.held_head = answer_head{r.request.id, what.status, std::move(headers)};
    r.held_bytes.clear();
    bool const holds = r.events || options_.held_answer_bytes > 0;
    if (!holds || r.relay)
    {
        release_held(r);
    }
}

// Begins to pass an answer on; what was held of it goes first.
void request_path::release_held(row& r)
{
    if (!r.held_head)
    {
        return;
    }
    r.answer_begun = true;
    emit_(*std::exchange(r.held_head, std::nullopt));
    if (!r.held_bytes.empty())
    {
        emit_(answer_piece{r.request.id, std::exchange(r.held_bytes, {})});
    }
}

void request_path::handle(time_point now, upstream_piece const& what)
{
    present_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    if (r->relay)
    {
        relay_piece(now, *r, what.bytes);
        return;
    }
    if (r->events)
    {
        relay_events(now, *r, what.bytes);
        return;
    }
    r->answer_bytes += what.bytes.size();
    // Collected until it is too large to be kept, and then no further.
    if (r->right &&
        r->outcome.answer.size() <= options_.requests_ledger.max_answer)
    {
        r->outcome.answer += what.bytes;
    }
    if (!r->caller_waits)
    {
        return;
    }
    if (r->held_head)
    {
        r->held_bytes += what.bytes;
        if (r->held_bytes.size() > options_.held_answer_bytes)
        {
            release_held(*r);
        }
        return;
    }
    emit_(answer_piece{r->request.id, what.bytes});
}

// Passes on whole events; a gap ends the attempt, and the stream is resumed
// elsewhere if it can be.
void request_path::relay_events(time_point now, row& r,
                                std::string const& bytes)
{
    std::string out;
    bool const whole = r.events->piece(r.attempt, bytes, out);
    r.answer_bytes += out.size();
    if (!out.empty() && r.caller_waits)
    {
        release_held(r);
        emit_(answer_piece{r.request.id, std::move(out)});
    }
    if (!whole)
    {
        emit_(cancel_attempt{r.attempt});
        failed(now, r, verdict::ran, "stream_broken");
    }
}

// Passes on what the relay lets through; a gap or malformed bytes end the
// attempt, and the stream is resumed elsewhere.
void request_path::relay_piece(time_point now, row& r, std::string const& bytes)
{
    std::string out;
    bool const first = r.answer_bytes == 0;
    relay_state const state = r.relay->piece(r.attempt, bytes, out);
    if (first && !out.empty())
    {
        auto const cached =
            static_cast<std::uint32_t>(r.relay->usage().cached_tokens);
        router_.on_first_token(r.attempt, cached);
    }
    r.answer_bytes += out.size();
    if (!out.empty())
    {
        emit_(answer_piece{r.request.id, std::move(out)});
    }
    if (state == relay_state::waiting)
    {
        emit_(cancel_attempt{r.attempt});
        failed(now, r, verdict::ran, "stream_broken");
    }
}

void request_path::handle(time_point now, upstream_end const& what)
{
    present_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    if (r->relay && r->relay->end(what.attempt) != relay_state::done)
    {
        failed(now, *r, verdict::ran, "stream_cut");
        return;
    }
    if (r->events && !r->events->end(what.attempt))
    {
        failed(now, *r, verdict::ran, "stream_cut");
        return;
    }
    outliers_.on_result(now, r->upstream, true, upstreams_);
    end_attempt(now, *r);
    if (r->alone)
    {
        quarantine_.ended_well_alone(now, r->print);
    }
    retries_.on_success(r->route.service);
    finish(now, *r);
}

void request_path::handle(time_point now, upstream_failed const& what)
{
    present_ = now;
    row* const r = row_of(what.attempt);
    if (r != nullptr)
    {
        failed(now, *r, what.run, what.reason);
    }
}

void request_path::failed(time_point now, row& r, verdict run,
                          std::string const& reason)
{
    note("attempt_failed", r.request.id,
         fmt::format("attempt={} run={} reason={}", r.attempt, name(run),
                     reason));
    note_version(now, r, false);
    note_lost(now, r, reason);
    bool const declined = run == verdict::not_run && reason == upstream_error;
    if (!declined) // one that is full is not faulty
    {
        outliers_.on_result(now, r.upstream, false, upstreams_);
    }
    r.held_head.reset(); // none of that answer is passed on
    r.held_bytes.clear();
    r.tried.push_back(r.upstream);
    if (r.relay)
    {
        r.relay->end(r.attempt);
    }
    end_attempt(now, r);
    r.run = combine(r.run, run);
    if (held_back(now, r) || try_again(now, r, cause_of(run, reason)))
    {
        return;
    }
    int const status =
        r.run == verdict::not_run ? options_.unrun_status : bad_gateway;
    refuse(now, r, status, reason, failure_retry_after);
}

// Looks for a crash of the upstream behind a lost connection.
void request_path::note_lost(time_point now, row const& r,
                             std::string const& reason)
{
    bool const lost = reason == "connection_lost" || reason == "answer_cut";
    upstream_row const& upstream = upstreams_.row(r.upstream);
    if (!lost || upstream.leaving || !upstream.present)
    {
        return;
    }
    attempts_in_flight present;
    for (auto const& [attempt, request] : attempts_)
    {
        row const& other = rows_.at(request);
        if (other.upstream == r.upstream)
        {
            present[attempt] = other.print;
        }
    }
    auto const carried = crashes_.lost(now, r.upstream, r.attempt, present);
    if (carried && carried->size() >= options_.crash_quorum)
    {
        auto const instant = static_cast<std::uint64_t>(now.time_since_epoch() /
                                                        crash_resolution);
        quarantine_.crashed(now, {upstream.profile.name, instant}, *carried,
                            r.alone);
        note("upstream_crashed", r.request.id,
             fmt::format("upstream={} in_flight={}", upstream.profile.name,
                         carried->size()));
    }
}

bool request_path::try_again(time_point now, row& r, retry_cause cause)
{
    retry_question question;
    question.cause = cause;
    question.service = r.route.service;
    question.id = r.request.id;
    question.run = r.run;
    question.idempotent = r.route.idempotent;
    question.answer_begun = r.answer_begun;
    question.resumable = r.relay.has_value() || (r.events && r.route.resumable);
    question.max_attempts = r.route.max_attempts;
    question.attempts = r.attempts;
    question.deadline = r.deadline;
    retry_decision const decision = retries_.ask(now, question);
    if (decision.answer != retry_answer::allowed)
    {
        note("retry_refused", r.request.id,
             fmt::format("why={}",
                         name_in(retry_answer_names, decision.answer)));
        return false;
    }
    r.at = stage::waiting;
    r.attempt_due = now + decision.delay;
    return true;
}

} // namespace amarantharch
