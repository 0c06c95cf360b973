// Finds the part of prompts that crashes the engines that answer them, and
// tells which requests to refuse for it.
//
// The quarantine of whole requests (quarantine.hpp) needs to see a request
// twice. Here no two requests are alike; they only share a part of their
// prompts, which crashes an engine as soon as it begins to answer. The last
// part of a prompt belongs to one request and is never suspected.
//
// Algorithm. A crash marks the parts of all requests that were in flight at the
// engine without an answer. An engine that begins to answer a request has
// survived its parts: that voids the marks that this VM knew of when it sent
// the request, wherever they came from. A part is refused while it has marks of
// `min_crashes` independent crashes, unless another part explains these crashes
// better: one that was in all of them and in more, or in the same ones and at a
// later place, which fewer requests share.
//
// Many engines that crash at one moment, as with the loss of a rack, are one
// sign and not many: whatever was in flight then is marked at several of them.
// A mark therefore holds the interval from the sending of the request to the
// crash, of at most `max_interval`, and the number of independent crashes is
// the greatest number of marks whose intervals are disjoint (interval
// scheduling by earliest end): a request that was sent after the one crash and
// was there at the other. Where all crashes of the last `max_interval` have the
// part, none of them needs another reason, and only those of one moment count
// together; so a fatal part is found as soon where its requests wait long for
// their answers. VMs send each other ages and lengths of intervals, as their
// clocks may differ.
//
// Why it finds the right part: the fatal part is in every crash that it causes
// and its marks are never voided, so no part has marks of these crashes that it
// has not, and it is not refused for another. Each of its requests that is sent
// after a crash causes an independent one. A sound part loses its marks with
// the next answer. While a part has fewer than `certain_crashes` marks, each VM
// lets a request through as a trial now and then, so that a sound part that is
// refused by chance gets its answer. Trials wait `trial_interval` from the last
// mark, and VMs take turns at it by their position, one in each interval.
//
// The state is a set of marks, each void or not. Merging is union, so messages
// may be repeated, reordered and delayed. Marks expire `retention` after they
// became known.
//
// Cost: a decision is O(parts of the prompt) while none of them is marked, else
// O(marked parts), and O(marks * crashes) for a part with `min_crashes` marks.
// A crash adds a few dozen parts; those whose last mark is oldest are dropped
// beyond `max_parts`.
#ifndef AMARANTHARCH_CORE_PROMPT_PART_QUARANTINE_HPP
#define AMARANTHARCH_CORE_PROMPT_PART_QUARANTINE_HPP

#include "core/call.hpp"
#include "core/fleet_position.hpp"
#include "core/quarantine.hpp"
#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

struct prompt_part_quarantine_options
{
    std::string vm;
    std::size_t min_crashes = 3; // independent ones
    std::size_t certain_crashes = 5;
    // Longest time before a crash in which another one counts with it as one,
    // and in which crashes without the part are looked for.
    duration max_interval = std::chrono::milliseconds(500);
    // Between a crash and the next interval. VMs see crashes of one moment at
    // times that differ by the delay of messages.
    duration min_separation = std::chrono::milliseconds(100);
    duration trial_interval = std::chrono::seconds(2);
    // Trials are spread over this many intervals, or one for each VM if there
    // are more.
    std::uint32_t trial_turns = 8;
    duration retention = std::chrono::minutes(10);
    std::size_t max_parts = 4'000;
    std::size_t max_crashes = 1'000;
    std::size_t max_marks_per_part = 64;
};

// Part ids with the places at which they stand in their prompts.
using prompt_places = std::map<std::uint64_t, std::uint32_t>;

// The parts of a prompt that may be suspected: all but the last.
prompt_places suspect_parts(std::vector<prompt_part> const& prompt);

// A part that was in flight at a crash.
struct suspect_part
{
    std::uint32_t place = 0; // the earliest in any prompt
    // Since the first request with it was sent to the engine.
    duration in_flight{};
};

using suspect_parts_in_flight = std::map<std::uint64_t, suspect_part>;

// Adds the parts of a request that was in flight for so long.
void add_suspects(suspect_parts_in_flight& into, prompt_places const& parts,
                  duration in_flight);

// Identifies a crash in messages; equal at all VMs.
std::uint64_t crash_number(crash_id const& crash);

