#include "core/duty_log.hpp"

#include "core/bounded_unpack.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace amarantharch
{

namespace
{

// How many windows a new holder reports again, and how many are remembered.
constexpr std::size_t repeated_windows = 2;
constexpr std::size_t remembered_windows = 16;

// A VM that starts reads at most this many of the newest records. The holder
// appends at most a few records a second, so they reach back beyond all windows
// that may still be reported.
constexpr duty_offset read_back_records = 128;

// Fences have the era above this many bits of the offset; the platform's
// numbers are exact up to 2^53.
constexpr unsigned fence_offset_bits = 32;

// The first era of a log: nothing was lost before it.
constexpr std::uint64_t first_era = 1;

// Of a holder's fence, its claim's offset plus one.
constexpr fence_number claim_bits = (fence_number{1} << fence_offset_bits) - 1;

fence_number fence_of(std::uint64_t era, duty_offset claim)
{
    return era << fence_offset_bits | (claim + 1);
}

std::uint8_t kind_value(duty_record_kind kind)
{
    return static_cast<std::uint8_t>(kind);
}

std::optional<duty_record> decode(std::string_view bytes)
{
    try
    {
        return bounded_unpack(bytes).get().as<duty_record>();
    }
    catch (std::exception const&)
    {
        return std::nullopt; // a foreign record has no effect
    }
}

std::string encode(duty_record const& record)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, record);
    return {buffer.data(), buffer.size()};
}

} // namespace

void duty_log::tick(time_point now, bool watches, bool orders_wanted,
                    usage_windows& usage, service_demand& demand,
                    duty_sink const& emit)
{
    started_at_ = started_at_.value_or(now);
    merge_recorded(now, usage, demand);
    if (request_outstanding_ || now < due_)
    {
        return;
    }
    if (!holds())
    {
        if (watches || !end_reached_ || succeeds_itself())
        {
            poll_or_claim(now, emit);
        }
        return;
    }
    if (!caught_up_)
    {
        request_outstanding_ = true;
        emit(read_duty_log{position_});
        return;
    }
    if (send_report(now, emit))
    {
        return;
    }
    if (auto const window = next_due_window(now, usage))
    {
        duty_record record;
        record.kind = kind_value(duty_record_kind::usage);
        record.window = *window;
        record.counts = usage.total(*window);
        append(now, std::move(record), emit);
    }
    else if (orders_wanted && !order_fence(now))
    {
        append_order(now, emit);
    }
    else
    {
        append_counts(now, usage, demand, emit);
    }
}

// Adds what the log tells to what peers told. This VM's own counts are known.
void duty_log::merge_recorded(time_point now, usage_windows& usage,
                              service_demand& demand)
{
    for (window_counts const& row : std::exchange(unmerged_, {}))
    {
        if (row.vm != options_.vm || row.incarnation != options_.incarnation)
        {
            usage.merge(now, row);
        }
    }
    if (std::exchange(restores_demand_, false))
    {
        demand.restore(now, demand_made_at_, recorded_demand_);
    }
}

// Records what the log lacks of the windows that are still to be reported.
void duty_log::append_counts(time_point now, usage_windows const& usage,
                             service_demand const& demand,
                             duty_sink const& emit)
{
    if (now < next_counts_)
    {
        return;
    }
    next_counts_ = now + options_.counts_interval;
    std::vector<window_counts> known;
    window_number const present = usage.window_at(now);
    constexpr auto kept =
        static_cast<window_number>(usage_windows::kept_windows);
    for (window_number w = present - kept; w <= present; ++w)
    {
        if (reportable(now, w, usage))
        {
            std::ranges::move(
                usage.by_process(w, options_.vm, options_.incarnation),
                std::back_inserter(known));
        }
    }
    duty_record record;
    record.known = pack(recorded_.missing(known), options_.max_counts_bytes);
    if (record.known.rows.empty())
    {
        return;
    }
    record.kind = kind_value(duty_record_kind::counts);
    record.made_at = to_micros(now);
    record.demand = demand.rates(now);
    append(now, std::move(record), emit);
}

void duty_log::append_order(time_point now, duty_sink const& emit)
{
    duty_record record;
    record.kind = kind_value(duty_record_kind::order);
    append(now, std::move(record), emit);
}

// The last holder was an earlier process of this VM, and no record after those
// read can have been lost.
bool duty_log::succeeds_itself() const
{
    bool const own = holder_ && holder_->vm == options_.vm &&
                     holder_->incarnation < options_.incarnation;
    return own && (era_ <= first_era || newest_record_era_ == era_);
}

