// Runs attempts on behalf of VMs that cannot reach an upstream themselves.
//
// The VM that took the caller's request stays responsible for it: it has chosen
// the upstream, charged the quota, used a turn of a limit and counts the retry.
// This VM sends the attempt on, unchanged and at most once, and passes the
// answer back as it comes. It never passes an attempt to a third VM: one that
// it cannot send itself is declined as not run. If the other VM gives up, by
// closing its connection, the attempt is cancelled.
//
// What the upstream says of itself in an answer, or a failed connection shows,
// counts at this VM too: a relayed attempt must not reach an upstream that this
// VM knows to leave, to want a pause or to be another incarnation.
//
// Cost: O(log relayed attempts) for each event.
#ifndef AMARANTHARCH_CORE_ATTEMPT_RELAY_HPP
#define AMARANTHARCH_CORE_ATTEMPT_RELAY_HPP

#include "core/command.hpp"
#include "core/event.hpp"
#include "core/membership.hpp"
#include "core/request_path.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace amarantharch
{

struct attempt_relay_options
{
    // Further attempts are declined.
    std::size_t max_attempts = 4'096;
    std::size_t max_body_bytes = std::size_t{32} << 20; // of all attempts
};

class attempt_relay
{
public:
    attempt_relay(attempt_relay_options options, command_sink emit)
        : options_(options), emit_(std::move(emit))
    {
    }

    void handle(time_point now, relay_requested const& what,
                request_path& requests, membership const& members);

    // The other VM does not wait for the answer any more.
    void handle(relay_abandoned const& what);

    // Whether this is an attempt that was relayed here; only such are handled
    // below.
    bool owns(attempt_id attempt) const
    {
        return attempts_.contains(attempt);
    }

    void handle(time_point now, upstream_head const& what,
                request_path& requests);
    void handle(time_point now, upstream_piece const& what,
                request_path& requests);
    void handle(time_point now, upstream_end const& what,
                request_path& requests);
    void handle(time_point now, upstream_failed const& what,
                request_path& requests);

    // Gives up attempts on connections that have turned out to be dead.
    void tick(time_point now, request_path const& requests);

    // The attempt that was started for `relay`, if it is still running.
    std::optional<attempt_id> attempt_of(relay_id relay) const;

    bool idle() const
    {
        return attempts_.empty();
    }

private:
    struct record
    {
        relay_id relay = 0;
        upstream_index upstream = 0;
        std::uint64_t incarnation = 0;
        time_point started;
        std::size_t body_bytes = 0; // their copy may still be on its way
        bool answer_begun = false;
    };

    std::optional<relay_failure>
    reason_to_decline(time_point now, relay_requested const& what,
                      request_path const& requests,
                      membership const& members) const;
    void fail(attempt_id attempt, relay_failure why);
    void forget(attempt_id attempt);

    attempt_relay_options options_;
    command_sink emit_;
    // Ids apart from those of the request path.
    attempt_id next_attempt_ = attempt_id{1} << 62;
    std::map<attempt_id, record> attempts_;
    // relays_[r] == a if and only if attempts_[a].relay == r.
    std::map<relay_id, attempt_id> relays_;
    std::size_t body_bytes_ = 0; // of all attempts
};

} // namespace amarantharch

#endif
