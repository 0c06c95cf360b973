#include "core/fair_queue.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

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

std::vector<queued_request> fair_queue::push(queued_request request)
{
    organisation_row& row = organisations_[request.organisation];
    std::size_t const level = level_of(request.priority);
    row.counter = lifted_counter(row);
    lift_class_counter(row, level);
    ++row.requests;
    row.bytes += request.bytes;
    row.waiting_tokens[level] += request.tokens;
    ++requests_;
    bytes_ += request.bytes;
    row.lanes[level].push_back(std::move(request));
    std::vector<queued_request> evicted;
    while (over_bounds())
    {
        evicted.push_back(evict_newest());
    }
    return evicted;
}

std::optional<queued_request> fair_queue::pop(class_filter const& filter)
{
    auto const next = next_request(filter);
    if (next.row == nullptr)
    {
        return std::nullopt;
    }
    queued_request taken = take(*next.row, next.level, 0);
    next.row->counter += taken.tokens / next.row->weight;
    next.row->class_counters[next.level] +=
        taken.tokens / options_.class_weights[next.level];
    return taken;
}

std::optional<queued_request> fair_queue::pop(request_class lowest)
{
    return pop(
        [lowest](std::string const&) {
            return allowance{lowest, false};
        });
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
                return take(row, level,
                            static_cast<std::size_t>(found - waiting.begin()));
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
                if (waiting[i].expires_at > now)
                {
                    ++i;
                    continue;
                }
                expired.push_back(take(row, level, i));
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
    double const bound =
        lowest_waiting_counter() + options_.max_lead / row.weight;
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
    double const own_ahead = own_tokens_ahead(own, level, tokens);
    double const until = lifted_counter(own) +
                         (own_ahead + tokens) / own.weight -
                         options_.class_leads[level];
    double ahead = own_ahead;
    for (auto const& [name, row] : organisations_)
    {
        if (&row == &own || row.requests == 0)
        {
            continue;
        }
        // The other organisation is served until its counter reaches `until`.
        double const from = row.counter - lead_of(row, request_class_count - 1);
        double const waiting = std::accumulate(row.waiting_tokens.begin(),
                                               row.waiting_tokens.end(), 0.0);
        ahead += std::min(waiting, std::max(0.0, until - from) * row.weight);
    }
    return ahead;
}

double fair_queue::own_tokens_ahead(organisation_row const& row,
                                    std::size_t level,
                                    std::uint32_t tokens) const
{
    double const same_class = row.waiting_tokens[level];
    double ahead = same_class;
    for (std::size_t l = 0; l < request_class_count; ++l)
    {
        if (l != level)
        {
            double const share =
                options_.class_weights[l] / options_.class_weights[level];
            ahead +=
                std::min(row.waiting_tokens[l], (same_class + tokens) * share);
        }
    }
    return ahead;
}

double fair_queue::weight(std::string const& organisation) const
{
    auto const known = organisations_.find(organisation);
    return known == organisations_.end() ? 1 : known->second.weight;
}

double fair_queue::lowest_waiting_counter() const
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

double fair_queue::lifted_counter(organisation_row const& row) const
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
    double const lowest = lowest_waiting_counter();
    return requests_ == 0 ? std::max(row.counter, floor)
                          : std::max({row.counter, floor, lowest});
}

void fair_queue::lift_class_counter(organisation_row& row, std::size_t level)
{
    if (!row.lanes[level].empty())
    {
        return;
    }
    auto const next = next_class(row, request_class_count - 1);
    double const floor = next ? row.class_counters[*next]
                              : *std::max_element(row.class_counters.begin(),
                                                  row.class_counters.end());
    row.class_counters[level] = std::max(row.class_counters[level], floor);
}

std::optional<std::size_t> fair_queue::next_class(organisation_row const& row,
                                                  std::size_t lowest)
{
    std::optional<std::size_t> best;
    for (std::size_t l = 0; l <= lowest; ++l)
    {
        bool const goes_first =
            !best || row.class_counters[l] < row.class_counters[*best];
        if (!row.lanes[l].empty() && goes_first)
        {
            best = l;
        }
    }
    return best;
}

double fair_queue::lead_of(organisation_row const& row,
                           std::size_t lowest) const
{
    for (std::size_t l = 0; l <= lowest; ++l)
    {
        if (!row.lanes[l].empty())
        {
            return options_.class_leads[l];
        }
    }
    return 0;
}

fair_queue::queue_position fair_queue::next_request(class_filter const& filter)
{
    queue_position best;
    bool best_preferred = false;
    double best_counter = std::numeric_limits<double>::infinity();
    for (auto& [name, row] : organisations_)
    {
        allowance const allowed = row.requests > 0 ? filter(name) : allowance{};
        if (!allowed.lowest)
        {
            continue;
        }
        std::size_t const lowest = level_of(*allowed.lowest);
        auto const level = next_class(row, lowest);
        double const counter = row.counter - lead_of(row, lowest);
        bool const goes_first = allowed.preferred != best_preferred
                                    ? allowed.preferred
                                    : counter < best_counter;
        if (level && goes_first)
        {
            best = {&row, *level};
            best_preferred = allowed.preferred;
            best_counter = counter;
        }
    }
    return best;
}

queued_request fair_queue::take(organisation_row& row, std::size_t level,
                                std::size_t position)
{
    lane& waiting = row.lanes[level];
    queued_request taken = std::move(waiting[position]);
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(position));
    --row.requests;
    row.bytes -= taken.bytes;
    row.waiting_tokens[level] -= taken.tokens;
    --requests_;
    bytes_ -= taken.bytes;
    return taken;
}

queued_request fair_queue::evict_newest()
{
    // Requests and bytes are compared as fractions of their bounds.
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
    return take(*largest, level, largest->lanes[level].size() - 1);
}

bool fair_queue::over_bounds() const
{
    return requests_ > options_.max_requests || bytes_ > options_.max_bytes;
}

} // namespace amarantharch
