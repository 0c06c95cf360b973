#include "core/request_path.hpp"

#include "core/prefix_cache.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration no_upstream_retry_after = std::chrono::seconds(1);
constexpr duration overload_retry_after = std::chrono::seconds(1);
constexpr duration accepted_retry_after = std::chrono::seconds(1);
constexpr duration failure_retry_after = std::chrono::seconds(1);
// Time that an answer needs on its way back to the caller.
constexpr duration way_back = std::chrono::milliseconds(5);
// A request that may not end before the VM stops is not taken any more.
constexpr duration stop_margin = std::chrono::milliseconds(500);
// How often a request looks again for an upstream that it may run on.
constexpr duration upstream_wait = std::chrono::milliseconds(20);
// Crashes of one upstream seen within this time are one crash; it names the
// crash alike at all VMs, since an upstream does not tell its incarnation.
constexpr duration crash_resolution = std::chrono::milliseconds(500);
constexpr std::uint32_t default_output_tokens = 128;
constexpr std::uint8_t least_interactive_priority = 6;
constexpr std::uint8_t least_standard_priority = 3;
constexpr std::string_view inquiry_prefix = "/v1/requests/";
constexpr int http_ok = 200;
constexpr int http_server_error = 500;
constexpr std::string_view stream_id_header = "X-Stream-Id";
constexpr std::string_view resume_header = "X-Resume-From";

request_class class_of(std::uint8_t priority)
{
    if (priority >= least_interactive_priority)
    {
        return request_class::interactive;
    }
    return priority >= least_standard_priority ? request_class::standard
                                               : request_class::batch;
}

std::uint32_t tokens_in(std::string const& body)
{
    return static_cast<std::uint32_t>(body.size() / bytes_per_token);
}

std::string route_text(call const& request)
{
    return request.method + " " + request.target;
}

request_key key_of(call const& request, std::string const& organisation)
{
    std::string_view const given =
        header_value(request.headers, "Idempotency-Key");
    if (!given.empty())
    {
        return key_from_header(organisation, given);
    }
    return key_from_content(organisation,
                            header_value(request.headers, "X-Caller"),
                            route_text(request), request.body);
}

stored_call stored(call const& request, std::string const& organisation,
                   std::string const& service)
{
    stored_call kept;
    kept.request = request.id;
    kept.organisation = organisation;
    kept.service = service;
    kept.method = request.method;
    kept.target = request.target;
    kept.body = request.body;
    for (header_field const& field : request.headers)
    {
        kept.headers.emplace_back(field.name, field.value);
    }
    return kept;
}

call restored(stored_call const& kept)
{
    call request;
    request.id = kept.request;
    request.method = kept.method;
    request.target = kept.target;
    request.body = kept.body;
    for (auto const& [name, value] : kept.headers)
    {
        request.headers.push_back({name, value});
    }
    return request;
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

// Headers of a caller that an upstream gets from this VM instead, or not at
// all.
bool is_replaced(header_field const& field)
{
    constexpr std::string_view names[] = {
        "Authorization", "X-Request-Id", "X-Organisation", "X-Priority",
        "X-Timeout-Ms",  "X-Stream-Id",  "X-Resume-From"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view name)
                       { return equals_ignoring_case(field.name, name); });
}

bool wants_asynchronous(call const& request)
{
    return header_value(request.headers, "Prefer") == "respond-async";
}

upstream_profile profile_of(upstream_spec const& spec)
{
    upstream_profile profile;
    profile.name = spec.name;
    profile.address = spec.address;
    profile.kind = spec.kind;
    profile.service = spec.service;
    profile.version = spec.version;
    profile.failure_domain = spec.failure_domain;
    profile.price_per_hour = spec.price;
    profile.reclaimable = spec.reclaimable;
    profile.slots = spec.capacity;
    return profile;
}

