// Handles callers' requests on one VM, from arrival to the final answer.
//
// Each request is a row of a table. It is authenticated, admitted or refused,
// checked by the ledger if it must run at most once, and sent to an upstream,
// whose answer is relayed to the caller. Each try at an upstream is an attempt
// with its own id. A row has at most one current attempt, and whatever arrives
// from another one is dropped, so late bytes of an earlier attempt cannot reach
// a caller.
//
// Safety: a request is retried only if retry_budget allows it. That requires a
// verdict of not_run or an idempotent route, and either that no byte of the
// answer was sent to the caller or that the stream can resume at an offset. A
// refusal has the combined verdict of all attempts, so it says not_run only if
// no attempt was run.
//
// An upstream that this VM cannot reach while it is partitioned (see
// upstream_reach) gets its attempts through another VM (see relay_choice,
// attempt_relay). All decisions on such a request stay here.
//
// If the caller disconnects, an idempotent request is cancelled; a
// non-idempotent one runs to completion so that its outcome is recorded.
//
// Cost: O(log requests) for each event, plus a routing decision for each
// attempt; each tick visits every row.
#ifndef AMARANTHARCH_CORE_REQUEST_PATH_HPP
#define AMARANTHARCH_CORE_REQUEST_PATH_HPP

#include "core/admission.hpp"
#include "core/command.hpp"
#include "core/crash_detector.hpp"
#include "core/dialect.hpp"
#include "core/evacuation_table.hpp"
#include "core/event.hpp"
#include "core/event_relay.hpp"
#include "core/ledger.hpp"
#include "core/load_shedding.hpp"
#include "core/move_table.hpp"
#include "core/outlier.hpp"
#include "core/peer_update.hpp"
#include "core/prompt_part_quarantine.hpp"
#include "core/quarantine.hpp"
#include "core/relay_choice.hpp"
#include "core/retry_budget.hpp"
#include "core/routing.hpp"
#include "core/service_demand.hpp"
#include "core/shared_quota.hpp"
#include "core/site.hpp"
#include "core/stream_relay.hpp"
#include "core/upstream_reach.hpp"
#include "core/upstream_table.hpp"
#include "core/usage_windows.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amarantharch
{

struct request_path_options
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 1;
    std::size_t max_requests = 20'000;
    // Of all bodies, each with its copy on the way to an upstream.
    std::size_t max_request_bytes = std::size_t{64} << 20;
    admission_options admission;
    load_shedding_options shedding;
    routing_options routing;
    retry_budget_options retries;
    outlier_options outliers;
    quarantine_options quarantined;
    prompt_part_quarantine_options quarantined_parts; // vm is set from above
    crash_detector_options crashes;
    upstream_reach_options reach; // seed is set from above
    relay_choice_options relays;
    // Bytes kept of the last tokens of each stream, while it is relayed.
    std::size_t stream_history_bytes = std::size_t{16} << 10;
    ledger_options requests_ledger; // vm and incarnation are set from above
    dialect const* api_dialect = &native_dialect();
    // Whether the log records requests that must run at most once, so that all
    // VMs detect a retry by the caller. If false, every request counts as new,
    // and at-most-once execution holds only for the attempts of this VM.
    bool records_requests = true;
    // Answers other than streams are buffered up to this size and forwarded
    // when complete. Until then a failed attempt can be retried.
    std::size_t held_answer_bytes = 0;
    // Limit on the requests in flight of this VM, per slot of the service's
    // upstreams.
    double admitted_per_slot = 1;
    // Prompt tokens that an engine processes per millisecond.
    double engine_prefill_tokens_per_ms = 10;
    // HTTP status if no attempt was run and no retry is allowed.
    int not_run_status = 502;
    shared_quota_options quotas;
    // Length of the windows in which usage is counted; 0: not counted.
    duration usage_window{};
    // HTTP status for a request that is known to crash upstreams.
    int quarantined_status = 422;
    // Cap on the retry budget's balance for the whole fleet, divided evenly
    // between the VMs; 0: the cap of `retries` applies to each VM.
    double fleet_retry_cap = 0;
};

class request_path
{
public:
    // Appends the ledger's records to the requests stream. It may lose records;
    // the ledger appends them again.
    using record_appender = std::function<void(std::string payload)>;

    request_path(request_path_options options, command_sink emit,
                 record_appender append);

    // Replaces the routing tables; requests in progress keep their route.
    void set_routing_tables(time_point now,
                            std::shared_ptr<routing_tables const> tables);

