// Sends this VM's state of requests and upstreams to its peers.
//
// Urgent updates (a crash mark, a leaving upstream) go at once to urgent_fanout
// peers. Each VM forwards what is new to it, so that an update reaches all n
// VMs in O(log n) rounds with high probability; with at most urgent_fanout
// peers one round is enough. Usage counters go to usage_fanout peers in turn,
// once a usage_interval; the error of a limit is bounded by what was served at
// the VMs not heard from lately (see admission).
// Cost per VM and usage_interval in a small fleet: a message to each peer.
//
// In a large fleet (more than usage_fanout peers) where a few VMs read the
// platform's streams for the others, the readers are hubs: each VM sends them
// its usage of quotas and the loads that it has seen, and they send sums and
// loads back to their cell, one message to each VM in a usage_interval (see
// quota_relay, load_sharing). Counters for the duties and the rest go out once
// in a counter_interval.
#ifndef AMARANTHARCH_CORE_PEER_EXCHANGE_HPP
#define AMARANTHARCH_CORE_PEER_EXCHANGE_HPP

#include "core/command.hpp"
#include "core/configuration_relay.hpp"
#include "core/membership.hpp"
#include "core/peer_update.hpp"
#include "core/quota_relay.hpp"
#include "core/request_path.hpp"

#include <cstdint>
#include <optional>
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
    // Whether peers send each other the states of version moves; set where no
    // log carries them.
    bool spreads_moves = false;
    // Whether a few VMs read the platform's streams on behalf of the others.
    bool shares_reading = false;
    duration urgent_interval = std::chrono::milliseconds(50);
    std::size_t usage_fanout = 8;
    std::size_t urgent_fanout = 16;
    // Without hubs, each peer receives this VM's quota usage once in this time,
    // unless that takes more than max_quota_fanout messages in one
    // usage_interval. Half of shared_quota_options::silence_timeout, after
    // which a VM that has not been heard from is assumed to use its whole
    // share.
    duration quota_interval = std::chrono::milliseconds(750);
    std::size_t max_quota_fanout = 64;
    // Between messages to those that watch over the duties, in a large fleet.
    duration counter_interval = std::chrono::seconds(1);
    // Each VM repeats what it refuses, the limits that upstreams name and the
    // evacuated failure domains to this many peers in turn, once in this time.
    duration repeat_interval = std::chrono::milliseconds(500);
    std::size_t repeat_fanout = 2;
    // A hub passes a claim of the duties on for so long after it was heard.
    duration claim_lifetime = std::chrono::milliseconds(1'500);
};

// The purpose (see membership::is_selected_for) and the number of the VMs that
// watch over the fleet's duties: they take the duties over if the holder fails,
// and they receive the counters that the duties need. The first of them also
// runs version moves.
inline constexpr std::string_view duty_purpose = "duties";
inline constexpr std::size_t duty_watchers = 3;

class peer_exchange
{
public:
    peer_exchange(peer_exchange_options options, command_sink emit);

    // Handles a peer_message_kind::request message.
    void receive(time_point now, peer_message const& message,
                 request_path& requests);

    // Sets whether this VM holds the fleet's duties. Peers are told and send
    // their counters to the holder.
    void set_holds_duties(bool holds)
    {
        holds_duties_ = holds;
    }

    // Sets whether this VM is partitioned from the upstreams, for the peers.
    void set_partitioned(bool partitioned)
    {
        partitioned_ = partitioned;
    }

    // Stores the load that this VM has read from an engine on behalf of others.
    void add_load_report(std::string const& upstream,
                         upstream_report const& report)
    {
        loads_.add_report(upstream, report);
    }

    // Sends what this VM has read from the platform's streams to the VMs that
    // it reads for.
    void send_readings(streams_read const& streams, membership const& members);

    // The configuration that this VM has put in force, for peers that lack it.
    void set_configuration(std::uint64_t version, std::string record)
    {
        configuration_.set_own(version, std::move(record));
    }

    // Sends the updates that are due to live members.
    void tick(time_point now, membership const& members,
              request_path& requests);

private:
    // Who said that it holds the duties, and when.
    struct holder_claim
    {
        std::string vm;
        time_point heard_at;
    };

    static std::vector<std::string>
    next_peers(membership const& members, std::size_t count, std::size_t& turn);
    std::vector<std::string>
    counter_recipients(membership const& members) const;
    static std::vector<std::string> reachable_peers(membership const& members);
    std::size_t quota_fanout(std::size_t peers) const;
    void update_reader_role(membership const& members);
    void relay_configuration(time_point now, std::string const& from,
                             peer_update const& update,
                             request_path const& requests);
    void ask_for_configuration(time_point now);
    void repeat_state(time_point now, membership const& members,
                      request_path& requests);
    void read_loads(time_point now, upstream_table const& upstreams);
    void merge_quotas(time_point now, peer_message const& from,
                      peer_update const& update, request_path& requests);
    void send_to_hubs(time_point now, membership const& members,
                      request_path& requests);
    void serve_as_hub(time_point now, membership const& members,
                      request_path& requests);
    void send_loads(time_point now, membership const& members);
    void send_usage(time_point now, membership const& members,
                    request_path& requests);
    void send_counters(time_point now, membership const& members,
                       request_path& requests);
    peer_update counters(time_point now, request_path& requests) const;
    void add_shares(peer_update& into, request_path& requests) const;
    std::string recent_claim(time_point now, holder_claim const& claim) const;
    std::vector<std::string> peers_elsewhere_first(membership const& members,
                                                   std::size_t count) const;
    void send(std::vector<std::string> const& peers, peer_update update);

    peer_exchange_options options_;
    command_sink emit_;
    bool holds_duties_ = false;
    bool partitioned_ = false;
    std::string duty_holder_; // the last peer that claimed them; may be empty
    holder_claim duty_claim_; // the last one made to this VM
    holder_claim other_cells_claim_; // the last one that other hubs passed on
    shared_reading sharing_;
    std::optional<bool> is_reader_; // as last commanded; empty before
    load_sharing loads_;
    quota_relay quota_relay_;
    configuration_relay configuration_;
    // The next peer in the rotation, for each kind of message.
    std::size_t next_urgent_peer_ = 0;
    std::size_t next_usage_peer_ = 0;
    std::size_t next_quota_peer_ = 0;
    std::size_t next_repeat_peer_ = 0;
    time_point usage_due_{};
    time_point counters_due_{};
    time_point urgent_due_{};
    time_point repeat_due_{};
};

} // namespace amarantharch

#endif