// Whether a model engine's request body asks for a stream of tokens. Looks for
// the member only; a body that is not JSON is the engine's to refuse.
bool wants_stream(std::string const& body)
{
    constexpr std::string_view member = "\"stream\"";
    constexpr std::string_view spaces = " \t\r\n";
    auto const at = body.find(member);
    if (at == std::string::npos)
    {
        return false;
    }
    auto const colon = body.find_first_not_of(spaces, at + member.size());
    if (colon == std::string::npos || body[colon] != ':')
    {
        return false;
    }
    auto const value = body.find_first_not_of(spaces, colon + 1);
    return value != std::string::npos && body.compare(value, 4, "true") == 0;
}

token_offset resume_offset(header_list const& headers)
{
    token_offset offset = 0;
    std::string const text(header_value(headers, resume_header));
    return absl::SimpleAtoi(text, &offset) ? offset : 0;
}

std::string stream_id_of(call const& request)
{
    std::string_view const given =
        header_value(request.headers, stream_id_header);
    return given.empty() ? request.id : std::string(given);
}

ledger_options ledger_options_of(request_path_options const& options)
{
    ledger_options result = options.requests_ledger;
    result.vm = options.vm;
    result.incarnation = options.incarnation;
    return result;
}

} // namespace

request_path::request_path(request_path_options options, command_sink emit,
                           record_appender append)
    : options_(std::move(options)), emit_(std::move(emit)),
      append_(std::move(append)), site_(std::make_shared<site>()),
      router_(options_.routing), retries_(options_.retries),
      outliers_(options_.outliers), quarantine_(options_.quarantined),
      crashes_(options_.crash_window),
      ledger_(
          ledger_options_of(options_), [this](ledger_effect const& effect)
          { std::visit([this](auto const& e) { take(present_, e); }, effect); })
{
}

void request_path::set_site(std::shared_ptr<site const> tables)
{
    std::vector<std::string> kept;
    for (upstream_spec const& spec : tables->upstreams)
    {
        kept.push_back(spec.name);
        upstreams_.put(profile_of(spec));
    }
    for (upstream_spec const& spec : site_->upstreams)
    {
        if (std::find(kept.begin(), kept.end(), spec.name) == kept.end())
        {
            upstreams_.remove(spec.name, 0);
        }
    }
    site_ = std::move(tables);
    for (auto& [service, gate] : admissions_)
    {
        for (organisation_spec const& organisation : site_->organisations)
        {
            gate.set_weight(organisation.name, organisation.weight);
        }
    }
}

// The limit on requests in flight begins at, and never exceeds, what the
// service's upstreams can run together.
admission_options request_path::admission_for(std::string const& service) const
{
    admission_options options = options_.admission;
    std::uint32_t slots = 0;
    for (upstream_spec const& upstream : site_->upstreams)
    {
        slots += upstream.service == service ? upstream.capacity : 0;
    }
    if (slots > 0)
    {
        options.limit.initial = slots;
        options.limit.ceiling = slots;
        options.limit.floor = std::min(options.limit.floor, slots);
    }
    return options;
}

admission& request_path::admission_of(std::string const& service)
{
    auto const found = admissions_.find(service);
    if (found != admissions_.end())
    {
        return found->second;
    }
    admission& gate =
        admissions_.emplace(service, admission(admission_for(service)))
            .first->second;
    for (organisation_spec const& organisation : site_->organisations)
    {
        gate.set_weight(organisation.name, organisation.weight);
    }
    return gate;
}

void request_path::note(std::string kind, request_id const& request,
                        std::string details)
{
    emit_(record_timeline{std::move(kind), request, std::move(details)});
}

// ---- Arrival. ----

std::uint32_t request_path::expected_output(row const& r)
{
    return r.route.kind == upstream_kind::engine ? default_output_tokens : 1;
}

