#include "core/membership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

// One probe in this many goes to a member that is gone, so that the end of a
// network partition is noticed.
constexpr std::uint64_t probes_per_gone_probe = 10;
constexpr std::size_t max_missing_names = 20;
constexpr std::size_t max_relayed_probes = 256;
constexpr int index_bits = 20; // of a revision packed into a soft-state value

std::int64_t to_value(log_position revision)
{
    return static_cast<std::int64_t>((revision.offset << index_bits) |
                                     revision.index);
}

log_position to_revision(std::int64_t value)
{
    auto const bits = static_cast<std::uint64_t>(value);
    return {bits >> index_bits,
            static_cast<std::uint32_t>(bits & ((1U << index_bits) - 1))};
}

std::uint64_t rendezvous_hash(std::string_view purpose, std::string_view vm)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(),
                                XXH3_64bits(purpose.data(), purpose.size()));
}

} // namespace

member_update member::update(bool with_address) const
{
    member_update result;
    result.vm = vm;
    result.incarnation = incarnation;
    result.health = health;
    result.leaving = leaving;
    if (with_address)
    {
        result.address = address;
        result.failure_domain = failure_domain;
    }
    return result;
}

member_state member::state() const
{
    switch (health)
    {
    case member_health::gone:
        return member_state::gone;
    case member_health::suspect:
        return member_state::suspect;
    case member_health::live:
        break;
    }
    return leaving ? member_state::leaving : member_state::live;
}

membership::membership(membership_options options)
    : options_(std::move(options)), random_(options_.seed),
      state_(soft_state_options{options_.vm}),
      incarnation_(options_.incarnation), budget_(options_.burst_bytes)
{
    mark_pending(options_.vm, true);
}

member_update membership::own_update() const
{
    return {options_.vm, incarnation_,     member_health::live,
            leaving_,    options_.address, options_.failure_domain};
}

// ---- Received messages. ----

void membership::receive(time_point now, peer_message const& message,
                         peer_sink const& emit)
{
    ++traffic_.messages_received;
    traffic_.bytes_received += message.payload.size();
    auto decoded = decode_gossip_message(message.payload);
    if (!decoded.ok() || decoded->sender.vm != message.vm ||
        message.vm == options_.vm)
    {
        ++traffic_.undecodable;
        return;
    }
    apply(now, decoded->sender, true);
    record_revision(now, message.vm, decoded->revision);
    for (auto const& update : decoded->members)
    {
        apply(now, update, true);
    }
    for (auto const& row : decoded->rows)
    {
        auto const* origin = find(row.key.origin);
        if (origin == nullptr || origin->health != member_health::gone)
        {
            state_.merge(now, row);
        }
    }
    handle_by_kind(now, message, *decoded, emit);
}

void membership::record_revision(time_point now, std::string const& vm,
                                 log_position revision)
{
    auto const found = members_.find(vm);
    if (found != members_.end())
    {
        found->second.revision = std::max(found->second.revision, revision);
    }
    if (revision > newest_revision())
    {
        state_.set(now, soft_kind::configuration_revision, "",
                   to_value(revision));
    }
}

void membership::handle_by_kind(time_point now, peer_message const& from,
                                gossip_message const& message,
                                peer_sink const& emit)
{
    switch (message.kind)
    {
    case gossip_kind::ping:
    {
        gossip_message ack;
        ack.kind = gossip_kind::ack;
        ack.sequence = message.sequence;
        ack.target = options_.vm;
        send(from.vm, std::move(ack), emit, options_.message_bytes);
        break;
    }
    case gossip_kind::ack:
        handle_ack(from.vm, message, emit);
        break;
    case gossip_kind::ping_request:
        relay_probe(now, from.vm, message, emit);
        break;
    case gossip_kind::push:
        break;
    }
}

void membership::handle_ack(std::string const& from,
                            gossip_message const& message,
                            peer_sink const& emit)
{
    if (probe_ && probe_->sequence == message.sequence &&
        (probe_->vm == from || probe_->vm == message.target))
    {
        probe_.reset();
        return;
    }
    auto const found = relayed_.find(message.sequence);
    if (found == relayed_.end() || found->second.target != from)
    {
        return;
    }
    gossip_message ack;
    ack.kind = gossip_kind::ack;
    ack.sequence = found->second.sequence;
    ack.target = from;
    ack.members.push_back(message.sender); // may refute a suspicion
    auto const asker = found->second.requester;
    relayed_.erase(found);
    send(asker, std::move(ack), emit, 0);
}

