// The part of request_path that sends requests to upstreams and handles their
// answers.
#include "core/call_fields.hpp"
#include "core/request_path.hpp"

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_server_error = 500;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr duration no_upstream_retry_after = std::chrono::seconds(1);
constexpr std::string_view upstream_error = "upstream_error";
constexpr std::string_view stream_cut = "stream_cut";
// Time reserved for returning the answer to the caller.
constexpr duration answer_return_time = std::chrono::milliseconds(5);
// How long an upstream gets no requests after its address was found to belong
// to another one. The directory should be up to date within this time.
constexpr duration moved_upstream_pause = std::chrono::seconds(2);
// Interval at which a request without a usable upstream looks for one again.
constexpr duration upstream_retry_interval = std::chrono::milliseconds(20);
// A request waits this part of the time that it has left for a turn at an
// upstream with a limit; the rest is for its answer.
constexpr int turn_wait_divisor = 3;

// The cause of a retry after an attempt that failed with `reason`.
retry_cause cause_of(verdict run, std::string const& reason)
{
    bool const unconnected =
        run == verdict::not_run && (request_path::is_unconnected(reason) ||
                                    reason == upstream_unavailable);
    return unconnected ? retry_cause::not_connected : retry_cause::failed;
}

// "text/html" of "Text/HTML; charset=utf-8".
std::string media_type(std::string_view content_type)
{
    std::string type(content_type.substr(0, content_type.find(';')));
    absl::StripAsciiWhitespace(&type);
    absl::AsciiStrToLower(&type);
    return type;
}

// Whether an answer goes on with a stream of type `begun`. The caller has the
// head of the first answer, so that the body of any other one, such as an
// error's, would look like a part of the stream.
bool continues_stream(std::string_view begun, int status,
                      header_list const& headers)
{
    return status == http_ok &&
           media_type(header_value(headers, "Content-Type")) ==
               media_type(begun);
}

} // namespace

request_features request_path::features_of(row const& r) const
{
    request_features features;
    features.service = r.route.service;
    features.priority = r.priority;
    features.latency_target = r.route.latency_target;
    if (r.route.kind == upstream_kind::engine)
    {
        features.prefix = r.request.metadata.size
                              ? hash_prompt_parts(r.request.metadata.prompt)
                              : hash_prefix(r.request.body);
        features.affinity_key =
            shared_prefix_hash(r.request.metadata.prompt, features.prefix);
        features.prompt_tokens = prompt_tokens(r);
        features.expected_output = expected_output(r);
    }
    return features;
}

call request_path::upstream_request(time_point now, row const& r) const
{
    attempt_metadata metadata;
    metadata.upstream = upstreams_.row(r.upstream).profile.name;
    metadata.organisation = r.organisation;
    metadata.priority = r.route.priority;
    metadata.urgency = r.urgency;
    metadata.time_left =
        attempt_deadline(now, r.deadline, answer_return_time) - now;
    if (r.token_relay)
    {
        metadata.stream = r.token_relay->stream_id();
        metadata.next_token = r.token_relay->next_offset();
    }
    if (r.sse_relay)
    {
        metadata.last_event = r.sse_relay->last_event();
    }
    return options_.api_dialect->write_attempt(r.request, metadata);
}

