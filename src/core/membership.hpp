// Which VMs there are, by probing (SWIM) and gossip, at constant cost a VM.
//
// Each probe period one member is pinged; without an answer in time, others
// are asked to ping it; without theirs it is suspected, which it may refute by
// a larger incarnation, and after the suspicion timeout it is gone. Updates
// and soft-state rows ride on these messages under a budget of bytes a second;
// urgent ones are also pushed at once to a few random members.
//
// Of two updates on one VM the larger incarnation wins, then the worse health;
// leaving never turns off within an incarnation, except by the VM itself. An
// incarnation starts at the time of the process's start, so a restarted VM
// replaces its predecessor, and so does a new VM at a known address.
//
// The platform's list is a hint: it adds VMs to probe and removes none.
// A process that was frozen gives its peers time to answer before it judges.
//
// Cost a VM and second: one probe sent and one answered on average, at most
// `bytes_per_second` sent, whatever the number of members; memory O(members).
#ifndef AMARANTHARCH_CORE_MEMBERSHIP_HPP
#define AMARANTHARCH_CORE_MEMBERSHIP_HPP

#include "core/gossip.hpp"
#include "core/membership_message.hpp"
#include "core/peer_message.hpp"
#include "core/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

enum class member_state : std::uint8_t
{
    live,
    leaving,
    suspect,
    gone,
};

inline constexpr name_table<member_state, 4> member_state_names{{
    {member_state::live, "live"},
    {member_state::leaving, "leaving"},
    {member_state::suspect, "suspect"},
    {member_state::gone, "gone"},
}};

struct member
{
    std::string vm;
    std::string address; // ip:port of its peer listener
    std::string failure_domain;
    std::uint64_t incarnation = 0; // 0: only listed, never heard
    member_health health = member_health::live;
    bool leaving = false;
    time_point since{};    // of its health, here
    log_position revision; // in force there when it was last heard

    member_state state() const;
    // What is said of it to others, with its address or without.
    member_update update(bool with_address) const;
};

// A row of the platform's list of VMs.
struct listed_member
{
    std::string vm;
    std::string address;
    std::string failure_domain;
};

struct member_change
{
    std::string vm;
    member_state before = member_state::gone;
    member_state after = member_state::live;
};

struct membership_options
{
    std::string vm;
    std::string address;
    std::string failure_domain;
    std::uint64_t incarnation = 1; // microseconds since the epoch at the start
    std::uint64_t seed = 0;
    duration probe_period = std::chrono::seconds(1);
    duration probe_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    duration suspicion_min = std::chrono::seconds(3); // grows with log10(n)
    duration forget_after = std::chrono::minutes(10);
    duration push_period = std::chrono::milliseconds(100);
    std::size_t push_fanout = 3;
    double bytes_per_second = 1600; // of payloads sent
    double burst_bytes = 12000;
    std::size_t message_bytes = 700; // of updates and rows in one message
    std::size_t repair_bytes = 250;  // of those, for the slow walk
};

using peer_sink = std::function<void(peer_message)>;

// Bytes and messages sent and received, for metrics and the scale bench.
struct membership_traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t undecodable = 0;
};

class membership
{
public:
    explicit membership(membership_options options);

    // Takes a peer_message_kind::membership message.
    void receive(time_point now, peer_message const& message,
                 peer_sink const& emit);

    // Probes, suspects and pushes what is due: call every tick_interval.
    void tick(time_point now, peer_sink const& emit);

    void apply_vm_list(time_point now, std::vector<listed_member> const& vms);

    // Merges what a snapshot said of others.
    void merge(time_point now, std::vector<member_update> const& updates);

    // This VM is leaving: a notice, which is a fact. Urgent.
    void leave();

    // The platform has given notice for another VM.
    void note_leaving(time_point now, std::string_view vm);

    // The revision in force here; tells peers in each message.
    void set_revision(time_point now, log_position revision);

    // The newest revision that any VM is known to hold.
    log_position newest_revision() const;

    // Pings every member that is not known to hold `revision`, paced by tick,
    // outside the byte budget: for an operator who waits for a publish.
    void ask_revisions(log_position revision);

    // How many VMs of those not gone hold at least `revision`, this included.
    struct revision_holders
    {
        std::size_t in_force = 0;
        std::size_t members = 0;
        std::vector<std::string> missing; // at most 20 names
    };
    revision_holders spread_of(log_position revision) const;

