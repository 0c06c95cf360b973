#include "core/node.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// Attempts of other VMs may hold half as much as this VM's own requests.
attempt_relay_options relay_options(request_path_options const& own)
{
    attempt_relay_options options;
    options.max_body_bytes = own.max_request_bytes / 2;
    return options;
}

} // namespace

node::node(node_options options, command_sink const& emit)
    : options_(std::move(options)),
      control_(options_.control, emit, control_handlers()),
      requests_(options_.requests, emit,
                [this](std::string payload)
                { append_request_record(std::move(payload)); }),
      relayed_(relay_options(options_.requests), emit),
      exchange_({options_.control.vm, options_.control.failure_domain,
                 options_.control.incarnation, options_.usage_interval,
                 !options_.control.uses_log, options_.duties.enabled},
                emit),
      duties_(options_.duties, emit), ordered_moves_(emit)
{
    requests_.set_routing_tables(time_point(), std::make_shared<routing_tables>(
                                                   options_.settings_tables));
    requests_.requests_ledger().set_reachable({}, options_.control.uses_log);
    if (options_.relays_attempts)
    {
        requests_.set_members(control_.members());
    }
}

control_plane_handlers node::control_handlers()
{
    control_plane_handlers handlers;
    handlers.requests_read = [this](time_point now, log_batch const& batch)
    {
        requests_.apply(now, batch);
    };
    handlers.control_read = [this](time_point now, log_batch const& batch)
    {
        requests_.moves().apply(now, batch);
    };
    handlers.log_reachable = [this](time_point now, bool reachable)
    {
        requests_.set_log_reachable(now, reachable);
    };
    handlers.configured = [this](time_point now, configuration const& tables)
    {
        requests_.set_routing_tables(
            now, std::make_shared<routing_tables>(routing_tables_of(tables)));
        requests_.moves().configure(now, tables);
    };
    handlers.member_changed = [this](time_point now, member_change const& what)
    {
        if (what.after == member_state::gone)
        {
            requests_.vm_gone(now, what.vm);
        }
    };
    return handlers;
}

// A record that does not fit into the queue is dropped; the ledger appends it
// again later.
void node::append_request_record(std::string payload)
{
    control_.append(event_time_, log_stream::requests, std::move(payload))
        .IgnoreError();
}

void node::handle(time_point now, event const& what)
{
    event_time_ = now;
    std::visit([&](auto const& e) { on(now, e); }, what);
}

void node::on(time_point now, ticked const&)
{
    control_.tick(now);
    requests_.tick(now);
    relayed_.tick(now, requests_);
    exchange_.set_holds_duties(duties_.holds());
    exchange_.set_partitioned(requests_.reach().partitioned());
    exchange_.tick(now, control_.members(), requests_);
    membership const& members = control_.members();
    duties_.tick(now, members.is_selected_for(duty_purpose, duty_watchers),
                 requests_);
    bool const is_mover = members.is_selected_for(duty_purpose, 1);
    for (std::string& record : requests_.moves().tick(now, is_mover))
    {
        // Without a log, peer_exchange sends the state of moves to peers.
        if (!options_.control.uses_log)
        {
            requests_.moves().apply(now, std::vector<std::string>{record});
            continue;
        }
        // A record that does not fit into the queue is returned again later.
        control_.append(now, log_stream::control, std::move(record))
            .IgnoreError();
    }
    ordered_moves_.tick(now, is_mover, requests_.moves());
}

void node::on(time_point now, log_result const& what)
{
    control_.handle(now, what);
}

void node::on(time_point now, peer_message_received const& what)
{
    if (what.message.kind == peer_message_kind::request)
    {
        exchange_.receive(now, what.message, requests_);
        return;
    }
    control_.handle(now, what.message);
}

void node::on(time_point now, members_listed const& what)
{
    control_.apply_vm_list(now, what.members);
    auto const before =
        std::ranges::count_if(what.members, [this](listed_member const& each)
                              { return each.vm < options_.control.vm; });
    requests_.set_fleet_position(
        now, {static_cast<std::size_t>(before), what.members.size() + 1});
}

void node::on(time_point, upstream_reported const& what)
{
    requests_.upstream_reported(what.upstream, what.report);
    exchange_.add_load_report(what.upstream, what.report);
}

void node::on(time_point, upstream_leaving_seen const& what)
{
    requests_.upstream_leaving(what.upstream);
}

void node::on(time_point, streams_read const& what)
{
    exchange_.send_readings(what, control_.members());
}

void node::on(time_point now, routing_tables_changed const& what)
{
    requests_.set_routing_tables(now, what.tables);
    exchange_.set_configuration(what.tables->version, what.record);
}

void node::on(time_point now, stop_requested const& what)
{
    control_.leave();
    requests_.handle(now, what);
}

node_readiness node::readiness() const
{
    if (requests_.stopping())
    {
        return {false, "draining"};
    }
    if (!requests_.tables().known)
    {
        return {false, "no_configuration"};
    }
    configuration_readiness const configured = control_.readiness();
    return {configured.ready, configured.reason};
}

} // namespace amarantharch
