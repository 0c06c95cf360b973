#include "core/peer_exchange.hpp"

#include <utility>

namespace amarantharch
{

namespace
{

// Peers that take over what a leaving VM has not seen stored.
constexpr std::size_t handover_copies = 2;

} // namespace

peer_exchange::peer_exchange(peer_exchange_options options, command_sink emit)
    : options_(std::move(options)), emit_(std::move(emit))
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
    for (service_usage const& row : update->usage)
    {
        requests.merge_usage(now, row.service, row.usage);
    }
    requests.crashes().merge(now, update->quarantined);
    requests.adopt(now, update->handed_over);
    for (move_evidence const& row : update->evidence)
    {
        requests.moves().merge(now, row);
    }
    if (!update->moves.empty())
    {
        requests.moves().apply(now, update->moves);
    }
    for (quota_report const& row : update->spent)
    {
        requests.quotas().merge(now, row);
    }
    for (window_counts const& row : update->began)
    {
        requests.begun().merge(now, row);
    }
    for (std::string const& upstream : update->leaving)
    {
        upstream_leaving(upstream, requests);
    }
}

void peer_exchange::upstream_leaving(std::string const& upstream,
                                     request_path& requests)
{
    requests.upstream_leaving(upstream);
    if (known_leaving_.insert(upstream).second)
    {
        unsent_leaving_.push_back(upstream);
    }
}

void peer_exchange::tick(time_point now, membership const& members,
                         request_path& requests)
{
    if (now >= news_due_)
    {
        peer_update news;
        news.quarantined = requests.crashes().take_changes();
        news.leaving = std::exchange(unsent_leaving_, {});
        bool const any = !news.quarantined.marks.empty() ||
                         !news.quarantined.acquittals.empty() ||
                         !news.leaving.empty();
        if (any)
        {
            news_due_ = now + options_.news_interval;
            send(next_peers(members, options_.news_fanout), news);
        }
    }
    peer_update last;
    last.handed_over = requests.take_handed_over();
    if (!last.handed_over.empty())
    {
        send(peers_elsewhere(members, handover_copies), last);
    }
    if (now >= usage_due_)
    {
        usage_due_ = now + options_.usage_interval;
        peer_update usage;
        usage.usage = requests.usage(options_.vm, options_.incarnation);
        usage.evidence =
            requests.moves().evidence(options_.vm, options_.incarnation);
        if (options_.spreads_moves)
        {
            usage.moves = requests.moves().state_records();
        }
        quota_report spent =
            requests.quotas().report(now, options_.vm, options_.incarnation);
        usage.began =
            requests.begun().report(now, options_.vm, options_.incarnation);
        bool const counts = !spent.spent.empty();
        if (counts)
        {
            usage.spent.push_back(std::move(spent));
        }
        if (counts || !usage.began.empty() || !usage.usage.empty() ||
            !usage.evidence.empty())
        {
            send(next_peers(members, options_.usage_fanout), usage);
        }
    }
}

// Up to `count` live members, those of other failure domains first.
std::vector<std::string>
peer_exchange::peers_elsewhere(membership const& members,
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

// The next `count` live members in rotation, or all if there are fewer.
std::vector<std::string> peer_exchange::next_peers(membership const& members,
                                                   std::size_t count)
{
    std::vector<std::string> live;
    for (auto const& [vm, row] : members.members())
    {
        if (row.state() == member_state::live ||
            row.state() == member_state::leaving)
        {
            live.push_back(vm);
        }
    }
    if (live.size() <= count)
    {
        return live;
    }
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < count; ++i)
    {
        chosen.push_back(live[next_peer_++ % live.size()]);
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