// Refuses a request that has crashed upstreams, and one that is suspected until
// the evidence of all VMs has arrived. Returns true if the row was removed.
bool request_path::refuse_if_quarantined(time_point now, row& r)
{
    quarantine_decision const decision =
        quarantine_.decide(now, r.request_fingerprint);
    r.runs_alone = decision == quarantine_decision::run_alone;
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

// Upstreams at which the request has failed, upstreams reserved for others, if
// it must run alone, upstreams with requests in flight and, with
// `reached_only`, those that this VM does not reach itself.
std::vector<upstream_index>
request_path::exclusions_for(row const& r, bool reached_only) const
{
    std::vector<upstream_index> excluded = r.tried_upstreams;
    for (auto const& [upstream, request] : reserved_)
    {
        excluded.push_back(upstream);
    }
    for (upstream_index i = 0; r.runs_alone && i < upstreams_.size(); ++i)
    {
        if (upstreams_.row(i).in_flight > 0)
        {
            excluded.push_back(i);
        }
    }
    for (upstream_index i = 0; reached_only && i < upstreams_.size(); ++i)
    {
        if (!reach_.reaches(i))
        {
            excluded.push_back(i);
        }
    }
    return excluded;
}

void request_path::wait_for_upstream(time_point now, row& r)
{
    r.current_stage = stage::waiting;
    r.attempt_due = now + upstream_retry_interval;
}

// Lets the request wait for this VM's turn at an upstream that names a limit,
// if one is due in time, and refuses it otherwise. Returns false if no upstream
// that it may still be sent to names one.
bool request_path::wait_for_turn(time_point now, row& r)
{
    bool const waits = r.waits_for_turn_until.has_value();
    std::size_t& waiting = waiting_for_turn_[r.route.service];
    auto const turn = upstreams_.turn_after(
        now, r.route.service, waits ? 0 : waiting, r.tried_upstreams);
    if (!turn)
    {
        return false;
    }
    time_point const until = r.waits_for_turn_until.value_or(
        now + (r.deadline - now) / turn_wait_divisor);
    bool const in_time = waits ? now < until : *turn <= until;
    if (!in_time)
    {
        time_point const turn_for_it = *upstreams_.turn_after(
            now, r.route.service, waiting, r.tried_upstreams);
        time_point const available =
            std::min(upstreams_.next_available(r.route.service)
                         .value_or(time_point::max()),
                     turn_for_it);
        refuse(now, r, 503, "upstream_limited",
               std::max(available - now, upstream_retry_interval));
        return true;
    }
    if (!waits)
    {
        ++waiting;
        r.waits_for_turn_until = until;
    }
    wait_for_upstream(now, r);
    return true;
}

void request_path::end_wait_for_turn(row& r)
{
    if (std::exchange(r.waits_for_turn_until, std::nullopt))
    {
        --waiting_for_turn_[r.route.service];
    }
}

// Chooses the upstream for the next attempt: one of the version assigned to the
// request or, if there is none, of the other version.
std::optional<choice>
request_path::choose_upstream(time_point now, row& r,
                              request_features& features,
                              std::vector<upstream_index> const& excluded)
{
    if (r.attempts == 0)
    {
        r.version = moves_.choose(now, r.route.service, r.request.id);
    }
    features.version = r.version.version;
    features.avoided_version = r.version.avoided_version;
    auto chosen = router_.choose(now, features, upstreams_, excluded);
    bool const is_new_version = r.version.arm == version_arm::new_version;
    if (!chosen && (is_new_version || !r.version.fallback_version.empty()) &&
        !r.version.move_revision.empty())
    {
        features.version = r.version.fallback_version;
        features.avoided_version =
            features.version.empty() ? r.version.version : std::string();
        chosen = router_.choose(now, features, upstreams_, excluded);
        r.version.move_revision.clear(); // no evidence about the new version
    }
    if (chosen && r.attempts == 0)
    {
        upstream_row const& upstream = upstreams_.row(chosen->upstream);
        double const load = upstream.profile.slots == 0
                                ? 0
                                : static_cast<double>(upstream.in_flight) /
                                      upstream.profile.slots;
        r.version.band =
            load >= high_band_load ? load_band::high : load_band::low;
    }
    return chosen;
}

// Records the outcome of a request's first attempt as evidence for a version
// move.
void request_path::record_version_outcome(time_point now, row& r, bool answered)
{
    if (r.version.move_revision.empty() || r.attempts != 1)
    {
        return;
    }
    answered ? moves_.on_answer(now, r.route.name, r.version,
                                now - r.attempt_started)
             : moves_.on_failure(r.route.name, r.version);
    r.version.move_revision.clear();
}

// When an upstream of `service` will take requests again, as far as is known.
duration request_path::retry_after_of(time_point now,
                                      std::string const& service) const
{
    auto const available = upstreams_.next_available(service);
    return available && *available > now ? *available - now
                                         : no_upstream_retry_after;
}

void request_path::dispatch(time_point now, row& r)
{
    if (refuse_if_quarantined(now, r))
    {
        return;
    }
    if (!part_quarantine_.may_send(now, r.request.metadata.prompt))
    {
        refuse_for_prompt_part(now, r);
        return;
    }
    if (r.unconnected && reach_.in_doubt())
    {
        wait_for_upstream(now, r); // it will be known soon which way is open
        return;
    }
    if (is_held_on(now, r))
    {
        return;
    }
    std::optional<std::string> relay;
    if (reach_.partitioned() && members_ != nullptr)
    {
        relay = relays_.choose(now, *members_);
    }
    // Connections that live on are the only way left for a VM without a relay.
    bool const reached_only =
        reach_.partitioned() && !relay && !has_living_connections(now);
    request_features features = features_of(r);
    auto const chosen =
        choose_upstream(now, r, features, exclusions_for(r, reached_only));
    if (!chosen && reached_only)
    {
        refuse_unreachable(now, r);
        return;
    }
    if (!chosen && refuse_if_evacuated(now, r))
    {
        return;
    }
    if (!chosen && (r.runs_alone || !reserved_.empty()))
    {
        wait_for_upstream(now, r);
        return;
    }
    if (!chosen && wait_for_turn(now, r))
    {
        return;
    }
    if (!chosen)
    {
        refuse(now, r, 503, "no_upstream",
               retry_after_of(now, r.route.service));
        return;
    }
    if (hold_or_reject(now, r, *chosen))
    {
        return;
    }
    end_wait_for_turn(r);
    r.current_stage = stage::running;
    r.attempt = next_attempt_++;
    r.attempt_started = now;
    r.lacked_room = false;
    r.upstream = chosen->upstream;
    r.upstream_incarnation = upstreams_.row(r.upstream).incarnation;
    r.relay = reach_.reaches(r.upstream) ? std::string() : relay.value_or("");
    ++r.attempts;
    attempts_[r.attempt] = r.request.id;
    r.part_marks = part_quarantine_.marks_of(r.request.metadata.prompt);
    if (r.runs_alone)
    {
        reserved_[r.upstream] = r.request.id;
    }
    if (r.token_relay)
    {
        r.token_relay->begin_attempt(r.attempt);
    }
    if (r.sse_relay)
    {
        r.sse_relay->begin_attempt(r.attempt);
    }
    router_.on_sent(now, r.attempt, features, *chosen, upstreams_);
    if (!r.relay.empty())
    {
        relays_.on_sent(r.relay);
    }
    upstream_profile const& profile = upstreams_.row(r.upstream).profile;
    add_timeline_entry("attempt_started", r.request.id,
                       fmt::format("attempt={} upstream={}{}{}", r.attempt,
                                   profile.name,
                                   r.relay.empty() ? "" : " relay=", r.relay));
    emit_(start_attempt{r.attempt, profile.name, profile.address,
                        upstream_request(now, r), r.relay,
                        r.upstream_incarnation});
}

// Keeps a load for the peers, together with those of earlier answers.
void request_path::keep_answer_load(std::string const& upstream,
                                    upstream_report const& report)
{
    auto const [kept, added] = answer_loads_.try_emplace(upstream, report);
    if (!added)
    {
        merge_report(kept->second, report);
    }
}

void request_path::refuse_for_prompt_part(time_point now, row& r)
{
    duration retry_after{};
    if (auto const why =
            part_quarantine_.refusal_of(now, r.request.metadata.prompt))
    {
        retry_after = why->retry_after;
        add_timeline_entry(
            "prompt_part_refused", r.request.id,
            fmt::format("part={:x} marks={} void={} last_mark_ms={}", why->part,
                        why->valid_marks, why->void_marks,
                        to_millis(why->since_last_mark)));
    }
    refuse(now, r, options_.quarantined_status, "prompt_part_quarantined",
           retry_after);
}

request_path::row* request_path::row_of(attempt_id attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &rows_.at(found->second);
}

void request_path::end_attempt(time_point now, row& r)
{
    crash_detector_.record_ended_attempt(r.upstream, r.attempt);
    if (!r.relay.empty())
    {
        relays_.on_end(r.relay);
        r.relay.clear();
    }
    if (r.runs_alone)
    {
        reserved_.erase(r.upstream);
    }
    router_.on_end(now, r.attempt, upstreams_);
    attempts_.erase(r.attempt);
    r.attempt = 0;
}

void request_path::handle(time_point now, upstream_head const& what)
{
    event_time_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    answer_metadata const metadata = options_.api_dialect->read_answer(
        r->request.id, what.status, what.headers);
    if (metadata.load)
    {
        upstream_profile const& profile = upstreams_.row(r->upstream).profile;
        upstream_report report{now, metadata.load->running,
                               metadata.load->waiting, 0};
        bool const is_own = metadata.genuine && !metadata.from_other_upstream &&
                            !metadata.answers_other_request;
        if (metadata.load->work_percent && is_own)
        {
            std::uint32_t const percent = *metadata.load->work_percent;
            report.work = {now, percent, percent, 1};
        }
        upstream_reported(profile.name, report);
        if (profile.kind == upstream_kind::engine || report.work)
        {
            keep_answer_load(profile.name, report);
        }
    }
    hear_answer(
        now,
        {upstreams_.row(r->upstream).profile.name, r->upstream_incarnation},
        metadata);
    note_byte_of(now, *r);
    bool const not_run = metadata.stated_verdict == verdict::not_run;
    bool const is_server_error = what.status >= http_server_error;
    // The upstream has not stated what this status guarantees, so it is not
    // forwarded.
    bool const overstates_verdict =
        options_.api_dialect->promises_not_run(what.status);
    bool const breaks_stream =
        r->answer_begun &&
        !continues_stream(r->outcome.content_type, what.status, what.headers);
    if (not_run || metadata.answers_other_request || !metadata.genuine ||
        overstates_verdict || (is_server_error && r->route.idempotent) ||
        breaks_stream)
    {
        reject_answer(now, *r, what, metadata);
        return;
    }
    record_version_outcome(now, *r, !is_server_error);
    begin_answer(now, *r, what);
}

// Ends an attempt because of the head of its answer.
void request_path::reject_answer(time_point now, row& r,
                                 upstream_head const& what,
                                 answer_metadata const& metadata)
{
    emit_(cancel_attempt{what.attempt});
    if (metadata.from_other_upstream)
    {
        // Its directory entry will get the new address if it still runs.
        upstreams_.row(r.upstream).ejected_until = now + moved_upstream_pause;
    }
    if (metadata.answers_other_request || !metadata.genuine)
    {
        handle_failed_attempt(now, r, verdict::may_have_run,
                              metadata.answers_other_request
                                  ? "foreign_answer"
                                  : "unvouched_answer");
        return;
    }
    bool const not_run = metadata.stated_verdict == verdict::not_run;
    if (not_run && upstreams_.row(r.upstream).refusal_limit)
    {
        spare_brittle(now, r.upstream, r.upstream_incarnation);
    }
    if (not_run && what.status == service_unavailable &&
        !metadata.notice.pause && !metadata.notice.leaving)
    {
        mark_full(now, r, metadata.load);
    }
    add_timeline_entry(
        "attempt_declined", r.request.id,
        fmt::format("attempt={} status={}", what.attempt, what.status));
    handle_failed_attempt(now, r, not_run ? verdict::not_run : verdict::ran,
                          std::string(upstream_error));
}

void request_path::begin_answer(time_point now, row& r,
                                upstream_head const& what)
{
    r.run = verdict::ran;
    if (!std::exchange(r.execution_started, true))
    {
        started_usage_.on_request_started(now, r.organisation);
    }
    retries_.on_first_byte(r.route.service, now - r.attempt_started);
    if (!r.token_relay)
    {
        router_.on_first_token(what.attempt, std::nullopt);
    }
    if (r.admitted)
    {
        admission_of(r.route.service).on_first_byte(now, r.request.id);
    }
    r.outcome.run = verdict::ran;
    r.outcome.status = what.status;
    r.outcome.content_type =
        std::string(header_value(what.headers, "Content-Type"));
    if (what.status != http_ok) // an error's body is forwarded unchanged
    {
        r.token_relay.reset();
        r.sse_relay.reset();
    }
    if (!r.caller_waits || r.answer_begun)
    {
        return;
    }
    header_list headers = what.headers;
    if (r.token_relay)
    {
        headers.push_back(
            {std::string(stream_id_header), r.token_relay->stream_id()});
    }
    headers.push_back({"X-Verdict", std::string(name(verdict::ran))});
    r.held_head = answer_head{r.request.id, what.status, std::move(headers)};
    r.held_bytes.clear();
    bool const buffers_answer = r.sse_relay || options_.held_answer_bytes > 0;
    if (!buffers_answer || r.token_relay)
    {
        release_held_answer(r);
    }
}

// Starts to forward an answer, beginning with its buffered part.
void request_path::release_held_answer(row& r)
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
    event_time_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    note_byte_of(now, *r);
    if (r->token_relay)
    {
        relay_tokens(now, *r, what.bytes);
        return;
    }
    if (r->sse_relay)
    {
        relay_events(now, *r, what.bytes);
        return;
    }
    r->answer_bytes += what.bytes.size();
    // Collected until it is too large for the ledger to keep.
    if (r->ledger_run &&
        r->outcome.answer.size() <= options_.requests_ledger.max_answer_bytes)
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
            release_held_answer(*r);
        }
        return;
    }
    emit_(answer_piece{r->request.id, what.bytes});
}

