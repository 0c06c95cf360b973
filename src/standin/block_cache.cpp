#include "standin/block_cache.hpp"

#include <fmt/format.h>

#include <xxhash.h>

#include <charconv>

namespace amarantharch::standin
{

namespace
{

// Older events are dropped, which its readers see as a gap.
constexpr std::size_t most_events = 100'000;
constexpr std::size_t block_name_digits = 16;
constexpr int hexadecimal = 16;

} // namespace

std::vector<block_id> blocks_of(std::string_view prompt)
{
    std::vector<block_id> blocks;
    block_id previous = 0;
    for (std::size_t at = 0; at + block_bytes <= prompt.size();
         at += block_bytes)
    {
        previous = XXH64(prompt.data() + at, block_bytes, previous);
        blocks.push_back(previous);
    }
    return blocks;
}

std::string block_name(block_id block)
{
    return fmt::format("{:016x}", block);
}

block_id parse_block_name(std::string_view name)
{
    block_id block = 0;
    char const* const end = name.data() + name.size();
    auto const read = std::from_chars(name.data(), end, block, hexadecimal);
    bool const whole = name.size() == block_name_digits &&
                       read.ec == std::errc{} && read.ptr == end;
    return whole ? block : 0;
}

block_cache::block_cache(block_cache_options options) : options_(options) {}

std::size_t block_cache::use(std::vector<block_id> const& blocks)
{
    std::size_t found = 0;
    for (; found < blocks.size(); ++found)
    {
        auto const row = index_.find(blocks[found]);
        if (row == index_.end())
        {
            break;
        }
        used_.splice(used_.begin(), used_, row->second);
    }
    return found;
}

void block_cache::store(time_point now, std::vector<block_id> const& blocks)
{
    for (block_id const block : blocks)
    {
        if (options_.blocks == 0 || contains(block))
        {
            continue;
        }
        if (index_.size() >= options_.blocks)
        {
            add_event(now, false, used_.back());
            index_.erase(used_.back());
            used_.pop_back();
        }
        used_.push_front(block);
        index_[block] = used_.begin();
        add_event(now, true, block);
    }
}

std::vector<cache_event> block_cache::events(time_point now,
                                             std::uint64_t from) const
{
    std::vector<cache_event> shown;
    for (cache_event const& event : events_)
    {
        if (event.sequence >= from && event.at + options_.lag <= now)
        {
            shown.push_back(event);
        }
    }
    return shown;
}

void block_cache::add_event(time_point now, bool stored, block_id block)
{
    std::uint64_t const sequence = next_sequence_++;
    if (options_.lose_every != 0 && sequence % options_.lose_every == 0)
    {
        return;
    }
    if (events_.size() >= most_events)
    {
        events_.erase(events_.begin(),
                      events_.begin() +
                          static_cast<std::ptrdiff_t>(most_events / 2));
    }
    events_.push_back({sequence, stored, block, now});
}

} // namespace amarantharch::standin
