#include "core/quota_relay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// Weight of the newest sample in the moving average of a VM's rate.
constexpr double rate_gain = 0.5;
// A VM whose first report here has at most this sequence has just started, so
// all that it admitted is counted.
constexpr std::uint64_t start_sequences = 3;

double seconds_between(time_point from, time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

std::vector<organisation_spent>
rows_of(std::map<std::string, double> const& totals)
{
    std::vector<organisation_spent> rows;
    rows.reserve(totals.size());
    for (auto const& [organisation, units] : totals)
    {
        rows.push_back({organisation, units});
    }
    return rows;
}

void add_to(std::map<std::string, double>& into,
            std::map<std::string, double> const& totals)
{
    for (auto const& [organisation, units] : totals)
    {
        into[organisation] += units;
    }
}

} // namespace

std::uint64_t quota_member_key(std::string_view vm, std::uint64_t incarnation)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), incarnation);
}

void quota_relay::add(time_point now, std::string const& cell,
                      quota_report const& report)
{
    cell_row& own = cells_[cell];
    auto const [place, added] = own.members.try_emplace(report.vm);
    member_row& member = place->second;
    if (!added && std::pair(report.incarnation, report.sequence) <=
                      std::pair(member.incarnation, member.sequence))
    {
        return;
    }
    bool const started = added || report.incarnation != member.incarnation;
    bool const from_start = report.sequence <= start_sequences;
    if (started)
    {
        for (auto const& [organisation, spent] : member.spent)
        {
            own.totals[organisation] -= spent.assumed;
        }
        member.spent.clear();
        member.first = from_start ? 0 : report.sequence;
    }
    double const elapsed = seconds_between(member.heard_at, now);
    for (organisation_spent const& row : report.spent)
    {
        member_spent& spent = member.spent[row.organisation];
        double const before = started && !from_start ? row.units : spent.units;
        double const used = row.units - before;
        spent.units = row.units;
        if (!started && elapsed > 0)
        {
            double const rate = std::max(0.0, used) / elapsed;
            spent.rate += rate_gain * (rate - spent.rate);
        }
        own.totals[row.organisation] += used - std::exchange(spent.assumed, 0);
    }
    member.incarnation = report.incarnation;
    member.sequence = report.sequence;
    member.heard_at = now;
}

void quota_relay::add(time_point now, quota_sum const& sum)
{
    other_cell_row& other = other_cells_[sum.cell];
    auto const own = cells_.find(sum.cell);
    if (own != cells_.end() && count_heard(now, own->second) > 0)
    {
        other.sums.forget_relays();
        other.members = 0;
        return;
    }
    other.sums.merge({sum.relay, sum.incarnation, sum.sequence}, sum.spent);
    other.members = sum.members;
    other.heard_at = now;
}

// Charges each VM that has become silent, once, with what it has probably
// admitted until then.
void quota_relay::charge_silent(time_point now, cell_row& cell) const
{
    double const span =
        std::chrono::duration<double>(options_.silence_timeout).count();
    for (auto& [vm, member] : cell.members)
    {
        if (now - member.heard_at <= options_.silence_timeout)
        {
            continue;
        }
        for (auto& [organisation, spent] : member.spent)
        {
            if (spent.assumed == 0 && spent.rate > 0)
            {
                spent.assumed = spent.rate * span;
                cell.totals[organisation] += spent.assumed;
            }
        }
    }
    std::erase_if(
        cell.members, [&](auto const& entry)
        { return now - entry.second.heard_at > options_.forget_after; });
}

std::uint32_t quota_relay::count_heard(time_point now,
                                       cell_row const& cell) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        cell.members, [&](auto const& entry)
        { return now - entry.second.heard_at <= options_.silence_timeout; }));
}

quota_sum quota_relay::new_sum()
{
    quota_sum sum;
    sum.relay = options_.vm;
    sum.incarnation = options_.incarnation;
    sum.sequence = ++sequence_;
    return sum;
}

quota_sum quota_relay::cell_sum(time_point now, std::string const& cell)
{
    cell_row& own = cells_[cell];
    charge_silent(now, own);
    quota_sum sum = new_sum();
    sum.cell = cell;
    sum.members = count_heard(now, own);
    sum.spent = rows_of(own.totals);
    return sum;
}

quota_sum quota_relay::fleet_sum(time_point now, std::string const& cell)
{
    quota_sum sum = new_sum();
    std::map<std::string, double> totals;
    for (auto& [name, row] : cells_)
    {
        charge_silent(now, row);
        add_to(totals, row.totals);
        sum.members += count_heard(now, row);
    }
    for (auto const& [name, row] : other_cells_)
    {
        add_to(totals, row.sums.totals());
        bool const recent = now - row.heard_at <= options_.silence_timeout;
        sum.members += recent ? row.members : 0;
    }
    sum.spent = rows_of(totals);
    for (auto const& [vm, member] : cells_[cell].members)
    {
        sum.included.push_back({quota_member_key(vm, member.incarnation),
                                member.first, member.sequence});
    }
    return sum;
}

} // namespace amarantharch
