// The part of request_path that heeds what upstreams say of themselves: that
// they leave, want a pause, name a limit, are brittle or cold.
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace amarantharch
{

namespace
{

// How long a brittle upstream that has turned a request away gets none.
constexpr duration brittle_rest = std::chrono::milliseconds(250);
// How long after a refusal the VMs keep to a part of what the slots bear, and
// to which: the time of an answer is an estimate, and turns may bunch.
constexpr duration brittle_span = std::chrono::seconds(10);
constexpr double brittle_load = 0.85;
// How long a request holds a slot of a service that has answered none.
constexpr duration unknown_hold = std::chrono::seconds(1);
// Failures that show no more than that an answer did not come in time.
constexpr std::string_view slow_reasons[] = {"connect_timeout", "head_timeout",
                                             "piece_timeout", "answer_timeout",
                                             "timeout"};

} // namespace

void request_path::merge_limit(time_point now, upstream_limit const& heard)
{
    if (upstreams_.merge_limit(now, heard))
    {
        log_limit(now, heard.upstream, "peer");
    }
}

// Takes what the head of an answer says of its upstream, or does not say.
void request_path::hear_answer(time_point now, leaving_upstream const& from,
                               answer_metadata const& metadata)
{
    if (metadata.from_other_upstream)
    {
        return;
    }
    heed_notice(now, from, metadata.notice);
    auto const& limit = metadata.notice.request_limit;
    if ((limit || metadata.tells_of_limits) &&
        upstreams_.hear_limit(now, from.upstream, from.incarnation, limit))
    {
        log_limit(now, from.upstream, "answer");
    }
    auto const& refusals = metadata.notice.refusal_limit;
    if ((refusals || metadata.tells_of_limits) &&
        upstreams_.hear_refusal_limit(from.upstream, from.incarnation,
                                      refusals))
    {
        add_timeline_entry(
            refusals ? "upstream_brittle" : "upstream_brittle_ended", "",
            refusals ? fmt::format("upstream={} refusals_per_second={}",
                                   from.upstream, *refusals)
                     : fmt::format("upstream={}", from.upstream));
    }
}

// A brittle upstream has turned a request away. What all VMs have turned away
// there in a second counts, so all of them let it rest until it has room, and
// then keep to what it bears: turns as for a limit that it names, of which each
// VM may use its own. The other brittle upstreams of the service are next to
// run out of room, and get the same limit.
void request_path::spare_brittle(time_point now, upstream_index upstream,
                                 std::uint64_t incarnation)
{
    std::string const& name = upstreams_.row(upstream).profile.name;
    auto const known =
        mean_holds_.find(upstreams_.row(upstream).profile.service);
    duration const hold =
        known == mean_holds_.end() ? unknown_hold : known->second;
    if (take_refusal(now, name, incarnation, hold))
    {
        found_refusals_[name] = {now, incarnation, hold};
    }
}

// Returns false if the upstream was resting already.
bool request_path::take_refusal(time_point now, std::string const& upstream,
                                std::uint64_t incarnation, duration hold)
{
    if (!upstreams_.pause(upstream, incarnation, now + brittle_rest))
    {
        return false;
    }
    upstream_profile const& refusing =
        upstreams_.row(*upstreams_.find(upstream)).profile;
    for (auto const& point : upstreams_.ring(refusing.service))
    {
        upstream_row const& each = upstreams_.row(point.upstream);
        double const borne =
            each.profile.slots / std::chrono::duration<double>(hold).count();
        if (each.refusal_limit)
        {
            bool const rests = each.profile.name == upstream;
            upstreams_.impose_limit(
                now, each.profile.name, each.incarnation, borne * brittle_load,
                rests ? now + brittle_rest : now, now + brittle_span);
        }
    }
    add_timeline_entry("upstream_turned_away", "",
                       fmt::format("upstream={} hold_ms={} rests_ms={}",
                                   upstream, to_millis(hold),
                                   to_millis(brittle_rest)));
    return true;
}

std::vector<upstream_refusal> request_path::take_refusals(time_point now)
{
    std::vector<upstream_refusal> refusals;
    for (auto const& [name, each] : std::exchange(found_refusals_, {}))
    {
        auto const index = upstreams_.find(name);
        std::uint32_t const limit =
            index ? upstreams_.row(*index).refusal_limit.value_or(0) : 0;
        refusals.push_back({name, each.incarnation, (now - each.at).count(),
                            each.hold.count(), limit});
    }
    return refusals;
}

// Not passed on: the VM that was refused tells all.
void request_path::merge_refusal(time_point now, upstream_refusal const& heard)
{
    if (upstreams_.find(heard.upstream) && heard.hold_us > 0 &&
        duration(heard.age_us) < brittle_rest)
    {
        upstreams_.hear_refusal_limit(heard.upstream, heard.incarnation,
                                      heard.refusal_limit);
        take_refusal(now, heard.upstream, heard.incarnation,
                     duration(heard.hold_us));
    }
}

void request_path::log_limit(time_point now, std::string const& upstream,
                             std::string_view source)
{
    upstream_row const& named = upstreams_.row(*upstreams_.find(upstream));
    std::int64_t const age_ms = to_millis(now - named.limit_since);
    if (!named.limit)
    {
        add_timeline_entry("upstream_limit_ended", "",
                           fmt::format("upstream={} source={} age_ms={}",
                                       upstream, source, age_ms));
        return;
    }
    add_timeline_entry(
        "upstream_limited", "",
        fmt::format("upstream={} per_second={} source={} age_ms={} vms={} "
                    "interval_ms={}",
                    upstream, named.limit->per_second(), source, age_ms,
                    used_position_.vms, to_millis(named.limit->interval())));
}

// Stops sending to an upstream that is shutting down or asks for a pause.
void request_path::heed_notice(time_point now, leaving_upstream const& from,
                               upstream_notice const& notice)
{
    if (notice.leaving &&
        upstreams_.mark_leaving(from.upstream, from.incarnation))
    {
        found_leaving_.push_back(from);
        add_timeline_entry(
            "upstream_leaving", "",
            fmt::format("upstream={} incarnation={} source=answer",
                        from.upstream, from.incarnation));
    }
    if (notice.cold_for)
    {
        hear_cold(now, from, *notice.cold_for, "answer");
    }
    if (notice.pause &&
        upstreams_.pause(from.upstream, from.incarnation, now + *notice.pause))
    {
        add_timeline_entry("upstream_paused", "",
                           fmt::format("upstream={} incarnation={} for_ms={}",
                                       from.upstream, from.incarnation,
                                       to_millis(*notice.pause)));
    }
}

bool request_path::is_only_slow(std::string_view reason)
{
    return std::ranges::find(slow_reasons, reason) != std::end(slow_reasons);
}

// Puts the tables' rates for cold upstreams in force.
void request_path::set_warm_ups(time_point now)
{
    std::map<std::string, double, std::less<>> rates;
    for (warm_up_spec const& spec : tables_->warm_ups)
    {
        if (spec.per_second > 0)
        {
            rates[spec.service] = spec.per_second;
        }
    }
    upstreams_.set_warm_up_rates(now, std::move(rates));
    for (upstream_index i = 0; i < upstreams_.size(); ++i)
    {
        if (!logged_cold_.contains(upstreams_.row(i).profile.name))
        {
            log_cold(now, i, "configuration");
        }
    }
}

void request_path::hear_cold(time_point now, leaving_upstream const& from,
                             duration cold_for, std::string_view source)
{
    if (upstreams_.hear_cold(now, from.upstream, from.incarnation,
                             std::min(cold_for, max_cold_time)))
    {
        log_cold(now, *upstreams_.find(from.upstream), source);
    }
}

// A cold upstream of a service without a rate is used like any other.
void request_path::log_cold(time_point now, upstream_index upstream,
                            std::string_view source)
{
    upstream_row const& cold = upstreams_.row(upstream);
    if (!cold.present || !cold.warms_up(now))
    {
        return;
    }
    logged_cold_.insert(cold.profile.name);
    add_timeline_entry(
        "upstream_cold", "",
        fmt::format("upstream={} incarnation={} source={} remaining_ms={} "
                    "per_second={} vms={} interval_ms={}",
                    cold.profile.name, cold.incarnation, source,
                    to_millis(cold.cold_until - now),
                    cold.warm_up->per_second(), used_position_.vms,
                    to_millis(cold.warm_up->interval())));
}

void request_path::log_warm_upstreams(time_point now)
{
    std::erase_if(
        logged_cold_,
        [&](std::string const& name)
        {
            auto const index = upstreams_.find(name);
            bool const is_cold = index && upstreams_.row(*index).warms_up(now);
            if (index && !is_cold)
            {
                add_timeline_entry("upstream_warm", "", "upstream=" + name);
            }
            return !is_cold;
        });
}

void request_path::record_hold(row const& r, duration held)
{
    constexpr int weight = 8; // of what is known
    auto const [known, added] = mean_holds_.try_emplace(r.route.service, held);
    if (!added)
    {
        known->second += (held - known->second) / weight;
    }
}

} // namespace amarantharch
