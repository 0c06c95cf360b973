// Weighted fair queue of requests, shared by organisations, counted in tokens.
//
// The algorithm is a virtual token counter: an organisation's counter grows by
// the tokens that it is served, divided by its weight, and the organisation
// with the lowest counter among those with queued requests is served next. An
// organisation that starts to queue has its counter lifted to the lowest of
// those that already queue, so idle time earns no credit. Hence the served
// tokens per weight of two organisations that always have requests queued
// differ by at most the size of the largest request, and the queue never idles
// while it holds a request that may be served.
//
// A class may have a lead: its requests are chosen as if their organisation's
// counter were lower by `class_leads` tokens. So interactive requests go before
// the batch requests of other organisations, but by no more than the lead.
//
// Within an organisation, classes are ordered in the same way, by counters over
// class weights. A class with few tokens to serve goes first nearly always, and
// no class starves: each gets at least the share of its weight.
//
// The caller may prefer some organisations, such as those below their share of
// the requests in flight: they go before all others and are ordered by counter
// among themselves.
//
// Tokens that were served without queueing, here or at other VMs, count too, so
// that a recent heavy user goes behind a light one. The effect is bounded: an
// organisation that starts to queue is at most `max_lead` tokens ahead of any
// other, and usage reported by other VMs moves one at most `max_lead` behind
// those that queue. So a stale report can't block an organisation for long.
//
// When the queue is full, the organisation with the most queued bytes or
// requests per weight loses its newest request of its lowest class.
//
// Cost: O(organisations) a pop, O(organisations) a push at worst (the first
// request of an organisation, or a full queue), else O(1).
#ifndef AMARANTHARCH_CORE_FAIR_QUEUE_HPP
#define AMARANTHARCH_CORE_FAIR_QUEUE_HPP

#include "core/call.hpp"
#include "core/routing.hpp"
#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

struct queued_request
{
    request_id id;
    std::string organisation;
    request_class priority = request_class::standard;
    std::uint32_t tokens = 0; // estimated cost
    std::size_t bytes = 0;    // memory used while queued
    time_point queued_at;
    time_point expires_at; // expire() removes it from this time on
};

struct fair_queue_options
{
    std::size_t max_requests = 10'000;
    std::size_t max_bytes = 16u << 20;
    std::array<double, request_class_count> class_weights{{8, 3, 1}};
    std::array<double, request_class_count> class_leads{{3'000, 1'000, 0}};
    double max_lead = 20'000; // tokens
};

class fair_queue
{
public:
    explicit fair_queue(fair_queue_options options);

    // Weights are positive; an organisation without one has weight 1.
    void set_weight(std::string const& organisation, double weight);

    // Enqueues; returns the requests evicted to make room, which may include
    // `request` itself.
    std::vector<queued_request> push(queued_request request);

    // Which of an organisation's requests may be served now.
    struct allowance
    {
        // The lowest class that may be served; empty: none may.
        std::optional<request_class> lowest;
        // Served before all organisations that are not preferred.
        bool preferred = false;
    };
    using class_filter =
        std::function<allowance(std::string const& organisation)>;

    // Removes the next request that may be served and charges its tokens.
    std::optional<queued_request> pop(class_filter const& filter);

    // The same, with the same lowest class for all organisations and no
    // preference.
    std::optional<queued_request> pop(request_class lowest);

    // Removes a request from any position, such as when its caller has
    // disconnected.
    std::optional<queued_request> remove(request_id const& id);

    // Removes the requests whose expires_at has passed.
    std::vector<queued_request> expire(time_point now);

    // Charges tokens served without queueing here. Negative to correct an
    // estimate.
    void add_served(std::string const& organisation, double tokens);

    // Charges tokens that another VM served; moves the organisation at most
    // max_lead behind the lowest counter.
    void add_served_elsewhere(std::string const& organisation, double tokens);

    // Estimate of the queued tokens that would be served before a new request
    // of `organisation` that needs `tokens`.
    double tokens_ahead(std::string const& organisation, request_class priority,
                        std::uint32_t tokens) const;

    std::size_t size() const
    {
        return requests_;
    }
    std::size_t bytes() const
    {
        return bytes_;
    }
    bool empty() const
    {
        return requests_ == 0;
    }
    double weight(std::string const& organisation) const;

private:
    using lane = std::deque<queued_request>;

    struct organisation_row
    {
        double weight = 1;
        double counter = 0; // tokens served per weight
        std::size_t requests = 0;
        std::size_t bytes = 0;
        // Tokens served per class weight: the order among the classes.
        std::array<double, request_class_count> class_counters{};
        std::array<double, request_class_count> waiting_tokens{};
        std::array<lane, request_class_count> lanes;
    };

    struct queue_position
    {
        organisation_row* row = nullptr;
        std::size_t level = 0;
    };

    // Over the organisations with queued requests; infinity if none has any.
    double lowest_waiting_counter() const;
    // The counter that `row` has once a request of it is queued.
    double lifted_counter(organisation_row const& row) const;
    static void lift_class_counter(organisation_row& row, std::size_t level);
    static std::optional<std::size_t> next_class(organisation_row const& row,
                                                 std::size_t lowest);
    double lead_of(organisation_row const& row, std::size_t lowest) const;
    queue_position next_request(class_filter const& filter);
    double own_tokens_ahead(organisation_row const& row, std::size_t level,
                            std::uint32_t tokens) const;
    queued_request take(organisation_row& row, std::size_t level,
                        std::size_t position);
    queued_request evict_newest();
    bool over_bounds() const;

    fair_queue_options options_;
    std::map<std::string, organisation_row> organisations_;
    // Sums over organisations_.
    std::size_t requests_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace amarantharch

#endif
