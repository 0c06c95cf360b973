#include "core/peer_exchange.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// Peers that receive the ledger records that a leaving VM has not yet seen
// stored.
constexpr std::size_t handover_copies = 2;

} // namespace

peer_exchange::peer_exchange(peer_exchange_options options, command_sink emit)
    : options_(std::move(options)), emit_(std::move(emit)),
      sharing_(options_.vm), quota_relay_({options_.vm, options_.incarnation})
{
}

void peer_exchange::receive(time_point now, peer_message const& message,
                            request_path& requests)
{
    auto const update = decode_peer_update(message.payload);
    if (!update.ok())
    {
        return;
    }
    if (update->holds_duties)
    {
        duty_holder_ = message.vm;
        duty_claim_ = {message.vm, now};
    }
    requests.hear_partitioned(now, message.vm, update->partitioned);
    for (service_usage const& row : update->usage)
    {
        requests.merge_usage(now, row.service, row.usage);
    }
    requests.crash_quarantine().merge(now, update->quarantined);
    requests.part_quarantine().merge(now, update->quarantined_parts);
    requests.adopt(now, update->handed_over);
    for (move_evidence const& row : update->evidence)
    {
        requests.moves().merge(now, row);
    }
    if (!update->move_states.empty())
    {
        requests.moves().apply(now, update->move_states);
    }
    // Before a configuration: with one, a VM that has just started may serve.
    for (domain_evacuation const& row : update->evacuations)
    {
        requests.merge_evacuation(now, row);
    }
    relay_configuration(now, message.vm, *update, requests);
    merge_quotas(now, message, *update, requests);
    for (demand_report const& row : update->demand)
    {
        requests.demand().merge(now, row);
    }
    for (window_counts const& row : update->request_counts)
    {
        requests.started_usage().merge(now, row);
    }
    for (std::string const& upstream : update->leaving)
    {
        requests.upstream_leaving(upstream);
    }
    for (leaving_upstream const& row : update->leaving_upstreams)
    {
        requests.upstream_leaving(row);
    }
    if (options_.shares_reading)
    {
        // Not forwarded: readers forward the directory's records to all VMs.
        requests.take_found_leaving();
    }
    for (upstream_refusal const& row : update->refusals)
    {
        requests.merge_refusal(now, row);
    }
    for (upstream_limit const& row : update->limits)
    {
        requests.merge_limit(now, row);
    }
    for (upstream_load const& load : update->loads)
    {
        upstream_report const report = report_of(now, load);
        requests.upstream_reported(load.upstream, report);
        // What another hub sends, it sends to the whole cell.
        bool const from_hub = update->cell.empty();
        from_hub ? loads_.on_heard(load.upstream, report)
                 : loads_.add_report(load.upstream, report);
    }
    for (reading_report const& report : update->reading_reports)
    {
        emit_(take_reading{report});
    }
}

void peer_exchange::merge_quotas(time_point now, peer_message const& from,
                                 peer_update const& update,
                                 request_path& requests)
{
    for (quota_report const& row : update.quota_reports)
    {
        requests.quotas().merge(now, row);
    }
    for (quota_report const& row : update.relayed_quotas)
    {
        if (row.vm == from.vm) // else not the sender's to report
        {
            quota_relay_.add(now, update.cell, row);
        }
    }
    bool const from_other_hub =
        !update.quota_sums.empty() && !update.quota_sums.front().cell.empty();
    for (quota_sum const& sum : update.quota_sums)
    {
        sum.cell.empty() ? requests.quotas().merge(now, sum)
                         : quota_relay_.add(now, sum);
    }
    if (update.duty_holder.empty())
    {
        return;
    }
    duty_holder_ = update.duty_holder;
    if (from_other_hub)
    {
        other_cells_claim_ = {update.duty_holder, now};
    }
}

void peer_exchange::send_readings(streams_read const& streams,
                                  membership const& members)
{
    std::vector<std::string> const recipients = sharing_.recipients(members);
    for (reading_report& part : sharing_.split(streams.report))
    {
        peer_update update;
        update.reading_reports.push_back(std::move(part));
        send(recipients, update);
    }
}

