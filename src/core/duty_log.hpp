// One VM at a time holds the fleet's duties; what it did stands in a log.
//
// The log is a stream of records to which a VM appends only at the end that it
// knows. A claim makes its writer the holder; its offset is the fence, which
// thus grows with each change of the holder. Every act of the holder follows a
// record of its own:
//   - a record is stored only if nobody has claimed in between, since the end
//     would have moved;
//   - the holder acts only within `act_within` of the moment at which it sent
//     that record, by a clock that counts a suspension;
//   - another VM claims only if it has seen no new record for `takeover`, which
//     is longer than the lease and act_within together.
// So the acts of two holders lie at least a lease apart, and an order that is
// carried out late bears a fence that the platform can refuse.
// An append without an answer may be stored at any later time; the VM then
// knows nothing and reads the log before its next step.
//
// Usage reports are recorded before they are sent, and a new holder sends the
// recorded ones again as they stand: no window is reported with two counts.
//
// Cost: the holder makes an append for each report or order, watchers a read
// each watch_interval; no other VM makes any call.
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
    // The holders' acts lie at least so far apart.
    duration lease = std::chrono::seconds(3);
    duration act_within = std::chrono::seconds(1);
    // The holder writes a record a usage window at least.
    duration takeover = std::chrono::seconds(7);
    duration watch_interval = std::chrono::seconds(2);
    // A window is reported so long after its end: by then the peers' last
    // counts have come.
    duration report_delay = std::chrono::seconds(3);
    // After this it is too late.
    duration report_due = std::chrono::seconds(10);
    duration retry_interval = std::chrono::milliseconds(500);
};

enum class duty_record_kind : std::uint8_t
{
    claim = 1,
    usage = 2, // the counts of `window` are reported
    order = 3, // orders follow, or a report is sent again
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

// What the duty log asks for; the answers come through its on_ members.
struct read_duty_log
{
    duty_offset from = 0;
};

struct append_duty_record
{
    std::string record;
    duty_offset at = 0; // to be stored only as the record of this offset
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
};

class duty_log
{
public:
    explicit duty_log(duty_log_options options) : options_(std::move(options))
    {
    }

    // `watches`: this VM is among those that take over. `orders_wanted`: the
    // holder would give orders if it may.
    void tick(time_point now, bool watches, bool orders_wanted,
              usage_windows const& usage, duty_sink const& emit);

    void on_read(time_point now, duty_batch const& batch);
    void on_read_gone(duty_offset first_retained); // earlier ones are deleted
    void on_read_failed(time_point now);
    // FailedPrecondition: the log has another end; any other error: unknown.
    void on_append(time_point now, absl::StatusOr<duty_offset> const& stored);
    // Aborted: a higher fence was seen.
    void on_reported(time_point now, window_number window,
                     absl::Status const& status);
    // An order was refused for its fence.
    void on_fenced();

    // The fence under which orders may be given now, if any.
    std::optional<fence_number> may_order(time_point now) const;

    bool holds() const
    {
        return holder_ && holder_->vm == options_.vm &&
               holder_->incarnation == options_.incarnation;
    }
    // The last known holder's fence and name, for the log.
    std::string describe() const;

private:
    struct holder_row
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
    void watch(time_point now, duty_sink const& emit);
    bool send_report(time_point now, duty_sink const& emit);
    std::optional<window_number> next_window(time_point now,
                                             usage_windows const& usage) const;
    void repeat_reports(time_point now);

    duty_log_options options_;
    bool outstanding_ = false;
    bool caught_up_ = false; // position_ was the end when last heard
    time_point due_{};
    duty_offset position_ = 0;
    std::optional<holder_row> holder_;
    time_point record_seen_{}; // when the newest record was first seen
    bool any_record_ = false;
    std::map<window_number, organisation_counts> reported_;
    std::optional<duty_record> appending_;
    time_point append_sent_{};
    // When the last of this VM's stored records was sent.
    std::optional<time_point> stored_sent_;
    std::deque<unsent_report> unsent_;
};

} // namespace amarantharch

#endif
