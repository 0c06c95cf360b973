// Merges sums that several relays have made of the same group of VMs.
//
// A relay adds up what the VMs of its group report (see quota_relay) and sends
// the totals since it started. Each group has more than one relay, so that the
// loss of one costs no information. The relays hear the same reports at
// different times, so their totals differ, and adding them up would count
// everything twice. Instead the progress of each relay since it was first heard
// is taken, and the greatest progress counts:
//
//     total = max over relays r of (total when r was first heard + growth of r)
//
// So a sum may be lost, late, repeated or reordered, a relay may come, go and
// start anew, and two relays for a moment count nothing twice. A relay that is
// first heard adds nothing; what it saw before is covered by the others or lost
// if there are none.
//
// Cost: O(organisations) a sum; memory: relays times organisations, for the
// last few relays heard.
#ifndef AMARANTHARCH_CORE_RELAYED_SUMS_HPP
#define AMARANTHARCH_CORE_RELAYED_SUMS_HPP

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

// Units of a quota that were admitted for one organisation.
struct organisation_spent
{
    std::string organisation;
    double units = 0;
    MSGPACK_DEFINE(organisation, units)
};

// Identifies a sum: of one relay, the greatest (incarnation, sequence) is the
// newest.
struct relay_version
{
    std::string relay;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

class relayed_sums
{
public:
    // Merges the totals of one relay. Returns by how much the total of each
    // organisation has grown; nothing for a sum that is not newer than the
    // relay's last one.
    std::vector<organisation_spent>
    merge(relay_version const& version,
          std::vector<organisation_spent> const& totals);

    // Adds units that were charged without a report; later growth counts only
    // beyond them.
    void assume(std::string const& organisation, double units)
    {
        totals_[organisation] += units;
    }

    // Takes every relay as first heard from now on; the totals stay.
    void forget_relays()
    {
        relays_.clear();
    }

    std::map<std::string, double> const& totals() const
    {
        return totals_;
    }

private:
    struct relay_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t used = 0; // number of the merge that used it last
        std::map<std::string, double> last;     // totals of its last sum
        std::map<std::string, double> progress; // compared with totals_
    };

    void drop_least_recent();

    std::uint64_t merges_ = 0;
    std::map<std::string, relay_row> relays_;
    std::map<std::string, double> totals_;
};

} // namespace amarantharch

#endif