std::optional<refusal>
request_path::refuse_early(call const& request, std::string const& organisation,
                           route_spec const* route) const
{
    if (route == nullptr)
    {
        return refusal{404, verdict::not_run, "no_route", duration::zero()};
    }
    if (!admits(*route, organisation))
    {
        return refusal{403, verdict::not_run, "organisation_not_admitted",
                       duration::zero()};
    }
    bool const keyless =
        wants_asynchronous(request) && !route->idempotent &&
        header_value(request.headers, "Idempotency-Key").empty();
    if (keyless)
    {
        return refusal{400, verdict::not_run, "idempotency_key_required",
                       duration::zero()};
    }
    bool const full =
        rows_.size() >= options_.max_requests ||
        held_bytes_ + request.body.size() > options_.max_request_bytes;
    if (full)
    {
        return refusal{503, verdict::not_run, "vm_full", overload_retry_after};
    }
    return std::nullopt;
}

void request_path::handle(time_point now, call_received const& what)
{
    present_ = now;
    call const& request = what.request;
    auto const organisation =
        identify_organisation(*site_, request.credential_digest);
    if (!organisation)
    {
        emit_(answer_refusal{
            request.id,
            {401, verdict::not_run, "unknown_organisation", duration::zero()}});
        return;
    }
    if (request.target.starts_with(inquiry_prefix))
    {
        answer_inquiry(now, request, *organisation);
        return;
    }
    route_spec const* const route = match_route(*site_, request.target);
    if (auto const why = refuse_early(request, *organisation, route))
    {
        emit_(answer_refusal{request.id, *why});
        return;
    }
    row& r = rows_[request.id];
    r.request = request;
    r.organisation = *organisation;
    r.route = *route;
    r.priority = class_of(route->priority);
    r.deadline = now + route->timeout;
    r.print = fingerprint_of(route->service, request.method, request.target,
                             request.body);
    held_bytes_ += request.body.size();
    if (route->kind == upstream_kind::engine && wants_stream(request.body))
    {
        r.relay.emplace(stream_id_of(request), resume_offset(request.headers),
                        options_.stream_history_bytes);
    }
    note("request_received", request.id,
         fmt::format("route={} organisation={}", route->name, *organisation));
    if (stop_by_ && r.deadline > *stop_by_ - stop_margin)
    {
        refuse(now, r, 503, "stopping", failure_retry_after);
        return;
    }
    if (!route->idempotent && wants_asynchronous(request))
    {
        submit(now, r, true);
        return;
    }
    admit(now, r);
}

void request_path::answer_inquiry(time_point now, call const& request,
                                  std::string const& organisation)
{
    std::string const given = request.target.substr(inquiry_prefix.size());
    ledger_.inquire(now, request.id, key_from_header(organisation, given));
}

void request_path::admit(time_point now, row& r)
{
    admission_request asked;
    asked.id = r.request.id;
    asked.organisation = r.organisation;
    asked.priority = r.priority;
    asked.tokens =
        charged_tokens(tokens_in(r.request.body), expected_output(r));
    asked.bytes = r.request.body.size();
    asked.deadline = r.deadline;
    admission_result const result =
        admission_of(r.route.service).offer(now, asked);
    for (refused_request const& given_up : result.given_up)
    {
        row& other = rows_.at(given_up.id);
        refuse(now, other, given_up.why.status, given_up.why.reason,
               given_up.why.retry_after);
    }
    if (result.outcome == admission_outcome::run_now)
    {
        admitted(now, asked.id);
    }
    else if (result.outcome == admission_outcome::refused)
    {
        refuse(now, rows_.at(asked.id), result.why->status, result.why->reason,
               result.why->retry_after);
    }
}

void request_path::admitted(time_point now, request_id const& id)
{
    row& r = rows_.at(id);
    r.admitted = true;
    if (r.route.idempotent || r.right)
    {
        dispatch(now, r);
        return;
    }
    submit(now, r, false);
}

