#include "core/node.hpp"

#include <utility>

namespace amarantharch
{

namespace
{

constexpr duration no_upstream_retry_after = std::chrono::seconds(1);

} // namespace

node::node(node_options options) : options_(std::move(options)) {}

void node::handle(time_point now, event const& what, command_sink const& emit)
{
    std::visit([&](auto const& e) { on(now, e, emit); }, what);
}

void node::on(time_point, call_received const& what, command_sink const& emit)
{
    if (options_.upstreams.empty())
    {
        emit(answer_refusal{
            what.request.id,
            {503, verdict::not_run, "no_upstream", no_upstream_retry_after}});
        return;
    }
    upstream_entry const& chosen =
        options_.upstreams[next_upstream_++ % options_.upstreams.size()];
    attempt_id const attempt = next_attempt_++;
    requests_[what.request.id] = request_row{attempt};
    attempts_[attempt] = what.request.id;
    emit(start_attempt{attempt, chosen.name, chosen.address, what.request});
}

void node::on(time_point, call_abandoned const& what, command_sink const& emit)
{
    auto const row = requests_.find(what.request);
    if (row == requests_.end())
    {
        return;
    }
    emit(cancel_attempt{row->second.attempt});
    attempts_.erase(row->second.attempt);
    requests_.erase(row);
}

void node::on(time_point, upstream_head const& what, command_sink const& emit)
{
    auto const found = attempts_.find(what.attempt);
    if (found == attempts_.end())
    {
        return;
    }
    requests_[found->second].answer_started = true;
    emit(answer_head{found->second, what.status, what.headers});
}

void node::on(time_point, upstream_piece const& what, command_sink const& emit)
{
    auto const found = attempts_.find(what.attempt);
    if (found != attempts_.end())
    {
        emit(answer_piece{found->second, what.bytes});
    }
}

void node::on(time_point, upstream_end const& what, command_sink const& emit)
{
    auto const found = attempts_.find(what.attempt);
    if (found == attempts_.end())
    {
        return;
    }
    request_id const request = found->second;
    attempts_.erase(found);
    requests_.erase(request);
    emit(answer_end{request});
}

void node::on(time_point, upstream_failed const& what, command_sink const& emit)
{
    auto const found = attempts_.find(what.attempt);
    if (found == attempts_.end())
    {
        return;
    }
    request_id const request = found->second;
    attempts_.erase(found);
    requests_.erase(request);
    emit(answer_refusal{request,
                        {502, what.run, what.reason, no_upstream_retry_after}});
}

} // namespace amarantharch