// The upstream has survived the parts of the request's prompt.
void request_path::record_begun_answer(time_point now, row& r)
{
    if (!r.part_marks.empty())
    {
        part_quarantine_.answered(now, std::exchange(r.part_marks, {}));
    }
}

// Forwards complete events. A gap ends the attempt, and the stream resumes at
// another upstream if it can.
void request_path::relay_events(time_point now, row& r,
                                std::string const& bytes)
{
    std::string out;
    bool const whole = r.sse_relay->feed(r.attempt, bytes, out);
    r.answer_bytes += out.size();
    if (!out.empty())
    {
        router_.on_first_event(now, r.attempt, upstreams_);
        note_first_event(now, r);
        record_begun_answer(now, r);
    }
    if (!out.empty() && r.caller_waits)
    {
        release_held_answer(r);
        emit_(answer_piece{r.request.id, std::move(out)});
    }
    if (!whole)
    {
        emit_(cancel_attempt{r.attempt});
        handle_failed_attempt(now, r, verdict::ran, "stream_broken");
    }
}

// Forwards tokens. A gap or malformed bytes end the attempt, and the stream
// resumes at another upstream.
void request_path::relay_tokens(time_point now, row& r,
                                std::string const& bytes)
{
    std::string out;
    bool const first = r.answer_bytes == 0;
    relay_state const state = r.token_relay->feed(r.attempt, bytes, out);
    if (first && !out.empty())
    {
        auto const cached =
            static_cast<std::uint32_t>(r.token_relay->usage().cached_tokens);
        router_.on_first_token(r.attempt, cached);
    }
    r.answer_bytes += out.size();
    if (!out.empty())
    {
        note_first_event(now, r);
        record_begun_answer(now, r);
        emit_(answer_piece{r.request.id, std::move(out)});
    }
    if (state == relay_state::waiting)
    {
        emit_(cancel_attempt{r.attempt});
        handle_failed_attempt(now, r, verdict::ran, "stream_broken");
    }
}

