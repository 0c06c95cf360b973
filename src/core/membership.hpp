// Fleet membership and failure detection by SWIM: probing and gossip at a cost
// for each VM that does not depend on the size of the fleet.
//
// Each probe period one member is pinged. If it does not answer in time, a few
// others are asked to ping it; if they get no answer either, it is suspected. A
// suspected VM may refute this with a larger incarnation; after the suspicion
// timeout it counts as gone. Member updates and soft-state rows are piggybacked
// on these messages within a budget of bytes per second; urgent ones are also
// pushed at once to a few random members.
//
// Of two updates about one VM, the larger incarnation wins, then the worse
// health. The leaving flag is never cleared within an incarnation, except by
// the VM itself. The initial incarnation is the start time of the process, so a
// restarted VM replaces its predecessor, and so does a new VM at a known
// address.
//
// The platform's list is only a hint: it adds VMs to probe and removes none.
// After a pause of its own process, a VM first gives its peers time to answer
// before it suspects any of them or declares them gone.
//
// Cost per VM and second: one probe sent and one answered on average, at most
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
#include <utility>
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
    std::uint64_t incarnation = 0; // 0: listed, but never heard from
    member_health health = member_health::live;
    bool leaving = false;
    time_point since{};    // when its health last changed, as seen here
    log_position revision; // in force at the member, as far as known here
    std::uint32_t millicores = 0; // 0: not known

    member_state state() const;
    // The update to send about this member, with its address or without.
    member_update update(bool with_address) const;
};

// A row of the platform's list of VMs.
struct listed_member
{
    std::string vm;
    std::string address;
    std::string failure_domain;
    std::uint32_t millicores = 0; // 0: not known
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
    std::uint32_t millicores = 0;  // of this VM; 0: not known
    std::uint64_t incarnation = 1; // microseconds since the epoch at the start
    std::uint64_t seed = 0;
    duration probe_period = std::chrono::seconds(1);
    duration probe_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    duration min_suspicion_timeout =
        std::chrono::seconds(3); // grows with log10(n)
    duration forget_after = std::chrono::minutes(10);
    duration push_period = std::chrono::milliseconds(100);
    std::size_t push_fanout = 3;
    double bytes_per_second = 1600; // of payloads sent
    double burst_bytes = 12000;
    std::size_t message_bytes = 700;      // of updates and rows in one message
    std::size_t anti_entropy_bytes = 250; // of message_bytes, for anti-entropy
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

    // Handles a peer_message_kind::membership message.
    void receive(time_point now, peer_message const& message,
                 peer_sink const& emit);

    // Sends probes and urgent updates and checks timeouts, as far as they are
    // due. Call it every tick_interval.
    void tick(time_point now, peer_sink const& emit);

    void apply_vm_list(time_point now, std::vector<listed_member> const& vms);

    // Merges the members of a snapshot, without gossiping them on.
    void merge(time_point now, std::vector<member_update> const& updates);

    // Marks this VM as leaving, for good; peers are told urgently.
    void leave();

    // Marks another VM as leaving: the platform has announced its reclaim.
    void mark_leaving(time_point now, std::string_view vm);

    // Sets the revision in force here; each message tells it to the peers.
    void set_revision(time_point now, log_position revision);

    // The newest revision that any VM is known to hold.
    log_position newest_revision() const;

    // Pings every member that is not known to hold `revision`, for an operator
    // who waits for a publish. Paced by tick, and not counted in the byte
    // budget.
    void query_revisions(log_position revision);

    // Which VMs hold a revision, of this VM and the members that are not gone.
    struct revision_holders
    {
        std::size_t in_force = 0; // VMs that hold it or a newer one
        std::size_t members = 0;
        std::vector<std::string> missing; // at most 20 of the others, by name
    };
    revision_holders count_holders(log_position revision) const;

