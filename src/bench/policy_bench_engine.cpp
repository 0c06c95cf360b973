#include "bench/policy_bench_engine.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch::bench
{

namespace
{

duration from_ms(double ms)
{
    return duration(static_cast<std::int64_t>(ms * 1'000));
}

} // namespace

void timeline::at(time_point when, action what)
{
    rows_.push({when, next_++, std::move(what)});
}

void timeline::repeat(time_point first, duration interval, time_point end,
                      action const& what)
{
    at(first,
       [=, this](time_point now)
       {
           what(now);
           if (now + interval < end)
           {
               repeat(now + interval, interval, end, what);
           }
       });
}

void timeline::run_until(time_point end)
{
    while (!rows_.empty() && rows_.top().when < end)
    {
        row const next = rows_.top();
        rows_.pop();
        next.what(next.when);
    }
}

std::size_t engine_cache::held(prefix_chain const& chain) const
{
    std::size_t count = 0;
    while (count < chain.size() && places_.contains(chain[count]))
    {
        ++count;
    }
    return count;
}

void engine_cache::store(prefix_chain const& chain, cache_events& changes)
{
    for (auto hash = chain.rbegin(); hash != chain.rend(); ++hash)
    {
        auto const known = places_.find(*hash);
        if (known != places_.end())
        {
            order_.splice(order_.end(), order_, known->second);
            continue;
        }
        if (places_.size() >= capacity_)
        {
            changes.removed.push_back(order_.front());
            places_.erase(order_.front());
            order_.pop_front();
        }
        places_[*hash] = order_.insert(order_.end(), *hash);
        changes.stored.push_back(*hash);
    }
}

fake_engine::fake_engine(upstream_profile profile, timeline& time,
                         engine_observer const& observer)
    : profile_(std::move(profile)), time_(time), observer_(observer),
      cache_(profile_.cache_blocks)
{
}

void fake_engine::receive(time_point now, job const& what)
{
    auto const place = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&what](job const& other)
        { return other.request->what.priority > what.request->what.priority; });
    waiting_.insert(place, what);
    start_next(now);
}

std::vector<job> fake_engine::stop()
{
    alive_ = false;
    prefilling_ = false;
    ++life_;
    std::vector<job> lost = std::move(running_);
    lost.insert(lost.end(), waiting_.begin(), waiting_.end());
    running_.clear();
    waiting_.clear();
    return lost;
}

void fake_engine::restart()
{
    alive_ = true;
    cache_ = engine_cache(profile_.cache_blocks);
    changes_ = cache_events{};
}

upstream_report fake_engine::report(time_point now) const
{
    upstream_report report;
    report.measured_at = now;
    report.running = static_cast<std::uint32_t>(running_.size());
    report.waiting = static_cast<std::uint32_t>(waiting_.size());
    for (job const& waiting : waiting_)
    {
        request_features const& what = waiting.request->what;
        report.queued_prefill_tokens +=
            what.prompt_tokens - cache_.held(what.prefix) * tokens_per_block;
    }
    return report;
}

cache_events fake_engine::take_cache_events()
{
    std::uint64_t const sequence = ++changes_.sequence;
    cache_events taken = std::exchange(changes_, cache_events{});
    changes_.sequence = sequence;
    return taken;
}

void fake_engine::start_next(time_point now)
{
    if (prefilling_ || waiting_.empty() || running_.size() >= profile_.slots)
    {
        return;
    }
    job const next = waiting_.front();
    waiting_.pop_front();
    running_.push_back(next);
    prefilling_ = true;
    request_features const& what = next.request->what;
    std::size_t const held = cache_.held(what.prefix);
    observer_.on_prefill(now, next, held);
    cache_.store(what.prefix, changes_);
    auto const cached = static_cast<std::uint32_t>(held * tokens_per_block);
    double const uncached = what.prompt_tokens - cached;
    time_.at(now + from_ms(uncached / profile_.prefill_tokens_per_ms),
             [this, next, cached, life = life_](time_point then)
             {
                 if (life == life_)
                 {
                     prefilled(then, next, cached);
                 }
             });
}

void fake_engine::prefilled(time_point now, job const& what,
                            std::uint32_t cached)
{
    prefilling_ = false;
    double const batch = static_cast<double>(running_.size()) / profile_.slots;
    double const per_token = profile_.ms_per_output_token * (1 + batch);
    observer_.on_first_token(now, what, cached, per_token);
    time_.at(now + from_ms(per_token * what.request->output_tokens),
             [this, what, life = life_](time_point then)
             {
                 if (life == life_)
                 {
                     decoded(then, what);
                 }
             });
    start_next(now);
}

void fake_engine::decoded(time_point now, job const& what)
{
    std::erase_if(running_, [&what](job const& other)
                  { return other.attempt == what.attempt; });
    observer_.on_end(now, what);
    start_next(now);
}

} // namespace amarantharch::bench
