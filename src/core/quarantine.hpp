// Stops requests that crash the upstreams that run them, fleet-wide, after
// the second crash.
//
// A request is known by its fingerprint, a digest of service, route and body,
// so that sending it again with another key or at another VM does not hide
// it. An upstream's crash blames the requests in flight on it at that moment:
//
//   - in flight alone: one strong mark;
//   - in flight with others: one weak mark each, and each becomes a suspect.
//
// A fingerprint is quarantined once it has marks from two crashes of which
// one at least is strong. A suspect therefore runs alone (see
// `must_run_alone`) until it has ended well or crashed alone: the guilty one
// is convicted by its second crash, and an innocent neighbour, which ends
// well alone, can never be. Being alone is a promise of the VM that routes;
// a crash's blame counts what was in flight from all VMs that it knows of, so
// a strong mark is given only if the upstream was reserved for the attempt.
//
// State is a set of marks (fingerprint, crash) and of acquittals. Merging is
// set union: commutative, idempotent, monotone; gossip may repeat, reorder and
// delay it. Several VMs that see one crash name it alike (upstream and its
// incarnation), so it counts once. Marks expire `memory` after the crash.
#ifndef AMARANTHARCH_CORE_QUARANTINE_HPP
#define AMARANTHARCH_CORE_QUARANTINE_HPP

#include "core/time.hpp"

#include <absl/status/status.h>
#include <msgpack.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// Digest of a request as an upstream sees it.
using fingerprint = std::uint64_t;

// White space outside of JSON strings, and letter case and order of nothing,
// are ignored: `body` is compared byte by byte otherwise.
fingerprint fingerprint_of(std::string_view service, std::string_view method,
                           std::string_view target, std::string_view body);

// One crash of one process of one upstream.
struct crash_id
{
    std::string upstream;
    std::uint64_t incarnation = 0; // of the process that crashed
    auto operator<=>(crash_id const&) const = default;
    MSGPACK_DEFINE(upstream, incarnation)
};

struct crash_mark
{
    fingerprint print = 0;
    crash_id crash;
    bool alone = false;
    std::int64_t time_us = 0; // when it was seen
    MSGPACK_DEFINE(print, crash, alone, time_us)
};

// The request ended well while it ran alone, after the marks it then had.
struct acquittal
{
    fingerprint print = 0;
    std::int64_t time_us = 0;
    MSGPACK_DEFINE(print, time_us)
};

struct quarantine_delta
{
    std::vector<crash_mark> marks;
    std::vector<acquittal> acquittals;
    MSGPACK_DEFINE(marks, acquittals)
};

struct quarantine_options
{
    duration memory = std::chrono::hours(1);
    std::size_t max_fingerprints = 10'000; // the oldest go first
    std::size_t max_marks_each = 4;        // of one fingerprint
};

// What a VM may do with a request.
enum class quarantine_decision : std::uint8_t
{
    run,       // as any other
    run_alone, // a suspect: on an upstream reserved for it
    refuse,    // quarantined: final, not_run
};

class quarantine
{
public:
    explicit quarantine(quarantine_options options);

    // How to treat a request, first attempt or retry alike.
    quarantine_decision decide(time_point now, fingerprint print) const;

    // An upstream crashed with these requests of this VM in flight on it.
    // `reserved`: it was reserved for the single one among them, so that no
    // other VM had any on it.
    void crashed(time_point now, crash_id const& crash,
                 std::vector<fingerprint> const& in_flight, bool reserved);

    // A suspect that ran alone ended well.
    void ended_well_alone(time_point now, fingerprint print);

    // Takes another VM's state or changes; true if anything was new.
    bool merge(time_point now, quarantine_delta const& delta);

    // Changes since the last call, to be gossiped; urgent.
    quarantine_delta take_changes();

    // Everything, for a VM that starts.
    quarantine_delta state() const;

    // Forgets what has expired.
    void tick(time_point now);

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
    bool expired(time_point now, std::int64_t time_us) const;
    void make_room();

    quarantine_options options_;
    std::map<fingerprint, row> rows_;
    quarantine_delta changes_;
};

} // namespace amarantharch

#endif
