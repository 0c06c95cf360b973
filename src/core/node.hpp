// The logic of one VM as a deterministic state machine.
//
// A node handles an event together with the current time and emits commands, in
// order. It does no I/O and has no clock, threads or randomness of its own, so
// a whole session can be replayed from a text file and many nodes can run in
// one process.
//
//     node subject(options, [&](command const& c) { carry_out(c); });
//     subject.handle(now, call_received{request});
//     subject.handle(now, ticked{}); // every tick_interval
//
// It connects request_path (callers' requests) with control_plane (state shared
// by the VMs). The request path never waits for the control plane, except where
// the log decides whether a request may run.
#ifndef AMARANTHARCH_CORE_NODE_HPP
#define AMARANTHARCH_CORE_NODE_HPP

#include "core/attempt_relay.hpp"
#include "core/command.hpp"
#include "core/control_plane.hpp"
#include "core/event.hpp"
#include "core/fleet_duties.hpp"
#include "core/ordered_moves.hpp"
#include "core/peer_exchange.hpp"
#include "core/request_path.hpp"
#include "core/site.hpp"
#include "core/time.hpp"

#include <memory>
#include <string>

namespace amarantharch
{

// Interval of the `ticked` event.
inline constexpr duration tick_interval = std::chrono::milliseconds(10);

struct node_options
{
    request_path_options requests;
    control_plane_options control;
    fleet_duties_options duties;
    // Time between usage messages to peers.
    duration usage_interval = std::chrono::seconds(1);
    // Whether VMs run attempts for those that cannot reach the upstreams.
    bool relays_attempts = false;
    // Used until a configuration revision is loaded.
    routing_tables settings_tables;
};

struct node_readiness
{
    bool ready = false;
    std::string reason; // stable code, if not ready
};

class node
{
public:
    node(node_options options, command_sink const& emit);

    // Handles one event and emits the resulting commands.
    void handle(time_point now, event const& what);

    // Whether a load balancer should send callers to this VM.
    node_readiness readiness() const;

    request_path const& requests() const
    {
        return requests_;
    }
    attempt_relay const& relayed() const
    {
        return relayed_;
    }
    // Non-const for publishing configuration changes.
    control_plane& control()
    {
        return control_;
    }
    control_plane const& control() const
    {
        return control_;
    }

private:
    template <typename Event>
    void on(time_point now, Event const& what)
    {
        requests_.handle(now, what);
    }
    template <typename Event>
    void on_attempt(time_point now, Event const& what)
    {
        relayed_.owns(what.attempt) ? relayed_.handle(now, what, requests_)
                                    : requests_.handle(now, what);
    }
    void on(time_point now, upstream_head const& what)
    {
        on_attempt(now, what);
    }
    void on(time_point now, upstream_piece const& what)
    {
        on_attempt(now, what);
    }
    void on(time_point now, upstream_end const& what)
    {
        on_attempt(now, what);
    }
    void on(time_point now, upstream_failed const& what)
    {
        on_attempt(now, what);
    }
    void on(time_point now, relay_requested const& what)
    {
        relayed_.handle(now, what, requests_, control_.members());
    }
    void on(time_point, relay_abandoned const& what)
    {
        relayed_.handle(what);
    }
    void on(time_point now, ticked const& what);
    void on(time_point now, log_result const& what);
    void on(time_point now, peer_message_received const& what);
    void on(time_point now, members_listed const& what);
    void on(time_point now, upstream_reported const& what);
    void on(time_point now, upstream_leaving_seen const& what);
    void on(time_point now, streams_read const& what);
    void on(time_point now, routing_tables_changed const& what);
    void on(time_point now, version_ordered const& what)
    {
        ordered_moves_.handle(now, what, requests_.moves());
    }
    void on(time_point now, version_move_ended const& what)
    {
        ordered_moves_.handle(now, what, requests_.moves());
    }
    void on(time_point now, duty_log_read const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, duty_log_gone const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, duty_log_failed const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, duty_record_appended const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, usage_reported const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, order_answered const& what)
    {
        duties_.handle(now, what);
    }
    void on(time_point now, stop_requested const& what);

    control_plane_handlers control_handlers();
    void append_request_record(std::string payload);

    node_options options_;
    time_point event_time_; // of the event being handled
    control_plane control_;
    request_path requests_;
    attempt_relay relayed_;
    peer_exchange exchange_;
    fleet_duties duties_;
    ordered_moves ordered_moves_;
};

} // namespace amarantharch

#endif
