// The process's metrics, kept in a prometheus-cpp registry.
//
// Label values come from the configuration or from fixed tables, never from
// callers, so the number of series is bounded. Units are in the names.
#ifndef AMARANTHARCH_APP_METRICS_HPP
#define AMARANTHARCH_APP_METRICS_HPP

#include "core/load_shedding.hpp"
#include "core/time.hpp"
#include "core/verdict.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace amarantharch
{

// The levels that are set, not counted.
enum class gauge_name : std::uint8_t
{
    requests_in_flight,
    peers_live,
    upstreams_live,
    log_reachable, // 1 or 0
    log_backlog_records,
    configuration_revision,
    control_memory_bytes,
    ready, // 1 or 0
    cold_upstreams,
    evacuated_domains,
    work_time_lowest,
    work_time_median,
    work_time_highest,
};

// What is counted and carries no label.
enum class counter_name : std::uint8_t
{
    tokens_relayed,
    answer_bytes,
    callers_left,
    log_appends,
    log_append_failures,
    peer_bytes_sent,
    peer_bytes_received,
    tokens_recomputed,
};

class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    void set(gauge_name which, double value);
    void count(counter_name which, double amount = 1);

    // A request ended with an upstream's answer. `route` is a configured name.
    void request_answered(std::string_view route, int status,
                          duration to_first_byte, duration to_end);

    // A request ended with a refusal. `reason` is from the core's fixed words.
    void request_refused(std::string_view reason, verdict run);

    // An attempt at `upstream` (a configured name) ended without an answer.
    void attempt_failed(std::string_view upstream, verdict run);

    // What load shedding has done with the requests of a rank since the start.
    void set_shedding(std::uint8_t rank, shedding_counts const& counts);

    // A decision of kind `decision` took `spent` of processor time.
    void decision_took(std::string_view decision, duration spent);

    // The exposition text of all metrics, for GET /metrics.
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
