#include "core/control_plane.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// VMs that keep a long poll open on the configuration stream; the others read
// it when gossip announces a newer revision.
constexpr std::size_t configuration_readers = 16;
constexpr duration max_hint_delay = std::chrono::milliseconds(500);
constexpr duration snapshot_interval = std::chrono::seconds(1);
constexpr std::size_t max_publishes = 64;

log_client_options log_options(control_plane_options const& options)
{
    log_client_options result;
    result.vm = options.vm;
    result.incarnation = options.incarnation;
    result.seed = options.seed;
    result.appends_per_second = options.log_appends_per_second;
    return result;
}

configuration_store_options store_options(control_plane_options const& options)
{
    configuration_store_options result;
    result.vm = options.vm;
    result.verify = options.verify;
    result.retention = options.log_retention;
    return result;
}

membership_options member_options(control_plane_options const& options)
{
    membership_options result;
    result.vm = options.vm;
    result.address = options.address;
    result.failure_domain = options.failure_domain;
    result.millicores = options.millicores;
    result.incarnation = options.incarnation;
    result.seed = options.seed;
    return result;
}

} // namespace

control_plane::control_plane(control_plane_options options, command_sink emit,
                             control_plane_handlers handlers)
    : options_(std::move(options)), emit_(std::move(emit)),
      handlers_(std::move(handlers)), log_(log_options(options_)),
      store_(store_options(options_)), membership_(member_options(options_))
{
    if (options_.uses_log)
    {
        log_.subscribe(log_stream::configuration, 1);
        log_.subscribe(log_stream::requests, 1);
        log_.subscribe(log_stream::control, 1);
    }
}

void control_plane::handle(time_point now, log_result const& result)
{
    log_.handle(now, result,
                [&](log_client_output const& output)
                { handle_log_output(now, output); });
}

void control_plane::handle(time_point now, peer_message const& message)
{
    if (message.kind == peer_message_kind::snapshot)
    {
        handle_snapshot_message(now, message);
        return;
    }
    membership_.receive(now, message,
                        [this](peer_message reply)
                        { emit_(send_to_peer{std::move(reply)}); });
}

void control_plane::handle_log_output(time_point now,
                                      log_client_output const& output)
{
    if (auto const* append = std::get_if<send_append>(&output))
    {
        emit_(*append);
    }
    else if (auto const* read = std::get_if<send_read>(&output))
    {
        emit_(*read);
    }
    else if (auto const* batch = std::get_if<log_read>(&output))
    {
        apply_batch(now, batch->batch);
    }
    else
    {
        bool const reachable = std::get<log_reachability>(output).reachable;
        store_.set_log_reachable(now, reachable);
        handlers_.log_reachable(now, reachable);
    }
}

void control_plane::apply_batch(time_point now, log_batch const& batch)
{
    if (batch.stream == log_stream::requests)
    {
        handlers_.requests_read(now, batch);
        return;
    }
    if (batch.stream == log_stream::control)
    {
        handlers_.control_read(now, batch);
        return;
    }
    for (change_decision const& decision : store_.apply(now, batch))
    {
        for (auto& [id, publish] : publishes_)
        {
            publish.on_decision(decision);
        }
    }
    announce_revision(now);
}

// Announces a revision that has come into force to the node and to the peers.
void control_plane::announce_revision(time_point now)
{
    if (!store_.in_force_known() || store_.in_force() == announced_)
    {
        return;
    }
    announced_ = store_.in_force();
    membership_.set_revision(now, announced_);
    handlers_.configured(now, *store_.tables());
}

absl::Status control_plane::append(time_point now, log_stream stream,
                                   std::string payload)
{
    return log_.append(now, stream, std::move(payload)).status();
}

void control_plane::apply_vm_list(time_point now,
                                  std::vector<listed_member> const& vms)
{
    membership_.apply_vm_list(now, vms);
}

publish_report control_plane::publish(time_point now,
                                      configuration_change change)
{
    std::string const id = change.publish_id;
    if (publishes_.size() >= max_publishes && !publishes_.contains(id))
    {
        publishes_.erase(publishes_.begin());
    }
    configuration_publish& publish =
        publishes_
            .insert_or_assign(id, configuration_publish(now, std::move(change)))
            .first->second;
    auto payload = publish.start(store_, options_.verify);
    if (payload)
    {
        absl::Status const queued =
            append(now, log_stream::configuration, *std::move(payload));
        if (!queued.ok())
        {
            publish_report refused;
            refused.state = publish_state::refused;
            refused.reason = std::string(queued.message());
            publishes_.erase(id);
            return refused;
        }
    }
    return publish.report();
}