void membership::relay_probe(time_point now, std::string const& asker,
                             gossip_message const& message,
                             peer_sink const& emit)
{
    if (relayed_.size() >= max_relayed_probes)
    {
        return;
    }
    gossip_message ping;
    ping.kind = gossip_kind::ping;
    ping.sequence = next_sequence_++;
    relayed_[ping.sequence] = {asker, message.sequence, message.target, now};
    send(message.target, std::move(ping), emit, 0);
}

void membership::apply(time_point now, member_update const& update, bool gossip)
{
    if (update.vm.empty())
    {
        return;
    }
    if (update.vm == options_.vm)
    {
        refute(update);
        return;
    }
    auto found = members_.find(update.vm);
    if (found == members_.end())
    {
        if (update.health != member_health::gone)
        {
            add(now, update, gossip);
        }
        return;
    }
    auto& row = found->second;
    if (update.incarnation < row.incarnation)
    {
        return;
    }
    bool const newer = update.incarnation > row.incarnation;
    auto const health =
        newer ? update.health : std::max(row.health, update.health);
    bool const leaving =
        newer ? update.leaving : (row.leaving || update.leaving);
    bool const changed =
        newer || health != row.health || leaving != row.leaving;
    row.incarnation = update.incarnation;
    set_address(now, row, update);
    set_health(now, row, health, leaving);
    if (changed && gossip)
    {
        mark_pending(row.vm, newer);
    }
}

void membership::add(time_point now, member_update const& update, bool gossip)
{
    member row;
    row.vm = update.vm;
    row.incarnation = update.incarnation;
    row.health = update.health;
    row.leaving = update.leaving;
    row.since = now;
    auto& added = members_.emplace(update.vm, std::move(row)).first->second;
    ++fleet_size_;
    ranks_.clear();
    changes_.push_back({update.vm, member_state::gone, added.state()});
    set_address(now, added, update);
    // At a random position, so that not all VMs probe it at the same time.
    auto const position = random_() % (probe_order_.size() + 1);
    probe_order_.push_back(update.vm);
    std::swap(probe_order_[position], probe_order_.back());
    if (gossip)
    {
        mark_pending(update.vm, true);
    }
}

void membership::set_address(time_point now, member& row,
                             member_update const& update)
{
    if (!update.failure_domain.empty())
    {
        row.failure_domain = update.failure_domain;
    }
    if (update.address.empty() || update.address == row.address)
    {
        return;
    }
    auto const old = by_address_.find(row.address);
    if (old != by_address_.end() && old->second == row.vm)
    {
        by_address_.erase(old);
    }
    row.address = update.address;
    replace_address_holder(now, row);
}

// An address belongs to the VM that started last; the other one is gone.
void membership::replace_address_holder(time_point now, member& newcomer)
{
    auto const [holder, added] =
        by_address_.try_emplace(newcomer.address, newcomer.vm);
    if (added || holder->second == newcomer.vm)
    {
        return;
    }
    auto const other = members_.find(holder->second);
    bool const wins = other == members_.end() ||
                      other->second.incarnation < newcomer.incarnation;
    auto& loser = wins && other != members_.end() ? other->second : newcomer;
    if (wins)
    {
        holder->second = newcomer.vm;
    }
    if (&loser != &newcomer || !wins)
    {
        set_health(now, loser, member_health::gone, loser.leaving);
        mark_pending(loser.vm, false);
    }
}

// Refutes an update that says that this VM is not live, by a larger
// incarnation, which overrides it.
void membership::refute(member_update const& update)
{
    if (update.incarnation < incarnation_)
    {
        return;
    }
    if (update.leaving && !leaving_)
    {
        leave(); // the platform has announced the reclaim of this VM
    }
    if (update.health != member_health::live)
    {
        incarnation_ = update.incarnation + 1;
        mark_pending(options_.vm, false);
    }
}

void membership::set_health(time_point now, member& row, member_health health,
                            bool leaving)
{
    auto const before = row.state();
    bool const was_gone = row.health == member_health::gone;
    if (health != row.health)
    {
        row.since = now;
    }
    row.health = health;
    row.leaving = leaving;
    bool const is_gone = health == member_health::gone;
    if (is_gone && !was_gone)
    {
        --fleet_size_;
        state_.forget_origin(row.vm);
    }
    if (was_gone && !is_gone)
    {
        ++fleet_size_;
    }
    if (before != row.state())
    {
        ranks_.clear();
        changes_.push_back({row.vm, before, row.state()});
    }
}

