// The part of request_path that keeps requests away from evacuated failure
// domains.
#include "core/request_path.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

constexpr int service_unavailable = 503;
// No source says when the operator will restore a domain.
constexpr duration evacuated_retry_after = std::chrono::seconds(1);
constexpr std::string_view domains_evacuated = "domains_evacuated";

} // namespace

void request_path::handle(time_point now, domain_evacuated const& what)
{
    event_time_ = now;
    if (evacuations_.apply(what.state))
    {
        use_evacuation(now, what.state.failure_domain, "store");
    }
}

void request_path::handle(time_point now, operator_records_read const& what)
{
    event_time_ = now;
    for (std::string const& domain : evacuations_.on_read_up_to(what.up_to))
    {
        use_evacuation(now, domain, "store");
    }
}

void request_path::merge_evacuation(time_point now,
                                    domain_evacuation const& heard)
{
    event_time_ = now;
    if (evacuations_.merge(heard))
    {
        use_evacuation(now, heard.failure_domain, "peer");
    }
}

// Puts a change of a domain's state in force.
void request_path::use_evacuation(time_point now,
                                  std::string const& failure_domain,
                                  std::string_view source)
{
    bool const is_evacuated = evacuations_.is_evacuated(failure_domain);
    upstreams_.set_evacuated(failure_domain, is_evacuated);
    std::size_t upstreams = 0;
    std::size_t attempts = 0; // that end where they run
    for (upstream_index i = 0; i < upstreams_.size(); ++i)
    {
        upstream_row const& upstream = upstreams_.row(i);
        bool const is_there = upstream.present &&
                              upstream.profile.failure_domain == failure_domain;
        upstreams += is_there ? 1 : 0;
        attempts += is_there ? upstream.in_flight : 0;
    }
    add_timeline_entry(is_evacuated ? "domain_evacuated" : "domain_restored",
                       "",
                       fmt::format("domain={} source={} upstreams={} "
                                   "attempts={} evacuated_domains={}",
                                   failure_domain, source, upstreams, attempts,
                                   evacuations_.evacuated_count()));
    for (auto const& [service, service_admission] : admissions_)
    {
        refresh_limit(service);
    }
    refuse_queued_if_evacuated(now);
}

// Refuses a request whose service has only evacuated upstreams left: waiting
// would not help, since it is not known when they are restored. Returns true if
// the row was removed.
bool request_path::refuse_if_evacuated(time_point now, row& r)
{
    if (!upstreams_.has_only_evacuated(r.route.service))
    {
        return false;
    }
    refuse(now, r, service_unavailable, std::string(domains_evacuated),
           evacuated_retry_after);
    return true;
}

void request_path::refuse_queued_if_evacuated(time_point now)
{
    std::vector<request_id> queued;
    for (auto const& [id, r] : rows_)
    {
        if (r.current_stage == stage::admitting && !r.admitted &&
            upstreams_.has_only_evacuated(r.route.service))
        {
            queued.push_back(id);
        }
    }
    for (request_id const& id : queued)
    {
        row& r = rows_.at(id);
        admission_of(r.route.service).abandon(id);
        refuse_if_evacuated(now, r);
    }
}

} // namespace amarantharch
