// Commands that a node emits: to callers, upstreams, peers and the platform.
#ifndef AMARANTHARCH_CORE_COMMAND_HPP
#define AMARANTHARCH_CORE_COMMAND_HPP

#include "core/event.hpp"
#include "core/log_client.hpp"
#include "core/version_move.hpp"

#include <functional>
#include <string>
#include <variant>

namespace amarantharch
{

struct start_attempt
{
    attempt_id attempt;
    std::string upstream;
    std::string address; // ip:port
    call request;
    // The VM that is to run the attempt; empty: this one.
    std::string relay = {};
    std::uint64_t incarnation = 0; // of the upstream; for the relay
};

struct cancel_attempt
{
    attempt_id attempt;
};

struct answer_head
{
    request_id request;
    int status;
    header_list headers;
};

struct answer_piece
{
    request_id request;
    std::string bytes;
};

struct answer_end
{
    request_id request;
};

struct answer_refusal
{
    request_id request;
    refusal why;
};

// The answer to an attempt that this VM runs for another one.
struct relay_answer_head
{
    relay_id relay = 0;
    int status = 0;
    header_list headers;
};

struct relay_answer_piece
{
    relay_id relay = 0;
    std::string bytes;
};

struct relay_answer_end
{
    relay_id relay = 0;
};

// There is no answer, or no whole one.
struct relay_answer_failed
{
    relay_id relay = 0;
    relay_failure why;
    bool answer_begun = false;
};

struct send_to_peer
{
    peer_message message;
};

// Scales upstreams. The platform rejects an order whose fencing token is
// stale.
struct order_upstreams
{
    upstream_order order;
    fence_number fence = 0;
};

// Reports the state of a service's move to a new version to the operator.
struct report_version_move
{
    std::string service;
    std::string version;
    move_state state = move_state::running;
};

// Starts or stops reading the platform's streams on behalf of other VMs.
struct read_for_others
{
    bool reads = false;
};

// Queries an engine's load. An upstream_reported event follows, unless the
// query fails.
struct read_upstream_load
{
    std::string upstream;
    std::string address; // ip:port
};

// Makes a connection to an upstream, to learn whether its address refuses it.
// An upstream_checked event follows.
struct check_upstream
{
    std::string upstream;
    std::string address; // ip:port
};

// Applies what a peer read from the platform's streams on behalf of this VM.
struct take_reading
{
    reading_report report;
};

// Puts a configuration in force that a peer has passed on: the operator's
// record as it was read from the platform.
struct take_configuration
{
    std::string record;
};

// One entry of the timeline of events.
struct record_timeline
{
    std::string kind;    // stable name, such as "attempt_started"
    request_id request;  // empty if it concerns no request
    std::string details; // "key=value" pairs separated by spaces
};

using command = std::variant<
    start_attempt, cancel_attempt, answer_head, answer_piece, answer_end,
    answer_refusal, relay_answer_head, relay_answer_piece, relay_answer_end,
    relay_answer_failed, send_append, send_read, send_to_peer, read_duty_log,
    append_duty_record, report_usage, order_upstreams, report_version_move,
    read_for_others, take_reading, read_upstream_load, check_upstream,
    take_configuration, record_timeline>;

using command_sink = std::function<void(command)>;

} // namespace amarantharch

#endif