void peer_exchange::tick(time_point now, membership const& members,
                         request_path& requests)
{
    if (options_.shares_reading)
    {
        update_reader_role(members);
    }
    ask_for_configuration(now);
    if (is_reader_.value_or(false))
    {
        read_loads(now, requests.upstreams());
    }
    peer_update refusals;
    refusals.refusals = requests.take_refusals(now);
    if (!refusals.refusals.empty())
    {
        send(reachable_peers(members), refusals); // each of them may add to it
    }
    if (now >= urgent_due_)
    {
        peer_update urgent;
        urgent.quarantined = requests.crash_quarantine().take_changes();
        urgent.quarantined_parts = requests.part_quarantine().take_changes(now);
        urgent.leaving_upstreams = requests.take_found_leaving();
        bool const any = !urgent.quarantined.marks.empty() ||
                         !urgent.quarantined.clearances.empty() ||
                         !urgent.quarantined_parts.empty() ||
                         !urgent.leaving_upstreams.empty();
        if (any)
        {
            urgent_due_ = now + options_.urgent_interval;
            send(next_peers(members, options_.urgent_fanout, next_urgent_peer_),
                 urgent);
        }
    }
    if (now >= repeat_due_)
    {
        repeat_due_ = now + options_.repeat_interval;
        repeat_state(now, members, requests);
    }
    peer_update handover;
    handover.handed_over = requests.take_handed_over();
    if (!handover.handed_over.empty())
    {
        send(peers_elsewhere_first(members, handover_copies), handover);
    }
    if (now >= usage_due_)
    {
        usage_due_ = now + options_.usage_interval;
        send_usage(now, members, requests);
    }
}

// Takes the part of a peer's message that is about the configuration, and
// answers a request for this VM's.
void peer_exchange::relay_configuration(time_point now, std::string const& from,
                                        peer_update const& update,
                                        request_path const& requests)
{
    configuration_.on_peer_version(now, from, update.configuration_version);
    if (update.wants_configuration)
    {
        for (configuration_piece& piece :
             configuration_.pieces_for(update.configuration_version))
        {
            peer_update answer;
            answer.configuration_pieces.push_back(std::move(piece));
            answer.evacuations = requests.evacuations().states();
            send({from}, std::move(answer));
        }
    }
    for (configuration_piece const& piece : update.configuration_pieces)
    {
        if (auto record = configuration_.add_piece(piece))
        {
            emit_(record_timeline{"configuration_from_peer", "",
                                  fmt::format("version={} own={} peer={}",
                                              piece.version,
                                              configuration_.version(), from)});
            emit_(take_configuration{*std::move(record)});
        }
    }
}

// Repeats which requests and prompt parts are refused, which upstreams name
// limits and which failure domains are evacuated, for VMs that have started
// since or that cannot read the store.
void peer_exchange::repeat_state(time_point now, membership const& members,
                                 request_path& requests)
{
    peer_update update;
    update.quarantined = requests.crash_quarantine().refused_state(now);
    update.quarantined_parts = requests.part_quarantine().refused_state(now);
    update.limits = requests.upstreams().limits(now);
    update.evacuations = requests.evacuations().states();
    if (!update.quarantined.marks.empty() ||
        !update.quarantined_parts.empty() || !update.limits.empty() ||
        !update.evacuations.empty())
    {
        send(next_peers(members, options_.repeat_fanout, next_repeat_peer_),
             update);
    }
}

void peer_exchange::ask_for_configuration(time_point now)
{
    auto const peer = configuration_.next_request(now);
    if (!peer)
    {
        return;
    }
    emit_(record_timeline{
        "configuration_behind", "",
        fmt::format("own={} asked={}", configuration_.version(), *peer)});
    peer_update request;
    request.wants_configuration = true;
    send({*peer}, std::move(request));
}

// Decides anew whether this VM reads the platform's streams on behalf of
// others, and commands it on a change.
void peer_exchange::update_reader_role(membership const& members)
{
    bool const reads = sharing_.is_reader(members);
    if (is_reader_ == reads)
    {
        return;
    }
    is_reader_ = reads;
    emit_(read_for_others{reads});
    emit_(record_timeline{"reads_for_others", "",
                          reads ? "reads=yes" : "reads=no"});
}

