// Counts, for each window of the wall clock, the requests of each organisation
// that upstreams started to run, over all VMs.
//
// Each VM counts its own requests and reports the counts of the last windows to
// its peers. They are cumulative within a window, so of the reports of one VM
// the greatest counts are the newest, and a report may be lost, late or
// repeated. A total is the sum of what this VM knows; a VM that died counts
// with its last report.
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

    // With a length of 0, nothing is counted.
    explicit usage_windows(duration length) : length_(length) {}

    window_number window_at(time_point now) const;
    time_point end_of(window_number window) const;

    // An upstream started to run a request.
    void on_request_started(time_point now, std::string const& organisation);

    // This VM's counts of the windows that are still reported, for its peers.
    std::vector<window_counts> report(time_point now, std::string const& vm,
                                      std::uint64_t incarnation) const;
    void merge(time_point now, window_counts const& peer);

    // The counts of all processes in the window, as known here. This VM's own
    // carry `vm` and `incarnation`.
    std::vector<window_counts> by_process(window_number window,
                                          std::string const& vm,
                                          std::uint64_t incarnation) const;
    // The sum over all VMs, as known here.
    organisation_counts total(window_number window) const;

private:
    // VM and incarnation. Counts are kept per process, so that those of a VM
    // which restarts within a window are added to those of the process before.
    using process = std::pair<std::string, std::uint64_t>;

    void forget_old_windows(time_point now);

    duration length_;
    std::map<window_number, organisation_counts> own_;
    std::map<window_number, std::map<process, organisation_counts>> peers_;
};

} // namespace amarantharch

#endif
