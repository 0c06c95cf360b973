#include "core/prompt_part_quarantine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

prompt_places suspect_parts(std::vector<prompt_part> const& prompt)
{
    prompt_places places;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        places.try_emplace(prompt[i].id, static_cast<std::uint32_t>(i));
    }
    return places;
}

void add_suspects(suspect_parts_in_flight& into, prompt_places const& parts,
                  duration in_flight)
{
    for (auto const& [part, place] : parts)
    {
        auto const [found, is_new] = into.try_emplace(part);
        suspect_part& suspect = found->second;
        suspect.place = is_new ? place : std::min(suspect.place, place);
        suspect.in_flight = std::max(suspect.in_flight, in_flight);
    }
}

std::uint64_t crash_number(crash_id const& crash)
{
    return XXH3_64bits_withSeed(crash.upstream.data(), crash.upstream.size(),
                                crash.incarnation);
}

prompt_part_quarantine::prompt_part_quarantine(
    prompt_part_quarantine_options options)
    : options_(std::move(options))
{
}

bool prompt_part_quarantine::may_send(time_point now,
                                      std::vector<prompt_part> const& prompt)
{
    if (rows_.empty())
    {
        return true;
    }
    std::vector<row*> trials;
    for (auto const& [part, place] : suspect_parts(prompt))
    {
        if (!is_refused(part))
        {
            continue;
        }
        row& r = rows_.at(part);
        bool const is_trial = valid_marks(r) < options_.certain_crashes &&
                              now >= next_trial(part, r);
        if (!is_trial)
        {
            return false;
        }
        trials.push_back(&r);
    }
    for (row* const r : trials)
    {
        r->last_trial_at = now;
    }
    return true;
}

std::optional<part_refusal>
prompt_part_quarantine::refusal_of(time_point now,
                                   std::vector<prompt_part> const& prompt) const
{
    for (auto const& [part, place] : suspect_parts(prompt))
    {
        if (is_refused(part))
        {
            row const& r = rows_.at(part);
            std::size_t const valid = valid_marks(r);
            bool const is_certain = valid >= options_.certain_crashes;
            duration const retry_after =
                is_certain ? r.last_mark_at + options_.retention - now
                           : options_.trial_interval;
            return part_refusal{part, valid, r.marks.size() - valid,
                                now - r.last_mark_at, retry_after};
        }
    }
    return std::nullopt;
}

std::vector<part_clearance>
prompt_part_quarantine::marks_of(std::vector<prompt_part> const& prompt) const
{
    std::vector<part_clearance> result;
    if (rows_.empty())
    {
        return result;
    }
    for (auto const& [part, place] : suspect_parts(prompt))
    {
        auto const found = rows_.find(part);
        if (found == rows_.end())
        {
            continue;
        }
        part_clearance marks{part, {}};
        for (auto const& [crash, each] : found->second.marks)
        {
            if (!each.is_void)
            {
                marks.crashes.push_back(crash);
            }
        }
        if (!marks.crashes.empty())
        {
            result.push_back(std::move(marks));
        }
    }
    return result;
}

void prompt_part_quarantine::crashed(time_point now, crash_id const& crash,
                                     suspect_parts_in_flight const& parts)
{
    part_crash seen;
    seen.crash = crash_number(crash);
    for (auto const& [part, suspect] : parts)
    {
        seen.parts.emplace(part, suspect.place);
        seen.in_flight_us.emplace(part, suspect.in_flight.count());
    }
    merge(now, {{std::move(seen)}, {}});
}

void prompt_part_quarantine::answered(time_point now,
                                      std::vector<part_clearance> const& marks)
{
    merge(now, {{}, marks});
}

