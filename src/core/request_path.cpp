#include "core/request_path.hpp"

#include "core/call_fields.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration overload_retry_after = std::chrono::seconds(1);
constexpr duration accepted_retry_after = std::chrono::seconds(1);
// Unfinished requests are given up so long before the grace ends, which leaves
// time to write their answers: a part of the grace, within a maximum.
constexpr duration stop_margin_max = std::chrono::milliseconds(500);
constexpr int stop_margin_divisor = 10;
constexpr int too_many_requests = 429;
constexpr std::uint32_t default_output_tokens = 128;
// How long upstreams' limits are still shared with VMs that are not listed any
// more: a list may be incomplete for a moment.
constexpr duration fleet_memory = std::chrono::seconds(30);
constexpr std::string_view inquiry_prefix = "/v1/requests/";

upstream_profile profile_of(upstream_spec const& spec,
                            request_path_options const& options)
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
    profile.prefill_tokens_per_ms = options.engine_prefill_tokens_per_ms;
    return profile;
}

ledger_options ledger_options_of(request_path_options const& options)
{
    ledger_options result = options.requests_ledger;
    result.vm = options.vm;
    result.incarnation = options.incarnation;
    return result;
}

prompt_part_quarantine_options
part_options_of(request_path_options const& options)
{
    prompt_part_quarantine_options result = options.quarantined_parts;
    result.vm = options.vm;
    return result;
}

upstream_reach_options reach_options_of(request_path_options const& options)
{
    upstream_reach_options result = options.reach;
    result.seed = options.seed;
    return result;
}

} // namespace

request_path::request_path(request_path_options options, command_sink emit,
                           record_appender append)
    : options_(std::move(options)), emit_(std::move(emit)),
      append_(std::move(append)), tables_(std::make_shared<routing_tables>()),
      router_(options_.routing), retries_(options_.retries),
      outliers_(options_.outliers), quotas_(options_.quotas),
      started_usage_(options_.usage_window), quarantine_(options_.quarantined),
      part_quarantine_(part_options_of(options_)),
      crash_detector_(options_.crashes), reach_(reach_options_of(options_)),
      relays_(options_.relays),
      ledger_(ledger_options_of(options_),
              [this](ledger_effect const& effect) {
                  std::visit([this](auto const& e) { take(event_time_, e); },
                             effect);
              })
{
}

void request_path::set_routing_tables(
    time_point now, std::shared_ptr<routing_tables const> tables)
{
    std::vector<std::string> names;
    for (upstream_spec const& spec : tables->upstreams)
    {
        names.push_back(spec.name);
        upstreams_.put(profile_of(spec, options_));
    }
    for (upstream_spec const& spec : tables_->upstreams)
    {
        if (std::find(names.begin(), names.end(), spec.name) == names.end())
        {
            forget_upstream(spec.name);
        }
    }
    tables_ = std::move(tables);
    set_warm_ups(now);
    refresh_ranks();
    for (organisation_spec const& organisation : tables_->organisations)
    {
        quotas_.configure(now, organisation.name, organisation.quota);
    }
    for (auto& [service, service_admission] : admissions_)
    {
        for (organisation_spec const& organisation : tables_->organisations)
        {
            service_admission.set_weight(organisation.name,
                                         organisation.weight);
        }
    }
}

void request_path::forget_upstream(std::string const& name)
{
    auto const index = upstreams_.find(name);
    if (index)
    {
        upstreams_.remove(name, upstreams_.row(*index).incarnation);
        full_since_.erase(*index);
        router_.on_upstream_reset(*index);
        outliers_.on_upstream_reset(*index);
        crash_detector_.on_upstream_reset(*index);
        reach_.on_upstream_reset(*index);
    }
}

void request_path::set_fleet_position(time_point now, fleet_position position)
{
    quotas_.set_fleet_size(position.vms);
    part_quarantine_.set_position(position);
    demand_.set_fleet_size(position.vms);
    if (options_.fleet_retry_cap > 0)
    {
        retries_.set_cap(options_.fleet_retry_cap /
                         static_cast<double>(position.vms));
    }
    listed_position_ = position;
    if (position.vms >= used_position_.vms)
    {
        use_fleet_position(now, position);
    }
}

void request_path::use_fleet_position(time_point now, fleet_position position)
{
    used_position_ = position;
    shrink_due_ = now + fleet_memory;
    upstreams_.set_fleet_position(now, position);
}