    // Number of VMs that the platform lists, including this one, and this VM's
    // place among them.
    void set_fleet_position(time_point now, fleet_position position);

    // The VMs that may run attempts for this one; none until this is called.
    void set_members(membership const& members)
    {
        members_ = &members;
    }

    // A peer has told whether it is partitioned from the upstreams.
    void hear_partitioned(time_point now, std::string const& vm,
                          bool partitioned)
    {
        relays_.on_told(now, vm, partitioned);
    }

    // The current routing tables.
    routing_tables const& tables() const
    {
        return *tables_;
    }

    dialect const& api_dialect() const
    {
        return *options_.api_dialect;
    }

    void handle(time_point now, call_received const& what);
    void handle(time_point now, call_abandoned const& what);
    void handle(time_point now, upstream_head const& what);
    void handle(time_point now, upstream_piece const& what);
    void handle(time_point now, upstream_end const& what);
    void handle(time_point now, upstream_failed const& what);
    void handle(time_point now, stop_requested const& what);

    // Ends expired requests, sends due retries and admits queued requests.
    void tick(time_point now);

    // Some source reported that an upstream is shutting down: it gets no new
    // requests from now on. Without an incarnation, the known one is meant.
    void upstream_leaving(std::string const& upstream);
    void upstream_leaving(leaving_upstream const& what);

    // Returns and clears the upstreams marked as leaving by upstream_leaving or
    // by their own answers, for the peers.
    std::vector<leaving_upstream> take_found_leaving()
    {
        return std::exchange(found_leaving_, {});
    }

    // Returns and clears the refusals by brittle upstreams, for the peers.
    std::vector<upstream_refusal> take_refusals(time_point now);

    // A peer has had a request turned away by a brittle upstream.
    void merge_refusal(time_point now, upstream_refusal const& heard);

    // A peer has heard of an upstream's limit.
    void merge_limit(time_point now, upstream_limit const& heard);

    // The operator's evacuations of failure domains, as read in the store and
    // as told by peers. Nothing more is sent to upstreams there; running
    // requests end where they run.
    void handle(time_point now, domain_evacuated const& what);
    void handle(time_point now, operator_records_read const& what);
    void merge_evacuation(time_point now, domain_evacuation const& heard);
    evacuation_table const& evacuations() const
    {
        return evacuations_;
    }

    // An upstream said something about itself in an answer other than to a
    // caller's request.
    void handle(time_point now, upstream_noticed const& what);

    // What an attempt that was relayed to this VM shows of an upstream: the
    // head of an answer, any byte, a failure.
    void note_answer(time_point now, upstream_index upstream,
                     std::uint64_t incarnation, int status,
                     header_list const& headers);
    void note_byte(time_point now)
    {
        last_byte_ = now;
    }
    void note_failure(time_point now, upstream_index upstream,
                      std::string const& reason);

    // Whether an attempt that this VM sent to the upstream at `sent` waits on a
    // connection that has been dead since the VM was partitioned.
    bool is_on_dead_connection(time_point now, upstream_index upstream,
                               time_point sent) const;

    // Whether an attempt failed because no connection was made.
    static bool is_unconnected(std::string_view reason);

    // Whether the upstream gets no other request now.
    bool is_reserved(upstream_index upstream) const
    {
        return reserved_.contains(upstream);
    }

    upstream_reach const& reach() const
    {
        return reach_;
    }

    // The outcome of a check_upstream command.
    void handle(time_point now, upstream_checked const& what);

    // Addition, update or removal of an upstream in the platform's directory.
    void handle(time_point now, upstream_listed const& what);
    void handle(time_point now, upstream_unlisted const& what);

    // Load that an upstream reported; ignored for unknown upstreams.
    void upstream_reported(std::string const& upstream,
                           upstream_report const& report);

    // Returns and clears the loads that answers to callers' requests gave of
    // each engine, and of other upstreams that state their work time.
    std::map<std::string, upstream_report> take_answer_loads()
    {
        return std::exchange(answer_loads_, {});
    }

    // Applies the next batch of the requests stream.
    void apply(time_point now, log_batch const& batch);
    void set_log_reachable(time_point now, bool reachable);
    void vm_gone(time_point now, std::string const& vm);

    // Usage of each service on this VM, to be sent to peers.
    std::vector<service_usage> usage(std::string const& vm,
                                     std::uint64_t incarnation);
    // Merges the usage reported by a peer.
    void merge_usage(time_point now, std::string const& service,
                     usage_summary const& peer);

