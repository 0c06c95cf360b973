// Distinguishes the crash of an upstream from the loss of single connections.
//
// When a process dies, all its connections close at about the same time, and
// until it is replaced its address refuses new ones. The first lost connection
// opens a group of all attempts then in flight at the upstream. The upstream
// has crashed with these requests in flight if
//   - every attempt of the group, at least `quorum` of them, is lost within
//     `loss_window`, or
//   - a new connection is refused within `refusal_window` of the first loss.
// The first rule needs no further connection; the second one decides where few
// requests were in flight, as the loss of one connection proves nothing. Users
// of this class make a new connection after each loss that opens a group (see
// needs_check). Otherwise nothing is concluded.
//
// A request whose answer has begun is not suspected while another one at that
// upstream has got no answer yet: what crashes an upstream does so when it is
// run.
//
// Cost: O(attempts at the upstream) for each lost connection.
#ifndef AMARANTHARCH_CORE_CRASH_DETECTOR_HPP
#define AMARANTHARCH_CORE_CRASH_DETECTOR_HPP

#include "core/event.hpp"
#include "core/prompt_part_quarantine.hpp"
#include "core/quarantine.hpp"
#include "core/time.hpp"
#include "core/upstream_table.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace amarantharch
{

struct crash_detector_options
{
    duration loss_window = std::chrono::milliseconds(200);
    duration refusal_window = std::chrono::seconds(1);
    std::size_t quorum = 1;
};

struct attempt_in_flight
{
    fingerprint request_fingerprint = 0;
    bool answer_begun = false; // the caller has got a part of the answer
    prompt_places parts = {};  // of its prompt
    duration age{};            // since it was sent
};

// What may have crashed an upstream.
struct crash_suspects
{
    time_point lost_at; // of the first connection
    suspect_requests requests;
    // Of the prompts of requests without an answer.
    suspect_parts_in_flight parts;
};

using attempts_in_flight = std::map<attempt_id, attempt_in_flight>;

class crash_detector
{
public:
    explicit crash_detector(crash_detector_options options) : options_(options)
    {
    }

    // Records that the connection of `attempt` to `upstream` was lost.
    // `in_flight` holds all attempts at the upstream, including `attempt`.
    // Returns the suspects if the upstream has crashed by the first
    // rule.
    std::optional<crash_suspects>
    record_lost_connection(time_point now, upstream_index upstream,
                           attempt_id attempt,
                           attempts_in_flight const& in_flight);

    // Whether a new connection to the upstream is to be made now, to learn if
    // it refuses. True once for each group.
    bool needs_check(upstream_index upstream);

    // Records that the upstream refused a new connection. Returns the suspects
    // if it has crashed by the second rule.
    std::optional<crash_suspects>
    record_refused_connection(time_point now, upstream_index upstream);

    // Records that `attempt` was answered or cancelled. Its group can no longer
    // prove a crash by the first rule.
    void record_ended_attempt(upstream_index upstream, attempt_id attempt);

    // To be called when a row is removed or has a new incarnation.
    void on_upstream_reset(upstream_index upstream)
    {
        groups_.erase(upstream);
    }

private:
    struct group
    {
        time_point since;
        std::set<attempt_id> missing; // attempts not lost yet
        suspect_requests unanswered;
        // In flight as long as at the first loss.
        suspect_parts_in_flight unanswered_parts;
        suspect_requests begun;
        bool survivor = false; // an attempt of the group was not lost
        bool checked = false;
    };

    // Removes the group of an upstream that has crashed.
    crash_suspects conclude(std::map<upstream_index, group>::iterator crashed);

    crash_detector_options options_;
    std::map<upstream_index, group> groups_;
};

} // namespace amarantharch

#endif