    // All other VMs, by name; a gone one is kept for `forget_after`.
    std::map<std::string, member, std::less<>> const& members() const
    {
        return members_;
    }
    // Null if unknown.
    member const* find(std::string_view vm) const;
    // The number of VMs that are not gone, including this one.
    std::size_t fleet_size() const
    {
        return fleet_size_;
    }
    // Whether this VM is one of the `count` VMs selected for `purpose`: those
    // with the most processor time and, among equals, by rendezvous hashing
    // over the live members. All VMs agree once they see the
    // same members, and few selections change when one leaves; until then they
    // may differ, so a selection is no exclusive right.
    // O(members) after a change of the members, else O(log purposes).
    bool is_selected_for(std::string_view purpose, std::size_t count) const;
    // The other VMs selected for `purpose`. O(members).
    std::vector<std::string> others_selected_for(std::string_view purpose,
                                                 std::size_t count) const;

    // Returns the changes since the last call, in order.
    std::vector<member_change> take_changes();

    // Updates for this VM and all members heard from, for a snapshot.
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
    // Orders VMs for a purpose, the greatest first: by millicores, then by the
    // rendezvous hash.
    using selection_rank = std::pair<std::uint32_t, std::uint64_t>;

    struct probe
    {
        std::string vm;
        std::uint64_t sequence = 0;
        time_point sent{};
        bool indirect = false;
    };
    struct relayed_probe
    {
        std::string requester;
        std::uint64_t sequence = 0;
        std::string target;
        time_point sent{};
    };
    struct pending_update
    {
        int times_sent = 0;
        bool with_address = false;
    };

    using member_map = std::map<std::string, member, std::less<>>;

    member_update own_update() const;
    void apply(time_point now, member_update const& update, bool gossip);
    void add(time_point now, member_update const& update, bool gossip);
    void set_address(time_point now, member& row, member_update const& update);
    void replace_address_holder(time_point now, member& newcomer);
    void refute(member_update const& update);
    void set_health(time_point now, member& row, member_health health,
                    bool leaving);
    void record_revision(time_point now, std::string const& vm,
                         log_position revision);
    void mark_pending(std::string const& vm, bool with_address);
    bool is_urgent(std::string const& vm) const;
    bool has_urgent() const;

    void handle_by_kind(time_point now, peer_message const& from,
                        gossip_message const& message, peer_sink const& emit);
    void handle_ack(std::string const& from, gossip_message const& message,
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
    void fill_anti_entropy(gossip_message& message, std::size_t bytes);

    void refill_budget(time_point now);
    void extend_deadlines_after_pause(time_point now);
    void check_probe(time_point now, peer_sink const& emit);
    void start_probe(time_point now, peer_sink const& emit);
    void expire_suspects(time_point now);
    void expire_relayed_probes(time_point now);
    void push_urgent(peer_sink const& emit);
    void send_revision_queries(peer_sink const& emit);
    std::optional<std::string> next_target();
    std::vector<std::string> random_members(std::size_t count,
                                            std::string_view excluded);
    member_map::iterator erase(member_map::iterator it);
    int transmissions() const;
    duration suspicion_timeout() const;
    std::size_t affordable(std::size_t wanted) const;

    membership_options options_;
    std::mt19937_64 random_;
    soft_state state_;
    std::uint64_t incarnation_;
    bool leaving_ = false;
    log_position revision_;
    member_map members_;
    // For each address the member that started there last.
    absl::flat_hash_map<std::string, std::string> by_address_;
    std::map<std::string, pending_update>
        pending_updates_;                  // updates still to be sent
    std::vector<std::string> probe_order_; // the members, shuffled
    std::size_t probe_next_ = 0;
    std::optional<probe> probe_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    std::uint64_t next_sequence_ = 1;
    time_point probe_due_{};
    time_point push_due_{};
    std::optional<time_point> last_tick_;
    std::uint64_t probes_started_ = 0;
    std::string anti_entropy_cursor_;
    bool anti_entropy_sends_rows_ = false;
    std::vector<std::string> revision_queries_; // members still to be pinged
    std::size_t fleet_size_ = 1; // this VM and the members not gone
    // For each purpose the number of live members that rank before this VM;
    // cleared whenever a member's state changes.
    mutable std::map<std::string, std::size_t, std::less<>> ranks_;
    double budget_; // bytes that may be sent now
    std::vector<member_change> changes_;
    membership_traffic traffic_;
};

} // namespace amarantharch

#endif
