// Leader election over a log: one VM at a time, the holder, performs the
// duties of the whole fleet (usage reports and orders to the platform).
//
// A VM appends to the log conditionally: only at the end that it knows. A claim
// record makes its writer the holder. The fence (fencing token) is the claim's
// offset plus one, so it grows with each change of holder; above it stands the
// era of the log. The holder appends
// a record before every action:
//   - the record is stored only if nobody has claimed in between, since the
//     end of the log would have moved;
//   - the holder acts only within `action_timeout` of sending that record,
//     measured by a clock that goes on during a suspension;
//   - another VM claims only if it has seen no new record for
//     `takeover_timeout`, which is longer than lease + action_timeout.
// So the actions of two holders are at least a lease apart, and an order that
// is executed late carries a fence that the platform can refuse.
//
// A VM whose own earlier process was the last holder claims as soon as it has
// read the log up to its end, without waiting for takeover_timeout: when all
// VMs are killed at once, the next window would otherwise be reported late.
// This needs no wait, since the rule keeps the actions of two different VMs
// apart, and the holder stays the same VM:
//   - no other VM has acted since: it would have claimed, the claim would be
//     the newest one in the log, and then this VM waits like all others. A
//     claim that is stored between the reading and the append moves the end;
//   - the claim is a new record, so others wait for takeover_timeout from it;
//   - the earlier process may only be suspended or cut off. It acts no longer
//     than action_timeout after its newest record, its next append fails, and
//     then it reads the claim. What it sent before carries a lower fence;
//   - only a later incarnation claims at once, so two processes of one name do
//     not take the duties from each other in turn. The earlier one, or a
//     process that started with a clock set back, waits like another VM;
//   - in a log that came back from an older copy the newest claims may be gone.
//     Records carry the era in which they were written, and a VM claims at once
//     only if the newest record is of the present era: then none after it was
//     lost.
// Such a VM has heard little from its peers yet, so a process reports nothing
// in its first gather_time, unless the window would become late.
//
// An append without an answer may still be stored at any later time, so the VM
// reads the log before its next step.
//
// Usage reports are recorded before they are sent, and a new holder sends the
// recorded ones again unchanged: no window is reported with two counts.
//
// The holder also records the counts of the windows that are not reported yet,
// by process, at most once a counts_interval and only what the log does not
// hold (see recorded_usage.hpp). Each VM that reads the log adds them to what
// its peers told it, so that the counts of killed processes are known to the
// next holder up to their last record. The record carries the demand for each
// service too, from which a new holder starts (see service_demand.hpp). A build
// that does not know the kind follows the positions and skips the contents. A
// window is still reported as its usage record says, and only as that.
//
// The log may come back from an older copy: its era rises, the last records are
// gone and their offsets are given out again. Then every VM reads the log anew
// and waits for takeover_timeout before it claims. Fences stay unique and
// monotone, since within an era an offset has one record, and a later era is
// greater than all fences of an earlier one. What a VM knows as reported stays
// known. A window that may have been reported in a record that is gone, and
// that this VM does not know of, is left out: a missing report is better than
// two different ones. Windows from the first one that has a report of the
// present era on cannot have been reported in a lost record, since the oldest
// due window is reported first: a VM that starts later leaves out none of them.
//
// Cost: the holder makes one append for each report or order, and at most one
// more a counts_interval (a second) for the counts, while there are new ones;
// orders within action_timeout after it need none of their own. That record has
// at most max_counts_bytes; with 84 VMs and 16 organisations at most 17 KiB for
// two windows. Each VM that watches makes one read per poll_interval. Other VMs
// read the log once at their start and then make no calls. A VM that starts
// reads only the newest records: each tells the holder, since within an era
// only the holder appends.
#ifndef AMARANTHARCH_CORE_DUTY_LOG_HPP
#define AMARANTHARCH_CORE_DUTY_LOG_HPP