    // Returns and clears the records that may not be stored in the log before
    // this VM stops.
    std::vector<std::string> take_handed_over()
    {
        return std::exchange(handed_over_, {});
    }
    // Takes over records from a peer that is stopping.
    void adopt(time_point now, std::vector<std::string> const& records);

    move_table& moves()
    {
        return moves_;
    }
    move_table const& moves() const
    {
        return moves_;
    }
    shared_quota& quotas()
    {
        return quotas_;
    }
    service_demand& demand()
    {
        return demand_;
    }
    usage_windows& started_usage()
    {
        return started_usage_;
    }
    router const& routing() const
    {
        return router_;
    }
    upstream_table const& upstreams() const
    {
        return upstreams_;
    }
    quarantine& crash_quarantine()
    {
        return quarantine_;
    }
    prompt_part_quarantine& part_quarantine()
    {
        return part_quarantine_;
    }
    ledger& requests_ledger()
    {
        return ledger_;
    }
    ledger const& requests_ledger() const
    {
        return ledger_;
    }

    // What load shedding has done, by rank.
    std::map<std::uint8_t, shedding_counts> const& shed_requests() const
    {
        return shed_requests_;
    }

    std::size_t requests_in_flight() const
    {
        return rows_.size();
    }
    bool stopping() const
    {
        return stop_time_.has_value();
    }

    // When what is unfinished is given up, shortly before the process must be
    // gone; nothing unless the VM stops.
    std::optional<time_point> stop_time() const
    {
        return stop_time_;
    }

    // Whether nothing is in progress, so that the process may exit.
    bool idle() const
    {
        return rows_.empty() && ledger_.idle();
    }

private:
    // retry_after of failures that have no better estimate.
    static constexpr duration failure_retry_after = std::chrono::seconds(1);
    // Reason of failures and refusals of a VM that is partitioned.
    static constexpr std::string_view upstreams_unreachable =
        "upstreams_unreachable";

    enum class stage : std::uint8_t
    {
        admitting, // in the admission queue
        deciding,  // waiting for the ledger
        waiting,   // waiting for attempt_due
        running,   // has a current attempt
    };

    struct row
    {
        call request;
        std::string organisation;
        route_spec route;
        request_class priority = request_class::standard;
        stage current_stage = stage::admitting;
        time_point deadline;
        time_point attempt_due;    // time of the next attempt, if waiting
        bool admitted = false;     // counted by its service's admission
        bool caller_waits = true;  // the caller is still connected
        bool answer_begun = false; // bytes were sent to the caller
        // Permit of the ledger, if non-idempotent.
        std::optional<run_id> ledger_run;
        attempt_id attempt = 0;      // current; 0 if none
        upstream_index upstream = 0; // of the current attempt
        std::uint64_t upstream_incarnation = 0;
        time_point attempt_started;
        std::string relay; // the VM that runs the attempt; empty: this one
        std::uint32_t attempts = 0;
        bool unconnected = false;       // the last attempt made no connection
        std::uint8_t urgency = 0;       // see attempt_metadata
        double quota_units = 0;         // charged to the organisation's quota
        bool execution_started = false; // an upstream has begun to answer
        std::vector<upstream_index> tried_upstreams;
        verdict run = verdict::not_run; // combined, of the ended attempts
        std::uint64_t answer_bytes = 0;
        run_outcome outcome;                     // collected for the ledger
        std::optional<stream_relay> token_relay; // for an engine's tokens
        std::optional<event_relay> sse_relay;    // for other event streams
        // Head and first bytes of an answer that is still buffered.
        std::optional<answer_head> held_head;
        std::string held_bytes;
        version_choice version;
        fingerprint request_fingerprint = 0;
        bool runs_alone = false; // no other request may run on its upstream
        // Waits until then at most for a turn at an upstream with a limit.
        std::optional<time_point> waits_for_turn_until;
        time_point received;
        // While load shedding holds it; see load_shedding.
        std::optional<time_point> held_since;
        time_point held_until;
        duration predicted{}; // to the first event, when last decided
        // Of the service when the attempt was sent; 0: unknown, or the first
        // event has come.
        double occupancy_when_sent = 0;
        bool lacked_room = false; // the last upstream rejected it for this
        // Marks that its prompt's parts had when the attempt was sent.
        std::vector<part_clearance> part_marks;
    };

    // A crash as this VM's own connections show it; a partition looks alike.
    struct doubted_crash
    {
        crash_id crash;
        crash_suspects suspects;
        time_point doubted_at;
        bool ran_alone = false;
    };

