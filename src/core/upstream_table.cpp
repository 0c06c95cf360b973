#include "core/upstream_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace amarantharch
{

namespace
{

// Bounds the memory taken by upstreams that are gone for good.
constexpr std::size_t max_removed = 1'024;
// How long peers are told that a limit has ended.
constexpr duration limit_memory = std::chrono::seconds(10);
// An older begin of a limit is taken to be this old.
constexpr duration max_limit_age = std::chrono::hours(1);
// Differences in what VMs say of the begin of a limit that are put down to the
// delay of messages.
constexpr duration begin_tolerance = std::chrono::milliseconds(50);

std::uint64_t hash_of(std::string const& name)
{
    return XXH3_64bits(name.data(), name.size());
}

// A cold time that ends later by less than this is the same one, told again.
constexpr duration cold_tolerance = std::chrono::seconds(1);
// Attempts to find a turn that is open by a limit and while an upstream is
// cold.
constexpr int max_turn_steps = 64;

// The begin of a turn at an upstream, by its limit and while it is cold. Both
// turns must be open at the same time; if no such moment is found soon, the
// result is too early.
time_point next_turn_of(time_point now, upstream_row const& row)
{
    time_point at = std::max({now, row.ejected_until, row.paused_until});
    for (int step = 0; step < max_turn_steps; ++step)
    {
        time_point const by_limit = row.limit ? row.limit->next_turn(at) : at;
        time_point const by_warm_up =
            row.warms_up(at) ? std::min(row.warm_up->next_turn(at),
                                        std::max(row.cold_until, at))
                             : at;
        time_point const both = std::max(by_limit, by_warm_up);
        if (both <= at)
        {
            return at;
        }
        at = both;
    }
    return at;
}

// The turns a second of this VM at an upstream that names a limit or is cold.
double turns_per_second_of(time_point now, upstream_row const& row)
{
    duration interval{};
    if (row.limit)
    {
        interval = row.limit->interval();
    }
    if (row.warms_up(now))
    {
        interval = std::max(interval, row.warm_up->interval());
    }
    return 1 / std::chrono::duration<double>(interval).count();
}

// Whether a row has the limit that is named.
bool has_limit(upstream_row const& row, std::optional<double> per_second)
{
    return per_second
               ? row.limit && row.limit->per_second() ==
                                  std::max(*per_second, min_requests_per_second)
               : !row.limit;
}

// Points with equal hashes are ordered by index.
bool before(upstream_table::ring_point const& a,
            upstream_table::ring_point const& b)
{
    return a.hash != b.hash ? a.hash < b.hash : a.upstream < b.upstream;
}

} // namespace

upstream_index upstream_table::put(upstream_profile profile,
                                   std::uint64_t incarnation)
{
    auto const known = by_name_.find(profile.name);
    if (known == by_name_.end())
    {
        upstream_index const index = free_index();
        rows_[index] = upstream_row{};
        rows_[index].incarnation = incarnation;
        rows_[index].profile = std::move(profile);
        rows_[index].evacuated =
            is_evacuated(rows_[index].profile.failure_domain);
        restore_removed(rows_[index]);
        by_name_.emplace(rows_[index].profile.name, index);
        add_to_ring(index);
        return index;
    }
    upstream_index const index = known->second;
    upstream_row& row = rows_[index];
    if (incarnation < row.incarnation)
    {
        return index;
    }
    if (incarnation > row.incarnation)
    {
        row.incarnation = incarnation;
        row.leaving = false;
        row.quarantined = false;
        row.ejected_until = time_point();
        row.paused_until = time_point();
        row.report.reset();
        row.memory.reset();
        if (row.limit_imposed_until == time_point())
        {
            row.limit.reset();
            row.limit_since = time_point();
        }
        row.limit_heard_at = time_point();
        row.cold_until = time_point();
        row.warm_up.reset();
    }
    remove_from_ring(index);
    row.profile = std::move(profile);
    row.evacuated = is_evacuated(row.profile.failure_domain);
    add_to_ring(index);
    return index;
}

void upstream_table::set_evacuated(std::string const& failure_domain,
                                   bool is_evacuated)
{
    if (is_evacuated)
    {
        evacuated_domains_.insert(failure_domain);
    }
    else
    {
        evacuated_domains_.erase(failure_domain);
    }
    for (upstream_row& row : rows_)
    {
        if (row.profile.failure_domain == failure_domain)
        {
            row.evacuated = is_evacuated;
        }
    }
}

bool upstream_table::has_only_evacuated(std::string_view service) const
{
    bool any = false;
    for (ring_point const& point : ring(service))
    {
        upstream_row const& row = rows_[point.upstream];
        if (row.leaving || row.quarantined)
        {
            continue;
        }
        if (!row.evacuated)
        {
            return false;
        }
        any = true;
    }
    return any;
}

bool upstream_table::mark_leaving(std::string_view name,
                                  std::uint64_t incarnation)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr || row->leaving)
    {
        return false;
    }
    row->leaving = true;
    return true;
}

