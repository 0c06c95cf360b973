// The message by which VMs share their state of requests and upstreams, with
// its encoding.
//
// Its contents only inform, and they merge: counters by maximum, crash marks
// and leaving upstreams by union. Messages may therefore be lost, delayed,
// repeated or reordered.
#ifndef AMARANTHARCH_CORE_PEER_UPDATE_HPP
#define AMARANTHARCH_CORE_PEER_UPDATE_HPP

#include "core/admission.hpp"
#include "core/configuration_relay.hpp"
#include "core/evacuation_table.hpp"
#include "core/load_sharing.hpp"
#include "core/prompt_part_quarantine.hpp"
#include "core/quarantine.hpp"
#include "core/service_demand.hpp"
#include "core/shared_quota.hpp"
#include "core/shared_reading.hpp"
#include "core/upstream_table.hpp"
#include "core/usage_windows.hpp"
#include "core/version_move.hpp"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// One VM's usage of one service.
struct service_usage
{
    std::string service;
    usage_summary usage;
    MSGPACK_DEFINE(service, usage)
};

// An upstream that is shutting down.
struct leaving_upstream
{
    std::string upstream;
    std::uint64_t incarnation = 0; // a later one is not meant
    MSGPACK_DEFINE(upstream, incarnation)
};

// A brittle upstream has turned a request away.
struct upstream_refusal
{
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::int64_t age_us = 0;
    std::int64_t hold_us = 0;        // how long a request holds a slot there
    std::uint32_t refusal_limit = 0; // the refusals a second that it survives
    MSGPACK_DEFINE(upstream, incarnation, age_us, hold_us, refusal_limit)
};

// Payload of peer_message_kind::request.
struct peer_update
{
    std::vector<service_usage> usage;
    quarantine_delta quarantined;
    // Names of upstreams, of any incarnation; sent by VMs of earlier versions.
    std::vector<std::string> leaving;
    std::vector<std::string> handed_over;      // ledger records to append
    std::vector<move_evidence> evidence;       // of version moves
    std::vector<quota_report> quota_reports;   // of quotas; one row at most
    std::vector<window_counts> request_counts; // requests started, by window
    std::vector<std::string> move_states;      // states of version moves
    std::vector<demand_report> demand;         // of services; one row at most
    std::vector<reading_report>
        reading_reports;              // of platform streams; one row at most
    bool holds_duties = false;        // the sender holds the fleet's duties
    std::vector<upstream_load> loads; // of engines
    std::vector<leaving_upstream> leaving_upstreams;
    // From a VM of a large fleet to the relays of `cell`: its usage of quotas,
    // and the loads that answers gave since its last message. One row at most.
    std::vector<quota_report> relayed_quotas;
    std::string cell;
    std::vector<quota_sum> quota_sums; // from a relay
    std::string duty_holder;           // from a relay: who claims the duties
    // Of the operator's configuration: the version in force at the sender,
    // whether it asks for the receiver's, and parts of its own.
    std::uint64_t configuration_version = 0;
    bool wants_configuration = false;
    std::vector<configuration_piece> configuration_pieces;
    prompt_part_delta quarantined_parts;
    std::vector<upstream_limit> limits;
    bool partitioned = false; // the sender from its upstreams
    std::vector<upstream_refusal> refusals;
    std::vector<domain_evacuation> evacuations; // and restorations
    MSGPACK_DEFINE(usage, quarantined, leaving, handed_over, evidence,
                   quota_reports, request_counts, move_states, demand,
                   reading_reports, holds_duties, loads, leaving_upstreams,
                   relayed_quotas, cell, quota_sums, duty_holder,
                   configuration_version, wants_configuration,
                   configuration_pieces, quarantined_parts, limits, partitioned,
                   refusals, evacuations)
};

std::string encode(peer_update const& update);

// InvalidArgument if `bytes` do not decode as a peer_update.
absl::StatusOr<peer_update> decode_peer_update(std::string_view bytes);

} // namespace amarantharch

#endif
