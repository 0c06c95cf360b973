#include "core/node.hpp"

#include <utility>

namespace amarantharch
{

node::node(node_options options, command_sink emit)
    : options_(std::move(options)),
      requests_(options_.requests, emit, [](std::string const&) {})
{
    requests_.set_site(std::make_shared<site>(options_.settings_site));
    requests_.requests_ledger().set_reachable({}, options_.uses_log);
}

void node::handle(time_point now, event const& what)
{
    present_ = now;
    std::visit([&](auto const& e) { on(now, e); }, what);
}

void node::on(time_point now, ticked const&)
{
    requests_.tick(now);
}

void node::on(time_point, log_result const&) {}

void node::on(time_point, peer_message_received const&) {}

void node::on(time_point, members_listed const&) {}

void node::on(time_point, upstream_reported const& what)
{
    requests_.upstream_reported(what.upstream, what.report);
}

void node::on(time_point, upstream_leaving_seen const& what)
{
    requests_.upstream_leaving(what.upstream);
}

void node::on(time_point now, stop_requested const& what)
{
    requests_.handle(now, what);
}

node_readiness node::readiness() const
{
    if (requests_.stopping())
    {
        return {false, "draining"};
    }
    return {true, ""};
}

} // namespace amarantharch
