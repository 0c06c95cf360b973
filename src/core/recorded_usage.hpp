// The counts of usage that the duty log holds, by window and process, so that a
// new holder knows what was counted before all VMs were killed.
//
// The holder writes only what the log does not hold yet: counts are cumulative
// within a window and process, so of two counts of one process the greater is
// the newer, and merging records in any order, or twice, gives the maximum. A
// record whose answer was lost is read back and merged like any other; what is
// missing then is computed anew.
//
// Totals by organisation would be smaller, but could not be merged: a new
// holder cannot tell which of the counts that it knows are part of a total, so
// it would count requests twice or leave some out. A record has a bounded size
// instead. What does not fit, which begins at about 400 processes with 16
// organisations, follows in the next records: earlier windows first, then the
// processes that lack most.
//
// Size: a row has the VM's name, about 25 bytes, and 2 to 8 bytes for each
// organisation with a new count. 84 VMs with 16 organisations and 2 windows,
// all with new counts of 60,000, take 17,415 bytes.
//
// Cost: O(processes times organisations) for each record written or read.
#ifndef AMARANTHARCH_CORE_RECORDED_USAGE_HPP
#define AMARANTHARCH_CORE_RECORDED_USAGE_HPP

#include "core/usage_windows.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

// The compact form in a record: counts refer to organisations by their index.
struct packed_counts
{
    struct row
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        window_number window = 0;
        // Index of an organisation and its count, in turn.
        std::vector<std::uint64_t> counts;
        MSGPACK_DEFINE(vm, incarnation, window, counts)
    };

    std::vector<std::string> organisations;
    std::vector<row> rows;
    MSGPACK_DEFINE(organisations, rows)
};

// Packs the rows, as far as they fit into `max_bytes`.
packed_counts pack(std::vector<window_counts> const& rows,
                   std::size_t max_bytes);
// Ignores counts of organisations that are not listed.
std::vector<window_counts> unpack(packed_counts const& packed);

class recorded_usage
{
public:
    // The log holds these counts.
    void merge(std::vector<window_counts> const& rows);

    // What the log lacks of `known`, most important first.
    std::vector<window_counts>
    missing(std::vector<window_counts> const& known) const;

    void forget(window_number window)
    {
        windows_.erase(window);
    }
    void forget_before(window_number window)
    {
        windows_.erase(windows_.begin(), windows_.lower_bound(window));
    }
    void clear()
    {
        windows_.clear();
    }

private:
    using process = std::pair<std::string, std::uint64_t>; // VM, incarnation

    std::map<window_number, std::map<process, organisation_counts>> windows_;
};

} // namespace amarantharch

#endif
