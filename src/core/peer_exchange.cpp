#include "core/peer_exchange.hpp"

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
      sharing_(options_.vm)
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
    }
    for (service_usage const& row : update->usage)
    {
        requests.merge_usage(now, row.service, row.usage);
    }
    requests.crash_quarantine().merge(now, update->quarantined);
    requests.adopt(now, update->handed_over);
    for (move_evidence const& row : update->evidence)
    {
        requests.moves().merge(now, row);
    }
    if (!update->move_states.empty())
    {
        requests.moves().apply(now, update->move_states);
    }
    for (quota_report const& row : update->quota_reports)
    {
        requests.quotas().merge(now, row);
    }
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
        // The readers' records tell all VMs; one step by the finder suffices.
        requests.take_found_leaving();
    }
    for (upstream_load const& load : update->loads)
    {
        requests.upstream_reported(
            load.upstream,
            {now - duration(load.age_us), load.running, load.waiting, 0});
    }
    for (reading_report const& report : update->reading_reports)
    {
        emit_(take_reading{report});
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
    if (is_reader_.value_or(false))
    {
        share_loads(now, members, requests.upstreams());
    }
    if (now >= urgent_due_)
    {
        peer_update urgent;
        urgent.quarantined = requests.crash_quarantine().take_changes();
        urgent.leaving_upstreams = requests.take_found_leaving();
        bool const any = !urgent.quarantined.marks.empty() ||
                         !urgent.quarantined.clearances.empty() ||
                         !urgent.leaving_upstreams.empty();
        if (any)
        {
            urgent_due_ = now + options_.urgent_interval;
            send(next_peers(members, options_.urgent_fanout, next_urgent_peer_),
                 urgent);
        }
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

// Polls engines for their load and sends it to the VMs that this one reads for.
void peer_exchange::share_loads(time_point now, membership const& members,
                                upstream_table const& upstreams)
{
    for (upstream_index const index : loads_.take_due_engines(now, upstreams))
    {
        upstream_profile const& profile = upstreams.row(index).profile;
        emit_(read_upstream_load{profile.name, profile.address});
    }
    peer_update update;
    update.loads = loads_.take_due_loads(now);
    if (!update.loads.empty())
    {
        send(sharing_.recipients(members), update);
    }
}

// Sends what this VM has served and admitted. In a small fleet every peer
// receives everything in one message. In a larger one each part goes to the VMs
// that use it: request counts to the VMs that hold or watch over the fleet's
// duties, quota usage to all peers in turn within quota_interval, and the rest
// to a few peers in turn.
void peer_exchange::send_usage(time_point now, membership const& members,
                               request_path& requests)
{
    peer_update shares;
    shares.usage = requests.usage(options_.vm, options_.incarnation);
    shares.evidence =
        requests.moves().evidence(options_.vm, options_.incarnation);
    if (options_.spreads_moves)
    {
        shares.move_states = requests.moves().state_records();
    }
    peer_update counts;
    counts.request_counts =
        requests.started_usage().report(now, options_.vm, options_.incarnation);
    counts.demand = {
        requests.demand().report(options_.vm, options_.incarnation)};
    peer_update quotas;
    shares.holds_duties = holds_duties_;
    quotas.holds_duties = holds_duties_;
    quotas.quota_reports = {
        requests.quotas().report(now, options_.vm, options_.incarnation)};
    std::vector<std::string> const peers = reachable_peers(members);
    if (peers.size() <= options_.usage_fanout)
    {
        shares.request_counts = std::move(counts.request_counts);
        shares.demand = std::move(counts.demand);
        shares.quota_reports = std::move(quotas.quota_reports);
        send(peers, shares);
        return;
    }
    send(next_peers(members, options_.usage_fanout, next_usage_peer_), shares);
    send(next_peers(members, quota_fanout(peers.size()), next_quota_peer_),
         quotas);
    counts.evidence = std::move(shares.evidence);
    send(counter_recipients(members), counts);
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
                         peer_update const& update)
{
    std::string const payload = encode(update);
    for (std::string const& vm : peers)
    {
        emit_(send_to_peer{{vm, peer_message_kind::request, payload}});
    }
}

} // namespace amarantharch
