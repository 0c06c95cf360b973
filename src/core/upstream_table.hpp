// The table of upstreams: what is configured about each, what it reports, and
// what this VM has sent to it.
//
// A row keeps its index until it is gone and has no work in flight, so that an
// index held by an attempt stays valid. Marks that stop new work (leaving,
// quarantined) only ever turn on within one incarnation of an upstream: they
// may be merged from any source, in any order and repeatedly, and never flap.
// A higher incarnation starts with all marks off.
//
// Cost: lookup by name O(log upstreams); a row is about 300 bytes.
#ifndef AMARANTHARCH_CORE_UPSTREAM_TABLE_HPP
#define AMARANTHARCH_CORE_UPSTREAM_TABLE_HPP

#include "core/site.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

using upstream_index = std::uint32_t;

// What the configuration and the platform's list say about an upstream.
struct upstream_profile
{
    std::string name;
    std::string address; // ip:port
    upstream_kind kind = upstream_kind::engine;
    std::string service; // requests name the service they are for
    std::string version;
    std::string machine_class;
    std::string failure_domain;
    double price_per_hour = 0;
    bool reclaimable = true;
    std::uint32_t slots = 16;           // requests that it runs together
    double prefill_tokens_per_ms = 10;  // prompt tokens computed per ms
    double ms_per_output_token = 20;    // between tokens of one stream
    std::uint32_t cache_blocks = 4'096; // prefix blocks it can keep
};

// Load as the upstream last reported it; `measured_at` lies in the past.
struct upstream_report
{
    time_point measured_at;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queued_prefill_tokens = 0;
};

struct upstream_row
{
    upstream_profile profile;
    std::uint64_t incarnation = 0;
    bool present = true;         // false: gone
    bool leaving = false;        // never turns off within an incarnation
    bool quarantined = false;    // never turns off within an incarnation
    time_point ejected_until;    // set by outlier_detector
    std::uint32_t in_flight = 0; // attempts of this VM
    std::optional<upstream_report> report;

    // Whether new work may be sent to it.
    bool takes_work(time_point now) const
    {
        return present && !leaving && !quarantined && ejected_until <= now;
    }
};

class upstream_table
{
public:
    // Adds an upstream or changes its profile. A higher incarnation than the
    // known one clears its marks and its report; a lower one is ignored.
    // Returns its index.
    upstream_index put(upstream_profile profile, std::uint64_t incarnation = 0);

    // Each of these ignores unknown names and incarnations other than the
    // row's, and returns whether the row changed.
    bool mark_leaving(std::string_view name, std::uint64_t incarnation);
    bool mark_quarantined(std::string_view name, std::uint64_t incarnation);
    bool remove(std::string_view name, std::uint64_t incarnation);

    std::optional<upstream_index> find(std::string_view name) const;

    upstream_row& row(upstream_index index)
    {
        return rows_[index];
    }
    upstream_row const& row(upstream_index index) const
    {
        return rows_[index];
    }
    std::size_t size() const
    {
        return rows_.size();
    }

    // One point of a service's ring: upstreams ordered by the hash of their
    // name, so that every VM sees the same order.
    struct ring_point
    {
        std::uint64_t hash;
        upstream_index upstream;
    };

    // The present upstreams of `service`, by hash; empty if there are none.
    std::vector<ring_point> const& ring(std::string_view service) const;

private:
    upstream_row* row_of(std::string_view name, std::uint64_t incarnation);
    void enter_ring(upstream_index index);
    void leave_ring(upstream_index index);
    upstream_index free_index();

    std::vector<upstream_row> rows_;
    // by_name_[n] == i if and only if rows_[i] is present and has name n.
    std::map<std::string, upstream_index, std::less<>> by_name_;
    // Each present row is in exactly the ring of its service, in hash order.
    std::map<std::string, std::vector<ring_point>, std::less<>> rings_;
};

} // namespace amarantharch

#endif
