// Rejects requests that crash the upstreams that run them, fleet-wide, after
// the second crash.
//
// A request is identified by its fingerprint, a digest of service,
// organisation, route and body, so that it is recognised when it is sent again
// with another key or to another VM. Lookups of one path all have the same
// body, so those of another organisation must not share its fate. The crash of
// an upstream adds a mark to every request in flight there; each becomes a
// suspect and is run alone from then on. A fingerprint is quarantined after two
// crashes if either
//   - it was alone in one of them, or
//   - it is the only one that was in two that are independent, or the only one
//     that was in all of its crashes, of which two are independent. This is
//     evaluated only `settle_time` after the latest crash, when the marks of
//     all VMs have arrived; until then the request is held.
// Upstreams that crash at one moment, as with the loss of a rack, are one sign
// and not several: a request that many send was in flight at each of them. Two
// crashes are independent if the request was sent to the later one after the
// earlier one, or if more than `max_interval` lies between them, or if all
// crashes that near had the request, so that none of them needs another reason,
// and they were not at one moment.
// The request that causes the crashes is in flight in each of them. After the
// first crash it runs alone, so it is alone in the second; if a VM had not yet
// learnt of the first crash and ran it among others, the second rule applies. A
// harmless request is quarantined only if it is in flight, alone or as the only
// common one, in a second crash that it has not caused; completing alone clears
// all its marks so far. If two requests are common to two crashes, both are run
// alone, and the next crash shows which one is the cause.
//
// The state is a set of marks and clearances. Merging is set union, hence
// commutative, idempotent and monotone: gossip may be repeated, reordered and
// delayed. All VMs that see a crash give it the same identity (upstream and
// incarnation), so it counts once. Marks expire `retention` after the crash.
//
// An upstream that leaves by an announced reclaim or is stopped must not be
// reported as a crash.
#ifndef AMARANTHARCH_CORE_QUARANTINE_HPP
#define AMARANTHARCH_CORE_QUARANTINE_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// Digest of a request as an upstream sees it.
using fingerprint = std::uint64_t;

// Requests with the time since the first of each was sent to the upstream.
using suspect_requests = std::map<fingerprint, duration>;

// The fingerprint of a request. Ignores white space outside of quoted strings,
// as JSON does, but nothing else of the body.
fingerprint fingerprint_of(std::string_view service,
                           std::string_view organisation,
                           std::string_view method, std::string_view target,
                           std::string_view body);

// Identifies a crash: one process of one upstream.
struct crash_id
{
    std::string upstream;
    std::uint64_t incarnation = 0; // of the process that crashed
    // clang-tidy 14 mistakes the 0 in a defaulted comparison for a null
    // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(crash_id const&) const = default;
    MSGPACK_DEFINE(upstream, incarnation)
};

// Records that a request was in flight at an upstream when it crashed.
struct crash_mark
{
    fingerprint request_fingerprint = 0;
    crash_id crash;
    bool alone = false;       // as the only request at the upstream
    std::int64_t time_us = 0; // when the crash was first seen
    // Since the request was sent; VMs of earlier versions do not tell.
    std::int64_t in_flight_us = std::numeric_limits<std::int64_t>::max();
    MSGPACK_DEFINE(request_fingerprint, crash, alone, time_us, in_flight_us)
};

// Records that a request completed while it ran alone, which voids its earlier
// marks.
struct clearance
{
    fingerprint request_fingerprint = 0;
    std::int64_t time_us = 0;
    MSGPACK_DEFINE(request_fingerprint, time_us)
};

// The changes that VMs send each other.
struct quarantine_delta
{
    std::vector<crash_mark> marks;
    std::vector<clearance> clearances;
    MSGPACK_DEFINE(marks, clearances)
};

struct quarantine_options
{
    duration retention = std::chrono::hours(1);
    duration settle_time = std::chrono::seconds(2);
    duration max_interval = std::chrono::milliseconds(500);
    // VMs see crashes of one moment at times that differ by less than this.
    duration min_separation = std::chrono::milliseconds(50);
    // Beyond it, the fingerprint whose latest mark or clearance is oldest is
    // dropped.
    std::size_t max_fingerprints = 10'000;
    std::size_t max_marks_per_fingerprint = 8;
};

// What a VM may do with a request.
enum class quarantine_decision : std::uint8_t
{
    run,       // like any other request
    run_alone, // a suspect: on an upstream reserved for it
    hold,      // refuse as not_run; may be retried after settle_time
    refuse,    // quarantined: refuse as not_run; must not be retried
};

class quarantine
{
public:
    explicit quarantine(quarantine_options options);

    // What to do with a request, at its first attempt and at each retry.
    quarantine_decision decide(time_point now,
                               fingerprint request_fingerprint) const;

    // Records that an upstream crashed with these requests of this VM in
    // flight. `reserved`: the upstream was reserved for the only one of them.
    void crashed(time_point now, crash_id const& crash,
                 suspect_requests const& in_flight, bool reserved);

    // Records that a suspect completed while it ran alone.
    void completed_alone(time_point now, fingerprint request_fingerprint);

    // Merges another VM's state or changes; true if anything was new, which is
    // then part of the next take_changes().
    bool merge(time_point now, quarantine_delta const& delta);

    // Returns the changes since the last call, to be gossiped at once.
    quarantine_delta take_changes();

    // The whole state, for a VM that starts.
    quarantine_delta state() const;

    // The marks of the requests that are refused.
    quarantine_delta refused_state(time_point now) const;

    // Drops expired marks and clearances.
    void tick(time_point now);

    // The number of fingerprints kept.
    std::size_t size() const
    {
        return rows_.size();
    }

private:
    struct row
    {
        std::map<crash_id, crash_mark> marks;
        std::int64_t cleared_us = 0; // 0: never
    };

    bool add(time_point now, crash_mark const& mark);
    bool add(time_point now, clearance const& cleared);
    std::vector<crash_mark> valid_marks(time_point now,
                                        fingerprint request_fingerprint) const;
    bool was_alone(crash_mark const& mark) const;
    bool was_in_all_crashes_near(crash_mark const& mark) const;
    bool are_independent(crash_mark const& a, crash_mark const& b) const;
    bool is_only_common_suspect(time_point now,
                                std::vector<crash_mark> const& marks) const;
    bool expired(time_point now, std::int64_t time_us) const;
    void drop_oldest_marks(row& r);
    void evict_oldest_fingerprints();
    void erase_mark(row& r, std::map<crash_id, crash_mark>::iterator mark);

    quarantine_options options_;
    std::map<fingerprint, row> rows_;
    // crashes_[c] holds p if and only if rows_[p].marks holds c.
    std::map<crash_id, std::set<fingerprint>> crashes_;
    quarantine_delta changes_;
};

} // namespace amarantharch

#endif
