#include "core/keyed_follower.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

std::optional<keyed_read> keyed_follower::next(time_point now)
{
    if (outstanding_ || now < next_read_at_ || relies_on_peers(now))
    {
        return std::nullopt;
    }
    outstanding_ = true;
    bool const outdated = now - answered_at_ > options_.peer_report_max_age;
    listing_ = listing_ || (options_.relists_when_stale && outdated);
    next_read_at_ = now + options_.interval;
    if (listing_)
    {
        return keyed_read{true, after_key_, 0, duration::zero()};
    }
    return keyed_read{false, "", position_, options_.max_wait};
}

bool keyed_follower::relies_on_peers(time_point now) const
{
    bool const behind =
        behind_since_ &&
        (now - behind_report_since_ >= options_.peer_record_grace ||
         now - *behind_since_ >= options_.max_behind);
    return is_synced_ && !listing_ &&
           now < peer_read_at_ + options_.peer_report_max_age && !behind &&
           now - answered_at_ < options_.own_read_interval;
}

void keyed_follower::on_peer_report(time_point now, duration age,
                                    std::uint64_t observed, bool behind,
                                    std::uint64_t era)
{
    if (!is_of_present_era(era))
    {
        return;
    }
    if (now - age + options_.peer_report_skew < peer_read_at_)
    {
        return;
    }
    peer_read_at_ = std::max(peer_read_at_, now - age);
    if (!behind)
    {
        behind_since_.reset();
        return;
    }
    if (!behind_since_ || observed != behind_report_)
    {
        behind_report_since_ = now;
        behind_report_ = observed;
    }
    behind_since_ = behind_since_.value_or(now);
}

// Whether what a peer says is of the era known here. A later one is not taken
// over from peers but read.
bool keyed_follower::is_of_present_era(std::uint64_t era)
{
    listing_ = listing_ || era > era_;
    return era == era_;
}

void keyed_follower::on_peer_record(keyed_record const& record)
{
    if (!is_of_present_era(record.era))
    {
        return;
    }
    auto const last = offsets_.find(record.key);
    bool const already_seen =
        last != offsets_.end() && record.offset <= last->second;
    if (!is_synced_ || already_seen)
    {
        return;
    }
    offsets_[record.key] = record.offset;
    if (record.offset == position_)
    {
        ++position_; // no record is skipped
    }
    held_removals_.erase(record.key);
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
bool keyed_follower::advance_offset(std::string const& key,
                                    std::uint64_t offset)
{
    auto const [known, added] = offsets_.try_emplace(key, offset);
    if (!added && offset < known->second)
    {
        return false;
    }
    known->second = offset;
    return true;
}

void keyed_follower::note_success(time_point now)
{
    outstanding_ = false;
    answered_at_ = now;
    behind_since_.reset();
    if (std::exchange(failures_, 0) > 0)
    {
        removals_held_until_ = now + options_.removal_grace;
    }
}

// Handles the era of an answer. Returns false if the answer is of no use: it
// was given before the log came back, or it is the first one after that and not
// the first page of a listing.
bool keyed_follower::enter_era(time_point now, std::uint64_t era)
{
    if (era == era_ || era == 0)
    {
        return true;
    }
    if (era < era_)
    {
        next_read_at_ = now;
        return false;
    }
    bool const is_first_page = listing_ && after_key_.empty() && !listed_end_;
    era_ = era;
    position_ = 0;
    offsets_.clear();
    removals_held_until_ = now + options_.removal_grace;
    start_listing(now);
    return is_first_page;
}

void keyed_follower::start_listing(time_point now)
{
    listing_ = true;
    after_key_.clear();
    listed_keys_.clear();
    listed_end_.reset();
    next_read_at_ = now;
}

void keyed_follower::on_records(time_point now, keyed_batch const& batch)
{
    note_success(now);
    if (!enter_era(now, batch.era))
    {
        return;
    }
    for (keyed_record const& record : batch.records)
    {
        if (record.offset < position_)
        {
            continue;
        }
        position_ = record.offset + 1;
        apply_record(now, record);
    }
}

void keyed_follower::on_page(time_point now, keyed_batch const& page)
{
    note_success(now);
    if (!enter_era(now, page.era))
    {
        return;
    }
    if (!listed_end_)
    {
        listed_end_ = page.end;
    }
    for (keyed_record const& record : page.records)
    {
        listed_keys_.insert(record.key);
        after_key_ = record.key;
        apply_record(now, record);
    }
    if (page.more && !page.records.empty())
    {
        next_read_at_ = now;
        return;
    }
    std::vector<std::string> missing;
    std::set_difference(keys_.begin(), keys_.end(), listed_keys_.begin(),
                        listed_keys_.end(), std::back_inserter(missing));
    for (std::string const& key : missing)
    {
        if (offsets_[key] < *listed_end_) // else a peer forwarded it later
        {
            remove_key(now, key, *listed_end_);
        }
    }
    std::erase_if(offsets_,
                  [this](auto const& entry) {
                      return entry.second < *listed_end_ &&
                             !keys_.contains(entry.first);
                  });
    position_ = *std::exchange(listed_end_, std::nullopt);
    after_key_.clear();
    listed_keys_.clear();
    listing_ = false;
    is_synced_ = true;
}

void keyed_follower::on_trimmed(time_point now)
{
    note_success(now);
    start_listing(now);
}

void keyed_follower::on_failure(time_point now)
{
    outstanding_ = false;
    std::uint32_t const doublings = std::min(failures_, 8u);
    ++failures_;
    next_read_at_ =
        now + std::min(options_.retry_max,
                       options_.retry_min * (std::int64_t{1} << doublings));
}

void keyed_follower::apply_record(time_point now, keyed_record const& record)
{
    if (!advance_offset(record.key, record.offset))
    {
        return;
    }
    if (!record.value)
    {
        remove_key(now, record.key, record.offset);
        return;
    }
    keys_.insert(record.key);
    held_removals_.erase(record.key);
    changes_.push_back({record.key, record.value, record.offset});
}

void keyed_follower::remove_key(time_point now, std::string const& key,
                                std::uint64_t offset)
{
    if (!keys_.contains(key))
    {
        return;
    }
    if (now < removals_held_until_)
    {
        held_removals_.emplace(key, removals_held_until_);
        return;
    }
    keys_.erase(key);
    held_removals_.erase(key);
    changes_.push_back({key, std::nullopt, offset});
}

std::vector<keyed_change> keyed_follower::take_changes(time_point now)
{
    // While the log is unreachable, no record can show whether a writer has
    // renewed its key.
    for (auto held = held_removals_.begin();
         failures_ == 0 && held != held_removals_.end();)
    {
        if (now < held->second)
        {
            ++held;
            continue;
        }
        keys_.erase(held->first);
        changes_.push_back({held->first, std::nullopt, offsets_[held->first]});
        held = held_removals_.erase(held);
    }
    return std::exchange(changes_, {});
}

} // namespace amarantharch
