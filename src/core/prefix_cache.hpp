// Predicts which prompt prefixes each upstream's KV cache holds.
//
// A prompt is divided into blocks of equal size. The hash of a block covers all
// blocks before it too, so one hash identifies a whole prefix. For each
// upstream the model keeps the hashes that its cache should hold, in
// least-recently-used order, bounded by the capacity of that upstream and by
// one budget for all upstreams.
//
// The model is a prediction. A request that is sent adds its blocks. Cache
// events published by the upstream, late and with gaps, add and remove blocks.
// The count of cached tokens that comes with an answer adjusts a confidence per
// upstream. A wrong prediction costs time, never correctness.
//
// The blocks of a chain are touched from last to first, so the first block is
// the most recently used and the ends of prefixes are evicted first, as engines
// do. Hence holding block i implies holding all blocks before it (except after
// removal events out of order), and a lookup is a binary search:
// O(log blocks) per upstream. Memory: about 64 bytes per block.
#ifndef AMARANTHARCH_CORE_PREFIX_CACHE_HPP
#define AMARANTHARCH_CORE_PREFIX_CACHE_HPP

#include "core/call.hpp"
#include "core/upstream_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace amarantharch
{

using block_hash = std::uint64_t;
using prefix_chain = std::vector<block_hash>;

inline constexpr std::uint32_t tokens_per_block = 64;
inline constexpr std::size_t bytes_per_token = 4; // estimate for plain text
inline constexpr std::size_t max_chain_blocks = 2'048;

// Hashes the complete blocks of `prompt`, at most max_chain_blocks.
prefix_chain hash_prefix(std::string_view prompt);

// Hashes a prompt that is described by its parts: equal leading parts give
// equal leading blocks. The last block of a part may be partial. At most
// max_chain_blocks.
prefix_chain hash_prompt_parts(std::vector<prompt_part> const& parts);

// The hash of the longest prefix that requests on the same subject share: all
// parts but the last one, which belongs to the request alone. 0 if none.
block_hash shared_prefix_hash(std::vector<prompt_part> const& parts,
                              prefix_chain const& chain);

// Changes of its cache that an upstream published. `sequence` grows by one with
// each message within an incarnation; a jump means that messages were lost.
struct cache_events
{
    std::uint64_t sequence = 0;
    std::vector<block_hash> stored;
    std::vector<block_hash> removed;
};

class prefix_cache
{
public:
    // `budget_blocks` bounds the blocks kept for all upstreams together.
    explicit prefix_cache(std::size_t budget_blocks = 262'144);

    // Bounds the blocks kept for one upstream.
    void set_capacity(upstream_index upstream, std::uint32_t blocks);

    // Number of leading blocks of `chain` that `upstream` should hold.
    std::size_t predicted_blocks(upstream_index upstream,
                                 prefix_chain const& chain) const;

    // Share of the predicted blocks that the upstream found in its cache, from
    // 0 to 1, as a moving average.
    double confidence(upstream_index upstream) const;

    // A request with this chain was sent, so its blocks will be cached.
    void on_sent(upstream_index upstream, prefix_chain const& chain);

    // The upstream reported how many blocks of a prompt it found in its cache.
    // Adjusts the confidence only: the request has stored its whole chain.
    void on_reported(upstream_index upstream, std::size_t predicted,
                     std::size_t reported);

    // Messages are applied even when they are late; a gap lowers the
    // confidence.
    void on_events(upstream_index upstream, cache_events const& events);

    // To be called when an upstream is removed or has a new incarnation.
    void forget(upstream_index upstream);

    std::size_t blocks() const
    {
        return entry_by_key_.size();
    }

private:
    using entry_index = std::uint32_t;
    static constexpr entry_index none = 0xFFFFFFFF;

    struct links
    {
        entry_index older = none;
        entry_index newer = none;
    };

    struct entry
    {
        block_hash hash = 0;
        upstream_index upstream = 0;
        links all_links;      // among the blocks of all upstreams
        links upstream_links; // among the blocks of this upstream
    };

    struct list
    {
        entry_index oldest = none;
        entry_index newest = none;
    };

    struct contents
    {
        list order;
        std::size_t blocks = 0;
        std::size_t capacity = 4'096;
        std::uint64_t last_sequence = 0;
        double confidence = 1;
    };

    struct key
    {
        upstream_index upstream;
        block_hash hash;
        bool operator==(key const&) const = default;
        // Found by absl under this name.
        template <typename H>
        // NOLINTNEXTLINE(readability-identifier-naming)
        friend H AbslHashValue(H state, key const& k)
        {
            return H::combine(std::move(state), k.upstream, k.hash);
        }
    };

    bool holds(upstream_index upstream, block_hash hash) const;
    contents& contents_of(upstream_index upstream);
    void touch(upstream_index upstream, block_hash hash);
    void erase(upstream_index upstream, block_hash hash);
    void append(list& order, links entry::*member, entry_index index);
    void unlink(list& order, links entry::*member, entry_index index);
    void erase_entry(entry_index index);
    entry_index new_entry();

    std::size_t budget_;
    std::vector<entry> entries_;
    std::vector<entry_index> free_;
    list order_; // every used entry, oldest first
    std::vector<contents> by_upstream_;
    // slots_[{u, h}] == i if and only if entries_[i] is used for (u, h).
    absl::flat_hash_map<key, entry_index> entry_by_key_;
};

} // namespace amarantharch

#endif
