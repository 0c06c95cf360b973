// Outlier detection: ejects, for a time, upstreams that fail much more often
// than the others of their service.
//
// An upstream is ejected after `consecutive_failures` failures in a row, for
// `base_ejection`, doubled with each further ejection that follows within
// `max_ejection` of the end of the last. An ejection is not done if it would
// leave fewer than `min_active_share` of the present upstreams of the same
// service and version that are not evacuated able to take work. When most of
// them fail, the cause is elsewhere, and the load would only overload the rest.
// Cost: O(1) a result, O(upstreams of the service) an ejection.
#ifndef AMARANTHARCH_CORE_OUTLIER_HPP
#define AMARANTHARCH_CORE_OUTLIER_HPP

#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <cstdint>
#include <vector>

namespace amarantharch
{

struct outlier_options
{
    std::uint32_t consecutive_failures = 5;
    duration base_ejection = std::chrono::seconds(5);
    duration max_ejection = std::chrono::minutes(5);
    double min_active_share = 0.7;
};

class outlier_detector
{
public:
    explicit outlier_detector(outlier_options options);

    // An attempt at the upstream ended, other than by its caller disconnecting.
    // Returns true if this ejects the upstream (sets the row's ejected_until).
    bool on_result(time_point now, upstream_index upstream, bool success,
                   upstream_table& table);

    // To be called when a row is removed or has a new incarnation.
    void on_upstream_reset(upstream_index upstream);

private:
    struct record
    {
        std::uint32_t failures_in_row = 0;
        std::uint32_t ejections = 0;
        time_point last_ejection_end;
    };

    bool may_eject(time_point now, upstream_index upstream,
                   upstream_table const& table) const;
    record& record_of(upstream_index upstream);

    outlier_options options_;
    std::vector<record> records_;
};

} // namespace amarantharch

#endif