// Polls the engines whose load is not known from answers.
void peer_exchange::read_loads(time_point now, upstream_table const& upstreams)
{
    for (upstream_index const index : loads_.take_due_engines(now, upstreams))
    {
        upstream_profile const& profile = upstreams.row(index).profile;
        emit_(read_upstream_load{profile.name, profile.address});
    }
}

// In a small fleet, a reader sends the loads that it has read to all.
void peer_exchange::send_loads(time_point now, membership const& members)
{
    peer_update update;
    update.loads = loads_.take_due_loads(now);
    if (!update.loads.empty())
    {
        send(sharing_.recipients(members), update);
    }
}

// Sends this VM's usage of quotas and the loads that it has seen to the hubs of
// its cell.
void peer_exchange::send_to_hubs(time_point now, membership const& members,
                                 request_path& requests)
{
    peer_update update;
    update.cell = sharing_.own_cell(members);
    update.holds_duties = holds_duties_;
    if (holds_duties_)
    {
        duty_claim_ = {options_.vm, now};
    }
    update.relayed_quotas = {
        requests.quotas().report(now, options_.vm, options_.incarnation)};
    for (auto const& [upstream, report] : requests.take_answer_loads())
    {
        loads_.add_report(upstream, report);
        update.loads.push_back(load_of(now, upstream, report));
    }
    send(sharing_.own_readers(members), update);
    std::vector<std::string> const cells = sharing_.cells_read(members);
    if (std::ranges::find(cells, update.cell) != cells.end())
    {
        quota_relay_.add(now, update.cell, update.relayed_quotas.front());
    }
}

// The VM of a claim that is not out of date. What a hub has heard from hubs of
// its own cell is none: it would go round between them.
std::string peer_exchange::recent_claim(time_point now,
                                        holder_claim const& claim) const
{
    return now - claim.heard_at <= options_.claim_lifetime ? claim.vm
                                                           : std::string();
}

// As a hub: sends each cell that this VM reads for the usage of all VMs and the
// loads of engines, and the other hubs the usage of its cells.
void peer_exchange::serve_as_hub(time_point now, membership const& members,
                                 request_path& requests)
{
    peer_update to_hubs;
    to_hubs.duty_holder = recent_claim(now, duty_claim_);
    std::string const claimant = to_hubs.duty_holder.empty()
                                     ? recent_claim(now, other_cells_claim_)
                                     : to_hubs.duty_holder;
    std::vector<upstream_load> const loads = loads_.take_due_loads(now);
    for (std::string const& cell : sharing_.cells_read(members))
    {
        to_hubs.quota_sums.push_back(quota_relay_.cell_sum(now, cell));
        peer_update update;
        update.quota_sums = {quota_relay_.fleet_sum(now, cell)};
        update.loads = loads;
        update.duty_holder = claimant;
        if (cell == sharing_.own_cell(members))
        {
            requests.quotas().merge(now, update.quota_sums.front());
        }
        send(sharing_.members_of(members, cell), update);
    }
    if (!to_hubs.quota_sums.empty())
    {
        send(sharing_.other_readers(members), to_hubs);
    }
}

// Sends what this VM has served and admitted. In a small fleet every peer
// receives everything in one message. In a larger one each part goes to the VMs
// that use it: counters to the VMs that hold or watch over the fleet's duties,
// quota usage to the hubs or, without hubs, to all peers in turn within
// quota_interval, and the rest to a few peers in turn.
void peer_exchange::send_usage(time_point now, membership const& members,
                               request_path& requests)
{
    std::vector<std::string> const peers = reachable_peers(members);
    if (peers.size() <= options_.usage_fanout)
    {
        peer_update all = counters(now, requests);
        add_shares(all, requests);
        all.quota_reports = {
            requests.quotas().report(now, options_.vm, options_.incarnation)};
        send(peers, all);
        send_loads(now, members);
        return;
    }
    if (options_.shares_reading)
    {
        send_to_hubs(now, members, requests);
        serve_as_hub(now, members, requests);
    }
    else
    {
        peer_update quotas;
        quotas.holds_duties = holds_duties_;
        quotas.quota_reports = {
            requests.quotas().report(now, options_.vm, options_.incarnation)};
        send(next_peers(members, quota_fanout(peers.size()), next_quota_peer_),
             quotas);
    }
    send_counters(now, members, requests);
}

