#include "core/recorded_usage.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace amarantharch
{

namespace
{

// Upper bounds of the packed sizes: of a text beyond its length; of the numbers
// and the array of a row; of an index and a count.
constexpr std::size_t text_overhead = 5;
constexpr std::size_t row_overhead = text_overhead + 9 + 9 + 5 + 1;
constexpr std::size_t entry_bytes = 5 + 9;

std::uint64_t sum_of(organisation_counts const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                           [](std::uint64_t sum, auto const& entry)
                           { return sum + entry.second; });
}

} // namespace

packed_counts pack(std::vector<window_counts> const& rows,
                   std::size_t max_bytes)
{
    packed_counts packed;
    std::map<std::string, std::uint64_t> indices;
    std::size_t bytes = 0;
    for (window_counts const& row : rows)
    {
        packed_counts::row next{row.vm, row.incarnation, row.window, {}};
        bytes += row.vm.size() + row_overhead;
        for (auto const& [organisation, count] : row.counts)
        {
            auto const known = indices.find(organisation);
            bytes += entry_bytes + (known == indices.end()
                                        ? organisation.size() + text_overhead
                                        : 0);
            if (bytes > max_bytes)
            {
                break;
            }
            std::uint64_t const index = known == indices.end()
                                            ? packed.organisations.size()
                                            : known->second;
            if (known == indices.end())
            {
                indices.emplace(organisation, index);
                packed.organisations.push_back(organisation);
            }
            next.counts.push_back(index);
            next.counts.push_back(count);
        }
        if (!next.counts.empty())
        {
            packed.rows.push_back(std::move(next));
        }
        if (bytes > max_bytes)
        {
            break;
        }
    }
    return packed;
}

std::vector<window_counts> unpack(packed_counts const& packed)
{
    std::vector<window_counts> rows;
    for (packed_counts::row const& row : packed.rows)
    {
        window_counts next{row.vm, row.incarnation, row.window, {}};
        for (std::size_t i = 0; i + 1 < row.counts.size(); i += 2)
        {
            if (row.counts[i] < packed.organisations.size())
            {
                next.counts[packed.organisations[row.counts[i]]] =
                    row.counts[i + 1];
            }
        }
        rows.push_back(std::move(next));
    }
    return rows;
}

void recorded_usage::merge(std::vector<window_counts> const& rows)
{
    for (window_counts const& row : rows)
    {
        auto& known = windows_[row.window][{row.vm, row.incarnation}];
        for (auto const& [organisation, count] : row.counts)
        {
            std::uint64_t& greatest = known[organisation];
            greatest = std::max(greatest, count);
        }
    }
}

std::vector<window_counts>
recorded_usage::missing(std::vector<window_counts> const& known) const
{
    static std::map<process, organisation_counts> const nothing;
    std::vector<std::pair<std::uint64_t, window_counts>> lacking;
    for (window_counts const& row : known)
    {
        auto const window = windows_.find(row.window);
        auto const& processes =
            window == windows_.end() ? nothing : window->second;
        auto const held = processes.find({row.vm, row.incarnation});
        window_counts next = row;
        std::uint64_t before = 0;
        if (held != processes.end())
        {
            std::erase_if(next.counts,
                          [&](auto const& entry)
                          {
                              auto const old = held->second.find(entry.first);
                              return old != held->second.end() &&
                                     old->second >= entry.second;
                          });
            for (auto const& [organisation, count] : next.counts)
            {
                auto const old = held->second.find(organisation);
                before += old == held->second.end() ? 0 : old->second;
            }
        }
        if (!next.counts.empty())
        {
            std::uint64_t const lack = sum_of(next.counts) - before;
            lacking.emplace_back(lack, std::move(next));
        }
    }
    std::stable_sort(lacking.begin(), lacking.end(),
                     [](auto const& a, auto const& b)
                     {
                         return std::tuple(a.second.window, b.first) <
                                std::tuple(b.second.window, a.first);
                     });
    std::vector<window_counts> rows;
    rows.reserve(lacking.size());
    for (auto& [lack, row] : lacking)
    {
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace amarantharch
