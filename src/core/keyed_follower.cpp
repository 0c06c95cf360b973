#include "core/keyed_follower.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

std::optional<keyed_read> keyed_follower::next(time_point now)
{
    if (outstanding_ || now < due_)
    {
        return std::nullopt;
    }
    outstanding_ = true;
    due_ = now + options_.interval;
    if (listing_)
    {
        return keyed_read{true, after_key_, 0, duration::zero()};
    }
    return keyed_read{false, "", position_, options_.wait};
}

void keyed_follower::succeeded(time_point now)
{
    outstanding_ = false;
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
        drop(now, key);
    }
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
    if (!record.value)
    {
        drop(now, record.key);
        return;
    }
    keys_.insert(record.key);
    leaving_.erase(record.key);
    changes_.push_back({record.key, record.value});
}

void keyed_follower::drop(time_point now, std::string const& key)
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
    changes_.push_back({key, std::nullopt});
}

std::vector<keyed_change> keyed_follower::take_changes(time_point now)
{
    // While the log fails, nothing shows whether a writer is back.
    for (auto row = leaving_.begin(); failures_ == 0 && row != leaving_.end();)
    {
        if (now < row->second)
        {
            ++row;
            continue;
        }
        keys_.erase(row->first);
        changes_.push_back({row->first, std::nullopt});
        row = leaving_.erase(row);
    }
    return std::exchange(changes_, {});
}

} // namespace amarantharch
