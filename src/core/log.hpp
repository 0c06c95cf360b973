// The platform's append-only log as the decisions see it.
//
// A stream is a sequence of records at increasing positions. An append may
// take effect although its answer is lost, so a record carries an id of its
// own and its writer learns its fate by reading. Readers apply records in
// position order and count only the first record of each id, so an append may
// be repeated safely.
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
    configuration, // revisions, written by operators and re-recorded by VMs
    requests,      // slot epochs, intents and outcomes of requests
    control,       // roles, stages of moves, orders to engines and cloud
};

inline constexpr name_table<log_stream, 3> log_stream_names{{
    {log_stream::configuration, "configuration"},
    {log_stream::requests, "requests"},
    {log_stream::control, "control"},
}};

// Chosen by the writer; unique over all processes and restarts.
struct record_id
{
    std::string writer;        // vm id
    std::uint64_t incarnation; // grows with each start of that vm
    std::uint64_t sequence;    // grows with each record
    auto operator<=>(record_id const&) const = default;
};

// One append may carry several records: `index` orders them.
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
    time_point time{}; // when the log took it, by the log's clock
    // An earlier copy may lie before the offset where this reader began.
    bool maybe_repeated = false;
};

// What one read returned.
struct log_batch
{
    log_stream stream = log_stream::configuration;
    log_offset first_retained = 0; // older offsets are gone
    log_offset next = 0;           // where the next read starts
    log_offset end = 0;            // one past the newest offset
    std::vector<log_record> records;
};

// Records read from a stream, in order and without a gap unless
// `first_retained` lies beyond the reader's last position.
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