bool upstream_table::mark_quarantined(std::string_view name,
                                      std::uint64_t incarnation)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr || row->quarantined)
    {
        return false;
    }
    row->quarantined = true;
    return true;
}

bool upstream_table::remove(std::string_view name, std::uint64_t incarnation)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr)
    {
        return false;
    }
    upstream_index const index = by_name_.find(name)->second;
    remove_from_ring(index);
    remember_removed(*row);
    row->present = false;
    by_name_.erase(by_name_.find(name));
    return true;
}

bool upstream_table::pause(std::string_view name, std::uint64_t incarnation,
                           time_point until)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr || until <= row->paused_until)
    {
        return false;
    }
    row->paused_until = until;
    return true;
}

bool upstream_table::hear_refusal_limit(std::string_view name,
                                        std::uint64_t incarnation,
                                        std::optional<std::uint32_t> refusals)
{
    upstream_row const* const row = find_row(name, incarnation);
    if (row == nullptr || row->refusal_limit == refusals)
    {
        return false;
    }
    for (ring_point const& point : ring(row->profile.service))
    {
        rows_[point.upstream].refusal_limit = refusals;
    }
    return true;
}

void upstream_table::impose_limit(time_point now, std::string_view name,
                                  std::uint64_t incarnation, double per_second,
                                  time_point from, time_point until)
{
    upstream_row* const row = find_row(name, incarnation);
    bool const is_imposed = row != nullptr && now < row->limit_imposed_until;
    if (row == nullptr ||
        (row->limit && !is_imposed && row->limit->per_second() <= per_second))
    {
        return;
    }
    row->limit_imposed_until = std::max(row->limit_imposed_until, until);
    // Turns that have begun already are not lost unless it has to rest.
    if (!is_imposed || from > now)
    {
        set_limit(now, from, *row, per_second);
    }
}

bool upstream_table::hear_limit(time_point now, std::string_view name,
                                std::uint64_t incarnation,
                                std::optional<double> per_second)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr)
    {
        return false;
    }
    row->limit_heard_at = now;
    bool const is_imposed = now < row->limit_imposed_until;
    bool const keeps_imposed =
        is_imposed && row->limit &&
        (!per_second || *per_second >= row->limit->per_second());
    if (keeps_imposed || has_limit(*row, per_second))
    {
        return false;
    }
    row->limit_imposed_until = time_point();
    set_limit(now, now, *row, per_second);
    return true;
}

bool upstream_table::merge_limit(time_point now, upstream_limit const& heard)
{
    upstream_row* const row = find_row(heard.upstream, heard.incarnation);
    if (row == nullptr || now < row->limit_imposed_until)
    {
        return false;
    }
    if (!std::isfinite(heard.per_second))
    {
        return false;
    }
    auto const per_second =
        heard.per_second > 0 ? std::optional(heard.per_second) : std::nullopt;
    time_point const since = now - std::clamp(duration(heard.age_us),
                                              duration::zero(), max_limit_age);
    if (has_limit(*row, per_second))
    {
        if (row->limit && since + begin_tolerance < row->limit_since)
        {
            set_limit(now, since, *row, per_second);
        }
        return false;
    }
    if (since <= row->limit_heard_at || since <= row->limit_since)
    {
        return false;
    }
    set_limit(now, since, *row, per_second);
    return true;
}

