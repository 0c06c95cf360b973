// What a node is told: events from callers, upstreams, peers and the platform.
#ifndef AMARANTHARCH_CORE_EVENT_HPP
#define AMARANTHARCH_CORE_EVENT_HPP

#include "core/call.hpp"
#include "core/capacity_plan.hpp"
#include "core/duty_log.hpp"
#include "core/log_client.hpp"
#include "core/membership.hpp"
#include "core/peer_message.hpp"
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

// Identifies one try of a request at one upstream, within this VM.
using attempt_id = std::uint64_t;

struct call_received
{
    call request;
};

// The caller closed its connection before the answer ended.
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

// The attempt ended without a whole answer.
struct upstream_failed
{
    attempt_id attempt;
    verdict run; // not_run only if no byte of the request left this VM
    std::string reason;
};

// Time passed; sent every tick_interval.
struct ticked
{
};

// A message from another VM, its sender authenticated by the transport.
struct peer_message_received
{
    peer_message message;
};

// The platform's list of entry VMs; it lags.
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

// A sign, from any source, that an upstream is about to go.
struct upstream_leaving_seen
{
    std::string upstream;
};

// The tables in force have been read or have changed.
struct site_read
{
    std::shared_ptr<site const> tables;
};

// An upstream's entry in the platform's directory.
struct upstream_listed
{
    upstream_spec upstream;
    std::uint64_t incarnation = 0; // grows with each start of its process
    bool leaving = false;
};

// The platform's directory no longer has the upstream.
struct upstream_unlisted
{
    std::string upstream;
};

// The operator orders that a service's traffic be moved to another version.
struct version_ordered
{
    std::string revision; // names this order; never reused
    std::string service;
    std::string version;
    duration within{}; // from now
};

// How the platform's store says that an ordered move has ended.
struct version_move_ended
{
    std::string service;
    std::string version;
    bool done = false; // else taken back
};

// What this VM has read of the platform's streams, for the VMs that it reads
// for.
struct streams_read
{
    reading_report report;
};

// Answers to the commands of the fleet's duties.
struct duty_log_read
{
    duty_batch batch;
};

// Records that were to be read have been deleted.
struct duty_log_gone
{
    duty_offset first_retained = 0;
};

struct duty_log_failed
{
};

struct duty_record_appended
{
    absl::StatusOr<duty_offset> stored;
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

// This VM is to stop by `deadline`: reclaim notice, SIGTERM or drain command.
struct stop_requested
{
    time_point deadline;
};

using event = std::variant<
    call_received, call_abandoned, upstream_head, upstream_piece, upstream_end,
    upstream_failed, ticked, log_result, peer_message_received, members_listed,
    upstream_reported, upstream_leaving_seen, site_read, upstream_listed,
    upstream_unlisted, version_ordered, version_move_ended, streams_read,
    duty_log_read, duty_log_gone, duty_log_failed, duty_record_appended,
    usage_reported, order_answered, stop_requested>;

} // namespace amarantharch

#endif
