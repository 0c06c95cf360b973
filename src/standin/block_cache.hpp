// An engine's prefix cache: blocks of prompt in least recently used order,
// and the late, gappy events by which others learn of its contents.
//
// A prompt is cut into blocks of block_bytes; a block's id is the hash of its
// bytes seeded with the id of the block before it, so an id names the whole
// prefix that ends there. Only whole blocks are cached.
#ifndef AMARANTHARCH_STANDIN_BLOCK_CACHE_HPP
#define AMARANTHARCH_STANDIN_BLOCK_CACHE_HPP

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amarantharch::standin
{

using block_id = std::uint64_t;

inline constexpr std::size_t token_bytes = 4;   // of prompt text
inline constexpr std::size_t block_tokens = 16; // tokens of one block
inline constexpr std::size_t block_bytes = token_bytes * block_tokens;

// The ids of the whole blocks of `prompt`, first to last.
std::vector<block_id> blocks_of(std::string_view prompt);

// 16 hexadecimal digits, and back; 0 if it is not such a text.
std::string block_name(block_id block);
block_id parse_block_name(std::string_view name);

struct block_cache_options
{
    std::size_t blocks = 4096;
    duration lag = std::chrono::milliseconds(500); // before an event shows
    std::uint64_t lose_every = 0; // each n-th event is lost; 0: none
};

struct cache_event
{
    std::uint64_t sequence;
    bool stored; // or evicted
    block_id block;
    time_point at;
};

class block_cache
{
public:
    explicit block_cache(block_cache_options options);

    // How many of the first of `blocks` are cached; marks them as used.
    std::size_t use(std::vector<block_id> const& blocks);

    void store(time_point now, std::vector<block_id> const& blocks);

    bool contains(block_id block) const
    {
        return index_.count(block) != 0;
    }

    std::size_t size() const
    {
        return index_.size();
    }

    // The events from sequence `from` on that show by now.
    std::vector<cache_event> events(time_point now, std::uint64_t from) const;

private:
    void add_event(time_point now, bool stored, block_id block);

    block_cache_options options_;
    std::list<block_id> used_; // most recently used first
    std::unordered_map<block_id, std::list<block_id>::iterator> index_;
    std::uint64_t next_sequence_ = 1;
    std::vector<cache_event> events_; // ascending by sequence, with gaps
};

} // namespace amarantharch::standin

#endif