// Reads new records, or claims: at once as the successor of an earlier process
// of this VM, else if there were no records for takeover_timeout.
void duty_log::poll_or_claim(time_point now, duty_sink const& emit)
{
    bool const silent = !log_has_records_ ||
                        now - last_record_seen_at_ >= options_.takeover_timeout;
    if (caught_up_ && (silent || succeeds_itself()))
    {
        duty_record record;
        record.kind = kind_value(duty_record_kind::claim);
        append(now, std::move(record), emit);
        return;
    }
    request_outstanding_ = true;
    due_ = now + options_.poll_interval;
    emit(read_duty_log{position_});
}

void duty_log::append(time_point now, duty_record record, duty_sink const& emit)
{
    record.vm = options_.vm;
    record.incarnation = options_.incarnation;
    record.era = era_;
    record.claim = holds() ? holder_->fence & claim_bits : 0;
    request_outstanding_ = true;
    append_sent_at_ = now;
    std::string bytes = encode(record);
    pending_append_ = std::move(record);
    emit(append_duty_record{std::move(bytes), position_});
}

bool duty_log::send_report(time_point now, duty_sink const& emit)
{
    if (unsent_.empty() || now < unsent_.front().due)
    {
        return false;
    }
    if (!order_fence(now)) // sending needs a recent record too
    {
        append_order(now, emit);
        return true;
    }
    request_outstanding_ = true;
    emit(unsent_.front().report);
    return true;
}

// Not reported, not too late, and not possibly reported in a lost record.
bool duty_log::reportable(time_point now, window_number window,
                          usage_windows const& usage) const
{
    time_point const end = usage.end_of(window);
    bool const unknown = end + options_.report_delay <= unknown_before_ &&
                         window < first_of_era_.value_or(window + 1);
    return now < end + options_.report_due && !unknown &&
           !reported_.contains(window);
}

// The oldest window that is due and not recorded as reported.
std::optional<window_number>
duty_log::next_due_window(time_point now, usage_windows const& usage) const
{
    window_number const present = usage.window_at(now);
    constexpr auto kept =
        static_cast<window_number>(usage_windows::kept_windows);
    for (window_number w = present - kept; w < present; ++w)
    {
        time_point const end = usage.end_of(w);
        time_point const gathered =
            std::min(started_at_.value_or(now) + options_.gather_time,
                     end + options_.report_due - options_.report_margin);
        bool const due = now >= std::max(end + options_.report_delay, gathered);
        if (due && reportable(now, w, usage))
        {
            return w;
        }
    }
    return std::nullopt;
}

void duty_log::on_read(time_point now, duty_batch const& batch)
{
    request_outstanding_ = false;
    duty_offset offset = batch.from;
    for (std::string const& bytes : batch.records)
    {
        if (offset >= position_)
        {
            log_has_records_ = true;
            last_record_seen_at_ = now;
            auto const record = decode(bytes);
            newest_record_era_ = record ? record->era : 0;
            if (record)
            {
                apply(now, offset, *record);
            }
            position_ = offset + 1;
        }
        ++offset;
    }
    if (!end_reached_ && batch.end > position_ + read_back_records)
    {
        position_ = batch.end - read_back_records;
        holder_.reset();
    }
    caught_up_ = position_ >= batch.end;
    end_reached_ = end_reached_ || caught_up_;
    due_ = caught_up_ && !holds() && !succeeds_itself()
               ? now + options_.poll_interval
               : now;
    if (caught_up_ && !log_has_records_)
    {
        due_ = now; // the log is empty: there is no holder
    }
}

void duty_log::on_era(time_point now, std::uint64_t era)
{
    if (era <= era_)
    {
        return;
    }
    bool const came_back = era_ > 0 || log_has_records_ || era > first_era;
    era_ = era;
    if (!came_back)
    {
        return;
    }
    unknown_before_ = now;
    first_of_era_.reset();
    recorded_.clear(); // what is not read again is written again
    newest_record_era_ = 0;
    position_ = 0;
    caught_up_ = false;
    pending_append_.reset();
    holder_.reset();
    unsent_.clear();
    last_stored_sent_at_.reset();
    // A holder may have acted on a record that is gone.
    log_has_records_ = true;
    last_record_seen_at_ = now;
}

void duty_log::on_read_truncated(duty_offset first_retained)
{
    request_outstanding_ = false;
    caught_up_ = false;
    // At the start of a log that came back nothing need be missing.
    position_ = position_ == 0 ? first_retained
                               : std::max(position_ + 1, first_retained);
}

void duty_log::on_read_failed(time_point now)
{
    request_outstanding_ = false;
    caught_up_ = false;
    due_ = now + options_.retry_interval;
}

