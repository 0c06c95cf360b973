// What VMs tell each other about requests and upstreams, and its encoding.
//
// All of it informs and merges: counters by maximum, marks and leaving
// upstreams by union. A message may be lost, late, repeated or reordered.
#ifndef AMARANTHARCH_CORE_PEER_UPDATE_HPP
#define AMARANTHARCH_CORE_PEER_UPDATE_HPP

#include "core/admission.hpp"
#include "core/load_sharing.hpp"
#include "core/quarantine.hpp"
#include "core/service_demand.hpp"
#include "core/shared_quota.hpp"
#include "core/shared_reading.hpp"
#include "core/usage_windows.hpp"
#include "core/version_move.hpp"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// One VM's use of one service.
struct service_usage
{
    std::string service;
    usage_summary usage;
    MSGPACK_DEFINE(service, usage)
};

// Payload of peer_message_kind::request.
struct peer_update
{
    std::vector<service_usage> usage;
    quarantine_delta quarantined;
    std::vector<std::string> leaving;     // names of upstreams
    std::vector<std::string> handed_over; // ledger records to be appended
    std::vector<move_evidence> evidence;  // of version moves
    std::vector<quota_report> spent;      // of quotas; one row at most
    std::vector<window_counts> began;     // requests, by windows
    std::vector<std::string> moves;       // where version moves stand
    std::vector<demand_report> demand;    // of services; one row at most
    std::vector<reading_report> reading;  // of streams; one row at most
    bool holds_duties = false;            // the sender has the fleet's duties
    std::vector<upstream_load> loads;     // of engines
    MSGPACK_DEFINE(usage, quarantined, leaving, handed_over, evidence, spent,
                   began, moves, demand, reading, holds_duties, loads)
};

std::string encode(peer_update const& update);

// InvalidArgument for anything that encode() did not make.
absl::StatusOr<peer_update> decode_peer_update(std::string_view bytes);

} // namespace amarantharch

#endif