    // All others, by name; the gone stay until they are forgotten.
    std::map<std::string, member, std::less<>> const& members() const
    {
        return members_;
    }
    // Null if unknown.
    member const* find(std::string_view vm) const;
    // Members that are not gone, this VM included.
    std::size_t fleet_size() const
    {
        return fleet_size_;
    }
    // Whether this VM is among the `count` VMs that `purpose` falls to: a
    // rendezvous hash over the live members, so that all agree once they see
    // the same members, and little moves when one leaves. Grants nothing.
    // O(members) after a change of the members, else O(log purposes).
    bool is_among(std::string_view purpose, std::size_t count) const;
    // The other VMs among those `count`. O(members).
    std::vector<std::string> others_among(std::string_view purpose,
                                          std::size_t count) const;

    // Changes since the last call, in order.
    std::vector<member_change> take_changes();

    std::vector<member_update> updates() const;

    soft_state& state()
    {
        return state_;
    }
    soft_state const& state() const
    {
        return state_;
    }
    membership_traffic const& traffic() const
    {
        return traffic_;
    }

private:
    struct probe
    {
        std::string vm;
        std::uint64_t sequence = 0;
        time_point sent{};
        bool indirect = false;
    };
    struct relayed_probe
    {
        std::string asker;
        std::uint64_t sequence = 0;
        std::string target;
        time_point sent{};
    };
    struct hot_update
    {
        int sent = 0;
        bool with_address = false;
    };

    using member_map = std::map<std::string, member, std::less<>>;

    member_update own_update() const;
    void apply(time_point now, member_update const& update, bool spread);
    void add(time_point now, member_update const& update, bool spread);
    void set_address(time_point now, member& row, member_update const& update);
    void replace_address_holder(time_point now, member& newcomer);
    void refute(member_update const& update);
    void set_health(time_point now, member& row, member_health health,
                    bool leaving);
    void note_revision(time_point now, std::string const& vm,
                       log_position revision);
    void heat(std::string const& vm, bool with_address);
    bool is_urgent(std::string const& vm) const;
    bool has_urgent() const;

    void answer(time_point now, peer_message const& from,
                gossip_message const& message, peer_sink const& emit);
    void take_ack(std::string const& from, gossip_message const& message,
                  peer_sink const& emit);
    void relay_probe(time_point now, std::string const& asker,
                     gossip_message const& message, peer_sink const& emit);
    void send(std::string const& to, gossip_message message,
              peer_sink const& emit, std::size_t extra_bytes);
    void emit_message(std::string const& to, gossip_message const& message,
                      peer_sink const& emit);
    void fill(gossip_message& message, std::size_t bytes, bool urgent_only);
    std::size_t fill_members(gossip_message& message, std::size_t bytes,
                             bool urgent_only);
    void fill_repair(gossip_message& message, std::size_t bytes);

    void refill_budget(time_point now);
    void forgive_freeze(time_point now);
    void judge_probe(time_point now, peer_sink const& emit);
    void start_probe(time_point now, peer_sink const& emit);
    void judge_suspects(time_point now);
    void forget_relayed(time_point now);
    void push_urgent(peer_sink const& emit);
    void ask_next(peer_sink const& emit);
    std::optional<std::string> next_target();
    std::vector<std::string> random_members(std::size_t count,
                                            std::string_view but);
    member_map::iterator erase(member_map::iterator it);
    int transmissions() const;
    duration suspicion() const;
    std::size_t affordable(std::size_t wanted) const;

    membership_options options_;
    std::mt19937_64 random_;
    soft_state state_;
    std::uint64_t incarnation_;
    bool leaving_ = false;
    log_position revision_;
    member_map members_;
    // The member that holds each address: the one that started last.
    absl::flat_hash_map<std::string, std::string> by_address_;
    std::map<std::string, hot_update> hot_; // updates still to be spread
    std::vector<std::string> probe_order_;  // a shuffle of the members
    std::size_t probe_next_ = 0;
    std::optional<probe> probe_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::uint64_t next_sequence_ = 1;
    time_point probe_due_{};
    time_point push_due_{};
    std::optional<time_point> ticked_;
    std::uint64_t probes_started_ = 0;
    std::string repair_cursor_;
    bool repair_rows_ = false;
    std::vector<std::string> asking_;
    std::size_t fleet_size_ = 1; // with this VM, without the gone
    // How many live members come before this one for a purpose; emptied
    // whenever a member's state changes.
    mutable std::map<std::string, std::size_t, std::less<>> ranks_;
    double budget_;
    std::vector<member_change> changes_;
    membership_traffic traffic_;
};

} // namespace amarantharch

#endif
