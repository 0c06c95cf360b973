#include "app/server.hpp"

#include "app/log.hpp"
#include "app/platform_mode.hpp"
#include "app/publish_admin.hpp"
#include "app/publisher_key.hpp"
#include "net/credential.hpp"

#include <QHostAddress>

#include <fmt/format.h>

#include <ctime>

namespace amarantharch
{

namespace
{

constexpr duration log_timeout = std::chrono::seconds(5);
constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr duration engine_timeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds platform_interval{500};
// Engines asked for their load in one platform_interval.
constexpr std::size_t load_polls = 8;
// Between ticks while nothing is in progress.
constexpr std::chrono::milliseconds idle_tick_interval{50};
// How long a stopping VM still listens while the balancer turns away from it.
constexpr std::chrono::milliseconds listen_grace{500};

// Between two tries to bind a port that somebody else holds: short beside a
// balancer's second between questions, long beside what a try costs.
constexpr std::chrono::milliseconds bind_interval{100};

// On the platform: a stopping VM takes connections until the balancer has
// missed its readiness twice, a second apart.
constexpr std::chrono::milliseconds platform_listen_grace{3'000};
// A stopping VM listens for at most its grace divided by this, so that time is
// left for the requests that it accepts last.
constexpr int listening_divisor = 2;
// Between a VM's messages about usage; quotas err by what is admitted
// meanwhile.
constexpr duration platform_usage_interval = std::chrono::milliseconds(300);
// An attempt's connection; the upstreams are 3 ms away.
constexpr duration platform_connect_timeout = std::chrono::milliseconds(300);
// An upstream that does not answer a connection within this is not known to
// have crashed.
constexpr duration upstream_check_timeout = std::chrono::milliseconds(300);
// Sound upstreams may be silent for a second or so.
constexpr duration platform_dead_peer_timeout = std::chrono::seconds(3);
// The upstreams' connections are limited over all VMs.
constexpr std::size_t platform_idle_connections = 16;

// What this VM adds to the head of an attempt for the relaying VM.
constexpr std::uint32_t relay_header_bytes = 2'048;
constexpr int relay_failed_status = 503;

duration since_boot()
{
    timespec elapsed{};
    (void)clock_gettime(CLOCK_BOOTTIME, &elapsed); // fails on no Linux in use
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds(elapsed.tv_sec) +
        std::chrono::nanoseconds(elapsed.tv_nsec));
}

// The time of day at the process's start and what has passed since: it counts
// a suspension and does not jump when the time of day is set.
time_point present()
{
    static duration const booted_at =
        std::chrono::time_point_cast<duration>(std::chrono::system_clock::now())
            .time_since_epoch() -
        since_boot();
    return time_point(booted_at + since_boot());
}

QHostAddress host(std::string const& address)
{
    return QHostAddress(QString::fromStdString(address));
}

http_server_limits caller_limits(settings const& options)
{
    http_server_limits limits;
    limits.header_bytes =
        static_cast<std::uint32_t>(options.limits.header_bytes);
    limits.body_bytes = options.limits.body_bytes;
    limits.body_memory_bytes = options.memory.request_bytes;
    limits.connections = options.limits.connections;
    limits.connections_per_address = options.limits.connections;
    limits.header_timeout = options.limits.header_timeout;
    limits.body_timeout = options.limits.body_timeout;
    limits.idle_timeout = options.limits.idle_timeout;
    limits.fractional_retry_after = options.platform_process.has_value();
    return limits;
}

// Of attempts of other VMs: their fields come beside those of callers.
http_server_limits relay_limits(settings const& options)
{
    http_server_limits limits = caller_limits(options);
    limits.header_bytes += relay_header_bytes;
    limits.body_memory_bytes /= 2;
    return limits;
}

node_options options_of(settings const& options, std::uint64_t incarnation)
{
    node_options result;
    result.requests.vm = options.vm;
    result.requests.incarnation = incarnation;
    result.requests.seed = incarnation;
    result.requests.routing.seed = incarnation;
    result.requests.max_request_bytes = options.memory.request_bytes;
    result.control.vm = options.vm;
    result.control.failure_domain = options.failure_domain;
    result.control.address =
        fmt::format("{}:{}", options.listen_address, options.peer_port);
    result.control.incarnation = incarnation;
    result.control.seed = incarnation;
    result.control.verify = verify_publisher;
    result.control.uses_log = !options.log_address.empty();
    result.settings_tables = options.tables;
    if (options.platform_process)
    {
        apply_platform(*options.platform_process, result.requests);
        result.control.millicores = options.platform_process->millicores;
        result.duties = duties_of(*options.platform_process, incarnation);
        result.usage_interval = platform_usage_interval;
        result.relays_attempts = true;
        result.requests.relays.failure_domain = options.failure_domain;
    }
    return result;
}

http_client_limits upstream_limits(settings const& options)
{
    http_client_limits limits;
    if (options.platform_process)
    {
        limits.idle_connections_per_address = platform_idle_connections;
        limits.dead_peer_timeout = platform_dead_peer_timeout;
    }
    return limits;
}

std::map<std::string, std::string> public_keys(settings const& options)
{
    std::map<std::string, std::string> keys;
    for (publisher_settings const& publisher : options.publishers)
    {
        keys[publisher.name] = publisher.public_key;
    }
    return keys;
}

log_result result_of(log_token token, append_result const& result)
{
    switch (result.outcome)
    {
    case append_outcome::stored:
        return append_stored{token, result.offset};
    case append_outcome::not_sent:
        return append_not_sent{token};
    case append_outcome::refused:
        return append_refused{token, result.retry_after};
    case append_outcome::unknown:
        break;
    }
    return append_unknown{token};
}

log_result result_of(log_token token,
                     absl::StatusOr<log_read_result> const& result)
{
    if (!result.ok())
    {
        return read_failed{token, duration::zero()};
    }
    read_done done{token, result->first_retained, result->end, {}};
    for (raw_log_record const& record : result->records)
    {
        done.payloads.push_back({record.offset, record.time, record.payload});
    }
    return done;
}

} // namespace

server::server(settings options, std::function<void()> done)
    : options_(std::move(options)), done_(std::move(done)),
      incarnation_(static_cast<std::uint64_t>(to_micros(present()))),
      node_(options_of(options_, incarnation_), [this](command const& c)
            { std::visit([this](auto const& v) { carry_out(v); }, c); }),
      callers_(caller_limits(options_),
               {[this](exchange_id e, call c) { receive(e, std::move(c)); },
                [this](exchange_id e) { abandon(e); },
                [this](exchange_id e) { set_paused(e, true); },
                [this](exchange_id e)
                {
                    set_paused(e, false);
                }}),
      relays_(relay_limits(options_),
              {[this](exchange_id e, call c)
               { receive_relayed(e, std::move(c)); },
               [this](exchange_id e) { abandon_relayed(e); },
               [this](exchange_id e) { set_relayed_paused(e, true); },
               [this](exchange_id e)
               {
                   set_relayed_paused(e, false);
               }}),
      upstreams_({[this](exchange_id e, int status, header_list headers)
                  { take_attempt_head(e, status, std::move(headers)); },
                  [this](exchange_id e, std::string bytes) {
                      tell(upstream_piece{e, std::move(bytes)});
                  },
                  [this](exchange_id e)
                  {
                      at_relays_.erase(e);
                      tell(upstream_end{e});
                  },
                  [this](exchange_id e, verdict run, std::string reason)
                  {
                      take_attempt_failure(e, run, std::move(reason));
                  }},
                 upstream_limits(options_)),
      admin_(admin_handlers()),
      timeline_(options_.vm, options_.memory.timeline_bytes),
      engines_(engine_timeout),
      tick_timer_(
          std::chrono::duration_cast<std::chrono::milliseconds>(tick_interval),
          idle_tick_interval, [this] { tick(); })
{
    set_publishers(public_keys(options_));
    if (!options_.log_address.empty())
    {
        log_ =
            std::make_unique<log_transport>(options_.log_address, log_timeout);
    }
    if (options_.platform_process)
    {
        link_ = std::make_unique<platform::platform_link>(
            *options_.platform_process, link_handlers());
    }
    if (!options_.platform_address.empty())
    {
        platform_ = std::make_unique<platform_client>(options_.platform_address,
                                                      platform_timeout);
    }
}

server::~server() = default;

platform::link_handlers server::link_handlers()
{
    platform::link_handlers handlers;
    handlers.present = present;
    handlers.tell = [this](event const& what)
    {
        tell(what);
    };
    handlers.note = [](std::string_view what, std::string const& details)
    {
        log(log_level::info, what, {{"details", details}});
    };
    return handlers;
}

duration server::listening_time(duration grace) const
{
    return std::min<duration>(link_ ? platform_listen_grace : listen_grace,
                              grace / listening_divisor);
}

// ---- Starting and stopping. ----

absl::Status server::start()
{
    add_ports();
    absl::Status bound = ports_.bind();
    if (!bound.ok() && !options_.platform_process)
    {
        return bound;
    }
    start_timers();
    if (bound.ok())
    {
        log_listening();
        return bound;
    }
    QObject::connect(&bind_timer_, &QTimer::timeout, &bind_timer_,
                     [this] { bind_again(); });
    bind_timer_.start(bind_interval);
    return absl::OkStatus();
}

void server::add_ports()
{
    QHostAddress const address = host(options_.listen_address);
    auto const named = [this](std::uint16_t port)
    {
        return fmt::format("{}:{}", options_.listen_address, port);
    };
    ports_.add("admin", named(options_.admin_port),
               [this, address]
               { return admin_.listen(address, options_.admin_port); });
    if (options_.platform_process)
    {
        add_platform_ports();
    }
    else
    {
        ports_.add("peers", named(options_.peer_port),
                   [this] { return start_peers(); });
    }
    ports_.add("callers", named(options_.listen_port),
               [this, address]
               { return callers_.listen(address, options_.listen_port); });
}

void server::add_platform_ports()
{
    datagrams_ = std::make_unique<datagram_transport>(
        options_.vm, [this](peer_message message)
        { tell(peer_message_received{std::move(message)}); });
    QHostAddress const address = host(options_.listen_address);
    std::string const named =
        fmt::format("{}:{}", options_.listen_address, options_.peer_port);
    ports_
        .add("peers", named,
             [this, address]
             { return datagrams_->listen(address, options_.peer_port); })
        .add("relays", named,
             [this, address]
             { return relays_.listen(address, options_.peer_port); });
}

// Tries the ports that are held by others again, unless the VM is stopping.
void server::bind_again()
{
    if (drain_until_)
    {
        bind_timer_.stop();
    }
    else if (ports_.bind().ok())
    {
        bind_timer_.stop();
        log_listening();
    }
}

void server::log_listening() const
{
    log(log_level::info, "listening",
        {{"vm", options_.vm},
         {"failure_domain", options_.failure_domain},
         {"address", options_.listen_address},
         {"port", fmt::to_string(port())},
         {"admin_port", fmt::to_string(admin_port())}});
}

absl::Status server::start_peers()
{
    if (options_.tls.certificate.empty())
    {
        return absl::OkStatus();
    }
    if (options_.peer_port == 0)
    {
        return absl::InvalidArgumentError(
            "[vm] peer_port: expected a port where [tls] is set, since peers "
            "learn it from the platform's list");
    }
    peer_transport_settings settings;
    settings.certificate_file = options_.tls.certificate;
    settings.key_file = options_.tls.key;
    settings.authority_file = options_.tls.ca;
    settings.seed = incarnation_;
    peer_transport_handlers handlers;
    handlers.received = [this](peer_message message)
    {
        tell(peer_message_received{std::move(message)});
    };
    handlers.dropped =
        [](std::string const& vm, peer_message_kind kind, std::size_t count)
    {
        log(log_level::warning, "peer_messages_dropped",
            {{"peer", vm},
             {"kind", std::string(name_in(peer_message_kind_names, kind))},
             {"count", fmt::to_string(count)}});
    };
    peers_ = std::make_unique<peer_transport>(std::move(settings),
                                              std::move(handlers));
    return peers_->listen(host(options_.listen_address), options_.peer_port);
}

void server::start_timers()
{
    tick_timer_.start();
    QObject::connect(&platform_timer_, &QTimer::timeout, &platform_timer_,
                     [this]
                     {
                         poll_platform();
                         poll_upstreams();
                     });
    platform_timer_.start(platform_interval);
    poll_platform();
}

void server::drain(duration timeout)
{
    if (drain_until_)
    {
        return;
    }
    time_point const now = present();
    drain_until_ = now + timeout;
    listen_until_ = now + listening_time(timeout);
    log(log_level::info, "draining",
        {{"vm", options_.vm},
         {"timeout_ms", fmt::to_string(to_millis(timeout))},
         {"requests", fmt::to_string(node_.requests().requests_in_flight())}});
    tell(stop_requested{*drain_until_});
    callers_.close_after_answers();
    relays_.close_after_answers();
}

// The rest of the grace is for what was accepted, here and for other VMs.
void server::stop_listening_if_due(time_point now)
{
    if (!listen_until_ || now < *listen_until_)
    {
        return;
    }
    listen_until_.reset();
    log(log_level::info, "listening_ended",
        {{"connections", fmt::to_string(callers_.connections())},
         {"requests", fmt::to_string(node_.requests().requests_in_flight())}});
    duration const rest = *node_.requests().stop_time() - now;
    callers_.drain(rest);
    relays_.drain(rest);
}

void server::end_if_drained()
{
    if (!drain_until_ || !done_)
    {
        return;
    }
    bool const idle = !listen_until_ && callers_.connections() == 0 &&
                      relays_.connections() == 0 && node_.requests().idle() &&
                      node_.relayed().idle();
    // Exits before the platform sends SIGKILL, halfway between the end of all
    // requests and the end of the grace: the last answers and the log are
    // written in the first half.
    time_point const requests_end = *node_.requests().stop_time();
    time_point const exit_time =
        requests_end + (*drain_until_ - requests_end) / 2;
    if (idle || present() >= exit_time)
    {
        std::exchange(done_, nullptr)();
    }
}

// ---- Callers. ----

void server::receive(exchange_id exchange, call request)
{
    request.credential_digest =
        token_digest(node_.requests().api_dialect().read_call(request));
    bool const usable =
        !request.id.empty() && !callers_waiting_.contains(request.id);
    if (!usable)
    {
        request.id =
            fmt::format("{}-{}-{}", options_.vm, incarnation_, next_request_++);
    }
    caller_row& row = callers_waiting_[request.id];
    row.exchange = exchange;
    row.received = present();
    requests_[exchange] = request.id;
    tell(call_received{std::move(request)});
}

void server::abandon(exchange_id exchange)
{
    auto const row = requests_.extract(exchange);
    if (!row.empty())
    {
        callers_waiting_.erase(row.mapped());
        metrics_.count(counter_name::callers_left);
        tell(call_abandoned{row.mapped()});
    }
}

void server::set_paused(exchange_id exchange, bool paused)
{
    auto const request = requests_.find(exchange);
    if (request == requests_.end())
    {
        return;
    }
    attempt_id const attempt = callers_waiting_.at(request->second).attempt;
    paused ? upstreams_.pause(attempt) : upstreams_.resume(attempt);
}

server::caller_row server::take_caller(request_id const& request)
{
    auto const row = callers_waiting_.extract(request);
    if (row.empty())
    {
        return {};
    }
    requests_.erase(row.mapped().exchange);
    return row.mapped();
}

// ---- Relayed attempts. ----

void server::receive_relayed(exchange_id exchange, call request)
{
    auto target = take_relay_target(request);
    if (!target)
    {
        relays_.refuse(
            exchange, request.id,
            {400, verdict::not_run, "no_relay_target", duration::zero()});
        return;
    }
    // Its credential was replaced by the VM that sends it.
    (void)node_.requests().api_dialect().read_call(request);
    tell(relay_requested{exchange, relays_.source_of(exchange),
                         *std::move(target), std::move(request)});
}

void server::abandon_relayed(exchange_id exchange)
{
    tell(relay_abandoned{exchange});
}

void server::set_relayed_paused(exchange_id exchange, bool paused)
{
    if (auto const attempt = node_.relayed().attempt_of(exchange))
    {
        paused ? upstreams_.pause(*attempt) : upstreams_.resume(*attempt);
    }
}

void server::take_attempt_head(attempt_id attempt, int status,
                               header_list headers)
{
    auto const failure =
        at_relays_.contains(attempt) ? relay_failure_in(headers) : std::nullopt;
    if (!failure)
    {
        tell(upstream_head{attempt, status, std::move(headers)});
        return;
    }
    // The attempt leaves at_relays_ with the end of this answer.
    tell(upstream_failed{attempt, failure->run, failure->reason,
                         failure->place});
}

void server::take_attempt_failure(attempt_id attempt, verdict run,
                                  std::string reason)
{
    bool const at_relay = at_relays_.erase(attempt) > 0;
    tell(upstream_failed{
        attempt, run, at_relay ? "relay_" + reason : std::move(reason),
        at_relay ? failure_place::relay : failure_place::upstream});
}

void server::carry_out(relay_answer_head const& what)
{
    relays_.answer_head(what.relay, what.status, what.headers);
}

void server::carry_out(relay_answer_piece const& what)
{
    relays_.answer_piece(what.relay, what.bytes);
}

void server::carry_out(relay_answer_end const& what)
{
    relays_.answer_end(what.relay);
}

// A started answer is cut, so that the other VM sees that it is not whole.
void server::carry_out(relay_answer_failed const& what)
{
    what.answer_begun ? relays_.answer_abort(what.relay)
                      : relays_.answer(what.relay, relay_failed_status,
                                       relay_failure_headers(what.why), {});
}

// ---- The node's commands. ----

void server::tell(event const& what)
{
    node_.handle(present(), what);
    set_pace();
}

// Ticks often only while requests or records wait for it, since each tick
// wakes the processor.
void server::set_pace()
{
    bool const busy = drain_until_ || !node_.requests().idle() ||
                      node_.control().log().queued_bytes() > 0;
    tick_timer_.set_pace(busy ? tick_pace::fast : tick_pace::slow);
}

void server::carry_out(start_attempt const& what)
{
    auto const row = callers_waiting_.find(what.request.id);
    if (row != callers_waiting_.end() && !node_.relayed().owns(what.attempt))
    {
        row->second.attempt = what.attempt;
    }
    http_timeouts timeouts;
    if (link_) // each request has its own deadline
    {
        timeouts = {platform_connect_timeout, duration::zero(),
                    duration::zero()};
    }
    if (what.relay.empty())
    {
        upstreams_.send(what.attempt, what.address, what.request, timeouts);
        return;
    }
    member const* const relay = node_.control().members().find(what.relay);
    // An unknown address fails the attempt from the event loop.
    at_relays_.insert(what.attempt);
    upstreams_.send(what.attempt, relay == nullptr ? "" : relay->address,
                    to_relayed(what.request, {what.upstream, what.incarnation}),
                    timeouts);
}

void server::carry_out(cancel_attempt const& what)
{
    at_relays_.erase(what.attempt);
    upstreams_.cancel(what.attempt);
}

void server::carry_out(answer_head const& what)
{
    auto const row = callers_waiting_.find(what.request);
    if (row == callers_waiting_.end())
    {
        return;
    }
    row->second.head_sent = true;
    row->second.status = what.status;
    header_list headers = what.headers;
    headers.push_back({"X-Request-Id", what.request});
    callers_.answer_head(row->second.exchange, what.status, headers);
}

void server::carry_out(answer_piece const& what)
{
    auto const row = callers_waiting_.find(what.request);
    if (row != callers_waiting_.end())
    {
        metrics_.count(counter_name::answer_bytes,
                       static_cast<double>(what.bytes.size()));
        callers_.answer_piece(row->second.exchange, what.bytes);
    }
}

void server::carry_out(answer_end const& what)
{
    caller_row const row = take_caller(what.request);
    if (row.exchange != 0)
    {
        callers_.answer_end(row.exchange);
    }
}

void server::carry_out(answer_refusal const& what)
{
    caller_row const row = take_caller(what.request);
    log(log_level::warning, "request_refused",
        {{"request", what.request},
         {"status", fmt::to_string(what.why.status)},
         {"verdict", std::string(name(what.why.run))},
         {"reason", what.why.reason},
         {"retry_after_ms", fmt::to_string(to_millis(what.why.retry_after))}});
    metrics_.request_refused(what.why.reason, what.why.run);
    if (row.exchange != 0)
    {
        callers_.refuse(row.exchange, what.request, what.why);
    }
}

void server::carry_out(send_append const& what)
{
    metrics_.count(counter_name::log_appends);
    log_->append(what.stream, what.bytes,
                 [this, token = what.token](append_result const& result)
                 { tell(result_of(token, result)); });
}

void server::carry_out(send_read const& what)
{
    log_read_request request;
    request.stream = what.stream;
    request.from = what.from;
    request.wait = what.wait;
    log_->read(request, [this, token = what.token](
                            absl::StatusOr<log_read_result> const& result)
               { tell(result_of(token, result)); });
}

void server::carry_out(read_duty_log const& what)
{
    link_->carry_out(what);
}

void server::carry_out(append_duty_record const& what)
{
    link_->carry_out(what);
}

void server::carry_out(report_usage const& what)
{
    link_->carry_out(what);
}

void server::carry_out(order_upstreams const& what)
{
    link_->carry_out(what);
}

void server::carry_out(report_version_move const& what)
{
    link_->carry_out(what);
}

void server::carry_out(read_for_others const& what)
{
    if (link_)
    {
        link_->carry_out(what);
    }
}

void server::carry_out(read_upstream_load const& what)
{
    if (link_)
    {
        link_->carry_out(what);
    }
}

void server::carry_out(take_reading const& what)
{
    if (link_)
    {
        link_->carry_out(what);
    }
}

void server::carry_out(check_upstream const& what)
{
    checks_.start(what.address, upstream_check_timeout,
                  [this, upstream = what.upstream](connection_outcome outcome)
                  {
                      tell(upstream_checked{
                          upstream, outcome == connection_outcome::refused,
                          outcome == connection_outcome::accepted});
                  });
}

void server::carry_out(take_configuration const& what)
{
    if (link_)
    {
        link_->carry_out(what);
    }
}

void server::carry_out(send_to_peer const& what)
{
    member const* const to = node_.control().members().find(what.message.vm);
    if (datagrams_ && to != nullptr)
    {
        datagrams_->send(to->address, what.message);
        return;
    }
    if (!peers_ || to == nullptr || to->address.empty())
    {
        return;
    }
    std::string& known = peer_addresses_[what.message.vm];
    if (known != to->address)
    {
        known = to->address;
        peers_->set_peer(what.message.vm, to->address);
    }
    metrics_.count(counter_name::peer_bytes_sent,
                   static_cast<double>(what.message.payload.size()));
    // A full queue is reported by the transport's `dropped` handler.
    peers_->send(what.message).IgnoreError();
}

void server::carry_out(record_timeline const& what)
{
    timeline_.record(present(), what.kind, what.request, what.details);
    if (link_) // elsewhere the admin endpoint serves the time line
    {
        bool const failure =
            what.kind == "request_refused" || what.kind == "attempt_failed";
        log(failure ? log_level::warning : log_level::info, what.kind,
            {{"request", what.request}, {"details", what.details}});
    }
}

// ---- The platform. ----

void server::tick()
{
    tell(ticked{});
    if (link_)
    {
        link_->tick();
    }
    flush_log();
    stop_listening_if_due(present());
    end_if_drained();
}

void server::poll_platform()
{
    if (!platform_)
    {
        return;
    }
    platform_->list_vms(
        [this](absl::StatusOr<std::vector<listed_vm>> const& vms)
        {
            if (vms.ok())
            {
                take_vm_list(*vms);
            }
        });
    platform_->notice(
        options_.vm,
        [this](absl::StatusOr<std::optional<time_point>> const& notice)
        {
            if (notice.ok() && notice->has_value())
            {
                drain(**notice - present());
            }
        });
}

void server::take_vm_list(std::vector<listed_vm> const& vms)
{
    members_listed listed;
    for (listed_vm const& vm : vms)
    {
        if (vm.kind == vm_kind::entry)
        {
            listed.members.push_back({vm.vm, vm.address, vm.failure_domain});
        }
        else if (vm.state == vm_state::leaving)
        {
            tell(upstream_leaving_seen{vm.vm});
        }
    }
    tell(listed);
}

// Asks a few engines for their load, each in its turn.
void server::poll_upstreams()
{
    auto const& rows = node_.requests().tables().upstreams;
    for (std::size_t i = 0; i < std::min(load_polls, rows.size()); ++i)
    {
        upstream_spec const& upstream =
            rows[next_polled_upstream_++ % rows.size()];
        if (upstream.kind != upstream_kind::engine)
        {
            continue;
        }
        engines_.load(
            upstream.address,
            [this,
             name = upstream.name](absl::StatusOr<engine_load> const& load)
            {
                if (load.ok())
                {
                    tell(upstream_reported{
                        name, {load->time, load->running, load->waiting}});
                }
            });
    }
}

// ---- Operators. ----

admin_callbacks server::admin_handlers()
{
    admin_callbacks handlers;
    handlers.ready = [this]
    {
        return current_readiness();
    };
    handlers.status = [this]
    {
        return status();
    };
    handlers.timeline = [this]
    {
        auto const& entries = timeline_.entries();
        return timeline_as_json({entries.begin(), entries.end()});
    };
    handlers.metrics = [this]
    {
        readiness const now = current_readiness();
        metrics_.set(gauge_name::ready, now.ready ? 1 : 0);
        metrics_.set(
            gauge_name::requests_in_flight,
            static_cast<double>(node_.requests().requests_in_flight()));
        metrics_.set(
            gauge_name::peers_live,
            static_cast<double>(node_.control().members().fleet_size()));
        metrics_.set(gauge_name::log_reachable,
                     node_.control().log().reachable() ? 1 : 0);
        metrics_.set(gauge_name::cold_upstreams,
                     static_cast<double>(
                         node_.requests().upstreams().warming_up(present())));
        metrics_.set(gauge_name::evacuated_domains,
                     static_cast<double>(
                         node_.requests().evacuations().evacuated_count()));
        auto const speeds = node_.requests().routing().speeds(
            present(), node_.requests().upstreams());
        metrics_.set(gauge_name::work_time_lowest, speeds.lowest);
        metrics_.set(gauge_name::work_time_median, speeds.median);
        metrics_.set(gauge_name::work_time_highest, speeds.highest);
        for (auto const& [rank, counts] : node_.requests().shed_requests())
        {
            metrics_.set_shedding(rank, counts);
        }
        return metrics_.text();
    };
    handlers.configuration = [this]
    {
        return answer_configuration(node_.control());
    };
    handlers.publish = [this](std::string const& body)
    {
        return answer_publish(node_.control(), present(), body);
    };
    handlers.drain = [this](duration timeout)
    {
        drain(timeout > duration::zero() ? timeout
                                         : options_.limits.drain_timeout);
    };
    return handlers;
}

readiness server::current_readiness() const
{
    node_readiness const now = node_.readiness();
    return now.ready && !ports_.complete() ? readiness{false, "port_lost"}
                                           : readiness{now.ready, now.reason};
}

// The moves of versions as the inside of a JSON object, by name.
std::string server::moves_as_json() const
{
    std::string rows;
    for (auto const& [name, report] :
         node_.requests().moves().reports(present()))
    {
        rows += rows.empty() ? "" : ",";
        rows += fmt::format(
            R"("{}":{{"state":"{}","stage":{},"share":{:.3f},"reason":"{}"}})",
            json_escape(name), name_in(move_state_names, report.state),
            report.stage, report.share, json_escape(report.reason));
    }
    return rows;
}

std::string server::status() const
{
    readiness const now = current_readiness();
    control_plane const& control = node_.control();
    revision const in_force = control.configurations().in_force();
    return fmt::format(
        R"({{"vm":"{}","failure_domain":"{}","ready":{},"reason":"{}",)"
        R"("requests_in_flight":{},"log_reachable":{},"revision":"{}.{}",)"
        R"("members":{},"ledger_ready":{},"ledger_keys":{},"moves":{{{}}}}})",
        json_escape(options_.vm), json_escape(options_.failure_domain),
        now.ready, json_escape(now.reason),
        node_.requests().requests_in_flight(), control.log().reachable(),
        in_force.offset, in_force.index, control.members().fleet_size(),
        node_.requests().requests_ledger().ready(),
        node_.requests().requests_ledger().keys(), moves_as_json());
}

} // namespace amarantharch
