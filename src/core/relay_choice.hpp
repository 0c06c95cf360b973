// Chooses the VM that runs an attempt on behalf of this one, which cannot reach
// the upstream itself.
//
// Attempts are spread over all live VMs, by how many this VM has in progress at
// each, so that a large partition does not load a few VMs. Among equals, those
// in the same failure domain come first. A VM that declined an attempt, could
// not be reached or says that it is partitioned itself is not asked again for
// `unfit_time`, or until it says that it is not partitioned any more.
//
// Cost: O(VMs) for each choice.
#ifndef AMARANTHARCH_CORE_RELAY_CHOICE_HPP
#define AMARANTHARCH_CORE_RELAY_CHOICE_HPP

#include "core/membership.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace amarantharch
{

struct relay_choice_options
{
    std::string failure_domain; // of this VM
    duration unfit_time = std::chrono::seconds(1);
};

class relay_choice
{
public:
    explicit relay_choice(relay_choice_options options)
        : options_(std::move(options))
    {
    }

    // The VM to ask; empty if none is known to be fit.
    std::optional<std::string> choose(time_point now,
                                      membership const& members);

    void on_sent(std::string const& vm);
    void on_end(std::string const& vm);

    // The VM declined an attempt or could not be reached.
    void on_unfit(time_point now, std::string const& vm);

    // The VM has told whether it is partitioned from the upstreams itself.
    void on_told(time_point now, std::string const& vm, bool partitioned);

    // When the first VM that is unfit now may be asked again; nothing if none
    // is unfit.
    std::optional<time_point> next_fit(time_point now) const;

private:
    struct record
    {
        std::size_t in_progress = 0;
        time_point unfit_until;
        bool partitioned = false; // as it told last
        std::uint64_t last_turn = 0;
    };

    relay_choice_options options_;
    std::map<std::string, record> records_; // of VMs asked before
    std::uint64_t turns_ = 0;
};

} // namespace amarantharch

#endif
