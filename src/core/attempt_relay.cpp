#include "core/attempt_relay.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

// Whether `address` (ip:port) has this ip.
bool is_at(std::string const& address, std::string const& ip)
{
    return address.size() > ip.size() && address.starts_with(ip) &&
           address[ip.size()] == ':';
}

bool is_member(membership const& members, std::string const& ip)
{
    return std::ranges::any_of(members.members(), [&](auto const& each)
                               { return is_at(each.second.address, ip); });
}

} // namespace

std::optional<relay_failure>
attempt_relay::reason_to_decline(time_point now, relay_requested const& what,
                                 request_path const& requests,
                                 membership const& members) const
{
    auto const declined = [](failure_place place, std::string_view reason)
    {
        return relay_failure{place, verdict::not_run, std::string(reason)};
    };
    if (!is_member(members, what.ip))
    {
        return declined(failure_place::relay, "unknown_vm");
    }
    if (requests.stopping())
    {
        return declined(failure_place::relay, "relay_stopping");
    }
    if (attempts_.size() >= options_.max_attempts ||
        body_bytes_ + what.request.body.size() > options_.max_body_bytes)
    {
        return declined(failure_place::relay, "relay_full");
    }
    upstream_table const& table = requests.upstreams();
    auto const upstream = table.find(what.target.upstream);
    bool const known =
        upstream && table.row(*upstream).incarnation == what.target.incarnation;
    if (!known || !table.row(*upstream).takes_relayed(now) ||
        requests.is_reserved(*upstream))
    {
        return declined(failure_place::upstream, upstream_unavailable);
    }
    if (!requests.reach().reaches(*upstream))
    {
        return declined(failure_place::relay, "relay_partitioned");
    }
    return std::nullopt;
}

void attempt_relay::handle(time_point now, relay_requested const& what,
                           request_path& requests, membership const& members)
{
    if (auto const why = reason_to_decline(now, what, requests, members))
    {
        emit_(record_timeline{"relay_declined", what.request.id,
                              fmt::format("upstream={} reason={} from={}",
                                          what.target.upstream, why->reason,
                                          what.ip)});
        emit_(relay_answer_failed{what.relay, *why});
        return;
    }
    upstream_index const upstream =
        *requests.upstreams().find(what.target.upstream);
    upstream_profile const& profile =
        requests.upstreams().row(upstream).profile;
    attempt_id const attempt = next_attempt_++;
    std::size_t const body_bytes = what.request.body.size();
    attempts_[attempt] = {what.relay, upstream,   what.target.incarnation,
                          now,        body_bytes, false};
    body_bytes_ += body_bytes;
    relays_[what.relay] = attempt;
    emit_(record_timeline{"attempt_relayed", what.request.id,
                          fmt::format("attempt={} upstream={} from={}", attempt,
                                      profile.name, what.ip)});
    emit_(start_attempt{attempt, profile.name, profile.address, what.request});
}

void attempt_relay::handle(relay_abandoned const& what)
{
    auto const found = relays_.find(what.relay);
    if (found != relays_.end())
    {
        attempt_id const attempt = found->second;
        emit_(cancel_attempt{attempt});
        forget(attempt);
    }
}

void attempt_relay::handle(time_point now, upstream_head const& what,
                           request_path& requests)
{
    record& known = attempts_.at(what.attempt);
    known.answer_begun = true;
    requests.note_answer(now, known.upstream, known.incarnation, what.status,
                         what.headers);
    emit_(relay_answer_head{known.relay, what.status,
                            without_relay_fields(what.headers)});
}

void attempt_relay::handle(time_point now, upstream_piece const& what,
                           request_path& requests)
{
    requests.note_byte(now);
    emit_(relay_answer_piece{attempts_.at(what.attempt).relay, what.bytes});
}

void attempt_relay::handle(time_point now, upstream_end const& what,
                           request_path& requests)
{
    requests.note_byte(now);
    relay_id const relay = attempts_.at(what.attempt).relay;
    forget(what.attempt);
    emit_(relay_answer_end{relay});
}

void attempt_relay::handle(time_point now, upstream_failed const& what,
                           request_path& requests)
{
    requests.note_failure(now, attempts_.at(what.attempt).upstream,
                          what.reason);
    fail(what.attempt, {failure_place::upstream, what.run, what.reason});
}

void attempt_relay::tick(time_point now, request_path const& requests)
{
    std::vector<attempt_id> dead;
    for (auto const& [attempt, known] : attempts_)
    {
        if (requests.is_on_dead_connection(now, known.upstream, known.started))
        {
            dead.push_back(attempt);
        }
    }
    for (attempt_id const attempt : dead)
    {
        emit_(cancel_attempt{attempt});
        fail(attempt, {failure_place::relay, verdict::may_have_run,
                       "relay_partitioned"});
    }
}

std::optional<attempt_id> attempt_relay::attempt_of(relay_id relay) const
{
    auto const found = relays_.find(relay);
    return found == relays_.end() ? std::nullopt : std::optional(found->second);
}

void attempt_relay::fail(attempt_id attempt, relay_failure why)
{
    record const failed = attempts_.at(attempt);
    forget(attempt);
    emit_(
        relay_answer_failed{failed.relay, std::move(why), failed.answer_begun});
}

void attempt_relay::forget(attempt_id attempt)
{
    auto const ended = attempts_.extract(attempt);
    relays_.erase(ended.mapped().relay);
    body_bytes_ -= ended.mapped().body_bytes;
}

} // namespace amarantharch
