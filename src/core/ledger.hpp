// Decides which VM may run a request that must not run twice, and keeps
// accepted requests and recent outcomes.
//
// Algorithm. The order of the log's `requests` stream alone decides; there
// are no owners, epochs, votes or clocks of VMs. Every VM applies the same
// records in the same order to a table of keys:
//
//     absent --intent--> started --outcome--> done
//     absent --acceptance--> accepted --start--> started
//     started or accepted --release--> free (synchronous) or accepted again,
//                                      with the next generation
//
// A record that does not fit its key's state is without effect, so of several
// intents or starts for one generation the first wins. A VM runs a request
// only after reading its own winning record back, and only the writer of the
// winning record ever runs that generation. A VM that was frozen at any step
// therefore either still holds a right nobody else can have, or reads that
// another record came first. A started key without an outcome is never given
// to another VM: its callers are told may_have_run.
//
// Delays. An append may take effect late or twice. A record names the log
// time up to which its writer had read, and is void if the log took it more
// than half a window later. A key is remembered for a whole window after its
// last record that was not void, so a late copy always finds its key or is
// void.
//
// Retention. The window is at most half the log's retention. A VM that starts
// reading at `first_retained` must not decide before it has read a window's
// worth of log time: by then every key it lacks has expired for everybody. It
// takes an acceptance for startable only if the writer had read everything
// before its own first offset. Accepted requests and runs in progress are
// recorded again every quarter of a window. A VM that finds a gap forgets
// everything and starts anew, as does one that restarts.
//
// Cost. One append (batched by the log client) and its reading for a
// synchronous request before it runs, one later for its outcome; one more for
// an asynchronous one. Memory: about 1 KB a key, and the bodies of open
// and the small answers of recent requests, under a budget; at the limit new
// keys are refused as not run.
//
// Use. Every method takes the present time and emits effects, in order, into
// the sink given at construction. The caller
//   - gives append_record payloads to the log client for the stream
//     `requests`; losing or repeating one is harmless, it is emitted again;
//   - passes every batch read from that stream to apply(), in order;
//   - runs what run_request says, once, and reports it with finish();
//   - calls tick() a few times a second.
#ifndef AMARANTHARCH_CORE_LEDGER_HPP
#define AMARANTHARCH_CORE_LEDGER_HPP