void prompt_part_quarantine::merge(time_point now,
                                   prompt_part_delta const& delta)
{
    for (part_crash const& crash : delta.crashes)
    {
        part_crash added = crash;
        std::erase_if(added.parts, [&](auto const& each)
                      { return !add(now, crash, each.first, each.second); });
        std::erase_if(added.in_flight_us, [&](auto const& each)
                      { return !added.parts.contains(each.first); });
        bool const is_new_crash =
            add_crash(now - std::clamp(duration(crash.age_us), duration::zero(),
                                       options_.retention),
                      crash.crash);
        if (is_new_crash || !added.parts.empty())
        {
            new_crashes_.push_back({now, std::move(added)});
        }
    }
    for (part_clearance const& clearance : delta.clearances)
    {
        part_clearance cleared{clearance.part, {}};
        for (std::uint64_t const crash : clearance.crashes)
        {
            if (clear(now, clearance.part, crash))
            {
                cleared.crashes.push_back(crash);
            }
        }
        if (!cleared.crashes.empty())
        {
            new_clearances_.push_back(std::move(cleared));
        }
    }
    evict_oldest_parts();
}

prompt_part_delta prompt_part_quarantine::take_changes(time_point now)
{
    prompt_part_delta changes;
    for (new_crash& each : std::exchange(new_crashes_, {}))
    {
        each.crash.age_us += (now - each.added_at).count();
        changes.crashes.push_back(std::move(each.crash));
    }
    changes.clearances = std::exchange(new_clearances_, {});
    return changes;
}

prompt_part_delta prompt_part_quarantine::refused_state(time_point now) const
{
    prompt_part_delta state;
    for (auto const& [part, r] : rows_)
    {
        if (!is_refused(part))
        {
            continue;
        }
        for (auto const& [crash, each] : r.marks)
        {
            if (!each.is_void)
            {
                state.crashes.push_back(
                    {crash,
                     {{part, r.place}},
                     (now - each.crashed_at).count(),
                     {{part, (each.crashed_at - each.sent_at).count()}}});
            }
        }
    }
    return state;
}

// True if the crash was not known.
bool prompt_part_quarantine::add_crash(time_point crashed_at,
                                       std::uint64_t crash)
{
    auto const [known, is_new] = crashes_.try_emplace(crash, crashed_at);
    known->second = std::min(known->second, crashed_at);
    if (crashes_.size() > options_.max_crashes)
    {
        crashes_.erase(std::ranges::min_element(
            crashes_, {}, &decltype(crashes_)::value_type::second));
    }
    return is_new;
}

bool prompt_part_quarantine::add(time_point now, part_crash const& crash,
                                 std::uint64_t part, std::uint32_t place)
{
    auto const [found, is_new] = rows_.try_emplace(part);
    row& r = found->second;
    r.place = is_new ? place : std::min(r.place, place);
    time_point const crashed_at =
        now - std::clamp(duration(crash.age_us), duration::zero(),
                         options_.retention);
    auto const interval = crash.in_flight_us.find(part);
    duration const in_flight =
        interval == crash.in_flight_us.end()
            ? options_.max_interval
            : std::clamp(duration(interval->second), duration::zero(),
                         options_.max_interval);
    if (auto const known = r.marks.find(crash.crash); known != r.marks.end())
    {
        // The report with the least delay is the most accurate one.
        mark& each = known->second;
        each.crashed_at = std::min(each.crashed_at, crashed_at);
        each.sent_at = std::min(each.sent_at, crashed_at - in_flight);
        return false;
    }
    if (r.marks.size() >= options_.max_marks_per_part)
    {
        return false;
    }
    r.marks.emplace(crash.crash, mark{now, crashed_at, crashed_at - in_flight});
    r.last_mark_at = now;
    return true;
}

// A mark that is not known yet is kept as void, for when it arrives.
bool prompt_part_quarantine::clear(time_point now, std::uint64_t part,
                                   std::uint64_t crash)
{
    row& r = rows_[part];
    if (r.marks.size() >= options_.max_marks_per_part &&
        !r.marks.contains(crash))
    {
        return false;
    }
    mark& cleared =
        r.marks.try_emplace(crash, mark{now, now, now}).first->second;
    return !std::exchange(cleared.is_void, true);
}

