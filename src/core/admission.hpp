// Admits, queues or refuses requests of one service at this VM.
//
// A request runs at once while fewer than the concurrency limit are in flight
// and nobody waits before it; else it waits in the fair queue for as long as
// its class and deadline allow. It is refused at once, before any upstream has
// seen it, when the wait predicted from the tokens ahead of it and the measured
// service rate is longer than that (unless its organisation is below its share,
// see below), or when the queue is full. A refusal is
// not_run by construction and says when to come back: the predicted wait, and
// a spread of up to half of it derived from the request's id, so that refused
// callers do not come back together.
//
// What runs cannot be taken back, so parts of the limit are kept free:
// as much as interactive requests need at their measured rate and run time, at
// most `max_interactive_reserve` of it, for these, and `fair_headroom` for
// organisations whose requests in flight are below their share, that is the
// limit by weight among those that offered requests in the last
// `activity_window`. So one who offers far more than its share finds the
// headroom closed, and the others find it open and go first in the queue. An
// organisation alone has the whole limit.
//
// Shares between VMs: usage() has for each organisation a cumulative count of
// tokens, which peers merge by maximum, and the requests in flight, of which
// the newest message counts. So late, repeated and reordered messages do no
// harm. An organisation is below its share if it is so at this VM or in the sum
// over all VMs heard lately: at one VM alone, chance puts many above it.
// While a peer is not heard, its part is left out of the sum and each VM is
// still fair by its own counters; the error is at most the tokens served at the
// unheard VMs since the last message from them, and the weight of what is heard
// is bounded by the fair queue.
//
// Usage: offer(); for run_now and each of release(): send it; then on_first()
// once if an answer began and on_end() exactly once. release() after each
// on_end() and each tick. Cost: O(organisations) each.
#ifndef AMARANTHARCH_CORE_ADMISSION_HPP
#define AMARANTHARCH_CORE_ADMISSION_HPP

#include "core/call.hpp"
#include "core/concurrency_limit.hpp"
#include "core/fair_queue.hpp"
#include "core/time.hpp"

#include <absl/container/flat_hash_map.h>
#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

// The longest wait in the queue and the first-byte target of a class.
struct class_admission
{
    duration max_wait;
    duration first_byte_target;
};