void upstream_table::set_limit(time_point now, time_point since,
                               upstream_row& row,
                               std::optional<double> per_second)
{
    row.limit_since = since;
    if (!per_second)
    {
        row.limit.reset();
    }
    else if (row.limit)
    {
        row.limit->change(now, since, *per_second);
    }
    else
    {
        row.limit.emplace(now, since, *per_second, position_);
    }
}

void upstream_table::set_warm_up_rates(
    time_point now, std::map<std::string, double, std::less<>> rates)
{
    warm_up_rates_ = std::move(rates);
    for (upstream_row& row : rows_)
    {
        set_warm_up(now, row);
    }
}

// Gives a cold upstream its turns, unless it has them already.
void upstream_table::set_warm_up(time_point now, upstream_row& row)
{
    auto const rate = warm_up_rates_.find(row.profile.service);
    if (rate == warm_up_rates_.end() || row.cold_until <= now)
    {
        row.warm_up.reset();
        return;
    }
    if (!row.warm_up ||
        row.warm_up->per_second() != std::max(rate->second, min_warm_up_rate))
    {
        row.warm_up.emplace(now, hash_of(row.profile.name), rate->second,
                            position_, position_since_);
    }
}

bool upstream_table::hear_cold(time_point now, std::string_view name,
                               std::uint64_t incarnation, duration cold_for)
{
    upstream_row* const row = find_row(name, incarnation);
    if (row == nullptr)
    {
        return false;
    }
    time_point const until = now + cold_for;
    bool const is_news =
        cold_for > duration::zero() &&
        (row->cold_until <= now || until - row->cold_until > cold_tolerance);
    row->cold_until = std::max(row->cold_until, until);
    set_warm_up(now, *row);
    return is_news;
}

std::size_t upstream_table::warming_up(time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(rows_, [now](upstream_row const& row)
                              { return row.present && row.warms_up(now); }));
}

void upstream_table::use_turns(time_point now, upstream_index index)
{
    upstream_row& row = rows_[index];
    if (row.limit)
    {
        row.limit->on_sent(now);
    }
    if (row.warms_up(now))
    {
        row.warm_up->on_sent(now);
    }
}

std::vector<upstream_limit> upstream_table::limits(time_point now) const
{
    std::vector<upstream_limit> result;
    for (upstream_row const& row : rows_)
    {
        bool const ended_lately = !row.limit &&
                                  row.limit_since != time_point() &&
                                  now - row.limit_since < limit_memory;
        if (row.present && now >= row.limit_imposed_until &&
            (row.limit || ended_lately))
        {
            result.push_back({row.profile.name, row.incarnation,
                              row.limit ? row.limit->per_second() : 0,
                              (now - row.limit_since).count()});
        }
    }
    return result;
}

void upstream_table::set_fleet_position(time_point now, fleet_position position)
{
    position_since_ = position == position_ ? position_since_ : now;
    position_ = position;
    for (upstream_row& row : rows_)
    {
        if (row.limit)
        {
            row.limit->set_position(now, position);
        }
        if (row.warm_up)
        {
            row.warm_up->set_position(now, position);
        }
    }
    for (auto& [name, removed] : removed_)
    {
        if (removed.limit)
        {
            removed.limit->set_position(now, position);
        }
    }
}

