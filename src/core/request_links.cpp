// The part of request_path that tells faults of this VM's links from faults of
// upstreams: partitions, and crashes of upstreams, which look alike at first.
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::string_view connect_failed = "connect_failed";
constexpr std::string_view stream_cut = "stream_cut";
// When a caller may come back if no upstream can be reached: a VM that is
// partitioned from all of them finds out within this time that it is not.
constexpr duration unreachable_retry_after = std::chrono::seconds(1);
// Between doubts for silence alone, which a pause of all upstreams brings too.
constexpr duration silence_doubt_interval = std::chrono::seconds(2);
// How long a partitioned VM waits for other VMs' answers before it takes
// upstreams that it cannot reach for crashed.
constexpr duration crash_doubt_timeout = std::chrono::milliseconds(400);
// Where the incarnation of an upstream is not known, its crash is identified by
// the time in units of this, so that all VMs identify it alike.
constexpr duration crash_timestamp_resolution = std::chrono::milliseconds(500);

// The ids of a prompt's parts, in order; "-" for a request without a prompt.
std::string format_parts(std::vector<prompt_part> const& prompt)
{
    std::string text;
    for (prompt_part const& part : prompt)
    {
        text += fmt::format("{}{:x}", text.empty() ? "" : ",", part.id);
    }
    return text.empty() ? "-" : text;
}

} // namespace

bool request_path::is_unconnected(std::string_view reason)
{
    return reason == connect_failed || reason == "connect_timeout";
}

// ---- Partitions of this VM from the upstreams. ----

// Refuses a request for which no way to an upstream is known.
void request_path::refuse_unreachable(time_point now, row& r)
{
    duration retry_after = unreachable_retry_after;
    if (auto const fit = relays_.next_fit(now))
    {
        retry_after = std::min(retry_after, *fit - now);
    }
    refuse(now, r, 503, std::string(upstreams_unreachable), retry_after);
}

// Whether bytes have come over connections made before the partition.
bool request_path::has_living_connections(time_point now) const
{
    return now - last_byte_ < options_.reach.silence &&
           last_byte_ > reach_.partitioned_since().value_or(now);
}

bool request_path::is_on_dead_connection(time_point now,
                                         upstream_index upstream,
                                         time_point sent) const
{
    auto const since = reach_.partitioned_since();
    return since && reach_.confirmed() && !reach_.reaches(upstream) &&
           last_byte_ < *since && now - last_byte_ >= options_.reach.silence &&
           now - sent >= options_.reach.silence;
}

// Looks for silence on this VM's connections, makes the connections that settle
// a doubt, and gives up what waits on connections that are dead. A request that
// may not be repeated waits on, as its answer may still come.
void request_path::watch_connections(time_point now)
{
    if (members_ == nullptr)
    {
        return; // there is no other way to look for
    }
    bool const was_partitioned = reach_.partitioned();
    std::optional<upstream_index> silent;
    bool several_silent = false;
    std::vector<request_id> dead;
    for (auto const& [id, r] : rows_)
    {
        if (r.current_stage != stage::running || !r.relay.empty())
        {
            continue;
        }
        if (now - r.attempt_started >= options_.reach.silence)
        {
            several_silent =
                several_silent || silent.value_or(r.upstream) != r.upstream;
            silent = r.upstream;
        }
        bool const repeatable =
            r.route.idempotent && (!r.answer_begun || r.route.resumable);
        if (repeatable &&
            is_on_dead_connection(now, r.upstream, r.attempt_started))
        {
            dead.push_back(id);
        }
    }
    if (several_silent && now - last_byte_ >= options_.reach.silence &&
        now >= silence_doubt_due_)
    {
        silence_doubt_due_ = now + silence_doubt_interval;
        reach_.doubt(now);
    }
    for (upstream_index const each : reach_.take_due_checks(now, upstreams_))
    {
        upstream_profile const& profile = upstreams_.row(each).profile;
        emit_(check_upstream{profile.name, profile.address});
    }
    log_reach(was_partitioned);
    settle_doubted_crashes(now);
    for (request_id const& id : dead)
    {
        row& r = rows_.at(id);
        emit_(cancel_attempt{r.attempt});
        handle_failed_attempt(now, r, verdict::may_have_run,
                              std::string(upstreams_unreachable));
    }
}

void request_path::log_reach(bool was_partitioned)
{
    if (reach_.partitioned() != was_partitioned)
    {
        add_timeline_entry(was_partitioned ? "upstreams_reached"
                                           : "partitioned_from_upstreams",
                           "", "");
    }
}

void request_path::note_answer(time_point now, upstream_index upstream,
                               std::uint64_t incarnation, int status,
                               header_list const& headers)
{
    event_time_ = now;
    note_byte(now);
    hear_answer(now, {upstreams_.row(upstream).profile.name, incarnation},
                options_.api_dialect->read_answer({}, status, headers));
}

void request_path::note_failure(time_point now, upstream_index upstream,
                                std::string const& reason)
{
    if (members_ != nullptr && is_unconnected(reason))
    {
        reach_.on_connection_failed(now, upstream);
    }
}

void request_path::note_byte_of(time_point now, row const& r)
{
    if (r.relay.empty())
    {
        note_byte(now);
        return;
    }
    reach_.on_reached_by_others(r.upstream);
}

