// The sending half of membership: fills messages with pending updates and rows
// within the byte budget, pushes urgent ones at once, and adds anti-entropy, a
// slow walk over all members and rows that repairs what was lost.
#include "core/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::size_t queries_per_push = 50;
// Bytes of a message without updates and rows, which may always be sent.
constexpr double empty_message_bytes = 100;

} // namespace

void membership::mark_pending(std::string const& vm, bool with_address)
{
    pending_updates_[vm] = {0, with_address};
}

// Sends a message with up to `extra_bytes` of updates and rows, as far as the
// budget allows.
void membership::send(std::string const& to, gossip_message message,
                      peer_sink const& emit, std::size_t extra_bytes)
{
    message.sender = own_update();
    message.revision = revision_;
    auto const* target = find(to);
    if (target != nullptr && target->health != member_health::live &&
        target->incarnation > 0)
    {
        message.members.push_back(
            target->update(false)); // so that it can refute this
    }
    fill(message, affordable(extra_bytes), message.kind == gossip_kind::push);
    emit_message(to, message, emit);
}

void membership::emit_message(std::string const& to,
                              gossip_message const& message,
                              peer_sink const& emit)
{
    peer_message out{to, peer_message_kind::membership, encode(message)};
    ++traffic_.messages_sent;
    traffic_.bytes_sent += out.payload.size();
    budget_ -= static_cast<double>(out.payload.size());
    emit(std::move(out));
}

std::size_t membership::affordable(std::size_t wanted) const
{
    auto const left = budget_ - empty_message_bytes;
    return left <= 0 ? 0 : std::min(wanted, static_cast<std::size_t>(left));
}

void membership::fill(gossip_message& message, std::size_t bytes,
                      bool urgent_only)
{
    bytes -= fill_members(message, bytes, urgent_only);
    auto rows = state_.take_pending(bytes, transmissions(), urgent_only);
    for (auto& row : rows)
    {
        bytes -= encoded_size(row);
        message.rows.push_back(std::move(row));
    }
    // Pushes carry only urgent updates; anti-entropy goes with probes.
    if (!urgent_only)
    {
        fill_anti_entropy(message,
                          std::min(bytes, options_.anti_entropy_bytes));
    }
}

bool membership::is_urgent(std::string const& vm) const
{
    if (vm == options_.vm)
    {
        return leaving_;
    }
    auto const* row = find(vm);
    return row != nullptr &&
           (row->leaving || row->health == member_health::gone);
}

bool membership::has_urgent() const
{
    return state_.has_urgent() ||
           std::ranges::any_of(pending_updates_, [this](auto const& entry)
                               { return is_urgent(entry.first); });
}

// Adds pending updates, those sent least often first; returns the bytes used.
std::size_t membership::fill_members(gossip_message& message, std::size_t bytes,
                                     bool urgent_only)
{
    std::vector<std::map<std::string, pending_update>::iterator> order;
    for (auto it = pending_updates_.begin(); it != pending_updates_.end(); ++it)
    {
        if (!urgent_only || is_urgent(it->first))
        {
            order.push_back(it);
        }
    }
    std::ranges::sort(order, {}, [](auto it) { return it->second.times_sent; });
    std::size_t used = 0;
    for (auto it : order)
    {
        auto const* row = find(it->first);
        if (row == nullptr && it->first != options_.vm)
        {
            pending_updates_.erase(it);
            continue;
        }
        auto update = row == nullptr ? own_update()
                                     : row->update(it->second.with_address);
        auto const size = encoded_size(update);
        if (used + size > bytes)
        {
            break;
        }
        used += size;
        message.members.push_back(std::move(update));
        if (++it->second.times_sent >= transmissions())
        {
            pending_updates_.erase(it);
        }
    }
    return used;
}

// Alternates between the anti-entropy walks over the members and the rows.
void membership::fill_anti_entropy(gossip_message& message, std::size_t bytes)
{
    anti_entropy_sends_rows_ = !anti_entropy_sends_rows_;
    if (anti_entropy_sends_rows_)
    {
        for (auto& row : state_.take_anti_entropy(bytes))
        {
            message.rows.push_back(std::move(row));
        }
        return;
    }
    auto it = members_.lower_bound(anti_entropy_cursor_);
    for (std::size_t left = members_.size(); left > 0; --left)
    {
        if (it == members_.end())
        {
            it = members_.begin();
        }
        auto update = it->second.update(true);
        auto const size = encoded_size(update);
        if (size > bytes)
        {
            break;
        }
        bytes -= size;
        if (update.incarnation > 0)
        {
            message.members.push_back(std::move(update));
        }
        ++it;
    }
    anti_entropy_cursor_ = it == members_.end() ? std::string() : it->first;
}

void membership::refill_budget(time_point now)
{
    if (last_tick_ && now > *last_tick_)
    {
        std::chrono::duration<double> const passed = now - *last_tick_;
        budget_ =
            std::min(options_.burst_bytes,
                     budget_ + passed.count() * options_.bytes_per_second);
    }
}

void membership::push_urgent(peer_sink const& emit)
{
    if (!has_urgent())
    {
        return;
    }
    for (auto const& vm : random_members(options_.push_fanout, {}))
    {
        if (affordable(options_.message_bytes) < options_.message_bytes ||
            !has_urgent())
        {
            return;
        }
        gossip_message push;
        push.kind = gossip_kind::push;
        send(vm, std::move(push), emit, options_.message_bytes);
    }
}

void membership::send_revision_queries(peer_sink const& emit)
{
    auto const budget = budget_;
    for (std::size_t i = 0; i < queries_per_push && !revision_queries_.empty();
         ++i)
    {
        gossip_message ping;
        ping.kind = gossip_kind::ping;
        ping.sequence = next_sequence_++;
        ping.sender = own_update();
        ping.revision = revision_;
        emit_message(revision_queries_.back(), ping, emit);
        revision_queries_.pop_back();
    }
    budget_ = budget;
}

std::vector<std::string> membership::random_members(std::size_t count,
                                                    std::string_view excluded)
{
    std::vector<std::string> chosen;
    if (probe_order_.empty())
    {
        return chosen;
    }
    // Draws that hit a duplicate or a member that is not live are lost, so
    // their number is bounded.
    auto const draws = count * 4;
    for (std::size_t i = 0; i < draws && chosen.size() < count; ++i)
    {
        auto const& vm = probe_order_[random_() % probe_order_.size()];
        if (vm != excluded && find(vm)->health == member_health::live &&
            std::ranges::find(chosen, vm) == chosen.end())
        {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

int membership::transmissions() const
{
    constexpr int extra = 3;
    auto const rounds = std::log(static_cast<double>(fleet_size_) + 1);
    return static_cast<int>(std::ceil(rounds)) + extra;
}

} // namespace amarantharch