std::optional<time_point>
upstream_table::turn_after(time_point now, std::string_view service,
                           std::size_t others,
                           std::vector<upstream_index> const& excluded) const
{
    std::optional<time_point> first;
    double turns_per_second = 0;
    for (ring_point const& point : ring(service))
    {
        upstream_row const& row = rows_[point.upstream];
        bool const is_excluded =
            std::ranges::find(excluded, point.upstream) != excluded.end();
        if ((!row.limit && !row.warms_up(now)) || row.leaving ||
            row.quarantined || row.evacuated || is_excluded ||
            position_.vms == 0)
        {
            continue;
        }
        time_point const turn =
            row.warms_up(now) ? next_turn_of(now, row)
                              : std::max({row.limit->next_turn(now),
                                          row.ejected_until, row.paused_until});
        first = std::min(first.value_or(turn), turn);
        turns_per_second += turns_per_second_of(now, row);
    }
    if (first)
    {
        *first +=
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(others) / turns_per_second));
    }
    return first;
}

std::optional<time_point>
upstream_table::next_available(std::string_view service) const
{
    std::optional<time_point> earliest;
    for (ring_point const& point : ring(service))
    {
        upstream_row const& row = rows_[point.upstream];
        if (row.leaving || row.quarantined || row.evacuated || row.limit)
        {
            continue;
        }
        time_point const at =
            std::max({row.ejected_until, row.paused_until,
                      row.warm_up ? row.cold_until : time_point()});
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

void upstream_table::remember_removed(upstream_row const& row)
{
    auto const [place, added] = removed_.insert_or_assign(
        row.profile.name,
        removed_row{row.incarnation, row.leaving, row.quarantined,
                    row.paused_until, row.limit, row.limit_since,
                    row.limit_heard_at, row.cold_until});
    if (added)
    {
        removed_order_.push_back(row.profile.name);
    }
    if (removed_order_.size() > max_removed)
    {
        removed_.erase(removed_order_.front());
        removed_order_.pop_front();
    }
}

void upstream_table::restore_removed(upstream_row& row)
{
    auto const known = removed_.find(row.profile.name);
    // Incarnation 0 is unknown: it may have started again.
    if (row.incarnation == 0 || known == removed_.end() ||
        known->second.incarnation != row.incarnation)
    {
        return;
    }
    row.leaving = known->second.leaving;
    row.quarantined = known->second.quarantined;
    row.paused_until = known->second.paused_until;
    row.limit = known->second.limit;
    row.limit_since = known->second.limit_since;
    row.limit_heard_at = known->second.limit_heard_at;
    row.cold_until = known->second.cold_until;
}

std::optional<upstream_index> upstream_table::find(std::string_view name) const
{
    auto const known = by_name_.find(name);
    if (known == by_name_.end())
    {
        return std::nullopt;
    }
    return known->second;
}

std::vector<upstream_table::ring_point> const&
upstream_table::ring(std::string_view service) const
{
    static std::vector<ring_point> const empty;
    auto const known = rings_.find(service);
    return known == rings_.end() ? empty : known->second;
}

upstream_row* upstream_table::find_row(std::string_view name,
                                       std::uint64_t incarnation)
{
    auto const known = by_name_.find(name);
    if (known == by_name_.end())
    {
        return nullptr;
    }
    upstream_row& row = rows_[known->second];
    return row.incarnation == incarnation ? &row : nullptr;
}

void upstream_table::add_to_ring(upstream_index index)
{
    upstream_profile const& profile = rows_[index].profile;
    std::vector<ring_point>& points = rings_[profile.service];
    ring_point const point{hash_of(profile.name), index};
    points.insert(std::upper_bound(points.begin(), points.end(), point, before),
                  point);
}

void upstream_table::remove_from_ring(upstream_index index)
{
    auto const ring = rings_.find(rows_[index].profile.service);
    std::erase_if(ring->second, [index](ring_point const& point)
                  { return point.upstream == index; });
    if (ring->second.empty())
    {
        rings_.erase(ring);
    }
}

upstream_index upstream_table::free_index()
{
    for (upstream_index i = 0; i < rows_.size(); ++i)
    {
        if (!rows_[i].present && rows_[i].in_flight == 0)
        {
            return i;
        }
    }
    rows_.emplace_back();
    return static_cast<upstream_index>(rows_.size() - 1);
}

} // namespace amarantharch
