// A VM's place among all VMs that the platform lists, in the order of their
// names. VMs take turns by it without asking each other.
#ifndef AMARANTHARCH_CORE_FLEET_POSITION_HPP
#define AMARANTHARCH_CORE_FLEET_POSITION_HPP

#include <cstddef>

namespace amarantharch
{

struct fleet_position
{
    std::size_t rank = 0;
    std::size_t vms = 0; // with this one; 0: not known

    bool operator==(fleet_position const&) const = default;
};

} // namespace amarantharch

#endif
