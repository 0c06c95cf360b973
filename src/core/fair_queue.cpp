#include "core/fair_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace amarantharch
{

namespace
{

std::size_t level_of(request_class priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

fair_queue::fair_queue(fair_queue_options options) : options_(options) {}

void fair_queue::set_weight(std::string const& organisation, double weight)
{
    organisations_[organisation].weight = weight;
}

std::vector<queued_request> fair_queue::push(queued_request what)
{
    organisation_row& row = organisations_[what.organisation];
    std::size_t const level = level_of(what.priority);
    row.counter = lifted(row);
    if (class_requests_[level] == 0)
    {
        lift_class(level);
    }
    ++row.requests;
    row.bytes += what.bytes;
    row.waiting_tokens[level] += what.tokens;
    ++requests_;
    bytes_ += what.bytes;
    ++class_requests_[level];
    row.lanes[level].push_back(std::move(what));
    std::vector<queued_request> given_up;
    while (over_bounds())
    {
        given_up.push_back(give_up_newest());
    }
    return given_up;
}

std::optional<queued_request> fair_queue::pop(request_class lowest)
{
    auto const level = next_class(lowest);
    if (!level)
    {
        return std::nullopt;
    }
    organisation_row& row = *next_organisation(*level);
    queued_request taken = take(row, *level, row.lanes[*level].begin());
    row.counter += taken.tokens / row.weight;
    class_counters_[*level] += taken.tokens / options_.class_weights[*level];
    return taken;
}

std::optional<queued_request> fair_queue::remove(request_id const& id)
{
    for (auto& [name, row] : organisations_)
    {
        for (std::size_t level = 0; level < request_class_count; ++level)
        {
            lane& waiting = row.lanes[level];
            auto const found =
                std::find_if(waiting.begin(), waiting.end(),
                             [&id](auto const& w) { return w.id == id; });
            if (found != waiting.end())
            {
                return take(row, level, found);
            }
        }
    }
    return std::nullopt;
}

std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    for (auto& [name, row] : organisations_)
    {
        for (std::size_t level = 0; level < request_class_count; ++level)
        {
            lane& waiting = row.lanes[level];
            for (std::size_t i = 0; i < waiting.size();)
            {
                if (waiting[i].give_up_at > now)
                {
                    ++i;
                    continue;
                }
                auto const place =
                    waiting.begin() + static_cast<std::ptrdiff_t>(i);
                expired.push_back(take(row, level, place));
            }
        }
    }
    return expired;
}

void fair_queue::add_served(std::string const& organisation, double tokens)
{
    organisation_row& row = organisations_[organisation];
    row.counter = std::max(0.0, row.counter + tokens / row.weight);
}

void fair_queue::add_served_elsewhere(std::string const& organisation,
                                      double tokens)
{
    organisation_row& row = organisations_[organisation];
    double const bound = lowest_waiting() + options_.max_lead / row.weight;
    double const advanced = row.counter + tokens / row.weight;
    row.counter = std::max(row.counter, std::min(advanced, bound));
}

double fair_queue::tokens_ahead(std::string const& organisation,
                                request_class priority,
                                std::uint32_t tokens) const
{
    static organisation_row const unknown;
    auto const known = organisations_.find(organisation);
    organisation_row const& own =
        known == organisations_.end() ? unknown : known->second;
    std::size_t const level = level_of(priority);
    double const counter = lifted(own);
    double const own_ahead = own.waiting_tokens[level];
    double ahead = own_ahead;
    for (auto const& [name, row] : organisations_)
    {
        if (&row == &own)
        {
            continue;
        }
        // The other is served until its counter has passed the own one.
        double const until = counter + (own_ahead + tokens) / own.weight;
        double const served = std::max(0.0, until - row.counter) * row.weight;
        ahead += std::min(row.waiting_tokens[level], served);
    }
    double others = 0;
    for (std::size_t l = 0; l < request_class_count; ++l)
    {
        if (l != level)
        {
            double const share =
                options_.class_weights[l] / options_.class_weights[level];
            others += std::min(class_tokens(l), (ahead + tokens) * share);
        }
    }
    return ahead + others;
}

bool fair_queue::waits(request_class lowest) const
{
    return next_class(lowest).has_value();
}

double fair_queue::class_tokens(std::size_t level) const
{
    double sum = 0;
    for (auto const& [name, row] : organisations_)
    {
        sum += row.waiting_tokens[level];
    }
    return sum;
}

double fair_queue::lowest_waiting() const
{
    double lowest = std::numeric_limits<double>::infinity();
    for (auto const& [name, row] : organisations_)
    {
        if (row.requests > 0)
        {
            lowest = std::min(lowest, row.counter);
        }
    }
    return lowest;
}

double fair_queue::lifted(organisation_row const& row) const
{
    if (row.requests > 0)
    {
        return row.counter;
    }
    double highest = row.counter;
    for (auto const& [name, other] : organisations_)
    {
        highest = std::max(highest, other.counter);
    }
    double const floor = highest - options_.max_lead / row.weight;
    double const lowest = lowest_waiting();
    return requests_ == 0 ? std::max(row.counter, floor)
                          : std::max({row.counter, floor, lowest});
}

void fair_queue::lift_class(std::size_t level)
{
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t l = 0; l < request_class_count; ++l)
    {
        if (class_requests_[l] > 0)
        {
            lowest = std::min(lowest, class_counters_[l]);
        }
    }
    bool const others_wait = lowest != std::numeric_limits<double>::infinity();
    double const highest =
        *std::max_element(class_counters_.begin(), class_counters_.end());
    class_counters_[level] =
        std::max(class_counters_[level], others_wait ? lowest : highest);
}

std::optional<std::size_t> fair_queue::next_class(request_class lowest) const
{
    std::optional<std::size_t> best;
    for (std::size_t l = 0; l <= level_of(lowest); ++l)
    {
        bool const waits = class_requests_[l] > 0;
        if (waits && (!best || class_counters_[l] < class_counters_[*best]))
        {
            best = l;
        }
    }
    return best;
}

fair_queue::organisation_row* fair_queue::next_organisation(std::size_t level)
{
    organisation_row* best = nullptr;
    for (auto& [name, row] : organisations_)
    {
        bool const waits = !row.lanes[level].empty();
        if (waits && (best == nullptr || row.counter < best->counter))
        {
            best = &row;
        }
    }
    return best;
}

queued_request fair_queue::take(organisation_row& row, std::size_t level,
                                lane::const_iterator position)
{
    auto const place =
        row.lanes[level].begin() + (position - row.lanes[level].cbegin());
    queued_request taken = std::move(*place);
    row.lanes[level].erase(place);
    --row.requests;
    row.bytes -= taken.bytes;
    row.waiting_tokens[level] -= taken.tokens;
    --requests_;
    bytes_ -= taken.bytes;
    --class_requests_[level];
    return taken;
}

queued_request fair_queue::give_up_newest()
{
    // Counts and bytes are compared as shares of their bounds.
    auto const load = [this](organisation_row const& row)
    {
        double const by_count = static_cast<double>(row.requests) /
                                static_cast<double>(options_.max_requests);
        double const by_bytes = static_cast<double>(row.bytes) /
                                static_cast<double>(options_.max_bytes);
        return std::max(by_count, by_bytes) / row.weight;
    };
    organisation_row* largest = nullptr;
    for (auto& [name, row] : organisations_)
    {
        if (row.requests > 0 &&
            (largest == nullptr || load(row) > load(*largest)))
        {
            largest = &row;
        }
    }
    std::size_t level = request_class_count - 1;
    while (largest->lanes[level].empty())
    {
        --level;
    }
    return take(*largest, level, std::prev(largest->lanes[level].end()));
}

bool fair_queue::over_bounds() const
{
    return requests_ > options_.max_requests || bytes_ > options_.max_bytes;
}

} // namespace amarantharch
