#include "core/prefix_cache.hpp"

#include <xxhash.h>

#include <algorithm>

namespace amarantharch
{

namespace
{

constexpr std::size_t block_bytes = tokens_per_block * bytes_per_token;

// Weight of the newest answer in the moving average of the confidence.
constexpr double confidence_gain = 0.1;

// Factor on the confidence when events were lost.
constexpr double confidence_after_gap = 0.8;

} // namespace

prefix_chain hash_prefix(std::string_view prompt)
{
    std::size_t const blocks =
        std::min(prompt.size() / block_bytes, max_chain_blocks);
    prefix_chain chain;
    chain.reserve(blocks);
    std::uint64_t previous = 0;
    for (std::size_t i = 0; i < blocks; ++i)
    {
        previous = XXH3_64bits_withSeed(prompt.data() + i * block_bytes,
                                        block_bytes, previous);
        chain.push_back(previous);
    }
    return chain;
}

namespace
{

// Blocks of a part; the last one may be partial.
std::size_t blocks_of(prompt_part const& part)
{
    return (part.tokens + tokens_per_block - 1) / tokens_per_block;
}

} // namespace

block_hash shared_prefix_hash(std::vector<prompt_part> const& parts,
                              prefix_chain const& chain)
{
    std::size_t blocks = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        blocks += blocks_of(parts[i]);
    }
    blocks = std::min(blocks, chain.size());
    return blocks == 0 ? 0 : chain[blocks - 1];
}

prefix_chain hash_prompt_parts(std::vector<prompt_part> const& parts)
{
    prefix_chain chain;
    std::uint64_t previous = 0;
    for (prompt_part const& part : parts)
    {
        std::size_t const blocks = blocks_of(part);
        for (std::size_t i = 0; i < blocks; ++i)
        {
            if (chain.size() == max_chain_blocks)
            {
                return chain;
            }
            std::uint64_t const content[] = {part.id, i};
            previous = XXH3_64bits_withSeed(content, sizeof content, previous);
            chain.push_back(previous);
        }
    }
    return chain;
}

prefix_cache::prefix_cache(std::size_t budget_blocks)
    : budget_(std::max<std::size_t>(budget_blocks, 1))
{
}

void prefix_cache::set_capacity(upstream_index upstream, std::uint32_t blocks)
{
    contents& held = contents_of(upstream);
    held.capacity = blocks;
    while (held.blocks > held.capacity)
    {
        erase_entry(held.order.oldest);
    }
}

std::size_t prefix_cache::predicted_blocks(upstream_index upstream,
                                           prefix_chain const& chain) const
{
    if (upstream >= by_upstream_.size() || by_upstream_[upstream].blocks == 0)
    {
        return 0;
    }
    // Invariant: the blocks before `low` are held, the one at `high` is not.
    std::size_t low = 0;
    std::size_t high = chain.size();
    while (low < high)
    {
        std::size_t const middle = low + (high - low) / 2;
        if (holds(upstream, chain[middle]))
        {
            low = middle + 1;
        }
        else
        {
            high = middle;
        }
    }
    return low;
}

double prefix_cache::confidence(upstream_index upstream) const
{
    return upstream < by_upstream_.size() ? by_upstream_[upstream].confidence
                                          : 1;
}

void prefix_cache::on_sent(upstream_index upstream, prefix_chain const& chain)
{
    for (auto hash = chain.rbegin(); hash != chain.rend(); ++hash)
    {
        touch(upstream, *hash);
    }
}

void prefix_cache::on_reported(upstream_index upstream, std::size_t predicted,
                               std::size_t reported)
{
    if (predicted == 0)
    {
        return;
    }
    double const found = std::min(1.0, static_cast<double>(reported) /
                                           static_cast<double>(predicted));
    contents& held = contents_of(upstream);
    held.confidence += confidence_gain * (found - held.confidence);
}

