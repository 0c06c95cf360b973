// Adds up the usage of quotas for a large fleet: each VM reports to the relays
// of its cell, and hears one sum over all VMs from each of them.
//
// The relays of a cell are its readers (see shared_reading). A relay adds up
// the reports of the VMs of its cell, exchanges the cell's sum with the relays
// of the other cells, and sends its cell the sum over all cells. So a VM sends
// and receives a few messages in an interval, whatever the size of the fleet,
// and a relay one for each VM of its cell and each other relay.
//
// A sum lists the reports that it includes, so that a VM can subtract its own
// part and is not charged twice (see shared_quota::merge). Reports and sums
// hold totals, not differences, and are merged by relayed_sums: lost, repeated
// and reordered messages do no harm.
//
// Staleness: a unit admitted at one VM is known to all after at most three
// intervals (to the relay, between relays, from the relay) plus the delays of
// the network. A relay that stops costs nothing while the cell's other one is
// heard. If both do, the VMs hear nothing, and each is limited to its own
// share; they are back three intervals after new relays are selected.
//
// A VM that stops reporting is charged with its last rate until it counts as
// silent, and its next report corrects that.
//
// Cost: O(organisations) a report; a sum is O(VMs of the cell).
#ifndef AMARANTHARCH_CORE_QUOTA_RELAY_HPP
#define AMARANTHARCH_CORE_QUOTA_RELAY_HPP

#include "core/relayed_sums.hpp"
#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// What a VM has admitted since it started. Of one VM, the greatest
// (incarnation, sequence) is the newest.
struct quota_report
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // from 1
    std::vector<organisation_spent> spent;
    MSGPACK_DEFINE(vm, incarnation, sequence, spent)
};

// Identifies a VM and its incarnation in a sum.
std::uint64_t quota_member_key(std::string_view vm, std::uint64_t incarnation);

// A report that a sum includes: the usage from report `first` to `sequence`.
struct included_report
{
    std::uint64_t member = 0; // quota_member_key
    std::uint64_t first = 0;  // 0: all that it admitted since it started
    std::uint64_t sequence = 0;
    MSGPACK_DEFINE(member, first, sequence)
};

struct quota_sum
{
    std::string relay;
    std::uint64_t incarnation = 0; // of the relay
    std::uint64_t sequence = 0;
    // The cell whose VMs are summed; empty: all VMs.
    std::string cell;
    std::uint32_t members = 0; // VMs whose reports are recent
    std::vector<organisation_spent> spent;
    std::vector<included_report> included;
    MSGPACK_DEFINE(relay, incarnation, sequence, cell, members, spent, included)
};

struct quota_relay_options
{
    std::string vm;
    std::uint64_t incarnation = 0;
    // A VM or relay without a report for this long is silent.
    duration silence_timeout = std::chrono::milliseconds(1'500);
    // A silent VM is forgotten after this time.
    duration forget_after = std::chrono::seconds(30);
};

class quota_relay
{
public:
    explicit quota_relay(quota_relay_options options)
        : options_(std::move(options))
    {
    }

    // A report of a VM of `cell`, for which this VM is a relay.
    void add(time_point now, std::string const& cell,
             quota_report const& report);

    // A sum that another relay has made of a cell. Of no use while the VMs of
    // that cell report to this VM too.
    void add(time_point now, quota_sum const& sum);

    // The sum of the VMs of `cell`, for the relays of other cells.
    quota_sum cell_sum(time_point now, std::string const& cell);

    // The sum of all VMs, for the VMs of `cell`.
    quota_sum fleet_sum(time_point now, std::string const& cell);

private:
    struct member_spent
    {
        double units = 0;   // of the last report
        double rate = 0;    // units a second, between the last two reports
        double assumed = 0; // charged since the VM became silent
    };

    struct member_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t first = 0;
        std::uint64_t sequence = 0;
        time_point heard_at;
        std::map<std::string, member_spent> spent;
    };

    // A cell that this VM is a relay for.
    struct cell_row
    {
        std::map<std::string, member_row> members;
        std::map<std::string, double> totals;
    };

    // A cell that others are relays for.
    struct other_cell_row
    {
        relayed_sums sums;
        std::uint32_t members = 0;
        time_point heard_at;
    };

    void charge_silent(time_point now, cell_row& cell) const;
    std::uint32_t count_heard(time_point now, cell_row const& cell) const;
    quota_sum new_sum();

    quota_relay_options options_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, cell_row> cells_;
    std::map<std::string, other_cell_row> other_cells_;
};

} // namespace amarantharch

#endif
