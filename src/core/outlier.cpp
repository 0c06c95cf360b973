#include "core/outlier.hpp"

#include <algorithm>

namespace amarantharch
{

namespace
{

// Keeps the shift that doubles the ejection time in range.
constexpr std::uint32_t max_doublings = 10;

} // namespace

outlier_detector::outlier_detector(outlier_options options) : options_(options)
{
}

bool outlier_detector::on_result(time_point now, upstream_index upstream,
                                 bool success, upstream_table& table)
{
    record& seen = record_of(upstream);
    upstream_row& row = table.row(upstream);
    if (row.ejected_until > now)
    {
        return false; // sent before the ejection
    }
    if (success)
    {
        seen.failures_in_row = 0;
        return false;
    }
    ++seen.failures_in_row;
    if (seen.failures_in_row < options_.consecutive_failures ||
        !may_eject(now, upstream, table))
    {
        return false;
    }
    bool const again = seen.ejections > 0 &&
                       now < seen.last_ejection_end + options_.max_ejection;
    seen.ejections = again ? std::min(seen.ejections + 1, max_doublings) : 1;
    duration const length =
        std::min(options_.max_ejection,
                 options_.base_ejection * (1 << (seen.ejections - 1)));
    row.ejected_until = now + length;
    seen.last_ejection_end = row.ejected_until;
    seen.failures_in_row = 0;
    return true;
}

void outlier_detector::on_upstream_reset(upstream_index upstream)
{
    record_of(upstream) = record{};
}

bool outlier_detector::may_eject(time_point now, upstream_index upstream,
                                 upstream_table const& table) const
{
    upstream_profile const& profile = table.row(upstream).profile;
    std::size_t present = 0;
    std::size_t others = 0; // that would still take work
    for (auto const& point : table.ring(profile.service))
    {
        upstream_row const& row = table.row(point.upstream);
        if (row.profile.version != profile.version || row.evacuated)
        {
            continue;
        }
        ++present;
        bool const other = point.upstream != upstream;
        others += other && row.is_open(now) ? 1 : 0;
    }
    return static_cast<double>(others) >=
           options_.min_active_share * static_cast<double>(present);
}

outlier_detector::record& outlier_detector::record_of(upstream_index upstream)
{
    if (upstream >= records_.size())
    {
        records_.resize(upstream + 1);
    }
    return records_[upstream];
}

} // namespace amarantharch