void request_path::handle(time_point now, upstream_end const& what)
{
    event_time_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    if (r->token_relay &&
        r->token_relay->end_attempt(what.attempt) != relay_state::done)
    {
        handle_failed_attempt(now, *r, verdict::ran, std::string(stream_cut));
        return;
    }
    if (r->sse_relay && !r->sse_relay->end_attempt(what.attempt))
    {
        handle_failed_attempt(now, *r, verdict::ran, std::string(stream_cut));
        return;
    }
    outliers_.on_result(now, r->upstream, true, upstreams_);
    if (r->sse_relay && r->attempts == 1)
    {
        router_.on_last_event(now, r->attempt, r->sse_relay->events_relayed(),
                              upstreams_);
    }
    record_hold(*r, now - r->attempt_started);
    end_attempt(now, *r);
    if (r->runs_alone)
    {
        quarantine_.completed_alone(now, r->request_fingerprint);
    }
    record_begun_answer(now, *r);
    retries_.on_success(r->route.service);
    finish(now, *r);
}

void request_path::handle(time_point now, upstream_failed const& what)
{
    event_time_ = now;
    row* const r = row_of(what.attempt);
    if (r == nullptr)
    {
        return;
    }
    what.place == failure_place::relay
        ? handle_lost_relay(now, *r, what.run, what.reason)
        : handle_failed_attempt(now, *r, what.run, what.reason);
}

