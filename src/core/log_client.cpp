#include "core/log_client.hpp"

#include "core/bounded_unpack.hpp"

#include <fmt/format.h>
#include <msgpack.hpp>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int payload_version = 1;
constexpr std::size_t record_overhead = 8;
constexpr int max_backoff_doublings = 16;

struct wire_payload
{
    int version = payload_version;
    log_offset base = 0;
    std::string writer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<std::string> records;
    MSGPACK_DEFINE(version, base, writer, incarnation, sequence, records)
};

// Whether a batch with this base is valid at `offset`.
bool in_window(log_offset base, log_offset offset)
{
    return base < offset && offset - base <= batch_window;
}

} // namespace

std::string encode(log_payload const& payload)
{
    wire_payload const wire{payload_version,        payload.base,
                            payload.first.writer,   payload.first.incarnation,
                            payload.first.sequence, payload.records};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<log_payload> decode_log_payload(std::string_view bytes)
{
    try
    {
        auto const handle = bounded_unpack(bytes);
        auto wire = handle.get().as<wire_payload>();
        if (wire.version < payload_version)
        {
            return absl::InvalidArgumentError(
                "log payload has no valid version");
        }
        return log_payload{
            wire.base,
            {std::move(wire.writer), wire.incarnation, wire.sequence},
            std::move(wire.records)};
    }
    catch (std::exception const& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
}

double append_share(double log_appends_per_second, std::size_t writers)
{
    return log_appends_per_second /
           static_cast<double>(std::max<std::size_t>(writers, 1));
}

log_client::log_client(log_client_options options)
    : options_(std::move(options)), random_(options_.seed),
      budget_(options_.append_burst)
{
    // The stream is part of the sequence number, so that record ids are unique
    // across streams.
    constexpr int stream_shift = 56;
    for (std::size_t i = 0; i < rows_.size(); ++i)
    {
        rows_[i].first_queued = (std::uint64_t{i} << stream_shift) + 1;
        rows_[i].next_sequence = rows_[i].first_queued;
    }
}

void log_client::subscribe(log_stream stream, log_offset from, read_mode mode)
{
    auto& row = rows_[static_cast<std::size_t>(stream)];
    row.subscribed = true;
    row.mode = mode;
    row.start = std::max<log_offset>(from, 1);
    row.next = row.start;
    row.end = std::max(row.end, row.next);
    row.answered = false;
    row.read.reset(); // ignore the answer to an outstanding read
    row.read_due = time_point{};
    row.seen.clear();
    row.seen_ids.clear();
}

void log_client::set_read_mode(log_stream stream, read_mode mode)
{
    rows_[static_cast<std::size_t>(stream)].mode = mode;
}

void log_client::hint(time_point now, log_stream stream, log_offset newest,
                      duration spread)
{
    auto& row = rows_[static_cast<std::size_t>(stream)];
    if (newest < row.next || newest <= row.hinted)
    {
        return;
    }
    row.hinted = newest;
    if (!row.read && row.mode == read_mode::on_hint)
    {
        std::uniform_int_distribution<duration::rep> pick(
            0, std::max<duration::rep>(spread.count(), 0));
        row.read_due = std::max(row.read_due, now + duration(pick(random_)));
    }
}

absl::StatusOr<record_id> log_client::append(time_point now, log_stream stream,
                                             std::string payload)
{
    auto& row = rows_[static_cast<std::size_t>(stream)];
    if (!row.subscribed)
    {
        return absl::FailedPreconditionError("log stream is not subscribed");
    }
    auto const bytes = payload.size() + record_overhead;
    if (bytes > options_.batch_bytes)
    {
        return absl::InvalidArgumentError("log record is larger than a batch");
    }
    if (queued_bytes_ + bytes > options_.queue_bytes)
    {
        return absl::ResourceExhaustedError("log queue is full");
    }
    queued_bytes_ += bytes;
    row.queue.push_back({now, std::move(payload)});
    auto const sequence = row.next_sequence++;
    return record_id{options_.vm, options_.incarnation, sequence};
}

void log_client::set_appends_per_second(double rate)
{
    options_.appends_per_second = rate;
}

bool log_client::caught_up(log_stream stream) const
{
    auto const& row = rows_[static_cast<std::size_t>(stream)];
    return row.answered && row.next >= row.end;
}

log_offset log_client::position(log_stream stream) const
{
    return rows_[static_cast<std::size_t>(stream)].next;
}

std::size_t log_client::remembered_batches() const
{
    std::size_t sum = 0;
    for (auto const& row : rows_)
    {
        sum += row.seen.size();
    }
    return sum;
}

void log_client::handle(time_point now, log_result const& result,
                        log_client_sink const& emit)
{
    std::visit([&](auto const& r) { on(now, r, emit); }, result);
}

log_client::stream_row* log_client::row_of_append(log_token token)
{
    for (auto& row : rows_)
    {
        if (row.append == token)
        {
            return &row;
        }
    }
    return nullptr;
}

log_client::stream_row* log_client::row_of_read(log_token token)
{
    for (auto& row : rows_)
    {
        if (row.read == token)
        {
            return &row;
        }
    }
    return nullptr;
}

void log_client::set_reachable(bool reachable, log_client_sink const& emit)
{
    if (reachable_ != reachable)
    {
        reachable_ = reachable;
        emit(log_reachability{reachable});
    }
}

// Exponential backoff; the jitter is uniform over the upper half.
duration log_client::backoff(int failures)
{
    auto const doublings = std::clamp(failures - 1, 0, max_backoff_doublings);
    duration const doubled = options_.backoff_min * (1LL << doublings);
    auto const full = std::min(options_.backoff_max, doubled);
    std::uniform_int_distribution<duration::rep> pick(full.count() / 2,
                                                      full.count());
    return duration(pick(random_));
}

void log_client::on(time_point now, append_stored const& result,
                    log_client_sink const& emit)
{
    auto* row = row_of_append(result.token);
    if (row == nullptr)
    {
        return;
    }
    set_reachable(true, emit);
    row->append.reset();
    row->failures = 0;
    if (row->state != batch_state::sent)
    {
        return;
    }
    row->state = batch_state::stored;
    row->stored_at = result.offset;
    row->hinted = std::max(row->hinted, result.offset);
    if (!row->read)
    {
        row->read_due = now;
    }
}

void log_client::retry_append(time_point now, stream_row& row,
                              duration at_least)
{
    row.append.reset();
    ++row.failures;
    if (row.state == batch_state::sent)
    {
        row.state = batch_state::waiting;
        row.append_due = now + std::max(at_least, backoff(row.failures));
    }
}

void log_client::on(time_point now, append_not_sent const& result,
                    log_client_sink const& emit)
{
    if (auto* row = row_of_append(result.token))
    {
        retry_append(now, *row, duration{});
        set_reachable(false, emit);
    }
}

void log_client::on(time_point now, append_unknown const& result,
                    log_client_sink const& emit)
{
    if (auto* row = row_of_append(result.token))
    {
        retry_append(now, *row, duration{});
        row->read_due = now; // it may have been stored
        set_reachable(false, emit);
    }
}

void log_client::on(time_point now, append_refused const& result,
                    log_client_sink const&)
{
    if (auto* row = row_of_append(result.token))
    {
        retry_append(now, *row, result.retry_after);
    }
}

void log_client::on(time_point now, read_failed const& result,
                    log_client_sink const& emit)
{
    if (auto* row = row_of_read(result.token))
    {
        row->read.reset();
        ++row->read_failures;
        row->read_due =
            now + std::max(result.retry_after, backoff(row->read_failures));
        set_reachable(false, emit);
    }
}

void log_client::skip_gap(stream_row& row, log_offset first_retained)
{
    if (row.next < first_retained)
    {
        row.start = first_retained;
        row.next = first_retained;
        row.seen.clear();
        row.seen_ids.clear();
    }
}

log_client::batch_digest log_client::digest(record_id const& id)
{
    auto const text =
        fmt::format("{}\n{}\n{}", id.writer, id.incarnation, id.sequence);
    auto const hash = XXH3_128bits(text.data(), text.size());
    return {hash.high64, hash.low64};
}

// Returns whether this is the first copy of the batch. Drops ids of batches
// outside the window.
bool log_client::remember_batch(stream_row& row, log_offset offset,
                                record_id const& id)
{
    while (!row.seen.empty() && offset - row.seen.front().first > batch_window)
    {
        row.seen_ids.erase(row.seen.front().second);
        row.seen.pop_front();
    }
    auto const key = digest(id);
    if (!row.seen_ids.insert(key).second)
    {
        return false;
    }
    row.seen.emplace_back(offset, key);
    return true;
}

// Ends the current batch if it is the one that was just read.
void log_client::finish_if_current(stream_row& row, record_id const& id)
{
    if (row.state == batch_state::none || row.current.payload.first != id)
    {
        return;
    }
    queued_bytes_ -= row.current.bytes;
    row.state = batch_state::none;
    row.current = {};
    row.stored_at.reset();
    row.failures = 0;
}

void log_client::read_payload(stream_row& row, stored_payload const& stored,
                              std::vector<log_record>& records)
{
    auto payload = decode_log_payload(stored.bytes);
    if (!payload.ok() || !in_window(payload->base, stored.offset) ||
        !remember_batch(row, stored.offset, payload->first))
    {
        return;
    }
    finish_if_current(row, payload->first);
    auto id = payload->first;
    std::uint32_t index = 0;
    bool const possible_duplicate = payload->base + 1 < row.start;
    for (auto& bytes : payload->records)
    {
        records.push_back(log_record{{stored.offset, index},
                                     id,
                                     std::move(bytes),
                                     stored.time,
                                     possible_duplicate});
        ++index;
        ++id.sequence;
    }
}

void log_client::on(time_point now, read_done const& result,
                    log_client_sink const& emit)
{
    auto* row = row_of_read(result.token);
    if (row == nullptr)
    {
        return;
    }
    set_reachable(true, emit);
    row->read.reset();
    row->read_failures = 0;
    row->read_due = now;
    auto const before = row->next;
    bool const first_answer = !std::exchange(row->answered, true);
    skip_gap(*row, result.first_retained);
    log_batch read;
    read.stream = static_cast<log_stream>(row - rows_.data());
    for (auto const& stored : result.payloads)
    {
        if (stored.offset == row->next) // otherwise it is read again
        {
            read_payload(*row, stored, read.records);
            row->next = stored.offset + 1;
        }
    }
    row->end = std::max(result.end, row->next);
    rebase_if_void(*row);
    if (row->next != before || first_answer)
    {
        read.first_retained = result.first_retained;
        read.next = row->next;
        read.end = row->end;
        emit(log_read{std::move(read)});
    }
}

// Gives the current batch a new base once no copy with the old one can be valid
// any more. Its record ids stay, since no reader has accepted them.
void log_client::rebase_if_void(stream_row& row)
{
    if (row.state == batch_state::none || row.append ||
        in_window(row.current.payload.base, row.next))
    {
        return;
    }
    row.current.payload.base = row.next - 1;
    row.state = batch_state::waiting;
    row.stored_at.reset();
}

bool log_client::acquire_append_permit(time_point now)
{
    if (permits_updated_at_)
    {
        std::chrono::duration<double> const passed = now - *permits_updated_at_;
        budget_ = std::min(options_.append_burst,
                           budget_ + std::max(0.0, passed.count()) *
                                         options_.appends_per_second);
    }
    permits_updated_at_ = now;
    if (budget_ < 1)
    {
        return false;
    }
    budget_ -= 1;
    return true;
}

// Moves records from the queue to a new batch, if there is no current one and
// the oldest has lingered long enough.
void log_client::fill_batch(time_point now, stream_row& row)
{
    if (row.state != batch_state::none || row.queue.empty() || !row.answered ||
        now - row.queue.front().since < options_.linger)
    {
        return;
    }
    auto const limit = options_.batch_bytes;
    auto& payload = row.current.payload;
    payload.base = row.next - 1;
    payload.first = {options_.vm, options_.incarnation, row.first_queued};
    while (!row.queue.empty())
    {
        auto const bytes = row.queue.front().payload.size() + record_overhead;
        if (!payload.records.empty() && row.current.bytes + bytes > limit)
        {
            break;
        }
        row.current.bytes += bytes;
        payload.records.push_back(std::move(row.queue.front().payload));
        row.queue.pop_front();
        ++row.first_queued;
    }
    row.state = batch_state::waiting;
    row.append_due = now;
}

void log_client::send_due_append(time_point now, log_stream stream,
                                 stream_row& row, log_client_sink const& emit)
{
    fill_batch(now, row);
    // Stored, but not accepted when its offset was read: that copy was void.
    if (row.state == batch_state::stored && row.next > *row.stored_at)
    {
        row.state = batch_state::waiting;
        row.append_due = now;
    }
    rebase_if_void(row);
    if (row.state != batch_state::waiting || now < row.append_due ||
        !acquire_append_permit(now))
    {
        return;
    }
    row.state = batch_state::sent;
    row.append = next_token_++;
    emit(send_append{*row.append, stream, encode(row.current.payload)});
}

void log_client::send_due_read(time_point now, log_stream stream,
                               stream_row& row, log_client_sink const& emit)
{
    bool const behind =
        !row.answered || row.next < row.end || row.next <= row.hinted;
    // A batch whose answer was lost may have been stored.
    bool const unsettled = row.state == batch_state::waiting;
    bool const wanted = row.mode == read_mode::long_poll || behind || unsettled;
    if (!row.subscribed || row.read || !wanted || now < row.read_due)
    {
        return;
    }
    row.read = next_token_++;
    auto const wait = behind ? duration{} : options_.read_wait;
    emit(send_read{*row.read, stream, row.next, wait});
}

void log_client::tick(time_point now, log_client_sink const& emit)
{
    for (auto const& stream : log_stream_names)
    {
        auto& row = rows_[static_cast<std::size_t>(stream.value)];
        send_due_append(now, stream.value, row, emit);
        send_due_read(now, stream.value, row, emit);
    }
}

} // namespace amarantharch
