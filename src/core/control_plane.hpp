// Connects the three sources of fleet-wide state on one VM: the log client, the
// configuration store and the membership.
//
// The log client turns log streams into batches. Batches of the configuration
// stream determine the revision in force; batches of the requests stream go to
// the ledger. Membership gossips the newest known revision, so that a VM reads
// the configuration stream when a peer has seen a newer one instead of polling,
// and it carries the soft state. A starting VM requests a snapshot from a peer;
// it is ready once the configuration store is sure of the revision in force.
//
// Cost: each tick is O(1) apart from what is due; see docs/CAPACITY.md.
#ifndef AMARANTHARCH_CORE_CONTROL_PLANE_HPP
#define AMARANTHARCH_CORE_CONTROL_PLANE_HPP

#include "core/command.hpp"
#include "core/configuration_publish.hpp"
#include "core/configuration_store.hpp"
#include "core/log_client.hpp"
#include "core/membership.hpp"
#include "core/snapshot.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amarantharch
{

struct control_plane_options
{
    std::string vm;
    std::string address; // ip:port of this VM's peer listener
    std::string failure_domain;
    std::uint32_t millicores = 0;  // of this VM; 0: not known
    std::uint64_t incarnation = 1; // microseconds since the epoch at the start
    std::uint64_t seed = 1;
    bool uses_log = true; // false: a single VM, configured by its settings
    verify_signature verify = nullptr;
    duration log_retention = std::chrono::hours(24);
    double log_appends_per_second = 300; // by all VMs together
};

// Callbacks into the rest of the node.
struct control_plane_handlers
{
    std::function<void(time_point, log_batch const&)> requests_read;
    std::function<void(time_point, log_batch const&)> control_read;
    std::function<void(time_point, bool)> log_reachable;
    std::function<void(time_point, configuration const&)> configured;
    std::function<void(time_point, member_change const&)> member_changed;
};

class control_plane
{
public:
    control_plane(control_plane_options options, command_sink emit,
                  control_plane_handlers handlers);

    void handle(time_point now, log_result const& result);
    // Handles messages of kinds membership and snapshot.
    void handle(time_point now, peer_message const& message);
    void tick(time_point now);

    // Adds the VMs in the platform's list, which may be out of date.
    void apply_vm_list(time_point now, std::vector<listed_member> const& vms);

    // Queues a record for the log; fails when the queue is full.
    absl::Status append(time_point now, log_stream stream, std::string payload);

    // Announces to the other VMs that this VM is leaving.
    void leave()
    {
        membership_.leave();
    }

    // Checks `change` and, if it is valid, appends it to the log. The report is
    // kept under the change's publish_id.
    publish_report publish(time_point now, configuration_change change);
    std::optional<publish_report>
    publish_status(std::string const& publish_id) const;

    // Whether this VM may serve; if not, the reason.
    configuration_readiness readiness() const;

    configuration_store const& configurations() const
    {
        return store_;
    }
    membership& members()
    {
        return membership_;
    }
    membership const& members() const
    {
        return membership_;
    }
    log_client const& log() const
    {
        return log_;
    }

private:
    void handle_log_output(time_point now, log_client_output const& output);
    void apply_batch(time_point now, log_batch const& batch);
    void announce_revision(time_point now);
    void handle_snapshot_message(time_point now, peer_message const& message);
    void request_snapshot(time_point now);
    void follow_newest_revision(time_point now);
    void send_snapshot(std::string const& vm, std::uint64_t transfer);

    control_plane_options options_;
    command_sink emit_;
    control_plane_handlers handlers_;
    log_client log_;
    configuration_store store_;
    membership membership_;
    revision announced_; // the revision given to handlers_.configured
    std::map<std::string, configuration_publish> publishes_;
    std::optional<snapshot_assembler> incoming_snapshot_;
    std::uint64_t next_transfer_ = 1;
    std::size_t next_snapshot_peer_ = 0;
    time_point snapshot_request_due_{};
};

} // namespace amarantharch

#endif
