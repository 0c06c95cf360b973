#include "core/evacuation_table.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// Whether `a` replaces `b`, which is of the same domain.
bool replaces(domain_evacuation const& a, domain_evacuation const& b)
{
    return a.position() != b.position() ? a.position() > b.position()
                                        : !a.evacuated && b.evacuated;
}

} // namespace

bool evacuation_table::apply(domain_evacuation const& read)
{
    row next{read, true};
    auto const known = rows_.find(read.failure_domain);
    if (known != rows_.end())
    {
        row& last = known->second;
        // A record that was found missing is told with its own offset.
        bool const ends_it = !read.evacuated && last.is_read &&
                             read.era == last.state.era &&
                             read.offset + 1 == last.state.offset;
        if (ends_it)
        {
            next.state.offset = last.state.offset;
        }
        last.is_read = last.is_read || read.position() == last.state.position();
    }
    return replace(next);
}

bool evacuation_table::merge(domain_evacuation const& heard)
{
    return heard.position() > read_up_to_ && replace({heard, false});
}

bool evacuation_table::replace(row const& by)
{
    auto const [known, added] = rows_.try_emplace(by.state.failure_domain, by);
    if (added)
    {
        return by.state.evacuated;
    }
    if (!replaces(by.state, known->second.state))
    {
        return false;
    }
    bool const was_evacuated = known->second.state.evacuated;
    known->second = by;
    return was_evacuated != by.state.evacuated;
}

std::vector<std::string>
evacuation_table::on_read_up_to(operator_position position)
{
    read_up_to_ = std::max(read_up_to_, position);
    std::vector<std::string> restored;
    for (auto& [domain, known] : rows_)
    {
        bool const is_outdated = known.state.evacuated && !known.is_read &&
                                 known.state.position() <= read_up_to_;
        if (is_outdated)
        {
            known = {{domain, false, read_up_to_.era, read_up_to_.offset},
                     true};
            restored.push_back(domain);
        }
    }
    return restored;
}

bool evacuation_table::is_evacuated(std::string const& failure_domain) const
{
    auto const known = rows_.find(failure_domain);
    return known != rows_.end() && known->second.state.evacuated;
}

std::vector<domain_evacuation> evacuation_table::states() const
{
    std::vector<domain_evacuation> all;
    for (auto const& [domain, known] : rows_)
    {
        all.push_back(known.state);
    }
    return all;
}

std::size_t evacuation_table::evacuated_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        rows_, [](auto const& each) { return each.second.state.evacuated; }));
}

} // namespace amarantharch