// Parts that were in flight without an answer at a crash. VMs of earlier
// versions send no times; each of their marks gets the longest interval.
struct part_crash
{
    std::uint64_t crash = 0;
    prompt_places parts;
    std::int64_t age_us = 0; // since the crash was seen
    std::map<std::uint64_t, std::int64_t> in_flight_us; // by part
    MSGPACK_DEFINE(crash, parts, age_us, in_flight_us)
};

// Marks of one part that are void, by their crashes.
struct part_clearance
{
    std::uint64_t part = 0;
    std::vector<std::uint64_t> crashes;
    MSGPACK_DEFINE(part, crashes)
};

// The changes that VMs send each other.
struct prompt_part_delta
{
    std::vector<part_crash> crashes;
    std::vector<part_clearance> clearances;

    bool empty() const
    {
        return crashes.empty() && clearances.empty();
    }
    MSGPACK_DEFINE(crashes, clearances)
};

// Why a prompt is refused: a part and its marks.
struct part_refusal
{
    std::uint64_t part = 0;
    std::size_t valid_marks = 0;
    std::size_t void_marks = 0;
    duration since_last_mark{};
    duration retry_after{}; // when the part may be tried or is forgotten
};

class prompt_part_quarantine
{
public:
    explicit prompt_part_quarantine(prompt_part_quarantine_options options);

    // Until it is known, turns go by the VM's name.
    void set_position(fleet_position position)
    {
        position_ = position;
    }

    // Whether a request with this prompt may be sent now. A trial counts as
    // made.
    bool may_send(time_point now, std::vector<prompt_part> const& prompt);

    // The valid marks of the prompt's parts, to be voided if an engine begins
    // to answer a request that is sent now.
    std::vector<part_clearance>
    marks_of(std::vector<prompt_part> const& prompt) const;

    // An engine crashed with these parts in flight at this VM.
    void crashed(time_point now, crash_id const& crash,
                 suspect_parts_in_flight const& parts);

    // An engine has begun to answer a request for which marks_of gave `marks`.
    void answered(time_point now, std::vector<part_clearance> const& marks);

    // Merges another VM's changes; what is new is part of the next
    // take_changes().
    void merge(time_point now, prompt_part_delta const& delta);

    // Returns the changes since the last call, to be sent to peers at once.
    prompt_part_delta take_changes(time_point now);

    // The marks of all refused parts, for VMs that start.
    prompt_part_delta refused_state(time_point now) const;

    // The first part for which this prompt is refused; nothing if there is
    // none.
    std::optional<part_refusal>
    refusal_of(time_point now, std::vector<prompt_part> const& prompt) const;

    // Whether the part is refused, but for trials.
    bool is_refused(std::uint64_t part) const;

    // Drops expired marks.
    void tick(time_point now);

    // The number of parts with marks.
    std::size_t size() const
    {
        return rows_.size();
    }

private:
    struct mark
    {
        time_point known_since;
        time_point crashed_at;
        time_point sent_at; // the part's request; at most max_interval before
        bool is_void = false;
    };

    struct row
    {
        std::uint32_t place = 0;             // the earliest at which it stood
        std::map<std::uint64_t, mark> marks; // by crash
        time_point last_mark_at;
        time_point last_trial_at;
    };

    struct new_crash
    {
        time_point added_at; // its age is as of then
        part_crash crash;
    };

    bool add_crash(time_point crashed_at, std::uint64_t crash);
    bool add(time_point now, part_crash const& crash, std::uint64_t part,
             std::uint32_t place);
    bool clear(time_point now, std::uint64_t part, std::uint64_t crash);
    bool explains_better(std::uint64_t other, row const& other_row,
                         std::uint64_t part, row const& part_row) const;
    static std::size_t valid_marks(row const& r);
    std::size_t independent_crashes(row const& r) const;
    bool is_in_all_crashes_near(row const& r, time_point crashed_at) const;
    time_point next_trial(std::uint64_t part, row const& r) const;
    void evict_oldest_parts();

    prompt_part_quarantine_options options_;
    fleet_position position_;
    std::map<std::uint64_t, row> rows_; // by part
    // All crashes and when they were, also those without any part.
    std::map<std::uint64_t, time_point> crashes_;
    // New since the last take_changes().
    std::vector<new_crash> new_crashes_;
    std::vector<part_clearance> new_clearances_;
    time_point next_expiry_{};
};

} // namespace amarantharch

#endif
