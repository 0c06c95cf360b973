#include "core/gossip.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration max_clock_skew = std::chrono::minutes(1);
constexpr std::size_t expiry_rows_per_call = 64;
// Sizes of array header, kind, two string headers and two integers.
constexpr std::size_t row_overhead = 1 + 1 + 3 + 3 + 9 + 9;

bool is_newer(soft_kind_rule const& rule, std::int64_t version,
              std::int64_t value, std::int64_t old_version,
              std::int64_t old_value)
{
    if (rule.merge == merge_rule::maximum)
    {
        return value > old_value ||
               (value == old_value && version > old_version);
    }
    return version > old_version ||
           (version == old_version && value > old_value);
}

} // namespace

soft_kind_rule const* rule_of(soft_kind kind)
{
    auto const found =
        std::ranges::find(soft_kinds, kind, &soft_kind_rule::value);
    return found == soft_kinds.end() ? nullptr : &*found;
}

std::size_t encoded_size(soft_row const& row)
{
    return row_overhead + row.key.subject.size() + row.key.origin.size();
}

soft_state::soft_state(soft_state_options options)
    : options_(std::move(options))
{
}

bool soft_state::set(time_point now, soft_kind kind, std::string subject,
                     std::int64_t value)
{
    auto const* rule = rule_of(kind);
    if (rule == nullptr)
    {
        return false;
    }
    soft_key key{kind, std::move(subject), {}};
    if (rule->scope == soft_scope::origin)
    {
        key.origin = options_.vm;
    }
    auto version = to_micros(now);
    if (auto const old = rows_.find(key); old != rows_.end())
    {
        bool const same = old->second.value == value;
        auto const refreshed = old->second.version + rule->lifetime.count() / 2;
        if ((same && version < refreshed) ||
            (rule->merge == merge_rule::maximum && value < old->second.value))
        {
            return false;
        }
        version = std::max(version, old->second.version + 1);
    }
    return store(key, version, value);
}

bool soft_state::merge(time_point now, soft_row const& row)
{
    auto const* rule = rule_of(row.key.kind);
    if (rule == nullptr ||
        (rule->scope == soft_scope::origin) == row.key.origin.empty() ||
        row.version > to_micros(now + max_clock_skew) ||
        row.version + rule->lifetime.count() < to_micros(now))
    {
        return false;
    }
    auto const old = rows_.find(row.key);
    if (old == rows_.end())
    {
        return store(row.key, row.version, row.value);
    }
    if (!is_newer(*rule, row.version, row.value, old->second.version,
                  old->second.value))
    {
        return false;
    }
    // For a maximum, the version only extends the lifetime.
    auto const version = std::max(row.version, old->second.version);
    return store(row.key, version, row.value);
}

bool soft_state::store(soft_key const& key, std::int64_t version,
                       std::int64_t value)
{
    if (rows_.size() >= options_.max_rows && !rows_.contains(key))
    {
        ++refused_rows_;
        return false;
    }
    auto& row = rows_[key];
    clear_pending(key, row);
    row.version = version;
    row.value = value;
    mark_pending(key, row, 0);
    return true;
}

void soft_state::mark_pending(soft_key const& key, stored_row& row, int sent)
{
    bool const urgent = rule_of(key.kind)->urgent;
    row.times_sent = sent;
    pending_.insert({!urgent, sent, key});
    urgent_pending_ += urgent ? 1 : 0;
}

void soft_state::clear_pending(soft_key const& key, stored_row& row)
{
    if (row.times_sent < 0)
    {
        return;
    }
    bool const urgent = rule_of(key.kind)->urgent;
    pending_.erase({!urgent, row.times_sent, key});
    urgent_pending_ -= urgent ? 1 : 0;
    row.times_sent = -1;
}

soft_state::row_map::iterator soft_state::erase(row_map::iterator it)
{
    clear_pending(it->first, it->second);
    return rows_.erase(it);
}

std::optional<std::int64_t> soft_state::value(soft_kind kind,
                                              std::string_view subject,
                                              std::string_view origin) const
{
    auto const found =
        rows_.find(soft_key{kind, std::string(subject), std::string(origin)});
    return found == rows_.end() ? std::nullopt
                                : std::optional(found->second.value);
}

std::int64_t soft_state::sum(soft_kind kind, std::string_view subject) const
{
    std::int64_t total = 0;
    visit(kind, subject, [&](soft_row const& row) { total += row.value; });
    return total;
}

void soft_state::forget_origin(std::string_view origin)
{
    for (auto it = rows_.begin(); it != rows_.end();)
    {
        it = it->first.origin == origin ? erase(it) : std::next(it);
    }
}

void soft_state::expire(time_point now)
{
    auto it = rows_.lower_bound(expiry_cursor_);
    for (std::size_t i = 0; i < expiry_rows_per_call && it != rows_.end(); ++i)
    {
        auto const lifetime = rule_of(it->first.kind)->lifetime.count();
        bool const expired = it->second.version + lifetime < to_micros(now);
        it = expired ? erase(it) : std::next(it);
    }
    expiry_cursor_ = it == rows_.end() ? soft_key{} : it->first;
}

std::vector<soft_row>
soft_state::take_pending(std::size_t bytes, int transmissions, bool urgent_only)
{
    std::vector<soft_row> taken;
    std::size_t used = 0;
    for (auto const& entry : pending_)
    {
        if (urgent_only && entry.not_urgent)
        {
            break;
        }
        auto const& row = rows_.find(entry.key)->second;
        soft_row next{entry.key, row.version, row.value};
        used += encoded_size(next);
        if (used > bytes)
        {
            break;
        }
        taken.push_back(std::move(next));
    }
    for (auto const& next : taken)
    {
        auto& row = rows_.find(next.key)->second;
        auto const times_sent = row.times_sent + 1;
        clear_pending(next.key, row);
        if (times_sent < transmissions)
        {
            mark_pending(next.key, row, times_sent);
        }
    }
    return taken;
}

std::vector<soft_row> soft_state::take_anti_entropy(std::size_t bytes)
{
    std::vector<soft_row> taken;
    std::size_t used = 0;
    auto it = rows_.lower_bound(anti_entropy_cursor_);
    while (taken.size() < rows_.size())
    {
        if (it == rows_.end())
        {
            it = rows_.begin();
        }
        soft_row next{it->first, it->second.version, it->second.value};
        used += encoded_size(next);
        if (used > bytes)
        {
            break;
        }
        taken.push_back(std::move(next));
        ++it;
    }
    if (!taken.empty())
    {
        anti_entropy_cursor_ = it == rows_.end() ? soft_key{} : it->first;
    }
    return taken;
}

} // namespace amarantharch