#include "core/call.hpp"
#include "core/ledger_record.hpp"
#include "core/ledger_table.hpp"
#include "core/log.hpp"
#include "core/request_key.hpp"
#include "core/time.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace amarantharch
{

struct ledger_options
{
    std::string vm;
    std::uint64_t incarnation = 0; // must differ at each start of this vm
    // How long a key is remembered after its last record, by the log's clock;
    // at most half the log's retention.
    duration window = std::chrono::minutes(10);
    // A submission that the log has not decided by then is given up.
    duration decide_timeout = std::chrono::seconds(2);
    // A record not yet read back is emitted again after this time.
    duration resend_interval = std::chrono::seconds(1);
    // An accepted request that its VM has not started by then is started by
    // another, each VM waiting up to takeover_spread longer by its own share.
    duration takeover_delay = std::chrono::seconds(5);
    duration takeover_spread = std::chrono::seconds(2);
    std::size_t max_keys = 40'000;
    std::size_t max_bytes = std::size_t{16} << 20; // bodies and answers
    std::size_t max_unsettled = 20'000; // own records not yet read back
    std::size_t max_body = std::size_t{64} << 10;  // of an accepted request
    std::size_t max_answer = std::size_t{4} << 10; // kept for repeats
};

// A request that must not run twice, as it enters at this VM.
struct submission
{
    request_id request; // the waiting caller's; unique on this VM
    request_key key;
    std::uint64_t content = 0; // content_digest
    bool asynchronous = false; // answer 202 once it is kept, run it later
    // How long a repeat after the outcome counts as the same request; at most
    // ledger_options::window.
    duration repeat_window = std::chrono::minutes(10);
    stored_call call; // kept if asynchronous
};

// What became of a run; `run` not_run gives the key back.
struct run_outcome
{
    verdict run = verdict::may_have_run;
    int status = 0;
    std::string content_type;
    std::string answer; // kept for repeats if not over max_answer
};

// Give `payload` to the log client for log_stream::requests.
struct append_record
{
    std::string payload;
};

// Run this now, once, on any upstreams, as long as each failed attempt is
// known not to have run; then call finish() with `run`.
struct run_request
{
    run_id run;
    request_key key;
    request_id request; // the caller who waits on this VM; empty if none
    stored_call call;   // empty for a synchronous request
};

// Answer 202: the request is kept and will be run. The caller may ask for its
// outcome by its key.
struct accepted_reply
{
    request_id request;
};

// Answer with what an earlier run gave.
struct known_reply
{
    request_id request;
    kept_outcome outcome;
};

// Refuse; reasons: see ledger_reasons.
struct refused_reply
{
    request_id request;
    refusal why;
};

// Send `records` to one or two peers in other failure domains, who pass them
// to adopt(): this VM is leaving and may not see them recorded. Repeated until
// they are; duplicates are harmless.
struct hand_over
{
    std::vector<std::string> records; // encoded
};

using ledger_effect = std::variant<append_record, run_request, accepted_reply,
                                   known_reply, refused_reply, hand_over>;

using ledger_sink = std::function<void(ledger_effect)>;

// Words in refusal::reason.
namespace ledger_reasons
{
inline constexpr char const* log_unreachable = "log_unreachable";
inline constexpr char const* not_ready = "ledger_catching_up";
inline constexpr char const* stopping = "stopping";
inline constexpr char const* full = "ledger_full";
inline constexpr char const* body_too_large = "body_too_large";
inline constexpr char const* undecided = "undecided_in_time";
inline constexpr char const* acceptance_unknown = "acceptance_unknown";
inline constexpr char const* in_progress = "in_progress";
inline constexpr char const* outcome_unknown = "outcome_unknown";
inline constexpr char const* key_reused = "key_reused";
inline constexpr char const* unknown_key = "unknown_key";
} // namespace ledger_reasons

class ledger
{
public:
    ledger(ledger_options options, ledger_sink emit);

    // Emits exactly one reply or run_request for `what.request`, now or later,
    // unless abandon() comes first.
    void submit(time_point now, submission what);

    // Answers what is known of `key`, without starting anything: for a caller
    // who asks what became of an accepted request.
    void inquire(time_point now, request_id const& request,
                 request_key const& key);

    // The caller has left; a run that has begun goes on.
    void abandon(time_point now, request_id const& request);

    // Applies the next batch of the `requests` stream.
    void apply(time_point now, log_batch const& batch);

    // Whether appends and reads work at present; true at construction.
    void set_reachable(time_point now, bool reachable);

    // Reports the end of a run_request. Unknown or finished runs are ignored.
    void finish(time_point now, run_id const& run, run_outcome outcome);

    // `vm` has left or is gone: accepted requests it has not started may be
    // taken over at once. A hint; being wrong costs an append.
    void vm_gone(time_point now, std::string const& vm);

    // Resends, gives up on late decisions, records again what is open, takes
    // over what others left, forgets what has expired.
    void tick(time_point now);

    // Takes a leaving peer's records, and has them recorded. Fails with
    // InvalidArgument, taking none, if one is malformed or not of a kind that
    // is handed over, ResourceExhausted at the limit.
    absl::Status adopt(time_point now, std::vector<std::string> const& records);

    // This VM is to stop: refuses new work and hands over what it has not
    // started. What it runs may be finished until `deadline`.
    void stop(time_point now, time_point deadline);

    // Whether submissions can be decided; until then they are refused.
    bool ready() const;

    // Whether nothing of this VM is undecided, running or unrecorded.
    bool idle() const;

    // The offset from which to read; 1 before anything is known.
    log_offset next_offset() const
    {
        return table_.next();
    }

    // The whole table for a VM that starts; empty unless ready().
    std::string snapshot() const;

    // Takes a ready peer's table; reading goes on at next_offset(). Fails with
    // InvalidArgument if malformed, FailedPrecondition if this VM is ready or
    // has applied more than the snapshot holds.
    absl::Status restore(time_point now, std::string const& snapshot);

    // Keys in the table.
    std::size_t keys() const
    {
        return table_.size();
    }

    // Bytes of bodies and answers held.
    std::size_t bytes() const
    {
        return table_.bytes();
    }

private:
    // A record of this VM that it has not read back yet. Giving up a
    // submission removes its row; if its record wins later, it is released.
    struct own_record
    {
        ledger_record record;
        request_id request;  // who waits for the decision; empty if none
        time_point deadline; // of the decision; max() if nobody waits
        time_point emitted;
        int emissions = 0;
    };

    // Position in the variant tells two records of one run apart.
    struct own_key
    {
        std::uint64_t sequence;
        std::size_t kind;
        // clang-tidy 14 takes the 0 in a defaulted comparison for a null
        // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(own_key const&) const = default;
    };

    using own_table = std::map<own_key, own_record>;

    // A run of this VM that has not finished.
    struct active_run
    {
        ledger_record right; // the winning record
        std::uint64_t content;
        bool asynchronous;
        time_point recorded; // when `right` was last emitted
    };

    // An accepted request that nobody has started.
    struct open_request
    {
        std::uint32_t generation;
        time_point seen;     // when this VM first saw this generation
        time_point recorded; // when this VM last recorded it again
    };

    // The newest process seen of a VM.
    struct vm_entry
    {
        std::uint64_t incarnation = 0;
        bool gone = false;
        time_point since; // of the newest incarnation, or gone
    };

    bool blocks(time_point now, ledger_row const& row,
                submission const& what) const;
    std::optional<refusal> refusal_for(submission const& what) const;
    ledger_record record_for(submission what, ledger_row const* row);
    void reply_from(request_id const& request, bool asynchronous,
                    ledger_row const& row);
    void refuse(request_id const& request, refusal why);
    void restart(time_point now, log_offset origin);
    void give_up(own_record const& own);
    void forget(own_table::iterator own);

    void settle(time_point now, ledger_record const& record,
                record_effect effect);
    void won(time_point now, own_record const& own);
    void lost(own_record const& own);
    void begin_run(time_point now, own_record const& own);
    void start(time_point now, request_key const& key, ledger_row const& row);
    void release(time_point now, record_header header, bool asynchronous);
    void note_open(time_point now, request_key const& key);
    void note_vm(time_point now, run_id const& run);

    record_header header_for(request_key const& key, std::uint32_t generation);
    void append(time_point now, ledger_record record, request_id request,
                time_point deadline);
    void emit_own(time_point now, own_record& own);
    void emit_again(ledger_record record);

    bool mine(run_id const& run) const;
    std::optional<time_point> gone_since(run_id const& run) const;
    duration share(request_key const& key, duration whole) const;
    time_point start_due(request_key const& key, ledger_row const& row,
                         open_request const& open) const;
    std::int64_t log_now_us(time_point now) const;
    duration untouched(time_point now, ledger_row const* row) const;

    void lose_to_other(request_key const& key);
    void settle_adopted(ledger_record const& record, record_effect effect);
    bool resend_due(time_point now, own_record const& own) const;
    void hand_over_unsettled(time_point now);

    void resend(time_point now);
    void give_up_late(time_point now);
    void record_runs_again(time_point now);
    void record_open_again(time_point now);
    void take_over(time_point now);
    void ask_log_time(time_point now);

    ledger_options options_;
    ledger_sink emit_;
    ledger_table table_;
    bool begun_ = false; // something was applied or restored
    bool reachable_ = true;
    std::optional<time_point> stop_by_;
    time_point applied_at_;                // when the last batch was applied
    std::optional<time_point> asked_time_; // last clock_record
    std::uint64_t next_sequence_ = 1;
    own_table own_;
    // deciding_[k] == s if and only if own_ has an intent, acceptance or start
    // of sequence s for key k.
    std::map<request_key, std::uint64_t> deciding_;
    // Records of leaving VMs. A release stays until it has won, as the start
    // that it gives back may come after it.
    std::map<std::pair<run_id, std::size_t>, own_record> adopted_;
    std::optional<time_point> handed_over_at_;
    std::map<run_id, active_run> runs_;
    std::map<request_key, open_request> open_; // rows in state accepted
    std::map<std::string, vm_entry> vms_;
};

} // namespace amarantharch

#endif