// The limit on requests in flight starts at the total slots of the service's
// upstreams that are not evacuated, times admitted_per_slot, and never exceeds
// it.
admission_options request_path::admission_for(std::string const& service) const
{
    admission_options options = options_.admission;
    std::uint32_t total_slots = 0;
    for (auto const& ring_point : upstreams_.ring(service))
    {
        upstream_row const& upstream = upstreams_.row(ring_point.upstream);
        total_slots += upstream.evacuated ? 0 : upstream.profile.slots;
    }
    auto const slots =
        static_cast<std::uint32_t>(total_slots * options_.admitted_per_slot);
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
    admission& service_admission =
        admissions_.emplace(service, admission(admission_for(service)))
            .first->second;
    for (organisation_spec const& organisation : tables_->organisations)
    {
        service_admission.set_weight(organisation.name, organisation.weight);
    }
    return service_admission;
}

void request_path::add_timeline_entry(std::string kind,
                                      request_id const& request,
                                      std::string details)
{
    emit_(record_timeline{std::move(kind), request, std::move(details)});
}

// ---- Arrival. ----

// Combines the ranks; the organisation's has precedence over the route's.
std::uint8_t request_path::urgency_of(std::string const& organisation,
                                      route_spec const& route) const
{
    constexpr int ranks_each = 3;
    int rank = route.urgency_rank;
    for (organisation_spec const& known : tables_->organisations)
    {
        rank +=
            known.name == organisation ? known.urgency_rank * ranks_each : 0;
    }
    return static_cast<std::uint8_t>(std::min<int>(rank, lowest_urgency_rank));
}

std::uint32_t request_path::expected_output(row const& r)
{
    if (r.request.metadata.size)
    {
        return r.request.metadata.size->max_output;
    }
    return r.route.kind == upstream_kind::engine ? default_output_tokens : 1;
}

std::optional<refusal>
request_path::refuse_early(call const& request, std::string const& organisation,
                           route_spec const* route) const
{
    if (!tables_->known)
    {
        return refusal{503, verdict::not_run, "no_configuration",
                       overload_retry_after};
    }
    if (route == nullptr)
    {
        return refusal{404, verdict::not_run, "no_route", duration::zero()};
    }
    if (!admits(*route, organisation))
    {
        return refusal{403, verdict::not_run, "organisation_not_admitted",
                       duration::zero()};
    }
    bool const lacks_key =
        options_.records_requests && wants_asynchronous(request) &&
        !route->idempotent &&
        header_value(request.headers, "Idempotency-Key").empty();
    if (lacks_key)
    {
        return refusal{400, verdict::not_run, "idempotency_key_required",
                       duration::zero()};
    }
    bool const full =
        rows_.size() >= options_.max_requests ||
        body_bytes_ + memory_of_body(request) > options_.max_request_bytes;
    if (full)
    {
        return refusal{503, verdict::not_run, "vm_full", overload_retry_after};
    }
    return std::nullopt;
}

// Refuses a request that the routing tables do not allow, or for which this VM
// has no room.
void request_path::refuse_unadmitted(request_id const& id, refusal const& why)
{
    add_timeline_entry("request_refused", id,
                       fmt::format("verdict={} reason={} configuration={}",
                                   name(why.run), why.reason,
                                   tables_->version));
    emit_(answer_refusal{id, why});
}

void request_path::handle(time_point now, call_received const& what)
{
    event_time_ = now;
    call const& request = what.request;
    route_spec const* const route =
        match_route(*tables_, request.target, request.metadata.host);
    bool const open = route != nullptr && route->open_to_all;
    auto const organisation =
        open || !tables_->known
            ? std::string()
            : identify_organisation(*tables_, request.credential_digest);
    if (!organisation)
    {
        refuse_unadmitted(
            request.id,
            {401, verdict::not_run, "unknown_organisation", duration::zero()});
        return;
    }
    if (options_.records_requests && request.target.starts_with(inquiry_prefix))
    {
        answer_inquiry(now, request, *organisation);
        return;
    }
    if (auto const why = refuse_early(request, *organisation, route))
    {
        refuse_unadmitted(request.id, *why);
        return;
    }
    row& r = rows_[request.id];
    r.request = request;
    r.received = now;
    r.organisation = *organisation;
    r.route = *route;
    r.route.service = service_of(*route, request.id);
    r.priority = class_of(route->priority);
    r.urgency = urgency_of(*organisation, *route);
    r.deadline =
        now + std::min(route->timeout,
                       request.metadata.time_limit.value_or(route->timeout));
    r.request_fingerprint =
        fingerprint_of(route->service, *organisation, request.method,
                       request.target, request.body);
    body_bytes_ += memory_of_body(request);
    if (route->event_stream)
    {
        r.sse_relay.emplace(request.metadata.resume_after);
    }
    else if (route->kind == upstream_kind::engine && wants_stream(request.body))
    {
        r.token_relay.emplace(stream_id_of(request),
                              resume_offset(request.headers),
                              options_.stream_history_bytes);
    }
    add_timeline_entry(
        "request_received", request.id,
        fmt::format("route={} organisation={}", route->name, *organisation));
    if (stop_time_ && r.deadline > *stop_time_)
    {
        refuse(now, r, 503, "stopping", failure_retry_after);
        return;
    }
    if (options_.records_requests && !route->idempotent &&
        wants_asynchronous(request))
    {
        submit(now, r, true);
        return;
    }
    if (spend_quota(now, r))
    {
        admit(now, r);
    }
}

