#include "app/platform_mode.hpp"

#include "net/endpoint.hpp"
#include "platform/wire_dialect.hpp"

#include <fmt/format.h>

namespace amarantharch
{

namespace
{

// Answers other than streams are held until whole up to this size; those of
// the users' plain services have 800 bytes.
constexpr std::size_t held_answer_bytes = std::size_t{64} << 10;
// Connections that a crash must cut together unless the upstream then refuses
// new ones: answers are lost singly there.
constexpr std::size_t crash_quorum = 3;
// The engines' sheet gives 56.9 tokens; some work 1.3 times as long.
constexpr double engine_prefill_tokens_per_ms = 50;
// Share of the fleet's repeats that VMs use together: the rest is a margin for
// counting in other windows.
constexpr double retry_margin = 0.7;
// VMs that share the repeats beyond the ratio until the platform lists them.
constexpr double assumed_vms = 12;
// The holder of duties writes a record each usage window; it is replaced when
// it is silent for so much longer.
constexpr duration takeover_margin = std::chrono::seconds(2);
// Requests per slot. A request waits for a slot only where all are taken, and
// held back earlier it would wait for nothing.
constexpr double full_occupancy = 1;
constexpr int service_unavailable = 503;
constexpr std::uint64_t request_memory_divisor = 4;
constexpr std::uint64_t timeline_bytes = std::uint64_t{512} << 10;
// Callers reuse connections that were idle for four fifths of the operator's
// limit, 15 s on the users' sheets.
constexpr duration idle_timeout = std::chrono::seconds(75);

} // namespace

absl::StatusOr<settings> settings_of(platform::process_settings const& process)
{
    auto const callers = parse_endpoint(process.caller_endpoint);
    auto const readiness = parse_endpoint(process.readiness_endpoint);
    if (!callers || !readiness)
    {
        return absl::InvalidArgumentError(
            fmt::format("expected ip:port, found \"{}\" and \"{}\"",
                        process.caller_endpoint, process.readiness_endpoint));
    }
    settings result;
    result.vm = process.vm;
    result.failure_domain = process.failure_domain;
    result.region = process.region;
    result.listen_address = callers->host.toString().toStdString();
    result.listen_port = callers->port;
    result.admin_port = readiness->port;
    result.peer_port = process.first_peer_port;
    result.limits.drain_timeout = process.stop_grace;
    result.limits.idle_timeout = idle_timeout;
    if (process.memory_bytes > 0)
    {
        result.memory.request_bytes =
            process.memory_bytes / request_memory_divisor;
    }
    result.memory.timeline_bytes = timeline_bytes;
    result.tables.known = false;
    result.platform_process = process;
    return result;
}

void apply_platform(platform::process_settings const& process,
                    request_path_options& options)
{
    options.api_dialect = &platform::wire_dialect();
    options.records_requests = false;
    options.held_answer_bytes = held_answer_bytes;
    options.crashes.quorum = crash_quorum;
    options.engine_prefill_tokens_per_ms = engine_prefill_tokens_per_ms;
    options.shedding.least_urgent_occupancy = full_occupancy;
    options.not_run_status = service_unavailable;
    options.quarantined_status = service_unavailable;
    // What upstreams bear is decided by routing; the limit does not shrink.
    options.admission.limit.late_share = 1;
    options.retries.ratio = process.retry_ratio * retry_margin;
    options.fleet_retry_cap = process.retry_extra * retry_margin;
    options.retries.cap = options.fleet_retry_cap / assumed_vms;
    options.retries.initial = options.retries.cap;
    options.quotas.window = process.quota_window;
    options.quotas.overshoot = process.quota_overshoot;
    options.quotas.slack = process.quota_slack;
    options.usage_window = process.usage_window;
}

fleet_duties_options duties_of(platform::process_settings const& process,
                               std::uint64_t incarnation)
{
    fleet_duties_options options;
    options.enabled = !process.cloud_endpoint.empty();
    options.log.vm = process.vm;
    options.log.incarnation = incarnation;
    options.log.lease = process.lease;
    options.log.takeover_timeout =
        std::max(process.usage_window, process.lease) + takeover_margin;
    options.log.report_due = process.usage_due;
    return options;
}

} // namespace amarantharch
