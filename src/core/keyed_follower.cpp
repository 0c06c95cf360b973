#include "core/keyed_follower.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

std::optional<keyed_read> keyed_follower::next(time_point now)
{
    if (outstanding_ || now < due_ || leaves_to_peers(now))
    {
        return std::nullopt;
    }
    outstanding_ = true;
    bool const outdated = now - answered_at_ > options_.shared_freshness;
    listing_ = listing_ || (options_.lists_if_behind && outdated);
    due_ = now + options_.interval;
    if (listing_)
    {
        return keyed_read{true, after_key_, 0, duration::zero()};
    }
    return keyed_read{false, "", position_, options_.wait};
}

bool keyed_follower::leaves_to_peers(time_point now) const
{
    bool const behind =
        behind_since_ && now - *behind_since_ >= options_.shared_patience;
    return known_ && !listing_ &&
           now < shared_at_ + options_.shared_freshness && !behind &&
           now - answered_at_ < options_.shared_interval;
}

void keyed_follower::on_shared_state(time_point now, duration age,
                                     std::uint64_t observed, bool behind)
{
    if (now - age + options_.shared_skew < shared_at_)
    {
        return;
    }
    shared_at_ = std::max(shared_at_, now - age);
    if (!behind)
    {
        behind_since_.reset();
    }
    else if (!behind_since_ || observed != behind_of_)
    {
        behind_since_ = now;
        behind_of_ = observed;
    }
}

void keyed_follower::on_shared_record(keyed_record const& record)
{
    auto const last = offsets_.find(record.key);
    bool const already_seen =
        last != offsets_.end() && record.offset <= last->second;
    if (!known_ || already_seen)
    {
        return;
    }
    offsets_[record.key] = record.offset;
    if (record.offset == position_)
    {
        ++position_; // no record is skipped
    }
    leaving_.erase(record.key);
    if (record.value)
    {
        keys_.insert(record.key);
    }
    else if (keys_.erase(record.key) == 0)
    {
        return;
    }
    changes_.push_back({record.key, record.value, record.offset});
}

// Stores the offset of a record that this VM read as the last of its key;
// false if a later one is known.
bool keyed_follower::is_news(std::string const& key, std::uint64_t offset)
{
    auto const [known, added] = offsets_.try_emplace(key, offset);
    if (!added && offset < known->second)
    {
        return false;
    }
    known->second = offset;
    return true;
}

void keyed_follower::succeeded(time_point now)
{
    outstanding_ = false;
    answered_at_ = now;
    behind_since_.reset();
    if (std::exchange(failures_, 0) > 0)
    {
        settled_at_ = now + options_.settle;
    }
}

void keyed_follower::on_records(time_point now, keyed_batch const& batch)
{
    succeeded(now);
    for (keyed_record const& record : batch.records)
    {
        if (record.offset < position_)
        {
            continue;
        }
        position_ = record.offset + 1;
        take(now, record);
    }
}

void keyed_follower::on_page(time_point now, keyed_batch const& page)
{
    succeeded(now);
    if (!listed_end_)
    {
        listed_end_ = page.end;
    }
    for (keyed_record const& record : page.records)
    {
        listed_.insert(record.key);
        after_key_ = record.key;
        take(now, record);
    }
    if (page.more && !page.records.empty())
    {
        due_ = now;
        return;
    }
    std::vector<std::string> missing;
    std::set_difference(keys_.begin(), keys_.end(), listed_.begin(),
                        listed_.end(), std::back_inserter(missing));
    for (std::string const& key : missing)
    {
        if (offsets_[key] < *listed_end_) // else a peer forwarded it later
        {
            drop(now, key, *listed_end_);
        }
    }
    std::erase_if(offsets_,
                  [this](auto const& entry) {
                      return entry.second < *listed_end_ &&
                             !keys_.contains(entry.first);
                  });
    position_ = *std::exchange(listed_end_, std::nullopt);
    after_key_.clear();
    listed_.clear();
    listing_ = false;
    known_ = true;
}

void keyed_follower::on_trimmed(time_point now)
{
    succeeded(now);
    listing_ = true;
    after_key_.clear();
    listed_.clear();
    listed_end_.reset();
    due_ = now;
}

void keyed_follower::on_failure(time_point now)
{
    outstanding_ = false;
    std::uint32_t const doublings = std::min(failures_, 8u);
    ++failures_;
    due_ = now + std::min(options_.retry_max,
                          options_.retry_min * (std::int64_t{1} << doublings));
}

void keyed_follower::take(time_point now, keyed_record const& record)
{
    if (!is_news(record.key, record.offset))
    {
        return;
    }
    if (!record.value)
    {
        drop(now, record.key, record.offset);
        return;
    }
    keys_.insert(record.key);
    leaving_.erase(record.key);
    changes_.push_back({record.key, record.value, record.offset});
}

void keyed_follower::drop(time_point now, std::string const& key,
                          std::uint64_t offset)
{
    if (!keys_.contains(key))
    {
        return;
    }
    if (now < settled_at_)
    {
        leaving_.emplace(key, settled_at_);
        return;
    }
    keys_.erase(key);
    leaving_.erase(key);
    changes_.push_back({key, std::nullopt, offset});
}

std::vector<keyed_change> keyed_follower::take_changes(time_point now)
{
    // While the log is unreachable, no record can show whether a writer has
    // renewed its key.
    for (auto held = leaving_.begin();
         failures_ == 0 && held != leaving_.end();)
    {
        if (now < held->second)
        {
            ++held;
            continue;
        }
        keys_.erase(held->first);
        changes_.push_back({held->first, std::nullopt, offsets_[held->first]});
        held = leaving_.erase(held);
    }
    return std::exchange(changes_, {});
}

} // namespace amarantharch