// Charges the request to its organisation's quota. Returns false if it was
// refused.
bool request_path::spend_quota(time_point now, row& r)
{
    for (organisation_spec const& organisation : tables_->organisations)
    {
        if (organisation.name != r.organisation)
        {
            continue;
        }
        double const units = units_of(r, organisation.quota);
        quota_decision const decision =
            quotas_.spend(now, r.organisation, units);
        if (!decision.allowed)
        {
            add_timeline_entry(
                "quota_exceeded", r.request.id,
                fmt::format(
                    "organisation={} units={} level={:.0f} unheard={:.0f} "
                    "share={:.2f}",
                    r.organisation, units, decision.level, decision.unheard,
                    decision.share));
            refuse(now, r, too_many_requests, "quota_exceeded",
                   decision.retry_after);
            return false;
        }
        r.quota_units = units;
    }
    return true;
}

double request_path::units_of(row const& r, quota_spec const& quota)
{
    if (!quota.counts_tokens)
    {
        return 1;
    }
    auto const& size = r.request.metadata.size;
    return size ? static_cast<double>(size->prompt) + size->max_output
                : quota.unsized_request_tokens;
}

void request_path::answer_inquiry(time_point now, call const& request,
                                  std::string const& organisation)
{
    std::string const given = request.target.substr(inquiry_prefix.size());
    ledger_.inquire(now, request.id, key_from_header(organisation, given));
}

std::uint32_t request_path::prompt_tokens(row const& r)
{
    return r.request.metadata.size ? r.request.metadata.size->prompt
                                   : estimate_tokens(r.request.body);
}

void request_path::admit(time_point now, row& r)
{
    admission_request admission_query;
    admission_query.id = r.request.id;
    admission_query.organisation = r.organisation;
    admission_query.priority = r.priority;
    admission_query.tokens =
        charged_tokens(prompt_tokens(r), expected_output(r));
    admission_query.bytes = r.request.body.size();
    admission_query.deadline = r.deadline;
    demand_.on_admitted(now, r.route.service, admission_query.tokens);
    if (refuse_if_evacuated(now, r))
    {
        return;
    }
    admission_result const result =
        admission_of(r.route.service).offer(now, admission_query);
    for (refused_request const& given_up : result.evicted)
    {
        row& other = rows_.at(given_up.id);
        refuse(now, other, given_up.why.status, given_up.why.reason,
               given_up.why.retry_after);
    }
    if (result.outcome == admission_outcome::run_now)
    {
        start_admitted(now, admission_query.id);
    }
    else if (result.outcome == admission_outcome::refused)
    {
        refuse(now, rows_.at(admission_query.id), result.why->status,
               result.why->reason, result.why->retry_after);
    }
}

void request_path::start_admitted(time_point now, request_id const& id)
{
    row& r = rows_.at(id);
    r.admitted = true;
    if (r.route.idempotent || r.ledger_run || !options_.records_requests)
    {
        dispatch(now, r);
        return;
    }
    submit(now, r, false);
}

