#include "core/upstream_reach.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::size_t failures_for_doubt = 2;

// Three quarters or more of a round's connections; one upstream proves nothing.
bool shows_partition(std::size_t failed, std::size_t accepted)
{
    return failed > 1 && failed * 4 >= (failed + accepted) * 3;
}

} // namespace

void upstream_reach::on_connection_failed(time_point now,
                                          upstream_index upstream)
{
    if (partitioned())
    {
        reached_.erase(upstream);
        failed_.insert(upstream);
        return;
    }
    std::erase_if(failures_, [&](auto const& each)
                  { return now - each.second > options_.doubt_window; });
    failures_[upstream] = now;
    doubted_ = doubted_ || failures_.size() >= failures_for_doubt;
}

void upstream_reach::doubt(time_point)
{
    doubted_ = doubted_ || !partitioned();
}

void upstream_reach::on_checked(time_point now, upstream_index upstream,
                                bool accepted)
{
    if (partitioned())
    {
        (accepted ? reached_ : failed_).insert(upstream);
        (accepted ? failed_ : reached_).erase(upstream);
    }
    if (!round_ || round_->awaited.erase(upstream) == 0)
    {
        if (!accepted)
        {
            on_connection_failed(now, upstream);
        }
        return;
    }
    ++(accepted ? round_->accepted : round_->failed);
    if (!accepted)
    {
        round_->failures.insert(upstream);
    }
    if (accepted && !partitioned())
    {
        failures_.erase(upstream);
    }
    if (round_->awaited.empty())
    {
        conclude();
    }
}

std::vector<upstream_index>
upstream_reach::take_due_checks(time_point now, upstream_table const& table)
{
    if (round_ && now - round_->began >= options_.round_timeout)
    {
        round_->failed += round_->awaited.size();
        conclude();
    }
    bool const due =
        !round_ && (doubted_ || partitioned()) &&
        now - last_round_ >=
            (partitioned() ? options_.round_interval : options_.doubt_interval);
    if (!due)
    {
        return {};
    }
    std::vector<upstream_index> sample = choose_sample(table);
    doubted_ = false;
    last_round_ = now;
    if (!sample.empty())
    {
        round_ = round{now, {sample.begin(), sample.end()}};
    }
    return sample;
}

// By chance; those that have failed only if there are too few others.
std::vector<upstream_index>
upstream_reach::choose_sample(upstream_table const& table)
{
    std::vector<upstream_index> candidates;
    for (upstream_index i = 0; i < table.size(); ++i)
    {
        upstream_row const& row = table.row(i);
        if (row.present && !row.leaving)
        {
            candidates.push_back(i);
        }
    }
    std::ranges::shuffle(candidates, random_);
    std::stable_partition(candidates.begin(), candidates.end(),
                          [this](upstream_index each)
                          { return !failures_.contains(each); });
    candidates.resize(std::min(candidates.size(), options_.sample));
    return candidates;
}

void upstream_reach::conclude()
{
    round const ended = *std::exchange(round_, std::nullopt);
    auto const before = std::exchange(failures_, {});
    if (!partitioned())
    {
        if (shows_partition(ended.failed, ended.accepted))
        {
            partitioned_since_ = ended.began;
            failed_ = ended.failures;
            for (auto const& [upstream, at] : before)
            {
                failed_.insert(upstream);
            }
        }
        return;
    }
    if (ended.failed == 0)
    {
        partitioned_since_.reset();
        reached_.clear();
        failed_.clear();
        confirmed_ = false;
    }
}

void upstream_reach::on_upstream_reset(upstream_index upstream)
{
    failures_.erase(upstream);
    reached_.erase(upstream);
    failed_.erase(upstream);
}

} // namespace amarantharch