void request_path::submit(time_point now, row& r, bool asynchronous)
{
    r.at = stage::deciding;
    submission what;
    what.request = r.request.id;
    what.key = key_of(r.request, r.organisation);
    what.content = content_digest(route_text(r.request), r.request.body);
    what.asynchronous = asynchronous;
    if (asynchronous)
    {
        what.call = stored(r.request, r.organisation, r.route.service);
    }
    ledger_.submit(now, std::move(what));
}

void request_path::take(time_point, append_record const& effect)
{
    append_(effect.payload);
}

void request_path::take(time_point now, run_request const& effect)
{
    auto const found = rows_.find(effect.request);
    if (found == rows_.end())
    {
        run_detached(now, effect);
        return;
    }
    found->second.right = effect.run;
    dispatch(now, found->second);
}

void request_path::take(time_point now, accepted_reply const& effect)
{
    accept(now, effect.request);
}

void request_path::take(time_point now, known_reply const& effect)
{
    repeat(now, effect.request, effect.outcome);
}

void request_path::take(time_point now, refused_reply const& effect)
{
    end_refused(now, effect.request, effect.why);
}

void request_path::take(time_point, hand_over const& effect)
{
    handed_over_ = effect.records; // each one names all that is unsettled
}

// Passes on the ledger's refusal of a request or of a question about one.
void request_path::end_refused(time_point now, request_id const& id,
                               refusal const& why)
{
    auto const found = rows_.find(id);
    if (found == rows_.end())
    {
        emit_(answer_refusal{id, why});
        return;
    }
    found->second.run = combine(found->second.run, why.run);
    refuse(now, found->second, why.status, why.reason, why.retry_after);
}

// Answers that an asynchronous request is kept and where to ask for its
// outcome.
void request_path::accept(time_point now, request_id const& id)
{
    auto const found = rows_.find(id);
    if (found == rows_.end()) // a question: it is kept and not started yet
    {
        emit_(answer_refusal{
            id,
            {202, verdict::may_have_run, "accepted", accepted_retry_after}});
        return;
    }
    row& r = found->second;
    std::string const key(header_value(r.request.headers, "Idempotency-Key"));
    emit_(answer_head{id,
                      202,
                      {{"Location", std::string(inquiry_prefix) + key},
                       {"X-Verdict", "may_have_run"}}});
    emit_(answer_end{id});
    note("request_accepted", id, "key=" + key);
    remove(now, r);
}

// Answers with what an earlier run of the same key gave.
void request_path::repeat(time_point now, request_id const& id,
                          kept_outcome const& outcome)
{
    if (outcome.run != verdict::ran || !outcome.answer_kept)
    {
        bool const ran = outcome.run == verdict::ran;
        end_refused(now, id,
                    {409, outcome.run,
                     ran ? "answer_not_kept" : ledger_reasons::outcome_unknown,
                     duration::zero()});
        return;
    }
    header_list headers{{"X-Verdict", std::string(name(outcome.run))},
                        {"X-Repeated", "yes"}};
    if (!outcome.content_type.empty())
    {
        headers.push_back({"Content-Type", outcome.content_type});
    }
    emit_(answer_head{id, outcome.status, std::move(headers)});
    emit_(answer_piece{id, outcome.answer});
    emit_(answer_end{id});
    note("request_repeated", id, "");
    auto const found = rows_.find(id);
    if (found != rows_.end())
    {
        remove(now, found->second);
    }
}

// An accepted request that is run without a waiting caller.
void request_path::run_detached(time_point now, run_request const& what)
{
    call request = restored(what.call);
    request.id = fmt::format("{}-detached-{}", options_.vm, next_detached_++);
    route_spec const* const route = match_route(*site_, request.target);
    if (route == nullptr || what.call.method.empty())
    {
        // Nothing of it has been sent: the key is given back.
        ledger_.finish(now, what.run, run_outcome{verdict::not_run, 0, "", ""});
        return;
    }
    row& r = rows_[request.id];
    held_bytes_ += request.body.size();
    r.print = fingerprint_of(route->service, request.method, request.target,
                             request.body);
    r.request = std::move(request);
    r.organisation = what.call.organisation;
    r.route = *route;
    r.priority = class_of(route->priority);
    r.deadline = now + route->timeout;
    r.right = what.run;
    r.caller_waits = false;
    admit(now, r);
}