void request_path::handle_failed_attempt(time_point now, row& r, verdict run,
                                         std::string const& reason)
{
    add_timeline_entry("attempt_failed", r.request.id,
                       fmt::format("attempt={} run={} reason={}", r.attempt,
                                   name(run), reason));
    // Of the links of this VM, which say nothing about the upstream.
    bool const of_links =
        r.relay.empty() &&
        (is_unconnected(reason) || reason == upstreams_unreachable) &&
        (reach_.in_doubt() || reach_.partitioned());
    if (of_links)
    {
        r.version.move_revision.clear(); // no evidence about the version
    }
    record_version_outcome(now, r, false);
    detect_crash(now, r, reason);
    bool const declined =
        run == verdict::not_run &&
        (reason == upstream_error || reason == upstream_unavailable);
    bool const is_cold = upstreams_.row(r.upstream).warms_up(now);
    // Neither an overloaded upstream nor a cold one that is slow is faulty.
    if (!declined && !of_links && !(is_cold && is_only_slow(reason)))
    {
        outliers_.on_result(now, r.upstream, false, upstreams_);
    }
    if (r.relay.empty())
    {
        note_failure(now, r.upstream, reason);
    }
    r.tried_upstreams.push_back(r.upstream);
    retry_or_refuse(now, r, run, reason, cause_of(run, reason));
}

