// Orders waiting requests fairly between organisations, in tokens.
//
// A virtual token counter: each organisation's counter grows by the tokens it
// is served divided by its weight, and the waiting organisation with the lowest
// counter is served next. One that starts to wait is lifted to the lowest
// counter of those waiting, so idle time earns no credit. Hence, of two that
// wait all the time, the served tokens per weight differ by at most the largest
// request's, and the queue never idles while anyone waits.
// A class may be given a lead: its requests are chosen as if their
// organisation's counter were lower by `class_leads` tokens. So questions go
// before other organisations' drafts, and by no more than the lead.
// Within an organisation, classes are ordered the same way as organisations, by
// counters over class weights: a class with few tokens to serve goes first
// practically always, and every class that waits gets at least its weight's
// share, so none starves.
//
// The caller may prefer some organisations, such as those below their share of
// what runs: these are ordered among themselves and go first.
//
// Tokens served without waiting, here or at other VMs, count as well, so that
// who used much a moment ago goes behind who used little. What this can cost is
// bounded: on starting to wait, an organisation is at most `max_lead` tokens
// before any other, and news from other VMs puts one at most `max_lead` behind
// those that wait. So stale news shuts nobody out of a VM for long.
//
// When the queue is full, the organisation with the most waiting bytes per
// weight gives up its newest request of the lowest class.
// Cost: O(organisations) a pop, O(1) a push that finds room.
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
    std::size_t bytes = 0;    // memory it holds while it waits
    time_point queued_at;
    time_point give_up_at; // refused when it has not been served by then
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

    // Enqueues; returns the requests given up to make room, which may be
    // `what` itself.
    std::vector<queued_request> push(queued_request what);

    // What may be served of an organisation's requests now.
    struct allowance
    {
        // The lowest class; nothing: none of its requests.
        std::optional<request_class> lowest;
        // Goes before all organisations that are not preferred.
        bool preferred = false;
    };
    using class_filter =
        std::function<allowance(std::string const& organisation)>;

    // Takes the next request that may be served, and charges its tokens.
    std::optional<queued_request> pop(class_filter const& filter);

    // The same with one lowest class for all organisations.
    std::optional<queued_request> pop(request_class lowest);

    // Takes a request out wherever it waits (its caller left).
    std::optional<queued_request> remove(request_id const& id);

    // Takes out what has waited beyond its give_up_at.
    std::vector<queued_request> expire(time_point now);

    // Charges tokens served without waiting here (may be negative: a
    // correction of an estimate).
    void add_served(std::string const& organisation, double tokens);

    // Charges tokens that another VM served, bounded by max_lead.
    void add_served_elsewhere(std::string const& organisation, double tokens);

    // Tokens of those waiting now that would be served before a new request of
    // `organisation` that needs `tokens`.
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
    // The organisation's weight.
    double weight(std::string const& organisation) const;

private:
    using lane = std::deque<queued_request>;

    struct organisation_row
    {
        double weight = 1;
        double counter = 0; // tokens served per weight
        std::size_t requests = 0;
        std::size_t bytes = 0;
        // Tokens served per class weight, for order among its own classes.
        std::array<double, request_class_count> class_counters{};
        std::array<double, request_class_count> waiting_tokens{};
        std::array<lane, request_class_count> lanes;
    };

    struct place
    {
        organisation_row* row = nullptr;
        std::size_t level = 0;
    };

    double lowest_waiting() const; // counter; infinity if nobody waits
    double lifted(organisation_row const& row) const;
    static void lift_class(organisation_row& row, std::size_t level);
    static std::optional<std::size_t> next_class(organisation_row const& row,
                                                 std::size_t lowest);
    double lead_of(organisation_row const& row, std::size_t lowest) const;
    place next_request(class_filter const& filter);
    double own_tokens_ahead(organisation_row const& row, std::size_t level,
                            std::uint32_t tokens) const;
    queued_request take(organisation_row& row, std::size_t level,
                        std::size_t position);
    queued_request give_up_newest();
    bool over_bounds() const;

    fair_queue_options options_;
    std::map<std::string, organisation_row> organisations_;
    // Sums over organisations_.
    std::size_t requests_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace amarantharch

#endif
