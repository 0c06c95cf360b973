// The revision in force, determined by reading the configuration stream.
//
// A change record takes effect if and only if, at its position, (1) its base is
// the revision in force, (2) its signature verifies and (3) the merged
// configuration compiles without a fault. Positions only increase and a base
// names one position. Hence of operators that race exactly the first wins, a
// repeated record never takes effect twice, and no revision reverts.
//
// Retention: before the newest copy of the revision in force expires, some VM
// appends a checkpoint: the whole text, its revision, and the offset `as_of` up
// to which the VM had read. A reader that missed trimmed records adopts a
// checkpoint only if it has read every offset after `as_of`, and then applies
// the changes after `as_of`. So a late checkpoint by a paused VM cannot bring
// back an older revision. A snapshot from a peer is a checkpoint that did not
// come through the log; the same rule applies.
//
// Each VM delays its checkpoint by a hash of its name and the revision, spread
// over a tenth of the retention; once one VM's checkpoint is read, the others
// skip theirs.
#ifndef AMARANTHARCH_CORE_CONFIGURATION_STORE_HPP
#define AMARANTHARCH_CORE_CONFIGURATION_STORE_HPP

#include "core/configuration.hpp"
#include "core/log.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// A revision is identified by the log position of its record; {0,0}: none.
using revision = log_position;

// What an operator signs and publishes.
struct configuration_change
{
    std::string publish_id; // the same for every repeat of a publish
    revision base;          // the revision it was written against
    bool replaces_all = false;
    std::string author;
    time_point written{}; // by the operator's clock; informational
    std::string text;
    std::string signature; // over signed_bytes()
};

// The bytes that the signature covers: all fields but the signature.
std::string signed_bytes(configuration_change const& change);

struct accepted_publish
{
    std::string publish_id;
    revision position;
};

// The revision in force, and the offset up to which its writer had read.
struct configuration_snapshot
{
    revision in_force;
    log_offset as_of = 0;
    std::string author;
    time_point written{}; // time of the newest copy, by the log's clock
    std::string text;     // canonical
    std::vector<accepted_publish> recent; // oldest first
};

// Payloads of the configuration stream.
std::string encode(configuration_change const& change);
std::string encode(configuration_snapshot const& checkpoint);
absl::StatusOr<configuration_change>
decode_configuration_change(std::string_view bytes);
absl::StatusOr<configuration_snapshot>
decode_configuration_snapshot(std::string_view bytes);

// Whether `signature` is `author`'s over `bytes`. A function pointer, so that
// this code needs no cryptographic library.
using verify_signature = bool (*)(std::string_view author,
                                  std::string_view bytes,
                                  std::string_view signature);

enum class change_outcome : std::uint8_t
{
    accepted,
    superseded, // another revision was in force at its position
    not_signed,
    invalid,
};

inline constexpr name_table<change_outcome, 4> change_outcome_names{{
    {change_outcome::accepted, "accepted"},
    {change_outcome::superseded, "superseded"},
    {change_outcome::not_signed, "not_signed"},
    {change_outcome::invalid, "invalid"},
}};

// The decision on one change record.
struct change_decision
{
    std::string publish_id;
    revision position; // of the record
    change_outcome outcome = change_outcome::invalid;
    std::string author;
    std::string reason;               // empty if accepted
    revision in_force;                // after the record
    std::string in_force_author;      // author of the revision in force
    std::vector<std::string> changed; // if superseded: sections changed
                                      // since the base, as far as remembered
};

struct configuration_store_options
{
    std::string vm;
    verify_signature verify = nullptr; // none: every signature is refused
    duration retention = std::chrono::hours(24);
    std::size_t max_text_bytes =
        std::size_t{900} * 1024; // limit of the whole configuration
    std::size_t max_decisions = 128;
    std::size_t max_pending_bytes = std::size_t{4} * 1024 * 1024;
};

struct configuration_readiness
{
    bool ready = false;
    std::string reason; // why it isn't ready
};

class configuration_store
{
public:
    explicit configuration_store(configuration_store_options options);

    // Applies records of the configuration stream; returns the decisions.
    std::vector<change_decision> apply(time_point now, log_batch const& batch);

    // Adopts a peer's snapshot. FailedPrecondition if it isn't newer than the
    // local state, or if changes after it may be missing. After success the
    // stream must be read from next_offset().
    absl::Status adopt(time_point now, configuration_snapshot const& from_peer);

    // A peer holds revision `newest`. During an outage of the log this VM isn't
    // ready until it has that revision.
    void on_peer_revision(revision newest);

    void set_log_reachable(time_point now, bool reachable);

    // The payload of a checkpoint to append, if one is due.
    std::optional<std::string> tick(time_point now);

    // Ready once the revision in force is known: after reading to the end of
    // the log or, during an outage of the log, if no peer has a newer one.
    // Stays ready until a gap in the log makes the revision unknown again.
    configuration_readiness readiness() const;

    bool in_force_known() const
    {
        return in_force_known_;
    }
    revision in_force() const
    {
        return in_force_;
    }
    std::string const& author() const
    {
        return author_;
    }
    // Never null. Shared, so that a reader may keep it after it is replaced.
    std::shared_ptr<configuration const> const& tables() const
    {
        return tables_;
    }
    section_table const& sections() const
    {
        return sections_;
    }
    configuration_snapshot snapshot() const;
    log_offset next_offset() const
    {
        return next_;
    }
    // The decision on a publish, if still remembered.
    std::optional<change_decision> decision(std::string_view publish_id) const;

private:
    struct pending_change
    {
        time_point stored;
        revision position;
        configuration_change change;
    };
    struct applied_change
    {
        revision position;
        std::vector<std::string> sections;
    };

    void note_gap(log_offset first_retained);
    void apply_record(log_record const& record,
                      std::vector<change_decision>& decisions);
    change_decision decide(time_point stored, revision position,
                           configuration_change const& change);
    void apply_content(time_point stored, configuration_change const& change,
                       change_decision& decision);
    void on_checkpoint(revision position, configuration_snapshot const& from,
                       std::vector<change_decision>& decisions);
    absl::Status replace_state(configuration_snapshot const& from);
    void replay_pending(log_offset as_of,
                        std::vector<change_decision>& decisions);
    void keep_pending(time_point stored, revision position,
                      configuration_change change);
    void remember(change_decision const& decision);
    std::vector<std::string> changed_since(revision base) const;
    void update_readiness();

    configuration_store_options options_;
    // If in_force_known_: in_force_, author_, sections_ and tables_ are the
    // state after every record before next_.
    bool in_force_known_ = false;
    bool is_ready_ = false; // stays true while in_force_known_
    revision in_force_;
    std::string author_;
    section_table sections_;
    std::shared_ptr<configuration const> tables_;
    log_offset start_ = 1; // all records in [start_, next_) were read
    log_offset next_ = 1;
    log_offset end_ = 0; // of the log at the last read; 0: not read yet
    revision newest_peer_revision_;
    bool log_reachable_ = true;
    log_offset newest_copy_offset_ =
        0;                          // offset of the newest copy of in_force_
    time_point newest_copy_time_{}; // of that copy, by the log's clock
    bool copy_lost_ = false;        // no copy is retained in the log
    std::optional<time_point> checkpoint_due_;
    std::vector<pending_change> pending_; // empty if in_force_known_
    std::size_t pending_bytes_ = 0;
    std::deque<change_decision> decisions_;
    std::deque<applied_change> applied_;
};

} // namespace amarantharch

#endif