std::optional<publish_report>
control_plane::publish_status(std::string const& publish_id) const
{
    auto const found = publishes_.find(publish_id);
    if (found == publishes_.end())
    {
        return std::nullopt;
    }
    return found->second.report();
}

configuration_readiness control_plane::readiness() const
{
    if (!options_.uses_log)
    {
        return {true, ""};
    }
    return store_.readiness();
}

void control_plane::tick(time_point now)
{
    membership_.tick(now, [this](peer_message message)
                     { emit_(send_to_peer{std::move(message)}); });
    for (member_change const& change : membership_.take_changes())
    {
        handlers_.member_changed(now, change);
    }
    if (!options_.uses_log)
    {
        return;
    }
    follow_newest_revision(now);
    request_snapshot(now);
    if (auto checkpoint = store_.tick(now))
    {
        // If the queue is full, the next tick tries again.
        append(now, log_stream::configuration, *std::move(checkpoint))
            .IgnoreError();
    }
    for (auto& [id, publish] : publishes_)
    {
        publish.tick(now, membership_);
    }
    log_.set_appends_per_second(append_share(options_.log_appends_per_second,
                                             membership_.fleet_size()));
    log_.tick(now, [&](log_client_output const& output)
              { handle_log_output(now, output); });
}

// Reads the configuration stream up to the newest revision known to any peer.
void control_plane::follow_newest_revision(time_point now)
{
    bool const polls =
        membership_.is_selected_for("configuration", configuration_readers);
    log_.set_read_mode(log_stream::configuration,
                       polls || !store_.in_force_known() ? read_mode::long_poll
                                                         : read_mode::on_hint);
    revision const newest = membership_.newest_revision();
    if (newest > store_.in_force())
    {
        store_.on_peer_revision(newest);
        log_.hint(now, log_stream::configuration, newest.offset,
                  max_hint_delay);
    }
}

// ---- Snapshots. ----

void control_plane::request_snapshot(time_point now)
{
    if (store_.in_force_known() || now < snapshot_request_due_)
    {
        return;
    }
    snapshot_request_due_ = now + snapshot_interval;
    std::vector<std::string> live;
    for (auto const& [vm, row] : membership_.members())
    {
        if (row.state() == member_state::live)
        {
            live.push_back(vm);
        }
    }
    if (live.empty())
    {
        return;
    }
    snapshot_message request;
    request.kind = snapshot_message_kind::request;
    request.transfer = next_transfer_++;
    incoming_snapshot_.emplace(request.transfer);
    std::string const& vm = live[next_snapshot_peer_++ % live.size()];
    emit_(send_to_peer{{vm, peer_message_kind::snapshot, encode(request)}});
}

void control_plane::handle_snapshot_message(time_point now,
                                            peer_message const& message)
{
    auto const decoded = decode_snapshot_message(message.payload);
    if (!decoded.ok())
    {
        return;
    }
    if (decoded->kind == snapshot_message_kind::request)
    {
        send_snapshot(message.vm, decoded->transfer);
        return;
    }
    if (!incoming_snapshot_ || decoded->kind != snapshot_message_kind::piece)
    {
        return;
    }
    auto const assembled = incoming_snapshot_->take(*decoded);
    if (!assembled.ok())
    {
        incoming_snapshot_.reset();
        return;
    }
    if (!assembled->has_value())
    {
        return;
    }
    vm_snapshot const& snapshot = **assembled;
    membership_.merge(now, snapshot.members);
    for (soft_row const& row : snapshot.rows)
    {
        membership_.state().merge(now, row);
    }
    if (store_.adopt(now, snapshot.configuration).ok())
    {
        log_.subscribe(log_stream::configuration, store_.next_offset());
        announce_revision(now);
    }
    incoming_snapshot_.reset();
}

void control_plane::send_snapshot(std::string const& vm, std::uint64_t transfer)
{
    if (!store_.in_force_known())
    {
        snapshot_message none;
        none.kind = snapshot_message_kind::none;
        none.transfer = transfer;
        emit_(send_to_peer{{vm, peer_message_kind::snapshot, encode(none)}});
        return;
    }
    vm_snapshot snapshot;
    snapshot.configuration = store_.snapshot();
    snapshot.members = membership_.updates();
    for (snapshot_message const& piece : cut(snapshot, transfer))
    {
        emit_(send_to_peer{{vm, peer_message_kind::snapshot, encode(piece)}});
    }
}

} // namespace amarantharch