#include "core/recorded_usage.hpp"
#include "core/service_demand.hpp"
#include "core/usage_windows.hpp"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amarantharch
{

using duty_offset = std::uint64_t;
using fence_number = std::uint64_t;

struct duty_log_options
{
    std::string vm;
    std::uint64_t incarnation = 0;
    // Minimum time between the actions of two holders.
    duration lease = std::chrono::seconds(3);
    duration action_timeout = std::chrono::seconds(1);
    // The holder writes at least one record per usage window, so a log
    // without a new record for this long has no live holder.
    duration takeover_timeout = std::chrono::seconds(7);
    duration poll_interval = std::chrono::seconds(2);
    // Delay after the end of a window before it is reported; by then the
    // peers' last counts have arrived.
    duration report_delay = std::chrono::seconds(3);
    // A window not reported this long after its end is not reported.
    duration report_due = std::chrono::seconds(10);
    // A process that started less than this ago may lack counts of its peers:
    // some of their messages to it, which are sent each 0.3 s.
    duration gather_time = std::chrono::seconds(2);
    // A report is not put off for that until less than this is left.
    duration report_margin = std::chrono::seconds(3);
    duration retry_interval = std::chrono::milliseconds(500);
    // Least time between two records of counts.
    duration counts_interval = std::chrono::seconds(1);
    // Largest size of the counts in a record. The store takes 256 KiB.
    std::size_t max_counts_bytes = std::size_t{64} << 10U;
};

enum class duty_record_kind : std::uint8_t
{
    claim = 1,
    usage = 2,  // the counts of `window` are reported
    order = 3,  // precedes orders or the resending of a report
    counts = 4, // what is known of the windows that are not reported yet
};

struct duty_record
{
    std::uint8_t kind = 0;
    std::string vm;
    std::uint64_t incarnation = 0;
    window_number window = 0;
    organisation_counts counts;
    std::uint64_t era = 0; // as the writer knew it; 0: not known
    duty_offset claim = 0; // offset of the writer's claim plus one; 0: a claim
    // Of a record of counts. `made_at`: microseconds since the Unix epoch.
    std::int64_t made_at = 0;
    packed_counts known;
    std::vector<service_rate> demand;
    MSGPACK_DEFINE(kind, vm, incarnation, window, counts, era, claim, made_at,
                   known, demand)
};

// Requests of the duty log to its caller, who answers through the on_ members.
struct read_duty_log
{
    duty_offset from = 0;
};

struct append_duty_record
{
    std::string record;
    duty_offset at = 0; // condition: the record gets this offset
};

struct report_usage
{
    window_number window = 0;
    organisation_counts counts;
    fence_number fence = 0;
};

using duty_request =
    std::variant<read_duty_log, append_duty_record, report_usage>;
using duty_sink = std::function<void(duty_request)>;

struct duty_batch
{
    duty_offset from = 0; // of the first record
    duty_offset end = 0;
    std::vector<std::string> records;
    std::uint64_t era = 0; // of the log; 0: not known
};

class duty_log
{
public:
    explicit duty_log(duty_log_options options) : options_(std::move(options))
    {
    }

    // `watches`: this VM is one of those that may take over. `orders_wanted`:
    // the caller has orders to give if this VM is the holder. What the log
    // tells of usage and demand is merged into `usage` and `demand`.
    void tick(time_point now, bool watches, bool orders_wanted,
              usage_windows& usage, service_demand& demand,
              duty_sink const& emit);

    void on_read(time_point now, duty_batch const& batch);
    // Records before `first_retained` are deleted.
    void on_read_truncated(duty_offset first_retained);
    // An answer of the log told its era; to be called before what it answers.
    void on_era(time_point now, std::uint64_t era);
    void on_read_failed(time_point now);
    // FailedPrecondition: not stored, since the log has another end. After any
    // other error the record may have been stored or may still be.
    void on_append(time_point now, absl::StatusOr<duty_offset> const& stored);
    // Aborted: the platform has seen a higher fence.
    void on_reported(time_point now, window_number window,
                     absl::Status const& status);
    // An order was refused for its fence.
    void on_fenced();

    // The fence to give orders with, or nothing if none may be given now.
    std::optional<fence_number> order_fence(time_point now) const;

    // With an unknown claim there is no fence to act with.
    bool holds() const
    {
        return holder_ && holder_->vm == options_.vm &&
               holder_->incarnation == options_.incarnation &&
               holder_->fence > 0;
    }
    // The last known holder's name and fence, and whether it succeeds an
    // earlier process of the same VM, for log messages.
    std::string describe() const;

private:
    struct known_holder
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        fence_number fence = 0; // 0: its claim is not known
        bool resumed = false;   // an earlier process of the VM held before
    };

    struct unsent_report
    {
        report_usage report;
        time_point due;
    };

    void derive_holder(duty_record const& record);
    void apply(time_point now, duty_offset offset, duty_record const& record);
    void apply_counts(duty_record const& record);
    void append(time_point now, duty_record record, duty_sink const& emit);
    void append_order(time_point now, duty_sink const& emit);
    bool succeeds_itself() const;
    void poll_or_claim(time_point now, duty_sink const& emit);
    bool send_report(time_point now, duty_sink const& emit);
    void merge_recorded(time_point now, usage_windows& usage,
                        service_demand& demand);
    void append_counts(time_point now, usage_windows const& usage,
                       service_demand const& demand, duty_sink const& emit);
    bool reportable(time_point now, window_number window,
                    usage_windows const& usage) const;
    std::optional<window_number>
    next_due_window(time_point now, usage_windows const& usage) const;
    void requeue_recent_reports(time_point now);

    duty_log_options options_;
    std::optional<time_point> started_at_; // of the first tick
    std::uint64_t era_ = 0;
    std::uint64_t newest_record_era_ = 0;
    // The first window with a report that was recorded in the present era.
    std::optional<window_number> first_of_era_;
    // Windows due before this time may have been reported in records that the
    // log has lost.
    time_point unknown_before_{};
    bool request_outstanding_ = false;
    bool caught_up_ = false;   // position_ is the last known end of the log
    bool end_reached_ = false; // caught up at least once since the start
    time_point due_{};
    duty_offset position_ = 0; // of the next record to read
    std::optional<known_holder> holder_;
    fence_number refused_fence_ = 0;   // by the platform, of this VM
    time_point last_record_seen_at_{}; // when the newest record was first seen
    bool log_has_records_ = false;
    std::map<window_number, organisation_counts> reported_;
    std::optional<duty_record> pending_append_;
    time_point append_sent_at_{};
    // When this VM sent the newest of its records that is known to be stored.
    std::optional<time_point> last_stored_sent_at_;
    std::deque<unsent_report> unsent_;
    recorded_usage recorded_;
    std::vector<window_counts> unmerged_; // read, and not yet merged
    std::vector<service_rate> recorded_demand_;
    time_point demand_made_at_{};
    bool restores_demand_ = false; // this VM became the holder
    time_point next_counts_{};
};

} // namespace amarantharch

#endif