void membership::apply_vm_list(time_point now,
                               std::vector<listed_member> const& vms)
{
    for (auto const& listed : vms)
    {
        if (listed.vm != options_.vm && !members_.contains(listed.vm) &&
            !by_address_.contains(listed.address))
        {
            add(now,
                {listed.vm, 0, member_health::live, false, listed.address,
                 listed.failure_domain},
                false);
        }
        auto const known = members_.find(listed.vm);
        if (known != members_.end() &&
            known->second.millicores != listed.millicores)
        {
            known->second.millicores = listed.millicores;
            ranks_.clear();
        }
    }
}

void membership::merge(time_point now,
                       std::vector<member_update> const& updates)
{
    for (auto const& update : updates)
    {
        apply(now, update, false);
    }
}

// ---- State of this VM and of revisions. ----

void membership::leave()
{
    leaving_ = true;
    mark_pending(options_.vm, false);
}

void membership::mark_leaving(time_point now, std::string_view vm)
{
    auto const found = members_.find(vm);
    if (found != members_.end() && !found->second.leaving)
    {
        set_health(now, found->second, found->second.health, true);
        mark_pending(found->second.vm, false);
    }
}

void membership::set_revision(time_point now, log_position revision)
{
    revision_ = std::max(revision_, revision);
    record_revision(now, options_.vm, revision_);
}

log_position membership::newest_revision() const
{
    auto const value = state_.value(soft_kind::configuration_revision, "");
    return std::max(revision_, to_revision(value.value_or(0)));
}

void membership::query_revisions(log_position revision)
{
    revision_queries_.clear();
    for (auto const& [vm, row] : members_)
    {
        if (row.health != member_health::gone && row.revision < revision)
        {
            revision_queries_.push_back(vm);
        }
    }
}

membership::revision_holders
membership::count_holders(log_position revision) const
{
    revision_holders result;
    result.members = 1;
    result.in_force = revision_ >= revision ? 1 : 0;
    for (auto const& [vm, row] : members_)
    {
        if (row.health == member_health::gone)
        {
            continue;
        }
        ++result.members;
        if (row.revision >= revision)
        {
            ++result.in_force;
        }
        else if (result.missing.size() < max_missing_names)
        {
            result.missing.push_back(vm);
        }
    }
    return result;
}

// ---- Periodic work. ----

void membership::tick(time_point now, peer_sink const& emit)
{
    refill_budget(now);
    extend_deadlines_after_pause(now);
    check_probe(now, emit);
    if (now >= probe_due_)
    {
        probe_due_ = now + options_.probe_period;
        start_probe(now, emit);
        expire_suspects(now);
        expire_relayed_probes(now);
        state_.expire(now);
    }
    if (now >= push_due_)
    {
        push_due_ = now + options_.push_period;
        push_urgent(emit);
        send_revision_queries(emit);
    }
    last_tick_ = now;
}

// After a pause of this process, answers may wait unread in its sockets: drops
// the current probe and extends the suspicion timeouts by the pause.
void membership::extend_deadlines_after_pause(time_point now)
{
    if (!last_tick_)
    {
        std::uniform_int_distribution<duration::rep> phase(
            0, options_.probe_period.count());
        probe_due_ = now + duration(phase(random_));
        return;
    }
    auto const gap = now - *last_tick_;
    if (gap < options_.probe_period / 2 && gap >= duration{})
    {
        return;
    }
    probe_.reset();
    probe_due_ = now + options_.probe_period;
    for (auto& [vm, row] : members_)
    {
        if (row.health == member_health::suspect)
        {
            row.since += gap;
        }
    }
}

void membership::check_probe(time_point now, peer_sink const& emit)
{
    if (!probe_)
    {
        return;
    }
    if (!probe_->indirect && now - probe_->sent >= options_.probe_timeout)
    {
        probe_->indirect = true;
        for (auto const& vm :
             random_members(options_.indirect_probes, probe_->vm))
        {
            gossip_message request;
            request.kind = gossip_kind::ping_request;
            request.sequence = probe_->sequence;
            request.target = probe_->vm;
            send(vm, std::move(request), emit, 0);
        }
    }
    if (now - probe_->sent < options_.probe_period)
    {
        return;
    }
    auto const found = members_.find(probe_->vm);
    if (found != members_.end() && found->second.health == member_health::live)
    {
        set_health(now, found->second, member_health::suspect,
                   found->second.leaving);
        if (found->second.incarnation > 0)
        {
            mark_pending(found->second.vm, false);
        }
    }
    probe_.reset();
}