struct admission_options
{
    concurrency_limit_options limit;
    fair_queue_options queue;
    std::array<class_admission, request_class_count> classes{
        {{std::chrono::milliseconds(500), std::chrono::milliseconds(700)},
         {std::chrono::milliseconds(2'000), std::chrono::milliseconds(1'500)},
         {std::chrono::milliseconds(15'000),
          std::chrono::milliseconds(5'000)}}};
    double max_interactive_reserve = 0.35;
    double fair_headroom = 0.15;
    duration activity_window = std::chrono::seconds(10);
    // After this time without a message a peer's requests are left out.
    duration peer_memory = std::chrono::seconds(3);
    // Share of the first-byte target that the upstreams may take before the
    // concurrency limit counts a request as late; the rest is for the queue.
    double upstream_target_share = 0.5;
    duration min_retry_after = std::chrono::milliseconds(250);
    duration max_retry_after = std::chrono::seconds(60);
};

// What a request is charged, in output tokens: an engine computes a prompt
// token for about a sixteenth of the time of an output token.
constexpr std::uint32_t charged_tokens(std::uint32_t prompt,
                                       std::uint32_t output)
{
    constexpr std::uint32_t prompt_tokens_per_output_token = 16;
    return prompt / prompt_tokens_per_output_token + output;
}

struct admission_request
{
    request_id id;
    std::string organisation;
    request_class priority = request_class::standard;
    std::uint32_t tokens = 1; // estimate of charged_tokens()
    std::size_t bytes = 0;
    std::optional<time_point> deadline; // the caller's, if it named one
};

enum class admission_outcome : std::uint8_t
{
    run_now,
    queued,
    refused,
};

inline constexpr name_table<admission_outcome, 3> admission_outcome_names{{
    {admission_outcome::run_now, "run_now"},
    {admission_outcome::queued, "queued"},
    {admission_outcome::refused, "refused"},
}};

struct refused_request
{
    request_id id;
    refusal why;
};

struct admission_result
{
    admission_outcome outcome = admission_outcome::refused;
    // The final answer if refused.
    std::optional<refusal> why;
    // Other requests that were given up to make room for this one.
    std::vector<refused_request> given_up;
};

// What became of waiting requests.
struct admission_release
{
    std::vector<request_id> run; // to be sent now, in this order
    std::vector<refused_request> refused;
};

// What one VM has served and is running for one organisation.
struct organisation_usage
{
    std::string organisation;
    std::uint64_t tokens = 0; // since the VM started
    std::uint32_t in_flight = 0;
    MSGPACK_DEFINE(organisation, tokens, in_flight)
};

// Gossiped. Of one VM, the greatest (incarnation, sequence) is the newest.
struct usage_summary
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t limit = 0; // requests in flight that the VM admits
    std::vector<organisation_usage> served;
    MSGPACK_DEFINE(vm, incarnation, sequence, limit, served)
};

class admission
{
public:
    explicit admission(admission_options options);

    void set_weight(std::string const& organisation, double weight);

    // Follows a change of the upstreams that serve the requests.
    void set_limit(concurrency_limit_options const& options)
    {
        limit_.set_options(options);
    }

    admission_result offer(time_point now, admission_request const& what);

    // The caller of a waiting request left; true if it waited here.
    bool abandon(request_id const& id);

    // The answer of an admitted request began.
    void on_first(time_point now, request_id const& id);

    // An admitted request ended; `tokens`: the charged_tokens() of
    // what it really used.
    void on_end(time_point now, request_id const& id, std::uint32_t tokens);

    admission_release release(time_point now);

    // Each call gives a message with the next sequence number.
    usage_summary usage(std::string vm, std::uint64_t incarnation);
    void merge(time_point now, usage_summary const& peer);
    // The peer is gone for good: its counters are dropped.
    void forget_peer(std::string const& vm);

    std::uint32_t limit() const
    {
        return limit_.limit();
    }
    std::size_t in_flight() const
    {
        return running_.size();
    }
    std::size_t waiting() const
    {
        return queue_.size();
    }
    // Tokens per millisecond when the whole limit is in use, by what requests
    // used lately and how long they ran; 0: not known yet.
    double tokens_per_ms() const;

private:
    struct running_row
    {
        std::string organisation;
        request_class priority = request_class::standard;
        std::uint32_t tokens = 0; // charged
        time_point started;
        bool answer_begun = false;
    };

    struct peer_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at;
        std::uint32_t limit = 0;
        std::map<std::string, std::uint64_t> served;
        std::map<std::string, std::uint32_t> in_flight;
    };

    struct organisation_row
    {
        std::uint32_t in_flight = 0;
        time_point last_offer;
    };

    bool under_share(std::string const& organisation) const;
    void merge_served(peer_row& known, usage_summary const& peer,
                      bool first_heard);
    void leave_out(peer_row& peer);
    void leave_out_silent_peers(time_point now);
    std::optional<request_class>
    lowest_runnable(std::string const& organisation) const;
    void learn_activity(time_point now, std::string const& organisation);
    void forget_inactive(time_point now);
    duration predicted_wait(admission_request const& what) const;
    duration allowed_wait(time_point now, admission_request const& what) const;
    refusal refuse(request_id const& id, std::string reason,
                   duration wait) const;
    void start(time_point now, queued_request const& what);
    void measure(running_row const& ended, duration ran, std::uint32_t tokens);
    void measure_offer(time_point now, request_class priority);
    double interactive_reserve() const;

    admission_options options_;
    concurrency_limit limit_;
    fair_queue queue_;
    absl::flat_hash_map<request_id, running_row> running_;
    std::uint32_t running_others_ = 0; // of these, not interactive
    // Those that offered a request in the last activity_window or have some
    // in flight, and the sum of their weights.
    std::map<std::string, organisation_row> active_;
    double active_weight_ = 0;
    time_point activity_checked_at_;
    std::map<std::string, std::uint64_t> served_; // tokens, by organisation
    std::map<std::string, peer_row> peers_;
    // Sums over peers_ of limit and in_flight.
    std::uint64_t peer_limit_ = 0;
    std::map<std::string, std::uint64_t> peer_in_flight_;
    std::uint64_t usage_sequence_ = 0;
    // Means over the requests that ended lately; the oldest fade out.
    double mean_tokens_ = 0;
    double mean_run_ms_ = 0;
    double interactive_run_ms_ = 0;
    // Interactive requests offered a millisecond, over the last windows.
    double interactive_rate_ = 0;
    time_point window_start_;
    std::uint32_t window_offers_ = 0;
};

} // namespace amarantharch

#endif
