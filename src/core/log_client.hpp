// Client of the platform's log: batched, deduplicated appends, and reads.
//
// Appends. Records of one stream are gathered for a linger time or up to a
// byte limit into one batch. Each stream has at most one batch outstanding, so
// that a writer's records keep their order. A batch carries the end of the
// stream that its writer had read (`base`). Readers accept a batch only within
// `batch_window` offsets after its base, and only its first copy there.
// After an append whose answer was lost, reading therefore tells the outcome:
// the batch is either read, or void once the stream has passed its base by
// `batch_window`. Until then the same bytes are sent again. Duplicates are
// harmless, because every reader remembers the batch ids of the last
// `batch_window` offsets. That memory is bounded, and whether a batch is
// accepted depends on the stream only, not on the reader.
//
// A reader that starts in the middle of a stream cannot know of copies before
// its start. It marks records whose base is before its start as
// `possible_duplicate`; it accepts all later ones exactly if a reader of the
// whole stream does.
//
// The caller does the transport: outputs tell it what to send, and it returns
// exactly one result for each token, also after its own timeout. Results may
// come in any order. Cost: O(1) per record and offset.
#ifndef AMARANTHARCH_CORE_LOG_CLIENT_HPP
#define AMARANTHARCH_CORE_LOG_CLIENT_HPP

