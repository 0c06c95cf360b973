#include "core/quarantine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace amarantharch
{

namespace
{

bool is_space(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

std::string without_space(std::string_view body)
{
    std::string result;
    result.reserve(body.size());
    bool quoted = false;
    bool escaped = false;
    for (char const c : body)
    {
        if (!quoted && is_space(c))
        {
            continue;
        }
        if (c == '"' && !escaped)
        {
            quoted = !quoted;
        }
        escaped = quoted && c == '\\' && !escaped;
        result.push_back(c);
    }
    return result;
}

std::int64_t newest_time(std::map<crash_id, crash_mark> const& marks,
                         std::int64_t cleared_us)
{
    std::int64_t result = cleared_us;
    for (auto const& [crash, mark] : marks)
    {
        result = std::max(result, mark.time_us);
    }
    return result;
}

} // namespace

fingerprint fingerprint_of(std::string_view service,
                           std::string_view organisation,
                           std::string_view method, std::string_view target,
                           std::string_view body)
{
    std::string bytes;
    for (auto const part : {service, organisation, method, target})
    {
        bytes.append(part);
        bytes.push_back('\0');
    }
    bytes += without_space(body);
    return XXH3_64bits(bytes.data(), bytes.size());
}

quarantine::quarantine(quarantine_options options) : options_(options) {}

quarantine_decision quarantine::decide(time_point now,
                                       fingerprint request_fingerprint) const
{
    auto const marks = valid_marks(now, request_fingerprint);
    if (marks.empty())
    {
        return quarantine_decision::run;
    }
    bool const some_independent = std::ranges::any_of(
        marks,
        [&](crash_mark const& a)
        {
            return std::ranges::any_of(marks, [&](crash_mark const& b)
                                       { return are_independent(a, b); });
        });
    if (!some_independent)
    {
        return quarantine_decision::run_alone;
    }
    if (std::any_of(marks.begin(), marks.end(),
                    [this](crash_mark const& mark) { return was_alone(mark); }))
    {
        return quarantine_decision::refuse;
    }
    std::int64_t last_us = 0;
    for (auto const& mark : marks)
    {
        last_us = std::max(last_us, mark.time_us);
    }
    if (to_micros(now) - last_us < options_.settle_time.count())
    {
        return quarantine_decision::hold;
    }
    if (is_only_common_suspect(now, marks))
    {
        return quarantine_decision::refuse;
    }
    for (auto const& a : marks)
    {
        for (auto const& b : marks)
        {
            if (a.crash < b.crash && are_independent(a, b) &&
                is_only_common_suspect(now, {a, b}))
            {
                return quarantine_decision::refuse;
            }
        }
    }
    return quarantine_decision::run_alone;
}

void quarantine::crashed(time_point now, crash_id const& crash,
                         suspect_requests const& in_flight, bool reserved)
{
    bool const alone = reserved && in_flight.size() == 1;
    for (auto const& [request_fingerprint, since_sent] : in_flight)
    {
        add(now, crash_mark{request_fingerprint, crash, alone, to_micros(now),
                            since_sent.count()});
    }
}

void quarantine::completed_alone(time_point now,
                                 fingerprint request_fingerprint)
{
    if (rows_.contains(request_fingerprint))
    {
        add(now, clearance{request_fingerprint, to_micros(now)});
    }
}

bool quarantine::merge(time_point now, quarantine_delta const& delta)
{
    bool changed = false;
    for (auto const& mark : delta.marks)
    {
        changed |= add(now, mark);
    }
    for (auto const& cleared : delta.clearances)
    {
        changed |= add(now, cleared);
    }
    return changed;
}

quarantine_delta quarantine::take_changes()
{
    return std::exchange(changes_, {});
}

quarantine_delta quarantine::state() const
{
    quarantine_delta result;
    for (auto const& [request_fingerprint, r] : rows_)
    {
        for (auto const& [crash, mark] : r.marks)
        {
            result.marks.push_back(mark);
        }
        if (r.cleared_us != 0)
        {
            result.clearances.push_back({request_fingerprint, r.cleared_us});
        }
    }
    return result;
}

quarantine_delta quarantine::refused_state(time_point now) const
{
    quarantine_delta result;
    for (auto const& [request_fingerprint, r] : rows_)
    {
        if (decide(now, request_fingerprint) == quarantine_decision::refuse)
        {
            auto const marks = valid_marks(now, request_fingerprint);
            result.marks.insert(result.marks.end(), marks.begin(), marks.end());
        }
    }
    return result;
}

void quarantine::tick(time_point now)
{
    for (auto found = rows_.begin(); found != rows_.end();)
    {
        auto& r = found->second;
        for (auto mark = r.marks.begin(); mark != r.marks.end();)
        {
            auto const next = std::next(mark);
            if (expired(now, mark->second.time_us))
            {
                erase_mark(r, mark);
            }
            mark = next;
        }
        bool const empty = r.marks.empty() && expired(now, r.cleared_us);
        found = empty ? rows_.erase(found) : std::next(found);
    }
}

// The time of a crash is the earliest at which any VM saw it, so that the order
// of merges does not matter.
bool quarantine::add(time_point now, crash_mark const& mark)
{
    if (expired(now, mark.time_us))
    {
        return false;
    }
    auto& r = rows_[mark.request_fingerprint];
    auto const [known, added] = r.marks.try_emplace(mark.crash, mark);
    auto& merged = known->second;
    auto const before = merged;
    merged.alone = merged.alone || mark.alone;
    merged.time_us = std::min(merged.time_us, mark.time_us);
    merged.in_flight_us = std::max(merged.in_flight_us, mark.in_flight_us);
    if (!added && before.alone == merged.alone &&
        before.time_us == merged.time_us &&
        before.in_flight_us == merged.in_flight_us)
    {
        return false;
    }
    crashes_[mark.crash].insert(mark.request_fingerprint);
    changes_.marks.push_back(merged);
    drop_oldest_marks(r);
    evict_oldest_fingerprints();
    return true;
}

bool quarantine::add(time_point now, clearance const& cleared)
{
    if (expired(now, cleared.time_us))
    {
        return false;
    }
    auto& r = rows_[cleared.request_fingerprint];
    if (r.cleared_us >= cleared.time_us)
    {
        return false;
    }
    r.cleared_us = cleared.time_us;
    changes_.clearances.push_back(cleared);
    evict_oldest_fingerprints();
    return true;
}

// The marks that count: neither expired nor voided by a clearance.
std::vector<crash_mark>
quarantine::valid_marks(time_point now, fingerprint request_fingerprint) const
{
    std::vector<crash_mark> result;
    auto const found = rows_.find(request_fingerprint);
    if (found == rows_.end())
    {
        return result;
    }
    for (auto const& [crash, mark] : found->second.marks)
    {
        if (!expired(now, mark.time_us) &&
            mark.time_us > found->second.cleared_us)
        {
            result.push_back(mark);
        }
    }
    return result;
}

// Whether one VM reports that the request was alone and no VM reports another
// request at that upstream.
bool quarantine::was_alone(crash_mark const& mark) const
{
    return mark.alone && crashes_.at(mark.crash).size() == 1;
}

// Whether the request was in flight at all crashes within max_interval.
bool quarantine::was_in_all_crashes_near(crash_mark const& mark) const
{
    auto const is_near = [&](std::int64_t time_us)
    {
        return std::abs(time_us - mark.time_us) <=
               options_.max_interval.count();
    };
    return std::ranges::all_of(
        crashes_,
        [&](auto const& crash)
        {
            std::set<fingerprint> const& requests = crash.second;
            return requests.contains(mark.request_fingerprint) ||
                   std::ranges::none_of(
                       requests,
                       [&](fingerprint request) {
                           return is_near(
                               rows_.at(request).marks.at(crash.first).time_us);
                       });
        });
}

bool quarantine::are_independent(crash_mark const& a, crash_mark const& b) const
{
    crash_mark const& earlier = a.time_us <= b.time_us ? a : b;
    crash_mark const& later = a.time_us <= b.time_us ? b : a;
    std::int64_t const between = later.time_us - earlier.time_us;
    std::int64_t const interval = std::clamp<std::int64_t>(
        later.in_flight_us, 0, options_.max_interval.count());
    return between > interval || (between >= options_.min_separation.count() &&
                                  was_in_all_crashes_near(later));
}

// Whether no other suspect was in all of these crashes of one request.
bool quarantine::is_only_common_suspect(
    time_point now, std::vector<crash_mark> const& marks) const
{
    auto const is_common = [&](fingerprint other)
    {
        return std::ranges::all_of(
            marks, [&](crash_mark const& mark)
            { return crashes_.at(mark.crash).contains(other); });
    };
    return std::ranges::none_of(
        crashes_.at(marks.front().crash),
        [&](fingerprint other)
        {
            return other != marks.front().request_fingerprint &&
                   is_common(other) && !valid_marks(now, other).empty();
        });
}

bool quarantine::expired(time_point now, std::int64_t time_us) const
{
    return to_micros(now) - time_us > options_.retention.count();
}

void quarantine::drop_oldest_marks(row& r)
{
    while (r.marks.size() > options_.max_marks_per_fingerprint)
    {
        auto const oldest =
            std::min_element(r.marks.begin(), r.marks.end(),
                             [](auto const& a, auto const& b)
                             { return a.second.time_us < b.second.time_us; });
        erase_mark(r, oldest);
    }
}

void quarantine::evict_oldest_fingerprints()
{
    while (rows_.size() > options_.max_fingerprints)
    {
        auto const oldest = std::min_element(
            rows_.begin(), rows_.end(),
            [](auto const& a, auto const& b)
            {
                return newest_time(a.second.marks, a.second.cleared_us) <
                       newest_time(b.second.marks, b.second.cleared_us);
            });
        while (!oldest->second.marks.empty())
        {
            erase_mark(oldest->second, oldest->second.marks.begin());
        }
        rows_.erase(oldest);
    }
}

void quarantine::erase_mark(row& r,
                            std::map<crash_id, crash_mark>::iterator mark)
{
    auto const crash = crashes_.find(mark->first);
    crash->second.erase(mark->second.request_fingerprint);
    if (crash->second.empty())
    {
        crashes_.erase(crash);
    }
    r.marks.erase(mark);
}

} // namespace amarantharch
