// Admission control: admits, queues or refuses the requests of one service at
// this VM.
//
// A request is sent at once while fewer requests than the concurrency limit
// are in flight and none is queued ahead of it. Otherwise it waits in the fair
// queue, at most for the time that its class and its deadline allow. It is
// refused at once, before any upstream has seen it, when the queue is full or
// when the predicted wait (tokens ahead of it divided by the measured service
// rate) exceeds that time. The second rule does not apply to an organisation
// below its share, see below. A refused request is therefore always `not_run`.
// The refusal carries a retry delay: the predicted wait plus a spread of up to
// half of it that is derived from the request id, so that refused callers do
// not retry all at the same time.
//
// Running requests are not preempted, so parts of the limit are reserved:
// - for interactive requests, the number in flight that their measured rate
//   and run time imply, at most `max_interactive_reserve` of the limit;
// - `fair_headroom` for organisations below their share. The share divides the
//   limit by weight among the organisations that offered requests within
//   `activity_window`.
// An organisation that offers far more than its share cannot use the headroom;
// the others can, and are served first from the queue. An organisation that is
// alone may use the whole limit.
//
// Fairness across VMs: usage() reports, per organisation, a cumulative token
// count, which peers merge by maximum, and the requests in flight, of which the
// newest report counts. Late, repeated and reordered reports are harmless. An
// organisation is below its share if it is so at this VM or in the sum over
// all VMs with a recent report: at one VM alone, chance puts many above it.
// A peer without a recent report is left out of the sum, and each VM is still
// fair by its own counters. The error is at most the tokens that the missing
// peers served since their last report, and the fair queue bounds the effect
// of what is reported.
//
// Usage: offer(); for run_now and for each id in release().run, send the
// request, then call on_first_byte() at most once, if an answer began, and
// on_end() exactly once. Call release() after each on_end() and on each tick.
// Cost: O(organisations) per call.
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

// Limits of a class: longest wait in the queue, and latency target of the first
// byte of the answer.
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
    // A peer without a usage report for this long is left out of the sums.
    duration peer_timeout = std::chrono::seconds(3);
    // Share of the first-byte target that the upstream may use before the
    // concurrency limit counts the request as late; the rest is for the queue.
    double upstream_target_share = 0.5;
    duration min_retry_after = std::chrono::milliseconds(250);
    duration max_retry_after = std::chrono::seconds(60);
};

// Cost of a request, in units of one output token: an engine spends about a
// sixteenth of the time on a prompt token.
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
    std::optional<time_point> deadline; // set by the caller, if at all
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
    // Other requests that were dropped from the queue to make room.
    std::vector<refused_request> evicted;
};

// Queued requests that may be sent or are refused.
struct admission_release
{
    std::vector<request_id> run; // to be sent now, in this order
    std::vector<refused_request> refused;
};

// One VM's usage by one organisation.
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
    std::uint32_t limit = 0; // of the VM, in requests in flight
    std::vector<organisation_usage> served;
    MSGPACK_DEFINE(vm, incarnation, sequence, limit, served)
};

class admission
{
public:
    explicit admission(admission_options options);

    void set_weight(std::string const& organisation, double weight);

    // To be called when the upstreams of the service change.
    void set_limit(concurrency_limit_options const& options)
    {
        limit_.set_options(options);
    }

    admission_result offer(time_point now, admission_request const& request);

    // The caller disconnected. Removes its request from the queue; false if it
    // was not queued.
    bool abandon(request_id const& id);

    // The answer of an admitted request began.
    void on_first_byte(time_point now, request_id const& id);

    // An admitted request ended. `tokens`: charged_tokens() of its actual
    // usage.
    void on_end(time_point now, request_id const& id, std::uint32_t tokens);

    admission_release release(time_point now);

    // A report for the peers; each call uses the next sequence number.
    usage_summary usage(std::string vm, std::uint64_t incarnation);
    void merge(time_point now, usage_summary const& peer);
    // Drops the counters of a peer that has left the fleet.
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
    // Service rate with the whole limit in use, from the mean tokens and run
    // time of recent requests; 0 if none has ended yet.
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

    bool is_below_share(std::string const& organisation) const;
    void merge_served(peer_row& known, usage_summary const& peer,
                      bool first_heard);
    void subtract_in_flight(peer_row& peer);
    void subtract_silent_peers(time_point now);
    std::optional<request_class>
    lowest_runnable(std::string const& organisation) const;
    void record_activity(time_point now, std::string const& organisation);
    void forget_inactive(time_point now);
    duration predicted_wait(admission_request const& request) const;
    duration allowed_wait(time_point now,
                          admission_request const& request) const;
    refusal refuse(request_id const& id, std::string reason,
                   duration wait) const;
    void start(time_point now, queued_request const& request);
    void update_means(running_row const& ended, duration ran,
                      std::uint32_t tokens);
    void update_interactive_rate(time_point now, request_class priority);
    double interactive_reserve() const;

    admission_options options_;
    concurrency_limit limit_;
    fair_queue queue_;
    absl::flat_hash_map<request_id, running_row> running_;
    std::uint32_t running_non_interactive_ = 0; // excludes interactive
    // Organisations that offered a request within activity_window or have
    // some in flight, and the sum of their weights.
    std::map<std::string, organisation_row> active_;
    double active_weight_ = 0;
    time_point activity_checked_at_;
    std::map<std::string, std::uint64_t> served_; // tokens, by organisation
    std::map<std::string, peer_row> peers_;
    // Sums over peers_ of limit and in_flight.
    std::uint64_t peer_limit_ = 0;
    std::map<std::string, std::uint64_t> peer_in_flight_;
    std::uint64_t usage_sequence_ = 0;
    // Exponential moving averages over the requests that ended.
    double mean_tokens_ = 0;
    double mean_run_ms_ = 0;
    double interactive_run_ms_ = 0;
    // Interactive requests offered per millisecond, a moving average over
    // windows.
    double interactive_rate_ = 0;
    time_point window_start_;
    std::uint32_t window_offers_ = 0;
};

} // namespace amarantharch

#endif
