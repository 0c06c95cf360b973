// One VM's process: joins the node's decisions to sockets, timers and files.
//
// Events from the sockets are handed to the node with the present time; each
// command that the node emits is carried out at once, in order. Everything
// runs on Qt's event loop in one thread. The node's handlers are never called
// from inside a command, since the classes of `net` report from the event
// loop only.
#ifndef AMARANTHARCH_APP_SERVER_HPP
#define AMARANTHARCH_APP_SERVER_HPP

#include "app/admin_server.hpp"
#include "app/metrics.hpp"
#include "app/port_bindings.hpp"
#include "app/settings.hpp"
#include "app/tick_timer.hpp"
#include "app/timeline.hpp"
#include "core/node.hpp"
#include "net/connection_check.hpp"
#include "net/datagram_transport.hpp"
#include "net/engine_client.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/log_transport.hpp"
#include "net/peer_transport.hpp"
#include "net/platform_client.hpp"
#include "platform/platform_link.hpp"

#include <QTimer>

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace amarantharch
{

class server
{
public:
    // `done` is called once, when a drain has ended.
    server(settings options, std::function<void()> done);
    ~server();

    // Binds every address and starts the timers. On the platform a port that
    // is held by somebody else is tried again until it is bound or the VM
    // drains, and the VM is not ready meanwhile; elsewhere it is a failure.
    absl::Status start();

    // Starts a graceful shutdown: not ready at once, takes no new connection
    // after a grace, ends what is in progress. Calls `done` when nothing is
    // left or `timeout` has passed.
    void drain(duration timeout);

    std::uint16_t port() const
    {
        return callers_.port();
    }
    std::uint16_t admin_port() const
    {
        return admin_.port();
    }

private:
    struct caller_row
    {
        exchange_id exchange = 0;
        attempt_id attempt = 0; // current; 0 if none
        time_point received;
        bool head_sent = false;
        int status = 0;
    };

    // Callers.
    void receive(exchange_id exchange, call request);
    void abandon(exchange_id exchange);
    void set_paused(exchange_id exchange, bool paused);

    // Attempts that other VMs have this one run, and those that they run for
    // this one.
    void receive_relayed(exchange_id exchange, call request);
    void abandon_relayed(exchange_id exchange);
    void set_relayed_paused(exchange_id exchange, bool paused);
    void take_attempt_head(attempt_id attempt, int status, header_list headers);
    void take_attempt_failure(attempt_id attempt, verdict run,
                              std::string reason);

    // The node.
    void tell(event const& what);
    void set_pace();
    void carry_out(start_attempt const& what);
    void carry_out(cancel_attempt const& what);
    void carry_out(answer_head const& what);
    void carry_out(answer_piece const& what);
    void carry_out(answer_end const& what);
    void carry_out(answer_refusal const& what);
    void carry_out(relay_answer_head const& what);
    void carry_out(relay_answer_piece const& what);
    void carry_out(relay_answer_end const& what);
    void carry_out(relay_answer_failed const& what);
    void carry_out(send_append const& what);
    void carry_out(send_read const& what);
    void carry_out(send_to_peer const& what);
    void carry_out(read_duty_log const& what);
    void carry_out(append_duty_record const& what);
    void carry_out(report_usage const& what);
    void carry_out(order_upstreams const& what);
    void carry_out(read_for_others const& what);
    void carry_out(read_upstream_load const& what);
    void carry_out(take_reading const& what);
    void carry_out(take_configuration const& what);
    void carry_out(check_upstream const& what);
    void carry_out(report_version_move const& what);
    void carry_out(record_timeline const& what);
    caller_row take_caller(request_id const& request);

    // The platform.
    void tick();
    void poll_platform();
    void poll_upstreams();
    void take_vm_list(std::vector<listed_vm> const& vms);
    void stop_listening_if_due(time_point now);
    void end_if_drained();

    void add_ports();
    void add_platform_ports();
    absl::Status start_peers();
    void bind_again();
    void start_timers();
    void log_listening() const;
    readiness current_readiness() const;
    admin_callbacks admin_handlers();
    platform::link_handlers link_handlers();
    duration listening_time(duration grace) const;
    std::string status() const;
    std::string moves_as_json() const;

    settings options_;
    std::function<void()> done_;
    std::uint64_t incarnation_;
    node node_;
    http_server callers_;
    http_server relays_; // attempts of other VMs; listens on the platform only
    http_client upstreams_;
    connection_check checks_;
    admin_server admin_;
    port_bindings ports_;
    QTimer bind_timer_; // runs while ports are tried again
    metrics metrics_;
    timeline timeline_;
    std::unique_ptr<log_transport> log_;            // null: no log configured
    std::unique_ptr<peer_transport> peers_;         // null: no certificates
    std::unique_ptr<datagram_transport> datagrams_; // null: not on the platform
    std::unique_ptr<platform_client> platform_;     // null: none configured
    // Null unless the VM runs on the users' platform.
    std::unique_ptr<platform::platform_link> link_;
    engine_client engines_;
    tick_timer tick_timer_;
    QTimer platform_timer_;
    std::size_t next_polled_upstream_ = 0;
    std::optional<time_point> drain_until_;  // set once draining
    std::optional<time_point> listen_until_; // while draining and listening
    std::uint64_t next_request_ = 1;
    // callers_waiting_[r].exchange == e if and only if requests_[e] == r.
    std::map<request_id, caller_row> callers_waiting_;
    std::map<exchange_id, request_id> requests_;
    // The attempts of this VM that another one runs.
    std::set<attempt_id> at_relays_;
    std::map<std::string, std::string> peer_addresses_; // given to peers_
};

} // namespace amarantharch

#endif