    // Arrival.
    std::optional<refusal> refuse_early(call const& request,
                                        std::string const& organisation,
                                        route_spec const* route) const;
    bool spend_quota(time_point now, row& r);
    static double units_of(row const& r, quota_spec const& quota);
    void refuse_unadmitted(request_id const& id, refusal const& why);
    void answer_inquiry(time_point now, call const& request,
                        std::string const& organisation);
    void admit(time_point now, row& r);
    void start_admitted(time_point now, request_id const& id);
    void submit(time_point now, row& r, bool asynchronous);
    void take(time_point now, append_record const& effect);
    void take(time_point now, run_request const& effect);
    void take(time_point now, accepted_reply const& effect);
    void take(time_point now, stored_outcome_reply const& effect);
    void take(time_point now, refused_reply const& effect);
    void take(time_point now, handover_message const& effect);
    void answer_accepted(time_point now, request_id const& id);
    void replay_outcome(time_point now, request_id const& id,
                        stored_outcome const& outcome);
    void pass_on_refusal(time_point now, request_id const& id,
                         refusal const& why);
    void run_detached(time_point now, run_request const& what);

    // Attempts.
    void dispatch(time_point now, row& r);
    std::optional<choice>
    choose_upstream(time_point now, row& r, request_features& features,
                    std::vector<upstream_index> const& excluded);
    void record_version_outcome(time_point now, row& r, bool answered);
    bool refuse_if_quarantined(time_point now, row& r);
    void keep_answer_load(std::string const& upstream,
                          upstream_report const& report);
    void refuse_for_prompt_part(time_point now, row& r);
    std::vector<upstream_index> exclusions_for(row const& r,
                                               bool reached_only) const;
    bool has_living_connections(time_point now) const;
    void refuse_unreachable(time_point now, row& r);
    void watch_connections(time_point now);
    void log_reach(bool was_partitioned);
    void log_speeds(time_point now);
    void handle_lost_relay(time_point now, row& r, verdict run,
                           std::string const& reason);
    void note_byte_of(time_point now, row const& r);
    void retry_or_refuse(time_point now, row& r, verdict run,
                         std::string const& reason, retry_cause cause);
    void wait_for_upstream(time_point now, row& r);
    bool wait_for_turn(time_point now, row& r);
    bool refuse_if_evacuated(time_point now, row& r);
    void refuse_queued_if_evacuated(time_point now);
    void use_evacuation(time_point now, std::string const& failure_domain,
                        std::string_view source);
    void end_wait_for_turn(row& r);
    // Load shedding.
    void refresh_ranks();
    load_shedding& shedding_of(std::string const& service);
    // Occupancy of a service as this VM knows it, for load shedding.
    struct occupancy_estimate
    {
        double mean = 0;
        double least = 0; // of one upstream
    };
    std::optional<occupancy_estimate>
    occupancy_of(time_point now, std::string const& service) const;
    double occupancy_at(time_point now, upstream_index upstream) const;
    bool is_full(time_point now, upstream_index upstream) const;
    void mark_full(time_point now, row& r, std::optional<answer_load> load);
    void end_full_marks(time_point now);
    shedding_question question_of(time_point now, row const& r) const;
    bool is_held_on(time_point now, row& r);
    bool hold_or_reject(time_point now, row& r, choice const& chosen);
    bool carry_out(time_point now, row& r, shedding_question const& question,
                   shedding_decision const& decision);
    void end_hold(row& r);
    void note_first_event(time_point now, row& r);
    std::uint8_t rank_in_queue(time_point now, row const& r) const;
    duration room_retry_after(time_point now, row const& r);
    void hear_answer(time_point now, leaving_upstream const& from,
                     answer_metadata const& metadata);
    void spare_brittle(time_point now, upstream_index upstream,
                       std::uint64_t incarnation);
    void record_hold(row const& r, duration held);
    bool take_refusal(time_point now, std::string const& upstream,
                      std::uint64_t incarnation, duration hold);
    void log_limit(time_point now, std::string const& upstream,
                   std::string_view source);
    void use_fleet_position(time_point now, fleet_position position);
    void detect_crash(time_point now, row const& r, std::string const& reason);
    void doubt_crash(time_point now, upstream_index upstream,
                     crash_suspects suspects);
    void settle_doubted_crashes(time_point now);
    void record_crash(doubted_crash const& what);
    void record_begun_answer(time_point now, row& r);
    call upstream_request(time_point now, row const& r) const;
    request_features features_of(row const& r) const;
    row* row_of(attempt_id attempt);
    void end_attempt(time_point now, row& r);
    void handle_failed_attempt(time_point now, row& r, verdict run,
                               std::string const& reason);
    bool schedule_retry(time_point now, row& r, retry_cause cause);
    void relay_tokens(time_point now, row& r, std::string const& bytes);
    void relay_events(time_point now, row& r, std::string const& bytes);
    void release_held_answer(row& r);
    bool outlives_caller(row const& r) const;
    void reject_answer(time_point now, row& r, upstream_head const& what,
                       answer_metadata const& terms);
    void begin_answer(time_point now, row& r, upstream_head const& what);
    void send_stream_error(row const& r, refusal const& why);

