// Events that a node handles: from callers, upstreams, peers and the platform.
#ifndef AMARANTHARCH_CORE_EVENT_HPP
#define AMARANTHARCH_CORE_EVENT_HPP

#include "core/call.hpp"
#include "core/capacity_plan.hpp"
#include "core/dialect.hpp"
#include "core/duty_log.hpp"
#include "core/evacuation_table.hpp"
#include "core/log_client.hpp"
#include "core/membership.hpp"
#include "core/peer_message.hpp"
#include "core/relay_fields.hpp"
#include "core/shared_reading.hpp"
#include "core/site.hpp"
#include "core/upstream_table.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace amarantharch
{

// Identifies one attempt to run a request on one upstream; unique within this
// VM.
using attempt_id = std::uint64_t;

struct call_received
{
    call request;
};

// The caller closed its connection before it had the whole answer.
struct call_abandoned
{
    request_id request;
};

struct upstream_head
{
    attempt_id attempt;
    int status;
    header_list headers;
};

struct upstream_piece
{
    attempt_id attempt;
    std::string bytes;
};

struct upstream_end
{
    attempt_id attempt;
};

// The attempt ended without a complete answer.
struct upstream_failed
{
    attempt_id attempt;
    verdict run; // not_run only if no byte of the request was sent
    std::string reason;
    // Of an attempt that another VM runs: whether that VM declined or lost it.
    failure_place place = failure_place::upstream;
};

// Identifies an attempt that this VM runs for another one; unique within this
// VM.
using relay_id = std::uint64_t;

// Another VM has this one run an attempt.
struct relay_requested
{
    relay_id relay = 0;
    std::string ip; // of the other VM
    relay_target target;
    call request; // as it is to be sent
};

// The other VM does not wait for the relayed attempt any more.
struct relay_abandoned
{
    relay_id relay = 0;
};

// Timer event, sent every tick_interval.
struct ticked
{
};

// A message from another VM. The transport has authenticated the sender.
struct peer_message_received
{
    peer_message message;
};

// The platform's list of entry VMs, which may be out of date.
struct members_listed
{
    std::vector<listed_member> members;
};

// An upstream reported its load.
struct upstream_reported
{
    std::string upstream;
    upstream_report report;
};

// What an upstream says about itself, in an answer to a load read.
struct upstream_noticed
{
    std::string upstream;
    upstream_notice notice;
};

// The outcome of a check_upstream command.
struct upstream_checked
{
    std::string upstream;
    bool refused = false;  // the address refuses connections
    bool accepted = false; // neither: no answer in time
};

// Any source reported that an upstream is about to shut down.
struct upstream_leaving_seen
{
    std::string upstream;
};

// The routing tables were loaded or have changed.
struct routing_tables_changed
{
    std::shared_ptr<routing_tables const> tables;
    // What the operator wrote, to be passed on to VMs that lack it; may be
    // empty.
    std::string record = {};
};

// An upstream's entry in the platform's directory.
struct upstream_listed
{
    upstream_spec upstream;
    std::uint64_t incarnation = 0; // increases with each process start
    bool leaving = false;
    duration cold_for{}; // how much longer it stays cold; 0: it is not
};

// The upstream was removed from the platform's directory.
struct upstream_unlisted
{
    std::string upstream;
};

// The operator ordered that a service's traffic move to another version.
struct version_ordered
{
    std::string revision; // identifies the order; never reused
    std::string service;
    std::string version;
    duration within{}; // from now
};

// The platform's store reports the end of an ordered move.
struct version_move_ended
{
    std::string service;
    std::string version;
    bool done = false; // false: rolled back
};

// The operator evacuated a failure domain or restored it: nothing more is to be
// sent to its upstreams until it is restored.
struct domain_evacuated
{
    domain_evacuation state;
};

// This VM has read all of the operator's records before this position.
struct operator_records_read
{
    operator_position up_to;
};

// This VM read the platform's streams on behalf of other VMs.
struct streams_read
{
    reading_report report;
};

// The events down to order_answered are results of commands that fleet_duties
// issued.
struct duty_log_read
{
    duty_batch batch;
};

// Retention has deleted records that had not been read yet.
struct duty_log_gone
{
    duty_offset first_retained = 0;
    std::uint64_t era = 0; // of the log
};

struct duty_log_failed
{
};

struct duty_record_appended
{
    absl::StatusOr<duty_offset> stored;
    std::uint64_t era = 0; // of the log
};

struct usage_reported
{
    window_number window = 0;
    absl::Status status;
};

struct order_answered
{
    upstream_order order;
    absl::Status status;
    bool refused_for_fence = false;
};

// This VM must stop by `deadline`, because of a spot reclaim notice, SIGTERM or
// a drain command.
struct stop_requested
{
    time_point deadline;
};

using event = std::variant<
    call_received, call_abandoned, upstream_head, upstream_piece, upstream_end,
    upstream_failed, relay_requested, relay_abandoned, ticked, log_result,
    peer_message_received, members_listed, upstream_reported, upstream_noticed,
    upstream_checked, upstream_leaving_seen, routing_tables_changed,
    upstream_listed, upstream_unlisted, version_ordered, version_move_ended,
    domain_evacuated, operator_records_read, streams_read, duty_log_read,
    duty_log_gone, duty_log_failed, duty_record_appended, usage_reported,
    order_answered, stop_requested>;

} // namespace amarantharch

#endif
