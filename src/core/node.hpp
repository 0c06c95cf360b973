// The decisions of one VM, as a machine of typed events and commands.
//
// A node is told what happened (an event) and the present time, and answers
// with what is to be done (commands, in order). It has no sockets, clock,
// threads or randomness of its own, so that a whole session can be replayed
// from a text file and many nodes can be stepped in one process.
//
//     node subject(options, [&](command const& c) { carry_out(c); });
//     subject.handle(now, call_received{request});
//     subject.handle(now, ticked{}); // every tick_interval
//
// It joins two parts: request_path (callers' requests) and control_plane (what
// the VMs share). The control plane informs the path; the path never waits for
// it except where the log decides whether a request may run.
#ifndef AMARANTHARCH_CORE_NODE_HPP
#define AMARANTHARCH_CORE_NODE_HPP

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

// How often `ticked` is due.
inline constexpr duration tick_interval = std::chrono::milliseconds(10);

struct node_options
{
    request_path_options requests;
    control_plane_options control;
    fleet_duties_options duties;
    // Between messages to peers about usage.
    duration usage_interval = std::chrono::seconds(1);
    // In force until a configuration revision is known.
    site settings_site;
};

struct node_readiness
{
    bool ready = false;
    std::string reason; // why not; a stable word
};

class node
{
public:
    node(node_options options, command_sink const& emit);

    // Takes one event; emits the commands that follow from it.
    void handle(time_point now, event const& what);

    // Whether callers should be sent here.
    node_readiness readiness() const;

    request_path const& requests() const
    {
        return requests_;
    }
    // To publish configuration changes, and to be read.
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
    void on(time_point now, ticked const& what);
    void on(time_point now, log_result const& what);
    void on(time_point now, peer_message_received const& what);
    void on(time_point now, members_listed const& what);
    void on(time_point now, upstream_reported const& what);
    void on(time_point now, upstream_leaving_seen const& what);
    void on(time_point now, streams_read const& what);
    void on(time_point now, site_read const& what);
    void on(time_point now, version_ordered const& what)
    {
        ordered_.handle(now, what, requests_.moves());
    }
    void on(time_point now, version_move_ended const& what)
    {
        ordered_.handle(now, what, requests_.moves());
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
    time_point present_; // of the event in hand
    control_plane control_;
    request_path requests_;
    peer_exchange exchange_;
    fleet_duties duties_;
    ordered_moves ordered_;
};

} // namespace amarantharch

#endif
