// The platform's append-only log as the core sees it.
//
// A stream is a sequence of records at increasing positions. An append may
// take effect although its answer is lost, so each record carries an id, by
// which its writer finds out on reading whether it was stored. Readers apply
// records in position order and ignore all but the first record with a given
// id, so an append may be repeated safely.
#ifndef AMARANTHARCH_CORE_LOG_HPP
#define AMARANTHARCH_CORE_LOG_HPP

#include "core/name_table.hpp"
#include "core/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace amarantharch
{

using log_offset = std::uint64_t;

enum class log_stream : std::uint8_t
{
    configuration, // revisions, written by operators and recorded again by VMs
    requests,      // ledger records: claims to run requests, and outcomes
    control,       // roles, stages of moves, orders to engines and cloud
};

inline constexpr name_table<log_stream, 3> log_stream_names{{
    {log_stream::configuration, "configuration"},
    {log_stream::requests, "requests"},
    {log_stream::control, "control"},
}};

// Chosen by the writer; unique across processes and restarts.
struct record_id
{
    std::string writer;        // vm id
    std::uint64_t incarnation; // grows with each start of that vm
    std::uint64_t sequence;    // grows with each record
    auto operator<=>(record_id const&) const = default;
};

// One append may carry several records, which `index` orders.
struct log_position
{
    log_offset offset = 0;
    std::uint32_t index = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on its rewritten uses
    auto operator<=>(log_position const&) const = default;
};

struct log_record
{
    log_position position;
    record_id id;
    std::string payload;
    time_point time{}; // when the log stored it, by the log's clock
    // There may be an earlier copy before the offset where this reader began.
    bool possible_duplicate = false;
};

// What one read returned.
struct log_batch
{
    log_stream stream = log_stream::configuration;
    log_offset first_retained = 0; // older offsets are deleted
    log_offset next = 0;           // where the next read starts
    log_offset end = 0;            // one past the newest offset
    std::vector<log_record> records;
};

// Records read from a stream, in order and without a gap unless
// `first_retained` is beyond the reader's last position.
struct log_read
{
    log_batch batch;
};

// The platform's log became reachable or unreachable.
struct log_reachability
{
    bool reachable;
};

} // namespace amarantharch

#endif
