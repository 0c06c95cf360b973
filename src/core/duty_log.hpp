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
// An append without an answer may still be stored at any later time, so the VM
// reads the log before its next step.
//
// Usage reports are recorded before they are sent, and a new holder sends the
// recorded ones again unchanged: no window is reported with two counts.
//
// The log may come back from an older copy: its era rises, the last records are
// gone and their offsets are given out again. Then every VM reads the log anew
// and waits for takeover_timeout before it claims. Fences stay unique and
// monotone, since within an era an offset has one record, and a later era is
// greater than all fences of an earlier one. What a VM knows as reported stays
// known. A window that may have been reported in a record that is gone, and
// that this VM does not know of, is left out: a missing report is better than
// two different ones.
//
// Cost: the holder makes one append for each report or order, each VM that
// watches one read per poll_interval; other VMs make no calls.
#ifndef AMARANTHARCH_CORE_DUTY_LOG_HPP
#define AMARANTHARCH_CORE_DUTY_LOG_HPP

#include "core/usage_windows.hpp"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

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
    duration retry_interval = std::chrono::milliseconds(500);
};

enum class duty_record_kind : std::uint8_t
{
    claim = 1,
    usage = 2, // the counts of `window` are reported
    order = 3, // precedes orders or the resending of a report
};

struct duty_record
{
    std::uint8_t kind = 0;
    std::string vm;
    std::uint64_t incarnation = 0;
    window_number window = 0;
    organisation_counts counts;
    MSGPACK_DEFINE(kind, vm, incarnation, window, counts)
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
    // the caller has orders to give if this VM is the holder.
    void tick(time_point now, bool watches, bool orders_wanted,
              usage_windows const& usage, duty_sink const& emit);

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

    bool holds() const
    {
        return holder_ && holder_->vm == options_.vm &&
               holder_->incarnation == options_.incarnation;
    }
    // The last known holder's name and fence, for log messages.
    std::string describe() const;

private:
    struct known_holder
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        fence_number fence = 0;
    };

    struct unsent_report
    {
        report_usage report;
        time_point due;
    };

    void apply(time_point now, duty_offset offset, duty_record const& record);
    void append(time_point now, duty_record record, duty_sink const& emit);
    void append_order(time_point now, duty_sink const& emit);
    void poll_or_claim(time_point now, duty_sink const& emit);
    bool send_report(time_point now, duty_sink const& emit);
    std::optional<window_number>
    next_due_window(time_point now, usage_windows const& usage) const;
    void requeue_recent_reports(time_point now);

    duty_log_options options_;
    std::uint64_t era_ = 0;
    // Windows due before this time may have been reported in records that the
    // log has lost.
    time_point unknown_before_{};
    bool request_outstanding_ = false;
    bool caught_up_ = false; // position_ is the last known end of the log
    time_point due_{};
    duty_offset position_ = 0; // of the next record to read
    std::optional<known_holder> holder_;
    time_point last_record_seen_at_{}; // when the newest record was first seen
    bool log_has_records_ = false;
    std::map<window_number, organisation_counts> reported_;
    std::optional<duty_record> pending_append_;
    time_point append_sent_at_{};
    // When this VM sent the newest of its records that is known to be stored.
    std::optional<time_point> last_stored_sent_at_;
    std::deque<unsent_report> unsent_;
};

} // namespace amarantharch

#endif