// The claim of the writer was not read: it was deleted or lies before what is
// read. Within an era only the holder appends. A record that was sent in an
// earlier era may have been stored behind the claim of another VM.
void duty_log::derive_holder(duty_record const& record)
{
    bool const of_this_era = era_ <= first_era || record.era == era_;
    fence_number const fence =
        record.claim > 0 ? fence_of(era_, record.claim - 1) : 0;
    if (of_this_era)
    {
        holder_ = known_holder{record.vm, record.incarnation,
                               fence > refused_fence_ ? fence : 0, false};
    }
}

void duty_log::apply(time_point now, duty_offset offset,
                     duty_record const& record)
{
    if (record.kind == kind_value(duty_record_kind::claim))
    {
        bool const resumed = holder_ && holder_->vm == record.vm;
        holder_ = known_holder{record.vm, record.incarnation,
                               fence_of(era_, offset), resumed};
        unsent_.clear();
        last_stored_sent_at_.reset();
        if (holds())
        {
            requeue_recent_reports(now);
            restores_demand_ = true;
        }
        return;
    }
    if (!holder_)
    {
        derive_holder(record);
    }
    if (record.kind == kind_value(duty_record_kind::usage))
    {
        if (era_ > 0 && record.era == era_)
        {
            first_of_era_ =
                std::min(first_of_era_.value_or(record.window), record.window);
        }
        reported_[record.window] = record.counts;
        recorded_.forget(record.window);
        while (reported_.size() > remembered_windows)
        {
            reported_.erase(reported_.begin());
        }
        if (holds())
        {
            unsent_.push_back(
                {{record.window, record.counts, holder_->fence}, now});
        }
    }
    if (record.kind == kind_value(duty_record_kind::counts))
    {
        apply_counts(record);
    }
}

void duty_log::apply_counts(duty_record const& record)
{
    std::vector<window_counts> const rows = unpack(record.known);
    recorded_.merge(rows);
    unmerged_.insert(unmerged_.end(), rows.begin(), rows.end());
    recorded_demand_ = record.demand;
    demand_made_at_ = from_micros(record.made_at);
    if (!rows.empty())
    {
        auto const newest = std::ranges::max(
            rows, {}, [](window_counts const& row) { return row.window; });
        recorded_.forget_before(
            newest.window -
            static_cast<window_number>(usage_windows::kept_windows));
    }
}

// The previous holder may have recorded these reports without sending them.
void duty_log::requeue_recent_reports(time_point now)
{
    std::size_t const count = std::min(repeated_windows, reported_.size());
    auto row = std::prev(reported_.end(), static_cast<std::ptrdiff_t>(count));
    for (; row != reported_.end(); ++row)
    {
        unsent_.push_back({{row->first, row->second, holder_->fence}, now});
    }
}

void duty_log::on_append(time_point now,
                         absl::StatusOr<duty_offset> const& stored)
{
    request_outstanding_ = false;
    auto const record = std::exchange(pending_append_, std::nullopt);
    if (!stored.ok() || !record || *stored != position_)
    {
        caught_up_ = false;
        due_ = absl::IsFailedPrecondition(stored.status())
                   ? now
                   : now + options_.retry_interval;
        return;
    }
    position_ = *stored + 1;
    log_has_records_ = true;
    last_record_seen_at_ = now;
    newest_record_era_ = record->era;
    due_ = now;
    apply(now, *stored, *record);
    last_stored_sent_at_ = append_sent_at_;
}

void duty_log::on_reported(time_point now, window_number window,
                           absl::Status const& status)
{
    request_outstanding_ = false;
    if (unsent_.empty() || unsent_.front().report.window != window)
    {
        return;
    }
    if (absl::IsAborted(status))
    {
        on_fenced();
        return;
    }
    if (status.ok() || absl::IsInternal(status))
    {
        unsent_.pop_front();
        return;
    }
    unsent_.front().due = now + options_.retry_interval;
}

void duty_log::on_fenced()
{
    refused_fence_ = holder_ ? holder_->fence : refused_fence_;
    holder_.reset();
    caught_up_ = false;
    unsent_.clear();
    last_stored_sent_at_.reset();
}

std::optional<fence_number> duty_log::order_fence(time_point now) const
{
    bool const fresh = last_stored_sent_at_ &&
                       now - *last_stored_sent_at_ <= options_.action_timeout;
    return holds() && fresh ? std::optional(holder_->fence) : std::nullopt;
}

std::string duty_log::describe() const
{
    return holder_ ? fmt::format("holder={} fence={} resumed={}", holder_->vm,
                                 holder_->fence, holder_->resumed)
                   : std::string("holder=none");
}

} // namespace amarantharch