void membership::start_probe(time_point now, peer_sink const& emit)
{
    if (probe_)
    {
        return; // check_probe ends it within a tick
    }
    ++probes_started_;
    auto const target = next_target();
    if (!target)
    {
        return;
    }
    gossip_message ping;
    ping.kind = gossip_kind::ping;
    ping.sequence = next_sequence_++;
    if (find(*target)->health != member_health::gone)
    {
        probe_ = probe{*target, ping.sequence, now, false};
    }
    send(*target, std::move(ping), emit, options_.message_bytes);
}

// Walks round robin over a random order, reshuffled after each round, so that
// each member is probed within twice as many periods as there are members.
std::optional<std::string> membership::next_target()
{
    bool const want_gone = probes_started_ % probes_per_gone_probe == 0;
    for (std::size_t tries = probe_order_.size(); tries > 0; --tries)
    {
        if (probe_next_ >= probe_order_.size())
        {
            std::ranges::shuffle(probe_order_, random_);
            probe_next_ = 0;
        }
        auto const& vm = probe_order_[probe_next_++];
        bool const gone = find(vm)->health == member_health::gone;
        if (gone == want_gone)
        {
            return vm;
        }
    }
    return std::nullopt;
}

void membership::expire_suspects(time_point now)
{
    auto const timeout = suspicion_timeout();
    for (auto it = members_.begin(); it != members_.end();)
    {
        auto& row = it->second;
        if (row.health == member_health::suspect && now - row.since >= timeout)
        {
            set_health(now, row, member_health::gone, row.leaving);
            if (row.incarnation > 0)
            {
                mark_pending(row.vm, false);
            }
        }
        bool const forget = row.health == member_health::gone &&
                            now - row.since >= options_.forget_after;
        it = forget ? erase(it) : std::next(it);
    }
}

membership::member_map::iterator membership::erase(member_map::iterator it)
{
    auto const& row = it->second;
    auto const holder = by_address_.find(row.address);
    if (holder != by_address_.end() && holder->second == row.vm)
    {
        by_address_.erase(holder);
    }
    pending_updates_.erase(row.vm);
    std::erase(probe_order_, row.vm);
    return members_.erase(it);
}

void membership::expire_relayed_probes(time_point now)
{
    std::erase_if(relayed_, [&](auto const& entry)
                  { return now - entry.second.sent > options_.probe_period; });
}

duration membership::suspicion_timeout() const
{
    auto const factor =
        std::max(1.0, std::log10(static_cast<double>(fleet_size_)));
    auto const micros =
        static_cast<double>(options_.min_suspicion_timeout.count()) * factor;
    return duration(static_cast<duration::rep>(micros));
}

// ---- Queries. ----

member const* membership::find(std::string_view vm) const
{
    auto const found = members_.find(vm);
    return found == members_.end() ? nullptr : &found->second;
}

bool membership::is_selected_for(std::string_view purpose,
                                 std::size_t count) const
{
    if (auto const known = ranks_.find(purpose); known != ranks_.end())
    {
        return known->second < count;
    }
    selection_rank const own{options_.millicores,
                             rendezvous_hash(purpose, options_.vm)};
    auto const before = std::ranges::count_if(
        members_,
        [&](auto const& entry)
        {
            return entry.second.state() == member_state::live &&
                   selection_rank{entry.second.millicores,
                                  rendezvous_hash(purpose, entry.first)} > own;
        });
    auto const rank = static_cast<std::size_t>(before);
    ranks_.emplace(purpose, rank);
    return rank < count;
}

std::vector<std::string>
membership::others_selected_for(std::string_view purpose,
                                std::size_t count) const
{
    std::vector<std::pair<selection_rank, std::string>> ranked;
    for (auto const& [vm, row] : members_)
    {
        if (row.state() == member_state::live)
        {
            ranked.emplace_back(
                selection_rank{row.millicores, rendezvous_hash(purpose, vm)},
                vm);
        }
    }
    bool const own = is_selected_for(purpose, count);
    std::size_t const wanted = std::min(ranked.size(), count - (own ? 1 : 0));
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                      ranked.end(), std::greater<>());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < wanted; ++i)
    {
        chosen.push_back(std::move(ranked[i].second));
    }
    return chosen;
}

std::vector<member_change> membership::take_changes()
{
    return std::exchange(changes_, {});
}

std::vector<member_update> membership::updates() const
{
    std::vector<member_update> all{own_update()};
    for (auto const& [vm, row] : members_)
    {
        if (row.incarnation > 0)
        {
            all.push_back(row.update(true));
        }
    }
    return all;
}

} // namespace amarantharch