// ---- Attempts. ----

request_features request_path::features_of(row const& r) const
{
    request_features features;
    features.service = r.route.service;
    features.priority = r.priority;
    if (r.route.kind == upstream_kind::engine)
    {
        features.prefix = hash_prefix(r.request.body);
        features.prompt_tokens = tokens_in(r.request.body);
        features.expected_output = expected_output(r);
    }
    return features;
}

call request_path::outgoing(time_point now, row const& r) const
{
    call request = r.request;
    std::erase_if(request.headers, is_replaced);
    if (r.relay)
    {
        request.headers.push_back(
            {std::string(stream_id_header), r.relay->stream()});
        request.headers.push_back({std::string(resume_header),
                                   fmt::to_string(r.relay->next_offset())});
    }
    request.headers.push_back({"X-Request-Id", r.request.id});
    request.headers.push_back({"X-Organisation", r.organisation});
    request.headers.push_back({"X-Priority", fmt::to_string(r.route.priority)});
    duration const left = attempt_deadline(now, r.deadline, way_back) - now;
    request.headers.push_back(
        {"X-Timeout-Ms", fmt::to_string(to_millis(left))});
    return request;
}

// Refuses a request that has crashed upstreams, or that may have until all
// VMs' marks are in. True if the row is gone.
bool request_path::held_back(time_point now, row& r)
{
    quarantine_decision const decision = quarantine_.decide(now, r.print);
    r.alone = decision == quarantine_decision::run_alone;
    if (decision == quarantine_decision::refuse)
    {
        refuse(now, r, 422, "quarantined", duration::zero());
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
    auto picked = router_.choose(now, features, upstreams_, excluded);
    if (!picked && !r.version.other.empty())
    {
        features.version = r.version.other;
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
    r.first_seen = false;
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
    auto const stated =
        value_in(verdict_names, header_value(what.headers, "X-Verdict"));
    bool const not_run = stated == verdict::not_run;
    bool const fault = what.status >= http_server_error;
    if (not_run || (fault && r->route.idempotent))
    {
        emit_(cancel_attempt{what.attempt});
        failed(now, *r, not_run ? verdict::not_run : verdict::ran,
               "upstream_error");
        return;
    }
    note_version(now, *r, !fault);
    r->first_seen = true;
    r->run = verdict::ran;
    retries_.on_first_byte(r->route.service, now - r->attempt_started);
    if (!r->relay)
    {
        router_.on_first_token(what.attempt, std::nullopt);
    }
    if (r->admitted)
    {
        admission_of(r->route.service).on_first(now, r->request.id);
    }
    r->outcome.run = verdict::ran;
    r->outcome.status = what.status;
    r->outcome.content_type =
        std::string(header_value(what.headers, "Content-Type"));
    if (r->relay && what.status != http_ok)
    {
        r->relay.reset(); // an error's body is passed on as it is
    }
    if (r->caller_waits && !r->answer_begun)
    {
        r->answer_begun = true;
        header_list headers = what.headers;
        if (r->relay)
        {
            headers.push_back(
                {std::string(stream_id_header), r->relay->stream()});
        }
        headers.push_back({"X-Verdict", std::string(name(verdict::ran))});
        emit_(answer_head{r->request.id, what.status, std::move(headers)});
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
    r->answer_bytes += what.bytes.size();
    // Collected until it is too large to be kept, and then no further.
    if (r->right &&
        r->outcome.answer.size() <= options_.requests_ledger.max_answer)
    {
        r->outcome.answer += what.bytes;
    }
    if (r->caller_waits)
    {
        emit_(answer_piece{r->request.id, what.bytes});
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
    outliers_.on_result(now, r.upstream, false, upstreams_);
    r.tried.push_back(r.upstream);
    if (r.relay)
    {
        r.relay->end(r.attempt);
    }
    end_attempt(now, r);
    r.run = combine(r.run, run);
    if (held_back(now, r) || try_again(now, r))
    {
        return;
    }
    refuse(now, r, 502, reason, failure_retry_after);
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
    if (carried)
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

bool request_path::try_again(time_point now, row& r)
{
    retry_question question;
    question.service = r.route.service;
    question.id = r.request.id;
    question.run = r.run;
    question.idempotent = r.route.idempotent;
    question.answer_begun = r.answer_begun;
    question.resumable = r.relay.has_value();
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

// ---- Endings. ----

void request_path::finish(time_point now, row& r)
{
    if (r.caller_waits)
    {
        emit_(answer_end{r.request.id});
    }
    note("request_answered", r.request.id,
         fmt::format("status={} bytes={}", r.outcome.status, r.answer_bytes));
    leave_ledger(now, r);
    remove(now, r);
}

void request_path::refuse(time_point now, row& r, int status,
                          std::string reason, duration retry_after)
{
    if (r.run == verdict::may_have_run && !r.route.idempotent && r.attempts > 0)
    {
        retry_after = duration::zero(); // a repeat would learn no more
    }
    note("request_refused", r.request.id,
         fmt::format("verdict={} reason={}", name(r.run), reason));
    if (r.caller_waits)
    {
        emit_(answer_refusal{r.request.id,
                             {status, r.run, std::move(reason), retry_after}});
    }
    // An answer that was cut short cannot be given to a repeat.
    verdict const known =
        r.run == verdict::not_run ? verdict::not_run : verdict::may_have_run;
    r.outcome = run_outcome{known, 0, "", ""};
    leave_ledger(now, r);
    remove(now, r);
}

// Tells the caller of a stream that has begun where to go on, since its answer
// can no longer be refused: it is cut after this event.
void request_path::give_up_stream(row const& r, refusal const& why)
{
    if (!r.relay || !r.answer_begun)
    {
        return;
    }
    emit_(answer_piece{
        r.request.id,
        fmt::format("event: error\ndata: {{\"verdict\":\"{}\",\"reason\":"
                    "\"{}\",\"retry_after_ms\":{},\"resume_from\":{}}}\n\n",
                    name(why.run), why.reason, to_millis(why.retry_after),
                    r.relay->next_offset())});
}

// Reports the run, if the ledger gave this row the right to one.
void request_path::leave_ledger(time_point now, row& r)
{
    if (!r.right)
    {
        return;
    }
    run_id const right = *std::exchange(r.right, std::nullopt);
    ledger_.finish(now, right, std::move(r.outcome));
}

void request_path::remove(time_point now, row& r)
{
    if (r.admitted)
    {
        std::uint32_t const tokens = charged_tokens(
            tokens_in(r.request.body),
            static_cast<std::uint32_t>(r.answer_bytes / bytes_per_token));
        admission_of(r.route.service).on_end(now, r.request.id, tokens);
    }
    held_bytes_ -= r.request.body.size();
    rows_.erase(request_id(r.request.id));
}

void request_path::handle(time_point now, call_abandoned const& what)
{
    present_ = now;
    auto const found = rows_.find(what.request);
    if (found == rows_.end())
    {
        ledger_.abandon(now, what.request);
        return;
    }
    row& r = found->second;
    note("caller_left", what.request, "");
    r.caller_waits = false;
    if (r.right)
    {
        return; // it runs to its end, so that its outcome is recorded
    }
    if (r.at == stage::deciding)
    {
        ledger_.abandon(now, what.request);
    }
    if (r.at == stage::running)
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

// Gives the final answer on a request whose time has run out.
void request_path::expire(time_point now, row& r, int status,
                          std::string reason)
{
    if (r.at == stage::running)
    {
        emit_(cancel_attempt{r.attempt});
        r.run = combine(r.run, verdict::may_have_run);
        end_attempt(now, r);
    }
    if (r.at == stage::deciding)
    {
        ledger_.abandon(now, r.request.id);
    }
    if (!r.admitted)
    {
        admission_of(r.route.service).abandon(r.request.id);
    }
    refuse(now, r, status, std::move(reason), failure_retry_after);
}

void request_path::handle(time_point now, stop_requested const& what)
{
    present_ = now;
    stop_by_ = what.deadline;
    ledger_.stop(now, what.deadline);
    note("stopping", "",
         fmt::format("deadline_ms={}", to_millis(what.deadline - now)));
}

void request_path::upstream_leaving(std::string const& upstream)
{
    auto const index = upstreams_.find(upstream);
    if (index)
    {
        upstreams_.mark_leaving(upstream, upstreams_.row(*index).incarnation);
    }
}

void request_path::upstream_reported(std::string const& upstream,
                                     upstream_report const& report)
{
    auto const index = upstreams_.find(upstream);
    if (index)
    {
        router_.on_report(*index, report, upstreams_);
    }
}

std::vector<service_usage> request_path::usage(std::string const& vm,
                                               std::uint64_t incarnation)
{
    std::vector<service_usage> all;
    for (auto& [service, gate] : admissions_)
    {
        all.push_back({service, gate.usage(vm, incarnation)});
    }
    return all;
}

void request_path::merge_usage(time_point now, std::string const& service,
                               usage_summary const& peer)
{
    auto const gate = admissions_.find(service);
    if (gate != admissions_.end()) // else nothing of it is admitted here
    {
        gate->second.merge(now, peer);
    }
}

void request_path::adopt(time_point now,
                         std::vector<std::string> const& records)
{
    present_ = now;
    if (records.empty())
    {
        return;
    }
    absl::Status const taken = ledger_.adopt(now, records);
    note("records_adopted", "",
         fmt::format("count={} taken={}", records.size(), taken.ok()));
}

void request_path::apply(time_point now, log_batch const& batch)
{
    present_ = now;
    ledger_.apply(now, batch);
}

void request_path::set_log_reachable(time_point now, bool reachable)
{
    present_ = now;
    ledger_.set_reachable(now, reachable);
}

void request_path::vm_gone(time_point now, std::string const& vm)
{
    present_ = now;
    ledger_.vm_gone(now, vm);
}

void request_path::tick(time_point now)
{
    present_ = now;
    ledger_.tick(now);
    quarantine_.tick(now);
    bool const last_moment = stop_by_ && now >= *stop_by_ - stop_margin;
    std::vector<request_id> expired;
    std::vector<request_id> due;
    for (auto const& [id, r] : rows_)
    {
        if (now >= r.deadline || last_moment)
        {
            expired.push_back(id);
        }
        else if (r.at == stage::waiting && now >= r.attempt_due)
        {
            due.push_back(id);
        }
    }
    for (request_id const& id : expired)
    {
        row& r = rows_.at(id);
        bool const late = now >= r.deadline;
        late ? expire(now, r, 504, "deadline_passed")
             : expire(now, r, 503, "stopping");
    }
    for (request_id const& id : due)
    {
        dispatch(now, rows_.at(id));
    }
    for (auto& [service, gate] : admissions_)
    {
        admission_release const released = gate.release(now);
        for (refused_request const& given_up : released.refused)
        {
            refuse(now, rows_.at(given_up.id), given_up.why.status,
                   given_up.why.reason, given_up.why.retry_after);
        }
        for (request_id const& id : released.run)
        {
            admitted(now, id);
        }
    }
}

} // namespace amarantharch