void request_path::submit(time_point now, row& r, bool asynchronous)
{
    r.current_stage = stage::deciding;
    submission what;
    what.request = r.request.id;
    what.key = key_of(r.request, r.organisation);
    what.content = content_digest(route_text(r.request), r.request.body);
    what.asynchronous = asynchronous;
    if (asynchronous)
    {
        what.call = to_stored_call(r.request, r.organisation, r.route.service);
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
    found->second.ledger_run = effect.run;
    dispatch(now, found->second);
}

void request_path::take(time_point now, accepted_reply const& effect)
{
    answer_accepted(now, effect.request);
}

void request_path::take(time_point now, stored_outcome_reply const& effect)
{
    replay_outcome(now, effect.request, effect.outcome);
}

void request_path::take(time_point now, refused_reply const& effect)
{
    pass_on_refusal(now, effect.request, effect.why);
}

void request_path::take(time_point, handover_message const& effect)
{
    handed_over_ = effect.records; // each effect lists all unsettled records
}

// Answers with the ledger's refusal of a request or of a status inquiry.
void request_path::pass_on_refusal(time_point now, request_id const& id,
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

// Answers 202 to an asynchronous request, with the URL of its outcome.
void request_path::answer_accepted(time_point now, request_id const& id)
{
    auto const found = rows_.find(id);
    if (found == rows_.end()) // a status inquiry about an accepted request
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
    add_timeline_entry("request_accepted", id, "key=" + key);
    remove(now, r);
}

// Answers with the recorded outcome of an earlier request with the same key.
void request_path::replay_outcome(time_point now, request_id const& id,
                                  stored_outcome const& outcome)
{
    if (outcome.run != verdict::ran || !outcome.answer_kept)
    {
        bool const ran = outcome.run == verdict::ran;
        pass_on_refusal(
            now, id,
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
    add_timeline_entry("request_repeated", id, "");
    auto const found = rows_.find(id);
    if (found != rows_.end())
    {
        remove(now, found->second);
    }
}

// Runs an accepted asynchronous request, for which no caller waits.
void request_path::run_detached(time_point now, run_request const& what)
{
    call request = from_stored_call(what.call);
    request.id = fmt::format("{}-detached-{}", options_.vm, next_detached_++);
    route_spec const* const route = match_route(*tables_, request.target);
    if (route == nullptr || what.call.method.empty())
    {
        // Nothing was sent, so the key may be used again.
        ledger_.finish(now, what.run, run_outcome{verdict::not_run, 0, "", ""});
        return;
    }
    row& r = rows_[request.id];
    body_bytes_ += memory_of_body(request);
    r.request_fingerprint =
        fingerprint_of(route->service, what.call.organisation, request.method,
                       request.target, request.body);
    r.request = std::move(request);
    r.organisation = what.call.organisation;
    r.route = *route;
    r.priority = class_of(route->priority);
    r.urgency = urgency_of(r.organisation, r.route);
    r.received = now;
    r.deadline = now + route->timeout;
    r.ledger_run = what.run;
    r.caller_waits = false;
    admit(now, r);
}

// ---- Upstreams, peers, the log and time. ----

void request_path::handle(time_point now, stop_requested const& what)
{
    event_time_ = now;
    stop_time_ =
        what.deadline -
        std::min(stop_margin_max, (what.deadline - now) / stop_margin_divisor);
    ledger_.stop(now, what.deadline);
    add_timeline_entry(
        "stopping", "",
        fmt::format("deadline_ms={}", to_millis(what.deadline - now)));
}

void request_path::upstream_leaving(std::string const& upstream)
{
    auto const index = upstreams_.find(upstream);
    if (index)
    {
        upstream_leaving(
            leaving_upstream{upstream, upstreams_.row(*index).incarnation});
    }
}

void request_path::upstream_leaving(leaving_upstream const& what)
{
    if (upstreams_.mark_leaving(what.upstream, what.incarnation))
    {
        found_leaving_.push_back(what);
    }
}

void request_path::handle(time_point now, upstream_noticed const& what)
{
    event_time_ = now;
    auto const index = upstreams_.find(what.upstream);
    if (!index)
    {
        return;
    }
    std::uint64_t const incarnation = upstreams_.row(*index).incarnation;
    heed_notice(now, {what.upstream, incarnation}, what.notice);
    if (what.notice.request_limit &&
        upstreams_.hear_limit(now, what.upstream, incarnation,
                              what.notice.request_limit))
    {
        log_limit(now, what.upstream, "load_read");
    }
}

void request_path::handle(time_point now, upstream_listed const& what)
{
    event_time_ = now;
    std::string const& name = what.upstream.name;
    auto const known = upstreams_.find(name);
    if (known && what.incarnation > upstreams_.row(*known).incarnation)
    {
        full_since_.erase(*known);
        router_.on_upstream_reset(*known);
        outliers_.on_upstream_reset(*known);
        crash_detector_.on_upstream_reset(*known);
        reach_.on_upstream_reset(*known);
    }
    upstreams_.put(profile_of(what.upstream, options_), what.incarnation);
    hear_cold(now, {name, what.incarnation}, what.cold_for, "directory");
    if (what.leaving)
    {
        upstreams_.mark_leaving(name, what.incarnation);
    }
    if (!known || what.leaving)
    {
        add_timeline_entry(
            what.leaving ? "upstream_leaving" : "upstream_entered", "",
            fmt::format("upstream={} service={} address={} incarnation={}",
                        name, what.upstream.service, what.upstream.address,
                        what.incarnation));
    }
    refresh_limit(what.upstream.service);
}

void request_path::handle(time_point now, upstream_unlisted const& what)
{
    event_time_ = now;
    auto const known = upstreams_.find(what.upstream);
    if (!known)
    {
        return;
    }
    std::string const service = upstreams_.row(*known).profile.service;
    forget_upstream(what.upstream);
    add_timeline_entry(
        "upstream_removed", "",
        fmt::format("upstream={} service={}", what.upstream, service));
    refresh_limit(service);
}

// Updates the admission limit after a change of the service's upstreams.
void request_path::refresh_limit(std::string const& service)
{
    auto const service_admission = admissions_.find(service);
    if (service_admission != admissions_.end())
    {
        service_admission->second.set_limit(admission_for(service).limit);
    }
}

void request_path::log_speeds(time_point now)
{
    for (auto const& change : router_.take_speed_changes(now, upstreams_))
    {
        upstream_profile const& profile =
            upstreams_.row(change.upstream).profile;
        add_timeline_entry(
            "upstream_speed", "",
            fmt::format("upstream={} service={} work_time={:.2f} before={:.2f} "
                        "prefill_tokens_per_ms={:.1f}",
                        profile.name, profile.service, change.factors.after,
                        change.factors.before,
                        router_.pace_of(profile.service) == nullptr
                            ? 0
                            : router_.pace_of(profile.service)
                                  ->prefill_tokens_per_ms()));
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
    for (auto& [service, service_admission] : admissions_)
    {
        all.push_back({service, service_admission.usage(vm, incarnation)});
    }
    return all;
}

void request_path::merge_usage(time_point now, std::string const& service,
                               usage_summary const& peer)
{
    auto const service_admission = admissions_.find(service);
    if (service_admission != admissions_.end()) // else no request of it so far
    {
        service_admission->second.merge(now, peer);
    }
}

void request_path::adopt(time_point now,
                         std::vector<std::string> const& records)
{
    event_time_ = now;
    if (records.empty())
    {
        return;
    }
    absl::Status const adopted = ledger_.adopt(now, records);
    add_timeline_entry(
        "records_adopted", "",
        fmt::format("count={} taken={}", records.size(), adopted.ok()));
}

void request_path::apply(time_point now, log_batch const& batch)
{
    event_time_ = now;
    ledger_.apply(now, batch);
}

void request_path::set_log_reachable(time_point now, bool reachable)
{
    event_time_ = now;
    ledger_.set_reachable(now, reachable);
}

void request_path::vm_gone(time_point now, std::string const& vm)
{
    event_time_ = now;
    ledger_.vm_gone(now, vm);
}

void request_path::tick(time_point now)
{
    event_time_ = now;
    ledger_.tick(now);
    quarantine_.tick(now);
    part_quarantine_.tick(now);
    demand_.tick(now);
    watch_connections(now);
    log_warm_upstreams(now);
    log_speeds(now);
    end_full_marks(now);
    if (listed_position_ != used_position_ && now >= shrink_due_)
    {
        use_fleet_position(now, listed_position_);
    }
    bool const must_stop_now = stop_time_ && now >= *stop_time_;
    std::vector<request_id> expired;
    std::vector<request_id> due;
    for (auto const& [id, r] : rows_)
    {
        if (now >= r.deadline || must_stop_now)
        {
            expired.push_back(id);
        }
        else if (r.current_stage == stage::waiting && now >= r.attempt_due)
        {
            due.push_back(id);
        }
    }
    for (request_id const& id : expired)
    {
        row& r = rows_.at(id);
        bool const past_deadline = now >= r.deadline;
        past_deadline ? expire(now, r, 504, "deadline_passed")
                      : expire(now, r, 503, "stopping");
    }
    // Turns at upstreams with limits, and room, go to the most urgent first,
    // and of these to the one with the least slack.
    std::ranges::stable_sort(due, {},
                             [this, now](request_id const& id)
                             {
                                 row const& r = rows_.at(id);
                                 return std::pair(rank_in_queue(now, r),
                                                  r.deadline - r.predicted);
                             });
    for (request_id const& id : due)
    {
        dispatch(now, rows_.at(id));
    }
    for (auto& [service, service_admission] : admissions_)
    {
        admission_release const released = service_admission.release(now);
        for (refused_request const& given_up : released.refused)
        {
            refuse(now, rows_.at(given_up.id), given_up.why.status,
                   given_up.why.reason, given_up.why.retry_after);
        }
        for (request_id const& id : released.run)
        {
            start_admitted(now, id);
        }
    }
}

} // namespace amarantharch