// Ends the current attempt, and the request too unless it may be sent again.
void request_path::retry_or_refuse(time_point now, row& r, verdict run,
                                   std::string const& reason, retry_cause cause)
{
    r.held_head.reset(); // discards the buffered answer
    r.held_bytes.clear();
    if (r.token_relay)
    {
        r.token_relay->end_attempt(r.attempt);
    }
    end_attempt(now, r);
    r.run = combine(r.run, run);
    r.unconnected = cause == retry_cause::not_connected;
    if (refuse_if_quarantined(now, r) || schedule_retry(now, r, cause))
    {
        return;
    }
    int const status =
        r.run == verdict::not_run ? options_.not_run_status : bad_gateway;
    refuse(now, r, status, reason,
           r.lacked_room ? room_retry_after(now, r) : failure_retry_after);
}

bool request_path::schedule_retry(time_point now, row& r, retry_cause cause)
{
    retry_question question;
    question.cause = cause;
    question.service = r.route.service;
    question.id = r.request.id;
    question.run = r.run;
    question.idempotent = r.route.idempotent;
    question.answer_begun = r.answer_begun;
    question.resumable =
        r.token_relay.has_value() || (r.sse_relay && r.route.resumable);
    question.max_attempts = r.route.max_attempts;
    question.attempts = r.attempts;
    question.deadline = r.deadline;
    retry_decision const decision = retries_.ask(now, question);
    if (decision.answer != retry_answer::allowed)
    {
        add_timeline_entry("retry_refused", r.request.id,
                           fmt::format("why={}", name_in(retry_answer_names,
                                                         decision.answer)));
        return false;
    }
    r.current_stage = stage::waiting;
    r.attempt_due = now + decision.delay;
    return true;
}

} // namespace amarantharch
