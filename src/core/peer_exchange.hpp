// Spreads what this VM knows of requests and upstreams to its peers.
//
// News (a quarantine mark, an upstream that is leaving) goes at once to a few
// peers, and each VM to which it is news passes it on, so that it reaches all
// of n VMs in O(log n) rounds with high probability; with at most news_fanout
// peers it goes to all in one. Usage counters go to usage_fanout peers a
// second in rotation; the error of a limit is bounded by what was served at
// the VMs not heard lately (see admission). Cost a VM and second: usage_fanout
// messages, whatever the fleet's size.
#ifndef AMARANTHARCH_CORE_PEER_EXCHANGE_HPP
#define AMARANTHARCH_CORE_PEER_EXCHANGE_HPP

#include "core/command.hpp"
#include "core/membership.hpp"
#include "core/peer_update.hpp"
#include "core/request_path.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

struct peer_exchange_options
{
    std::string vm;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    duration usage_interval = std::chrono::seconds(1);
    // Where there is no log for them, peers tell each other where moves stand.
    bool spreads_moves = false;
    // Whether VMs read the platform's streams for each other.
    bool shares_reading = false;
    duration news_interval = std::chrono::milliseconds(50);
    std::size_t usage_fanout = 8;
    std::size_t news_fanout = 16;
    // Each peer hears this VM's use of quotas so often, up to a number of
    // messages in one usage_interval: half of shared_quota's silence.
    duration quota_interval = std::chrono::milliseconds(750);
    std::size_t max_quota_fanout = 64;
};

// What the fleet's duties go by falls to the VMs among `duty_watchers` of this
// purpose; the first of them also moves versions.
inline constexpr std::string_view duty_purpose = "duties";
inline constexpr std::size_t duty_watchers = 3;

class peer_exchange
{
public:
    peer_exchange(peer_exchange_options options, command_sink emit);

    // Takes a peer_message_kind::request message.
    void receive(time_point now, peer_message const& message,
                 request_path& requests);

    // An upstream is leaving, as the platform or an operator says.
    void upstream_leaving(std::string const& upstream, request_path& requests);

    // Whether this VM has the fleet's duties; peers send it what they count.
    void set_holds_duties(bool holds)
    {
        holds_duties_ = holds;
    }

    // An engine's report, as this VM read it for others.
    void take_load(std::string const& upstream, upstream_report const& report)
    {
        loads_.take(upstream, report);
    }

    // Tells the VMs that this one reads for what it has read.
    void tell(streams_read const& what, membership const& members);

    // Sends what is due to live members.
    void tick(time_point now, membership const& members,
              request_path& requests);

private:
    static std::vector<std::string>
    next_peers(membership const& members, std::size_t count, std::size_t& turn);
    std::vector<std::string> counting_peers(membership const& members) const;
    static std::vector<std::string> reachable(membership const& members);
    std::size_t quota_fanout(std::size_t peers) const;
    void choose_readers(membership const& members);
    void share_loads(time_point now, membership const& members,
                     upstream_table const& upstreams);
    void tell_usage(time_point now, membership const& members,
                    request_path& requests);
    std::vector<std::string> peers_elsewhere(membership const& members,
                                             std::size_t count) const;
    void send(std::vector<std::string> const& peers, peer_update const& update);

    peer_exchange_options options_;
    command_sink emit_;
    bool holds_duties_ = false;
    std::string duty_holder_; // the peer that last said so; may be none
    shared_reading sharing_;
    std::optional<bool> reads_; // for others, as last commanded
    load_sharing loads_;
    std::set<std::string> known_leaving_;
    std::vector<std::string> unsent_leaving_;
    // The places in the rotation of peers, for each kind of message.
    std::size_t next_news_peer_ = 0;
    std::size_t next_usage_peer_ = 0;
    std::size_t next_quota_peer_ = 0;
    time_point usage_due_{};
    time_point news_due_{};
};

} // namespace amarantharch

#endif
