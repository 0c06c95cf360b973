// Soft state: an eventually consistent table that VMs replicate by gossip.
//
// A row is {kind, subject, origin, version, value}. It may be stale and only
// informs: it never authorises anything. The table soft_kinds defines for each
// kind how two rows of one key merge (newest version, or largest value),
// whether the key includes the origin, whether the row is urgent, and how long
// it lives. Merges are commutative, associative and idempotent, so messages may
// be lost, repeated and reordered; the value of a merge_rule::maximum row never
// decreases.
//
// A new row is included in a number of messages that grows with the logarithm
// of the fleet size. After that, only anti-entropy sends it: a slow walk over
// the whole table that repairs what was lost. A version is the time of writing
// in microseconds, so that all VMs expire a row at about the same time.
// Cost: O(log rows) for each row received; filling a message takes
// O(pending rows).
#ifndef AMARANTHARCH_CORE_GOSSIP_HPP
#define AMARANTHARCH_CORE_GOSSIP_HPP

#include "core/name_table.hpp"
#include "core/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// Values are part of the protocol: append only, never renumber.
enum class soft_kind : std::uint8_t
{
    configuration_revision = 1, // subject "": newest revision known to exist
    upstream_leaving = 2,       // subject upstream: its latest leaving start
    upstream_health = 3,        // subject upstream: 0 unfit to 100 healthy
    upstream_load = 4,          // subject upstream: requests in flight
    version_taken_back = 5,     // subject version move: 1 once rolled back
    quarantine = 6,             // subject fingerprint: crashes seen
    organisation_usage = 7,     // subject organisation: tokens, cumulative
    version_requests = 8,       // subject version: requests, cumulative
    version_failures = 9,       // subject version: failures, cumulative
};

enum class merge_rule : std::uint8_t
{
    newest,  // the row with the larger version; on a tie, the larger value
    maximum, // the larger value and the larger version, each by itself
};

// Whether all VMs write to one row or each VM has its own.
enum class soft_scope : std::uint8_t
{
    fleet,  // one row for each (kind, subject)
    origin, // one row for each (kind, subject, origin)
};

struct soft_kind_rule
{
    soft_kind value;
    std::string_view name;
    merge_rule merge;
    soft_scope scope;
    bool urgent;
    duration lifetime; // after the row's version
};

inline constexpr std::array<soft_kind_rule, 9> soft_kinds{{
    {soft_kind::configuration_revision, "configuration_revision",
     merge_rule::maximum, soft_scope::fleet, true, std::chrono::hours(48)},
    {soft_kind::upstream_leaving, "upstream_leaving", merge_rule::maximum,
     soft_scope::fleet, true, std::chrono::hours(2)},
    {soft_kind::upstream_health, "upstream_health", merge_rule::newest,
     soft_scope::origin, false, std::chrono::minutes(5)},
    {soft_kind::upstream_load, "upstream_load", merge_rule::newest,
     soft_scope::origin, false, std::chrono::minutes(1)},
    {soft_kind::version_taken_back, "version_taken_back", merge_rule::maximum,
     soft_scope::fleet, true, std::chrono::hours(168)},
    {soft_kind::quarantine, "quarantine", merge_rule::maximum,
     soft_scope::fleet, true, std::chrono::hours(24)},
    {soft_kind::organisation_usage, "organisation_usage", merge_rule::newest,
     soft_scope::origin, false, std::chrono::minutes(5)},
    {soft_kind::version_requests, "version_requests", merge_rule::newest,
     soft_scope::origin, false, std::chrono::hours(1)},
    {soft_kind::version_failures, "version_failures", merge_rule::newest,
     soft_scope::origin, false, std::chrono::hours(1)},
}};

// The rule for `kind`, or null for a kind added by a newer release.
soft_kind_rule const* rule_of(soft_kind kind);

