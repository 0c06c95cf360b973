#include "app/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <fmt/format.h>

#include <map>

namespace amarantharch
{

namespace
{

// The name without its prefix, and the help text.
template <typename Enum>
struct series_row
{
    Enum value;
    std::string_view name;
    std::string_view help;
};

constexpr series_row<gauge_name> gauges[] = {
    {gauge_name::requests_in_flight, "requests_in_flight",
     "Requests that have been received and not yet answered."},
    {gauge_name::peers_live, "peers_live", "Other VMs believed to be live."},
    {gauge_name::upstreams_live, "upstreams_live",
     "Upstreams that may be given work."},
    {gauge_name::log_reachable, "log_reachable",
     "1 if the platform's log answers, else 0."},
    {gauge_name::log_backlog_records, "log_backlog_records",
     "Records that wait to be appended."},
    {gauge_name::configuration_revision, "configuration_revision",
     "The revision of the configuration in force on this VM."},
    {gauge_name::control_memory_bytes, "control_memory_bytes",
     "Memory of the state that is shared or read from the log."},
    {gauge_name::ready, "ready", "1 if this VM takes new requests, else 0."},
    {gauge_name::cold_upstreams, "cold_upstreams",
     "Upstreams that get requests in turns because they are cold."},
    {gauge_name::evacuated_domains, "evacuated_domains",
     "Failure domains that the operator has evacuated."},
    {gauge_name::work_time_lowest, "upstream_work_time_lowest",
     "Lasting work time of the fastest upstream that states one; 1 is usual."},
    {gauge_name::work_time_median, "upstream_work_time_median",
     "Median of the lasting work times of the upstreams that state one."},
    {gauge_name::work_time_highest, "upstream_work_time_highest",
     "Lasting work time of the slowest upstream that states one."},
};

constexpr series_row<counter_name> counters[] = {
    {counter_name::tokens_relayed, "tokens_relayed_total",
     "Tokens of engines that were passed on to callers."},
    {counter_name::answer_bytes, "answer_bytes_total",
     "Bytes of answers that were passed on to callers."},
    {counter_name::callers_left, "callers_left_total",
     "Callers that left before their answer ended."},
    {counter_name::log_appends, "log_appends_total",
     "Appends sent to the platform's log."},
    {counter_name::log_append_failures, "log_append_failures_total",
     "Appends that failed or were not answered."},
    {counter_name::peer_bytes_sent, "peer_bytes_sent_total",
     "Bytes sent to other VMs."},
    {counter_name::peer_bytes_received, "peer_bytes_received_total",
     "Bytes received from other VMs."},
    {counter_name::tokens_recomputed, "tokens_recomputed_total",
     "Tokens that an engine computed again."},
};

// The counts of load shedding by rank; the core keeps the totals.
struct shedding_series
{
    std::string_view name;
    std::string_view help;
    std::uint64_t shedding_counts::*count;
};

constexpr shedding_series shedding_gauges[] = {
    {"shedding_held", "Requests held by load shedding since the start.",
     &shedding_counts::held},
    {"shedding_rejected", "Requests rejected by load shedding since the start.",
     &shedding_counts::rejected},
    {"shedding_expired",
     "Requests that reached their deadline while held, since the start.",
     &shedding_counts::expired},
    {"shedding_waiting", "Requests that load shedding holds now.",
     &shedding_counts::waiting},
};

prometheus::Histogram::BucketBoundaries const latency_seconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
    0.5,   0.7,   1,     2,    5,    10,   30,  60};

prometheus::Histogram::BucketBoundaries const decision_seconds{
    1e-6, 2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 1e-3, 1e-2};

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

std::string full_name(std::string_view name)
{
    return fmt::format("amarantharch_{}", name);
}

} // namespace

class metrics::impl
{
public:
    impl()
    {
        for (auto const& row : gauges)
        {
            gauges_[row.value] = &prometheus::BuildGauge()
                                      .Name(full_name(row.name))
                                      .Help(std::string(row.help))
                                      .Register(registry_)
                                      .Add({});
        }
        for (auto const& row : counters)
        {
            counters_[row.value] = &prometheus::BuildCounter()
                                        .Name(full_name(row.name))
                                        .Help(std::string(row.help))
                                        .Register(registry_)
                                        .Add({});
        }
    }

    prometheus::Family<prometheus::Counter>& counter(std::string_view name,
                                                     std::string_view help)
    {
        return prometheus::BuildCounter()
            .Name(full_name(name))
            .Help(std::string(help))
            .Register(registry_);
    }

    prometheus::Family<prometheus::Histogram>& histogram(std::string_view name,
                                                         std::string_view help)
    {
        return prometheus::BuildHistogram()
            .Name(full_name(name))
            .Help(std::string(help))
            .Register(registry_);
    }

    prometheus::Registry registry_;
    std::map<gauge_name, prometheus::Gauge*> gauges_;
    std::map<counter_name, prometheus::Counter*> counters_;
    prometheus::Family<prometheus::Counter>& answered_ =
        counter("requests_answered_total",
                "Requests that ended with an upstream's answer.");
    prometheus::Family<prometheus::Counter>& refused_ =
        counter("requests_refused_total", "Requests that were refused.");
    prometheus::Family<prometheus::Counter>& attempts_failed_ = counter(
        "attempts_failed_total", "Attempts that ended without a whole answer.");
    prometheus::Family<prometheus::Histogram>& first_byte_ = histogram(
        "first_byte_seconds", "From a request's arrival to its first byte.");
    prometheus::Family<prometheus::Histogram>& whole_answer_ = histogram(
        "answer_seconds", "From a request's arrival to its answer's end.");
    prometheus::Family<prometheus::Histogram>& decisions_ =
        histogram("decision_seconds", "Processor time of decisions.");
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::set(gauge_name which, double value)
{
    impl_->gauges_.at(which)->Set(value);
}

void metrics::count(counter_name which, double amount)
{
    impl_->counters_.at(which)->Increment(amount);
}

void metrics::request_answered(std::string_view route, int status,
                               duration to_first_byte, duration to_end)
{
    std::string const route_label(route);
    impl_->answered_
        .Add({{"route", route_label}, {"status", fmt::to_string(status)}})
        .Increment();
    impl_->first_byte_.Add({{"route", route_label}}, latency_seconds)
        .Observe(seconds(to_first_byte));
    impl_->whole_answer_.Add({{"route", route_label}}, latency_seconds)
        .Observe(seconds(to_end));
}

void metrics::request_refused(std::string_view reason, verdict run)
{
    impl_->refused_
        .Add({{"reason", std::string(reason)},
              {"verdict", std::string(name(run))}})
        .Increment();
}

void metrics::attempt_failed(std::string_view upstream, verdict run)
{
    impl_->attempts_failed_
        .Add({{"upstream", std::string(upstream)},
              {"verdict", std::string(name(run))}})
        .Increment();
}

void metrics::set_shedding(std::uint8_t rank, shedding_counts const& counts)
{
    for (shedding_series const& row : shedding_gauges)
    {
        prometheus::BuildGauge()
            .Name(full_name(row.name))
            .Help(std::string(row.help))
            .Register(impl_->registry_)
            .Add({{"rank", fmt::to_string(rank)}})
            .Set(static_cast<double>(counts.*row.count));
    }
}

void metrics::decision_took(std::string_view decision, duration spent)
{
    impl_->decisions_
        .Add({{"decision", std::string(decision)}}, decision_seconds)
        .Observe(seconds(spent));
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

} // namespace amarantharch
