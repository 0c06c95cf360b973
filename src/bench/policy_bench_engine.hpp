// A fake model engine: continuous batching with a limited number of slots, one
// prefill at a time by priority, and a prefix cache with least-recently-used
// eviction. Its cache events are collected for late publishing.
#ifndef AMARANTHARCH_BENCH_POLICY_BENCH_ENGINE_HPP
#define AMARANTHARCH_BENCH_POLICY_BENCH_ENGINE_HPP

#include "bench/policy_bench_world.hpp"

#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <unordered_map>
#include <vector>

namespace amarantharch::bench
{

// Calls at synthetic times; those at one time run in order of entry.
class timeline
{
public:
    using action = std::function<void(time_point)>;

    void at(time_point when, action what);
    void repeat(time_point first, duration interval, time_point end,
                action const& what);
    void run_until(time_point end);

private:
    struct row
    {
        time_point when;
        std::uint64_t order;
        action what;
        bool operator<(row const& other) const
        {
            return when != other.when ? other.when < when : other.order < order;
        }
    };

    std::priority_queue<row> rows_;
    std::uint64_t next_ = 0;
};

struct job
{
    attempt_id attempt = 0;
    offered const* request = nullptr;
};

class engine_cache
{
public:
    explicit engine_cache(std::size_t capacity) : capacity_(capacity) {}

    std::size_t held(prefix_chain const& chain) const;
    void store(prefix_chain const& chain, cache_events& changes);

private:
    std::size_t capacity_;
    std::list<block_hash> order_; // oldest first
    std::unordered_map<block_hash, std::list<block_hash>::iterator> places_;
};

// What an engine tells about its jobs.
struct engine_observer
{
    std::function<void(time_point, job const&, std::size_t held_blocks)>
        on_prefill;
    std::function<void(time_point, job const&, std::uint32_t cached_tokens,
                       double ms_per_token)>
        on_first_token;
    std::function<void(time_point, job const&)> on_end;
};

class fake_engine
{
public:
    fake_engine(upstream_profile profile, timeline& time,
                engine_observer const& observer);

    bool alive() const
    {
        return alive_;
    }
    upstream_profile const& profile() const
    {
        return profile_;
    }
    void receive(time_point now, job const& what);
    // Dies or comes back with an empty cache; returns the jobs lost.
    std::vector<job> stop();
    void restart();
    upstream_report report(time_point now) const;
    cache_events take_cache_events();

private:
    void start_next(time_point now);
    void prefilled(time_point now, job const& what, std::uint32_t cached);
    void decoded(time_point now, job const& what);

    upstream_profile profile_;
    timeline& time_;
    engine_observer const& observer_;
    engine_cache cache_;
    cache_events changes_;
    std::deque<job> waiting_; // by class, then order of arrival
    std::vector<job> running_;
    bool prefilling_ = false;
    bool alive_ = true;
    std::uint64_t life_ = 0; // events of earlier lives are dropped
};

} // namespace amarantharch::bench

#endif