// What the holder of the duties and the mover of versions need of every VM.
peer_update peer_exchange::counters(time_point now,
                                    request_path& requests) const
{
    peer_update update;
    update.request_counts =
        requests.started_usage().report(now, options_.vm, options_.incarnation);
    update.demand = {
        requests.demand().report(options_.vm, options_.incarnation)};
    update.evidence =
        requests.moves().evidence(options_.vm, options_.incarnation);
    return update;
}

void peer_exchange::add_shares(peer_update& into, request_path& requests) const
{
    into.usage = requests.usage(options_.vm, options_.incarnation);
    into.holds_duties = holds_duties_;
    if (options_.spreads_moves)
    {
        into.move_states = requests.moves().state_records();
    }
}

// Once in a counter_interval; evidence of a version move in progress goes out
// each time, since a bad version serves requests until it has arrived.
void peer_exchange::send_counters(time_point now, membership const& members,
                                  request_path& requests)
{
    bool const due = now >= counters_due_;
    if (!due &&
        requests.moves().evidence(options_.vm, options_.incarnation).empty())
    {
        return;
    }
    peer_update const update = counters(now, requests);
    send(counter_recipients(members), update);
    if (due)
    {
        counters_due_ = now + options_.counter_interval;
        peer_update shares;
        add_shares(shares, requests);
        shares.evidence = update.evidence;
        send(next_peers(members, options_.usage_fanout, next_usage_peer_),
             shares);
    }
}

// The peers that need the counters of all VMs: those selected to watch over the
// fleet's duties, and the holder.
std::vector<std::string>
peer_exchange::counter_recipients(membership const& members) const
{
    auto peers = members.others_selected_for(duty_purpose, duty_watchers);
    bool const holder_is_missing =
        !duty_holder_.empty() && members.find(duty_holder_) != nullptr &&
        std::find(peers.begin(), peers.end(), duty_holder_) == peers.end();
    if (holder_is_missing)
    {
        peers.push_back(duty_holder_);
    }
    return peers;
}

std::size_t peer_exchange::quota_fanout(std::size_t peers) const
{
    auto const rounds = static_cast<std::size_t>(std::max<std::int64_t>(
        options_.quota_interval / options_.usage_interval, 1));
    return std::min((peers + rounds - 1) / rounds, options_.max_quota_fanout);
}

// Up to `count` live members, those of other failure domains first.
std::vector<std::string>
peer_exchange::peers_elsewhere_first(membership const& members,
                                     std::size_t count) const
{
    std::vector<std::string> chosen;
    for (bool const elsewhere : {true, false})
    {
        for (auto const& [vm, row] : members.members())
        {
            bool const fits =
                row.state() == member_state::live &&
                (row.failure_domain != options_.failure_domain) == elsewhere;
            if (fits && chosen.size() < count)
            {
                chosen.push_back(vm);
            }
        }
    }
    return chosen;
}

// The members that may receive messages: those live or leaving.
std::vector<std::string>
peer_exchange::reachable_peers(membership const& members)
{
    std::vector<std::string> peers;
    for (auto const& [vm, row] : members.members())
    {
        if (row.state() == member_state::live ||
            row.state() == member_state::leaving)
        {
            peers.push_back(vm);
        }
    }
    return peers;
}

// The next `count` reachable peers in rotation, or all if there are fewer.
std::vector<std::string> peer_exchange::next_peers(membership const& members,
                                                   std::size_t count,
                                                   std::size_t& turn)
{
    std::vector<std::string> peers = reachable_peers(members);
    if (peers.size() <= count)
    {
        return peers;
    }
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < count; ++i)
    {
        chosen.push_back(peers[turn++ % peers.size()]);
    }
    return chosen;
}

void peer_exchange::send(std::vector<std::string> const& peers,
                         peer_update update)
{
    update.configuration_version = configuration_.version();
    update.partitioned = partitioned_;
    std::string const payload = encode(update);
    for (std::string const& vm : peers)
    {
        emit_(send_to_peer{{vm, peer_message_kind::request, payload}});
    }
}

} // namespace amarantharch