struct soft_key
{
    soft_kind kind = soft_kind::upstream_health;
    std::string subject;
    std::string origin; // empty for soft_scope::fleet
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on rewritten uses
    auto operator<=>(soft_key const&) const = default;
};

struct soft_row
{
    soft_key key;
    std::int64_t version = 0; // microseconds since the epoch
    std::int64_t value = 0;
};

struct soft_state_options
{
    std::string vm; // the origin of rows set here
    std::size_t max_rows = 50000;
};

class soft_state
{
public:
    explicit soft_state(soft_state_options options);

    // Writes a row on behalf of this VM. The version is `now`, or the previous
    // version plus one if the clock has not advanced. An unchanged value is
    // refreshed only after half its lifetime. Returns false if the table is
    // full or the row changes nothing.
    bool set(time_point now, soft_kind kind, std::string subject,
             std::int64_t value);

    // Merges a row from a peer and queues it for other peers if it changed
    // anything; returns whether it did. Drops rows that are of unknown kind,
    // expired, dated more than a minute ahead, or beyond max_rows.
    bool merge(time_point now, soft_row const& row);

    // The value of the fleet's row, or of the row of `origin`.
    std::optional<std::int64_t> value(soft_kind kind, std::string_view subject,
                                      std::string_view origin = {}) const;

    // Calls `visitor(soft_row)` for each row of `kind` about `subject`.
    template <typename Visitor>
    void visit(soft_kind kind, std::string_view subject,
               Visitor&& visitor) const
    {
        soft_key const from{kind, std::string(subject), {}};
        for (auto it = rows_.lower_bound(from); it != rows_.end(); ++it)
        {
            if (it->first.kind != kind || it->first.subject != subject)
            {
                return;
            }
            visitor(soft_row{it->first, it->second.version, it->second.value});
        }
    }

    // The sum over all origins: the fleet-wide counter as known here.
    std::int64_t sum(soft_kind kind, std::string_view subject) const;

    // Removes the rows that `origin` wrote, once that VM is gone.
    void forget_origin(std::string_view origin);

    // Removes expired rows; each call walks a bounded part of the table.
    void expire(time_point now);

    // The pending rows to put into the next message, at most `bytes` encoded:
    // urgent ones first, then those sent least often. After `transmissions`
    // messages a row is no longer pending.
    std::vector<soft_row> take_pending(std::size_t bytes, int transmissions,
                                       bool urgent_only);

    // The next rows of the anti-entropy walk over the whole table.
    std::vector<soft_row> take_anti_entropy(std::size_t bytes);

    bool has_urgent() const
    {
        return urgent_pending_ > 0;
    }
    std::size_t size() const
    {
        return rows_.size();
    }
    std::uint64_t refused_rows() const
    {
        return refused_rows_;
    }

private:
    struct stored_row
    {
        std::int64_t version = 0;
        std::int64_t value = 0;
        int times_sent = -1; // messages that carried it; -1: not pending
    };
    using row_map = std::map<soft_key, stored_row, std::less<>>;
    struct pending_key
    {
        bool not_urgent; // not urgent; urgent rows sort first
        int times_sent;
        soft_key key;
        // A false positive on rewritten uses:
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(pending_key const&) const = default;
    };

    bool store(soft_key const& key, std::int64_t version, std::int64_t value);
    void mark_pending(soft_key const& key, stored_row& row, int sent);
    void clear_pending(soft_key const& key, stored_row& row);
    row_map::iterator erase(row_map::iterator it);

    soft_state_options options_;
    row_map rows_;
    std::set<pending_key> pending_; // rows with times_sent >= 0
    std::size_t urgent_pending_ = 0;
    soft_key anti_entropy_cursor_;
    soft_key expiry_cursor_;
    std::uint64_t refused_rows_ = 0;
};

// Upper bound of a row's encoded size in bytes.
std::size_t encoded_size(soft_row const& row);

} // namespace amarantharch

#endif