void prefix_cache::on_events(upstream_index upstream,
                             cache_events const& events)
{
    contents& held = contents_of(upstream);
    bool const gap =
        held.last_sequence != 0 && events.sequence > held.last_sequence + 1;
    if (gap)
    {
        held.confidence *= confidence_after_gap;
    }
    held.last_sequence = std::max(held.last_sequence, events.sequence);
    for (block_hash const hash : events.stored)
    {
        if (!holds(upstream, hash))
        {
            touch(upstream, hash);
        }
    }
    for (block_hash const hash : events.removed)
    {
        erase(upstream, hash);
    }
}

void prefix_cache::forget(upstream_index upstream)
{
    contents& held = contents_of(upstream);
    while (held.order.oldest != none)
    {
        erase_entry(held.order.oldest);
    }
    held = contents{};
}

bool prefix_cache::holds(upstream_index upstream, block_hash hash) const
{
    return entry_by_key_.contains(key{upstream, hash});
}

prefix_cache::contents& prefix_cache::contents_of(upstream_index upstream)
{
    if (upstream >= by_upstream_.size())
    {
        by_upstream_.resize(upstream + 1);
    }
    return by_upstream_[upstream];
}

void prefix_cache::touch(upstream_index upstream, block_hash hash)
{
    contents& held = contents_of(upstream);
    if (held.capacity == 0)
    {
        return;
    }
    auto const known = entry_by_key_.find(key{upstream, hash});
    if (known != entry_by_key_.end())
    {
        entry_index const index = known->second;
        unlink(order_, &entry::all_links, index);
        unlink(held.order, &entry::upstream_links, index);
        append(order_, &entry::all_links, index);
        append(held.order, &entry::upstream_links, index);
        return;
    }
    if (held.blocks >= held.capacity)
    {
        erase_entry(held.order.oldest);
    }
    if (entry_by_key_.size() >= budget_)
    {
        erase_entry(order_.oldest);
    }
    entry_index const index = new_entry();
    entries_[index].hash = hash;
    entries_[index].upstream = upstream;
    append(order_, &entry::all_links, index);
    append(held.order, &entry::upstream_links, index);
    entry_by_key_.emplace(key{upstream, hash}, index);
    ++held.blocks;
}

void prefix_cache::erase(upstream_index upstream, block_hash hash)
{
    auto const known = entry_by_key_.find(key{upstream, hash});
    if (known != entry_by_key_.end())
    {
        erase_entry(known->second);
    }
}

void prefix_cache::append(list& order, links entry::*member, entry_index index)
{
    entries_[index].*member = links{order.newest, none};
    if (order.newest != none)
    {
        (entries_[order.newest].*member).newer = index;
    }
    else
    {
        order.oldest = index;
    }
    order.newest = index;
}

void prefix_cache::unlink(list& order, links entry::*member, entry_index index)
{
    links const neighbours = entries_[index].*member;
    if (neighbours.older != none)
    {
        (entries_[neighbours.older].*member).newer = neighbours.newer;
    }
    else
    {
        order.oldest = neighbours.newer;
    }
    if (neighbours.newer != none)
    {
        (entries_[neighbours.newer].*member).older = neighbours.older;
    }
    else
    {
        order.newest = neighbours.older;
    }
}

void prefix_cache::erase_entry(entry_index index)
{
    entry const erased = entries_[index];
    contents& held = by_upstream_[erased.upstream];
    unlink(order_, &entry::all_links, index);
    unlink(held.order, &entry::upstream_links, index);
    entry_by_key_.erase(key{erased.upstream, erased.hash});
    --held.blocks;
    free_.push_back(index);
}

prefix_cache::entry_index prefix_cache::new_entry()
{
    if (free_.empty())
    {
        entries_.emplace_back();
        return static_cast<entry_index>(entries_.size() - 1);
    }
    entry_index const index = free_.back();
    free_.pop_back();
    return index;
}

} // namespace amarantharch