#include "core/log.hpp"
#include "core/time.hpp"

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace amarantharch
{

// The greatest distance in offsets between a valid batch and its base.
inline constexpr log_offset batch_window = 16384;

// The content of one append.
struct log_payload
{
    log_offset base = 0; // newest offset the writer had read when writing
    record_id first;     // id of records[0]; sequence numbers are consecutive
    std::vector<std::string> records;
};

std::string encode(log_payload const& payload);
absl::StatusOr<log_payload> decode_log_payload(std::string_view bytes);

// Identifies a transport operation and its result.
using log_token = std::uint64_t;

// To do: POST `bytes` as one record to `stream`.
struct send_append
{
    log_token token;
    log_stream stream;
    std::string bytes;
};

// To do: read `stream` from `from`, waiting up to `wait` for a new record.
struct send_read
{
    log_token token;
    log_stream stream;
    log_offset from;
    duration wait;
};

// Operations for the transport and events for the VM.
using log_client_output =
    std::variant<send_append, send_read, log_read, log_reachability>;
using log_client_sink = std::function<void(log_client_output)>;

struct append_stored
{
    log_token token;
    log_offset offset;
};

// The connection was refused, so nothing reached the log.
struct append_not_sent
{
    log_token token;
};

// The connection failed after the request was written: it may be stored.
struct append_unknown
{
    log_token token;
};

// The log answered 429 or 503; `retry_after` is zero if it gave none.
struct append_refused
{
    log_token token;
    duration retry_after;
};

struct stored_payload
{
    log_offset offset;
    time_point time; // when the log stored it
    std::string bytes;
};

struct read_done
{
    log_token token;
    log_offset first_retained;
    log_offset end; // one past the newest offset
    std::vector<stored_payload> payloads;
};

struct read_failed
{
    log_token token;
    duration retry_after;
};

using log_result = std::variant<append_stored, append_not_sent, append_unknown,
                                append_refused, read_done, read_failed>;

struct log_client_options
{
    std::string vm;
    std::uint64_t incarnation = 0; // must grow with each start of this VM
    std::uint64_t seed = 0;        // of the jitter of backoff and hinted reads
    duration linger = std::chrono::milliseconds(5);
    // The log accepts at most 1 MiB.
    std::size_t batch_bytes = std::size_t{960} * 1024;
    std::size_t queue_bytes =
        std::size_t{4} * 1024 * 1024; // for all streams together
    duration read_wait = std::chrono::seconds(20);
    duration backoff_min = std::chrono::milliseconds(50);
    duration backoff_max = std::chrono::seconds(5);
    double appends_per_second = 40; // this VM's share of the log's rate limit
    double append_burst = 20;
};

// Each VM's share of the log's rate limit when `writers` VMs append to it.
double append_share(double log_appends_per_second, std::size_t writers);

enum class read_mode : std::uint8_t
{
    long_poll, // a read is always outstanding and waits for new records
    on_hint,   // reads only when hint() tells of a newer offset
};

class log_client
{
public:
    explicit log_client(log_client_options options);

    // Begins to read `stream` at `from` (1 reads all that is retained). A
    // further call moves the reader, for example after a snapshot. Batches
    // before `from` are unknown to the reader, so their duplicates are not
    // recognised.
    void subscribe(log_stream stream, log_offset from,
                   read_mode mode = read_mode::long_poll);

    void set_read_mode(log_stream stream, read_mode mode);

    // A peer has read the record at `newest`. In on_hint mode, reads up to it
    // after a random delay of at most `spread`.
    void hint(time_point now, log_stream stream, log_offset newest,
              duration spread);

    // Queues a record. Fails with ResourceExhausted if the queue is full,
    // InvalidArgument if the record is larger than a batch, FailedPrecondition
    // if the stream is not subscribed, since it could not be read back.
    absl::StatusOr<record_id> append(time_point now, log_stream stream,
                                     std::string payload);

    // Handles a transport result. Results with unknown tokens are ignored.
    void handle(time_point now, log_result const& result,
                log_client_sink const& emit);

    // Emits due appends and reads. Call at least every 10 ms.
    void tick(time_point now, log_client_sink const& emit);

    void set_appends_per_second(double rate);

    // False from the first failed operation until the next that succeeds.
    bool reachable() const
    {
        return reachable_;
    }
    // Whether every record up to the end that the log last reported was read.
    bool caught_up(log_stream stream) const;
    // The next offset to read.
    log_offset position(log_stream stream) const;
    // Bytes of records appended and not yet read back.
    std::size_t queued_bytes() const
    {
        return queued_bytes_;
    }
    // Number of batch ids remembered, over all streams.
    std::size_t remembered_batches() const;

private:
    struct batch
    {
        log_payload payload;
        std::size_t bytes = 0;
    };
    // 128 bits of a hash of the batch's first record id.
    using batch_digest = std::pair<std::uint64_t, std::uint64_t>;
    struct queued_record
    {
        time_point since;
        std::string payload;
    };
    enum class batch_state : std::uint8_t
    {
        none,
        waiting, // to be sent at `append_due`
        sent,    // waits for the transport's result
        stored,  // the log answered with `stored_at`; not read back yet
    };
    struct stream_row
    {
        bool subscribed = false;
        read_mode mode = read_mode::long_poll;
        log_offset start = 1; // where this reader began, or began anew
        log_offset next = 1;
        log_offset end = 1;
        log_offset hinted = 0;
        bool answered = false;
        std::optional<log_token> read;
        time_point read_due{};
        // seen_ids holds exactly the digests in `seen`: the batches accepted
        // in the batch_window offsets before the newest one.
        std::deque<std::pair<log_offset, batch_digest>> seen;
        absl::flat_hash_set<batch_digest> seen_ids;
        // The records in `queue` have the ids first_queued to
        // next_sequence - 1.
        std::deque<queued_record> queue;
        std::uint64_t first_queued = 0;
        std::uint64_t next_sequence = 0;
        batch current;
        batch_state state = batch_state::none;
        std::optional<log_token> append;
        time_point append_due{};
        std::optional<log_offset> stored_at;
        int failures = 0;
        int read_failures = 0;
    };

    void on(time_point now, append_stored const& result,
            log_client_sink const& emit);
    void on(time_point now, append_not_sent const& result,
            log_client_sink const& emit);
    void on(time_point now, append_unknown const& result,
            log_client_sink const& emit);
    void on(time_point now, append_refused const& result,
            log_client_sink const& emit);
    void on(time_point now, read_done const& result,
            log_client_sink const& emit);
    void on(time_point now, read_failed const& result,
            log_client_sink const& emit);

    stream_row* row_of_append(log_token token);
    stream_row* row_of_read(log_token token);
    void set_reachable(bool reachable, log_client_sink const& emit);
    duration backoff(int failures);
    bool acquire_append_permit(time_point now);
    void fill_batch(time_point now, stream_row& row);
    static void rebase_if_void(stream_row& row);
    void finish_if_current(stream_row& row, record_id const& id);
    void retry_append(time_point now, stream_row& row, duration at_least);
    void send_due_append(time_point now, log_stream stream, stream_row& row,
                         log_client_sink const& emit);
    void send_due_read(time_point now, log_stream stream, stream_row& row,
                       log_client_sink const& emit);
    static void skip_gap(stream_row& row, log_offset first_retained);
    void read_payload(stream_row& row, stored_payload const& stored,
                      std::vector<log_record>& records);
    static batch_digest digest(record_id const& id);
    static bool remember_batch(stream_row& row, log_offset offset,
                               record_id const& id);

    log_client_options options_;
    std::mt19937_64 random_;
    std::array<stream_row, log_stream_names.size()> rows_;
    log_token next_token_ = 1;
    std::size_t queued_bytes_ = 0;
    bool reachable_ = true;
    double budget_ = 0;
    std::optional<time_point> permits_updated_at_;
};

} // namespace amarantharch

#endif
