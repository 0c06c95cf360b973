#include "core/relay_choice.hpp"

#include <algorithm>
#include <tuple>

namespace amarantharch
{

std::optional<std::string> relay_choice::choose(time_point now,
                                                membership const& members)
{
    std::erase_if(records_,
                  [&](auto const& each)
                  {
                      return each.second.in_progress == 0 &&
                             members.find(each.first) == nullptr;
                  });
    // The smallest is chosen.
    using rank = std::tuple<std::size_t, bool, std::uint64_t>;
    std::optional<rank> best;
    std::optional<std::string> chosen;
    for (auto const& [vm, row] : members.members())
    {
        record const& known = records_[vm];
        if (row.state() != member_state::live || row.address.empty() ||
            now < known.unfit_until)
        {
            continue;
        }
        rank const its{known.in_progress,
                       row.failure_domain != options_.failure_domain,
                       known.last_turn};
        if (!best || its < *best)
        {
            best = its;
            chosen = vm;
        }
    }
    if (chosen)
    {
        records_[*chosen].last_turn = ++turns_;
    }
    return chosen;
}

void relay_choice::on_sent(std::string const& vm)
{
    ++records_[vm].in_progress;
}

void relay_choice::on_end(std::string const& vm)
{
    record& known = records_[vm];
    known.in_progress -= known.in_progress > 0 ? 1 : 0;
}

void relay_choice::on_unfit(time_point now, std::string const& vm)
{
    records_[vm].unfit_until = now + options_.unfit_time;
}

void relay_choice::on_told(time_point now, std::string const& vm,
                           bool partitioned)
{
    auto const known = records_.find(vm);
    bool const was_partitioned =
        known != records_.end() && known->second.partitioned;
    if (!partitioned && !was_partitioned)
    {
        return;
    }
    record& row = records_[vm];
    row.partitioned = partitioned;
    row.unfit_until = partitioned ? now + options_.unfit_time : now;
}

std::optional<time_point> relay_choice::next_fit(time_point now) const
{
    std::optional<time_point> first;
    for (auto const& [vm, known] : records_)
    {
        if (known.unfit_until > now)
        {
            first =
                std::min(first.value_or(known.unfit_until), known.unfit_until);
        }
    }
    return first;
}

} // namespace amarantharch