bool prompt_part_quarantine::is_refused(std::uint64_t part) const
{
    auto const found = rows_.find(part);
    if (found == rows_.end() ||
        valid_marks(found->second) < options_.min_crashes ||
        independent_crashes(found->second) < options_.min_crashes)
    {
        return false;
    }
    return std::ranges::none_of(rows_,
                                [&](auto const& other) {
                                    return explains_better(other.first,
                                                           other.second, part,
                                                           found->second);
                                });
}

bool prompt_part_quarantine::explains_better(std::uint64_t other,
                                             row const& other_row,
                                             std::uint64_t part,
                                             row const& part_row) const
{
    std::size_t const others = valid_marks(other_row);
    std::size_t const own = valid_marks(part_row);
    bool const more =
        others > own || (others == own && other_row.place > part_row.place);
    if (other == part || !more)
    {
        return false;
    }
    return std::ranges::all_of(
        part_row.marks,
        [&](auto const& each)
        {
            auto const shared = other_row.marks.find(each.first);
            return each.second.is_void ||
                   (shared != other_row.marks.end() && !shared->second.is_void);
        });
}

std::size_t prompt_part_quarantine::valid_marks(row const& r)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        r.marks, [](auto const& each) { return !each.second.is_void; }));
}

std::size_t prompt_part_quarantine::independent_crashes(row const& r) const
{
    std::vector<mark const*> valid;
    for (auto const& [crash, each] : r.marks)
    {
        if (!each.is_void)
        {
            valid.push_back(&each);
        }
    }
    std::ranges::sort(valid, {}, &mark::crashed_at);
    std::size_t count = 0;
    time_point next_begin{}; // of the interval of the next crash that counts
    for (mark const* const each : valid)
    {
        time_point const begin = is_in_all_crashes_near(r, each->crashed_at)
                                     ? each->crashed_at
                                     : each->sent_at;
        if (count == 0 || begin >= next_begin)
        {
            ++count;
            next_begin = each->crashed_at + options_.min_separation;
        }
    }
    return count;
}

// Whether the part was in flight at all crashes within max_interval.
bool prompt_part_quarantine::is_in_all_crashes_near(row const& r,
                                                    time_point crashed_at) const
{
    return std::ranges::none_of(
        crashes_,
        [&](auto const& crash)
        {
            auto const& [id, at] = crash;
            return !r.marks.contains(id) &&
                   at >= crashed_at - options_.max_interval &&
                   at <= crashed_at + options_.max_interval;
        });
}

time_point prompt_part_quarantine::next_trial(std::uint64_t part,
                                              row const& r) const
{
    std::uint64_t const turns =
        std::max<std::uint64_t>(options_.trial_turns, position_.vms);
    std::uint64_t const own =
        position_.vms > 0 ? position_.rank + part
                          : XXH3_64bits_withSeed(options_.vm.data(),
                                                 options_.vm.size(), part);
    std::uint64_t const turn = own % turns;
    return std::max(r.last_mark_at, r.last_trial_at) +
           options_.trial_interval * static_cast<std::int64_t>(turn + 1);
}

void prompt_part_quarantine::tick(time_point now)
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::erase_if(crashes_, [&](auto const& each)
                  { return now - each.second > options_.retention; });
    for (auto found = rows_.begin(); found != rows_.end();)
    {
        row& r = found->second;
        std::erase_if(
            r.marks, [&](auto const& each)
            { return now - each.second.known_since > options_.retention; });
        found = r.marks.empty() ? rows_.erase(found) : std::next(found);
    }
}

void prompt_part_quarantine::evict_oldest_parts()
{
    while (rows_.size() > options_.max_parts)
    {
        rows_.erase(std::ranges::min_element(
            rows_, [](auto const& a, auto const& b)
            { return a.second.last_mark_at < b.second.last_mark_at; }));
    }
}

} // namespace amarantharch
