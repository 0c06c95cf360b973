// Counts, for each window of the wall clock, the requests of each organisation
// that upstreams began to run, over all VMs.
//
// Each VM counts its own and tells its peers its counts of the last windows;
// they are cumulative within a window, so of one VM the greatest counts are the
// newest, and a message may be lost, late or repeated. The sum is what this VM
// has heard; of a VM that died, what it said last.
//
// Cost: O(1) a request; memory: VMs times organisations times kept_windows.
#ifndef AMARANTHARCH_CORE_USAGE_WINDOWS_HPP
#define AMARANTHARCH_CORE_USAGE_WINDOWS_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

// Windows are numbered from the Unix epoch.
using window_number = std::int64_t;

using organisation_counts = std::map<std::string, std::uint64_t>;

// One VM's counts of one window.
struct window_counts
{
    std::string vm;
    std::uint64_t incarnation = 0;
    window_number window = 0;
    organisation_counts counts;
    MSGPACK_DEFINE(vm, incarnation, window, counts)
};

class usage_windows
{
public:
    static constexpr std::size_t kept_windows = 6;

    // A length of 0 counts nothing.
    explicit usage_windows(duration length) : length_(length) {}

    window_number window_at(time_point now) const;
    time_point end_of(window_number window) const;

    // An upstream began to run a request.
    void began(time_point now, std::string const& organisation);

    // This VM's counts of the windows that still change at its peers.
    std::vector<window_counts> report(time_point now, std::string const& vm,
                                      std::uint64_t incarnation) const;
    void merge(time_point now, window_counts const& peer);

    // The sum over all VMs, as known here.
    organisation_counts total(window_number window) const;

private:
    // A process of a VM that restarted in a window counts beside its
    // predecessor.
    using process = std::pair<std::string, std::uint64_t>;

    void forget(time_point now);

    duration length_;
    std::map<window_number, organisation_counts> own_;
    std::map<window_number, std::map<process, organisation_counts>> peers_;
};

} // namespace amarantharch

#endif