    // Endings.
    void finish(time_point now, row& r);
    void refuse(time_point now, row& r, int status, std::string reason,
                duration retry_after);
    void report_to_ledger(time_point now, row& r);
    void remove(time_point now, row& r);
    void expire(time_point now, row& r, int status, std::string reason);

    void forget_upstream(std::string const& name);
    void heed_notice(time_point now, leaving_upstream const& from,
                     upstream_notice const& notice);
    void hear_cold(time_point now, leaving_upstream const& from,
                   duration cold_for, std::string_view source);
    void log_cold(time_point now, upstream_index upstream,
                  std::string_view source);
    void log_warm_upstreams(time_point now);
    void set_warm_ups(time_point now);
    duration retry_after_of(time_point now, std::string const& service) const;
    static bool is_only_slow(std::string_view reason);
    admission_options admission_for(std::string const& service) const;
    admission& admission_of(std::string const& service);
    void refresh_limit(std::string const& service);
    std::uint8_t urgency_of(std::string const& organisation,
                            route_spec const& route) const;
    static std::uint32_t expected_output(row const& r);
    static std::uint32_t prompt_tokens(row const& r);
    void add_timeline_entry(std::string kind, request_id const& request,
                            std::string details);

    request_path_options options_;
    command_sink emit_;
    record_appender append_;
    std::shared_ptr<routing_tables const> tables_;
    std::map<std::string, admission> admissions_;    // by service
    std::map<std::string, load_shedding> sheddings_; // by service
    std::map<std::uint8_t, shedding_counts> shed_requests_;
    // Upstreams that rejected a request for want of room, and when.
    std::map<upstream_index, time_point> full_since_;
    upstream_table upstreams_;
    evacuation_table evacuations_;
    router router_;
    retry_budget retries_;
    outlier_detector outliers_;
    move_table moves_;
    shared_quota quotas_;
    usage_windows started_usage_;
    service_demand demand_;
    quarantine quarantine_;
    prompt_part_quarantine part_quarantine_;
    crash_detector crash_detector_;
    std::vector<doubted_crash> doubted_crashes_; // until reach_ is settled
    upstream_reach reach_;
    relay_choice relays_;
    membership const* members_ = nullptr;
    // Of an upstream, over a connection of this VM's own.
    time_point last_byte_{};
    time_point silence_doubt_due_{};
    // Upstreams reserved for one request that may crash them; they get no
    // other.
    std::map<upstream_index, request_id> reserved_;
    time_point
        event_time_; // of the event being handled, for the ledger's effects
    ledger ledger_;
    attempt_id next_attempt_ = 1;
    std::uint64_t next_detached_ = 1;
    std::size_t body_bytes_ = 0; // memory_of_body over rows_
    std::map<request_id, row> rows_;
    // attempts_[a] == r if and only if rows_[r].attempt == a != 0.
    std::map<attempt_id, request_id> attempts_;
    std::optional<time_point> stop_time_;  // see stop_time()
    std::vector<std::string> handed_over_; // records to be sent to peers
    std::vector<leaving_upstream> found_leaving_;
    struct brittle_refusal
    {
        time_point at;
        std::uint64_t incarnation = 0;
        duration hold{};
    };
    std::map<std::string, brittle_refusal> found_refusals_; // by upstream
    // How long answered attempts took, by service; a moving average.
    std::map<std::string, duration> mean_holds_;
    std::map<std::string, upstream_report> answer_loads_;
    // Upstreams that were logged as cold and not yet as warm.
    std::set<std::string> logged_cold_;
    // Requests that wait for a turn, by service.
    std::map<std::string, std::size_t> waiting_for_turn_;
    fleet_position listed_position_;
    fleet_position used_position_; // for limits
    time_point shrink_due_;        // when used_position_ may take fewer VMs
};

} // namespace amarantharch

#endif
