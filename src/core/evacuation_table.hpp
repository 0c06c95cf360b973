// The failure domains that the operator has evacuated.
//
// The operator's records are read from the platform's log, and VMs repeat to
// each other what they know, so a state may arrive late, twice or in any order.
// Of one domain the state with the greatest (era, offset) counts, and of two
// with the same position the restoration, so that all VMs with the same
// messages agree.
//
// A state heard from a peer may be out of date: the operator's later record may
// have been deleted together with the evacuation. Up to the position that this
// VM has read itself its own knowledge is complete, so what a peer says of that
// part of the log is not taken over, and what it said before is dropped once
// this VM has read past it without finding the record.
//
// Cost: O(log domains) for each state; memory: a row for each domain that has
// ever been evacuated since the process started.
#ifndef AMARANTHARCH_CORE_EVACUATION_TABLE_HPP
#define AMARANTHARCH_CORE_EVACUATION_TABLE_HPP

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

// A position in the log of the operator's records. Offsets of different eras
// cannot be compared.
struct operator_position
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on its rewritten uses
    auto operator<=>(operator_position const&) const = default;
};

// The state of one failure domain, as read from the log and as sent between
// VMs. Of an evacuation, `offset` is the one after its record; of a
// restoration, the one at which the record was found removed. A restoration is
// therefore never before the evacuation that it ends.
struct domain_evacuation
{
    std::string failure_domain;
    bool evacuated = false; // false: restored
    std::uint64_t era = 0;
    std::uint64_t offset = 0;
    MSGPACK_DEFINE(failure_domain, evacuated, era, offset)

    operator_position position() const
    {
        return {era, offset};
    }
};

class evacuation_table
{
public:
    // This VM has read a record. Returns whether the domain's state has
    // changed.
    bool apply(domain_evacuation const& read);

    // A peer has told of a state. Returns whether the domain's state has
    // changed.
    bool merge(domain_evacuation const& heard);

    // This VM has read all records before `position`. Returns the domains that
    // are found to be restored by this.
    std::vector<std::string> on_read_up_to(operator_position position);

    bool is_evacuated(std::string const& failure_domain) const;

    // All known states, for the peers.
    std::vector<domain_evacuation> states() const;

    std::size_t evacuated_count() const;

private:
    struct row
    {
        domain_evacuation state;
        bool is_read = false; // this VM has read the record itself
    };

    bool replace(row const& by);

    std::map<std::string, row> rows_; // by failure domain
    operator_position read_up_to_;
};

} // namespace amarantharch

#endif
