// Stops requests that crash the upstreams that run them, fleet-wide, after
// the second crash.
//
// A request is known by its fingerprint, a digest of service, route and body,
// so that sending it again with another key or at another VM does not hide
// it. An upstream's crash marks every request in flight on it; each becomes a
// suspect and is run alone from then on. A fingerprint is quarantined after
// two crashes if either
//   - it was alone in one of them, or
//   - it is the only one that was in both (evaluated only `settle_time` after
//     the later crash, when the marks of all VMs have arrived; until then the
//     request is held back).
// The guilty request is in flight in each of its crashes. After the first it
// runs alone, so that its second crash is one alone; if a VM had not heard of
// the first crash yet and ran it among others, the common rule applies. An
// innocent neighbour is quarantined only if it is in flight, alone or as the
// only common one, in a second crash that it has not caused; ending well
// alone acquits it of all marks so far. Two candidates common to two crashes
// are both run alone: the next crash tells them apart.
//
// The state is a set of marks and acquittals. Merging is set union, hence
// commutative, idempotent and monotone: gossip may repeat, reorder and delay.
// Several VMs that see one crash name it alike (upstream and incarnation), so
// it counts once. Marks expire `memory` after the crash.
//
// What must not be reported as a crash: an upstream that leaves by an
// announced reclaim or is stopped.
#ifndef AMARANTHARCH_CORE_QUARANTINE_HPP
#define AMARANTHARCH_CORE_QUARANTINE_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// Digest of a request as an upstream sees it.
using fingerprint = std::uint64_t;

// The fingerprint of a request. White space outside of quoted strings does
// not count, as in JSON; everything else of the body does.
fingerprint fingerprint_of(std::string_view service, std::string_view method,
                           std::string_view target, std::string_view body);

// One crash of one process of one upstream.
struct crash_id
{
    std::string upstream;
    std::uint64_t incarnation = 0; // of the process that crashed
    // clang-tidy 14 takes the 0 in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(crash_id const&) const = default;
    MSGPACK_DEFINE(upstream, incarnation)
};

// A request was in flight in a crash.
struct crash_mark
{
    fingerprint print = 0;
    crash_id crash;
    bool alone = false;
    std::int64_t time_us = 0; // when the crash was seen
    MSGPACK_DEFINE(print, crash, alone, time_us)
};

// A request ended well while it ran alone: what marked it before is void.
struct acquittal
{
    fingerprint print = 0;
    std::int64_t time_us = 0;
    MSGPACK_DEFINE(print, time_us)
};

// What VMs tell each other.
struct quarantine_delta
{
    std::vector<crash_mark> marks;
    std::vector<acquittal> acquittals;
    MSGPACK_DEFINE(marks, acquittals)
};

struct quarantine_options
{
    duration memory = std::chrono::hours(1);
    duration settle_time = std::chrono::seconds(2);
    // At the limit the fingerprint with the oldest mark is forgotten.
    std::size_t max_fingerprints = 10'000;
    std::size_t max_marks_each = 8;
};

// What a VM may do with a request.
enum class quarantine_decision : std::uint8_t
{
    run,       // as any other
    run_alone, // a suspect: on an upstream reserved for it
    hold,      // refuse as not_run, come back after settle_time
    refuse,    // quarantined: refuse as not_run, do not come back
};

class quarantine
{
public:
    explicit quarantine(quarantine_options options);

    // How to treat a request, at its first attempt and at each retry.
    quarantine_decision decide(time_point now, fingerprint print) const;

    // An upstream crashed with these requests of this VM in flight on it.
    // `reserved`: the upstream was reserved for the only one among them.
    void crashed(time_point now, crash_id const& crash,
                 std::set<fingerprint> const& in_flight, bool reserved);

    // A suspect that ran alone ended well.
    void ended_well_alone(time_point now, fingerprint print);

    // Takes another VM's state or changes; true if anything was new. What was
    // new is among the next changes.
    bool merge(time_point now, quarantine_delta const& delta);

    // Changes since the last call, to be gossiped at once.
    quarantine_delta take_changes();

    // Everything, for a VM that starts.
    quarantine_delta state() const;

    // Forgets what has expired.
    void tick(time_point now);

    // Fingerprints remembered.
    std::size_t size() const
    {
        return rows_.size();
    }

private:
    struct row
    {
        std::map<crash_id, crash_mark> marks;
        std::int64_t acquitted_us = 0; // 0: never
    };

    bool add(time_point now, crash_mark const& mark);
    bool add(time_point now, acquittal const& what);
    std::vector<crash_mark> standing_marks(time_point now,
                                           fingerprint print) const;
    bool was_alone(crash_mark const& mark) const;
    bool only_common(time_point now, crash_mark const& a,
                     crash_mark const& b) const;
    bool expired(time_point now, std::int64_t time_us) const;
    void limit_marks(row& r);
    void make_room();
    void erase_mark(row& r, std::map<crash_id, crash_mark>::iterator mark);

    quarantine_options options_;
    std::map<fingerprint, row> rows_;
    // crashes_[c] holds p if and only if rows_[p].marks holds c.
    std::map<crash_id, std::set<fingerprint>> crashes_;
    quarantine_delta changes_;
};

} // namespace amarantharch

#endif