// The VM that was to run the attempt declined it, or was lost. This shows
// nothing about the upstream.
void request_path::handle_lost_relay(time_point now, row& r, verdict run,
                                     std::string const& reason)
{
    add_timeline_entry("attempt_failed", r.request.id,
                       fmt::format("attempt={} run={} reason={} relay={}",
                                   r.attempt, name(run), reason, r.relay));
    relays_.on_unfit(now, r.relay);
    retry_or_refuse(now, r, run, reason,
                    run == verdict::not_run ? retry_cause::not_connected
                                            : retry_cause::failed);
}

// ---- Crashes of upstreams. ----

// Looks for signs of a crash in a failed attempt: a connection that was lost,
// or one that was refused.
void request_path::detect_crash(time_point now, row const& r,
                                std::string const& reason)
{
    upstream_row const& upstream = upstreams_.row(r.upstream);
    if (upstream.leaving || !upstream.present)
    {
        return;
    }
    if (reason == connect_failed)
    {
        if (auto const suspects =
                crash_detector_.record_refused_connection(now, r.upstream))
        {
            doubt_crash(now, r.upstream, *suspects);
        }
        return;
    }
    if (reason != "connection_lost" && reason != "answer_cut" &&
        reason != stream_cut)
    {
        return;
    }
    attempts_in_flight in_flight;
    for (auto const& [attempt, request] : attempts_)
    {
        row const& other = rows_.at(request);
        if (other.upstream == r.upstream)
        {
            in_flight[attempt] = {other.request_fingerprint, other.answer_begun,
                                  suspect_parts(other.request.metadata.prompt),
                                  now - other.attempt_started};
        }
    }
    add_timeline_entry(
        "connection_lost", r.request.id,
        fmt::format("upstream={} incarnation={} in_flight={} begun={} parts={}",
                    upstream.profile.name, r.upstream_incarnation,
                    in_flight.size(), r.answer_begun,
                    format_parts(r.request.metadata.prompt)));
    if (auto const suspects = crash_detector_.record_lost_connection(
            now, r.upstream, r.attempt, in_flight))
    {
        doubt_crash(now, r.upstream, *suspects);
    }
    else if (crash_detector_.needs_check(r.upstream))
    {
        emit_(check_upstream{upstream.profile.name, upstream.profile.address});
    }
}

void request_path::handle(time_point now, upstream_checked const& what)
{
    event_time_ = now;
    auto const index = upstreams_.find(what.upstream);
    if (!index)
    {
        return;
    }
    if (members_ != nullptr)
    {
        bool const was_partitioned = reach_.partitioned();
        reach_.on_checked(now, *index, what.accepted);
        log_reach(was_partitioned);
    }
    settle_doubted_crashes(now);
    if (!what.refused || upstreams_.row(*index).leaving)
    {
        return;
    }
    if (auto const suspects =
            crash_detector_.record_refused_connection(now, *index))
    {
        doubt_crash(now, *index, *suspects);
    }
}

// Holds a crash back until it is known whether the connections were lost
// because this VM is partitioned. Where other VMs get no answers either, the
// upstreams have crashed.
void request_path::doubt_crash(time_point now, upstream_index upstream,
                               crash_suspects suspects)
{
    upstream_row const& crashed = upstreams_.row(upstream);
    // An upstream whose incarnation is not known is identified by the time.
    std::uint64_t const incarnation =
        crashed.incarnation > 0
            ? crashed.incarnation
            : static_cast<std::uint64_t>(now.time_since_epoch() /
                                         crash_timestamp_resolution);
    doubted_crashes_.push_back({{crashed.profile.name, incarnation},
                                std::move(suspects),
                                now,
                                reserved_.contains(upstream)});
    if (members_ != nullptr)
    {
        reach_.on_connection_failed(now, upstream);
        reach_.doubt(now);
    }
    settle_doubted_crashes(now);
}

void request_path::settle_doubted_crashes(time_point now)
{
    if (reach_.in_doubt())
    {
        return;
    }
    for (doubted_crash& each : std::exchange(doubted_crashes_, {}))
    {
        bool const waits = reach_.partitioned() && !reach_.confirmed() &&
                           now - each.doubted_at < crash_doubt_timeout;
        if (waits)
        {
            doubted_crashes_.push_back(std::move(each));
            continue;
        }
        if (!reach_.confirmed())
        {
            record_crash(each);
            continue;
        }
        add_timeline_entry("crash_not_concluded", "",
                           fmt::format("upstream={} incarnation={}",
                                       each.crash.upstream,
                                       each.crash.incarnation));
    }
}

// Marks the requests that may have crashed an upstream.
void request_path::record_crash(doubted_crash const& what)
{
    quarantine_.crashed(what.suspects.lost_at, what.crash,
                        what.suspects.requests, what.ran_alone);
    part_quarantine_.crashed(what.suspects.lost_at, what.crash,
                             what.suspects.parts);
    add_timeline_entry(
        "upstream_crashed", "",
        fmt::format("upstream={} incarnation={} requests={} parts={}",
                    what.crash.upstream, what.crash.incarnation,
                    what.suspects.requests.size(), what.suspects.parts.size()));
}

} // namespace amarantharch
