#include "app/server.hpp"

#include "app/log.hpp"

#include <QTimer>

#include <fmt/format.h>

namespace amarantharch
{

namespace
{

time_point present()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
}

node_options options_of(settings const& options)
{
    node_options result;
    result.requests.vm = options.vm;
    result.settings_site = options.tables;
    return result;
}

} // namespace

server::server(settings options)
    : options_(std::move(options)),
      node_(options_of(options_), [this](command const& c)
            { std::visit([this](auto const& v) { carry_out(v); }, c); }),
      callers_({}, {[this](exchange_id e, call c) { receive(e, std::move(c)); },
                    [this](exchange_id e) { abandon(e); }, nullptr, nullptr,
                    [this]
                    {
                        drained_();
                    }}),
      upstreams_({[this](exchange_id e, int status, header_list headers) {
                      tell(upstream_head{e, status, std::move(headers)});
                  },
                  [this](exchange_id e, std::string bytes) {
                      tell(upstream_piece{e, std::move(bytes)});
                  },
                  [this](exchange_id e) { tell(upstream_end{e}); },
                  [this](exchange_id e, verdict run, std::string reason)
                  {
                      tell(upstream_failed{e, run, std::move(reason)});
                  }})
{
}

absl::Status server::start()
{
    absl::Status bound = callers_.listen(
        QHostAddress(QString::fromStdString(options_.listen_address)),
        options_.listen_port);
    if (bound.ok())
    {
        log(log_level::info, "listening",
            {{"vm", options_.vm},
             {"failure_domain", options_.failure_domain},
             {"address", options_.listen_address},
             {"port", fmt::to_string(port())}});
    }
    return bound;
}

void server::drain(duration timeout, std::function<void()> done)
{
    log(log_level::info, "draining",
        {{"timeout_ms", fmt::to_string(to_millis(timeout))},
         {"requests", fmt::to_string(exchanges_.size())}});
    drained_ = std::move(done);
    tell(stop_requested{present() + timeout});
    callers_.drain();
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout),
        [this] { drained_(); });
}

void server::receive(exchange_id exchange, call request)
{
    request.id = fmt::format("{}-{}", options_.vm, next_request_++);
    exchanges_[request.id] = exchange;
    requests_[exchange] = request.id;
    tell(call_received{std::move(request)});
}

void server::abandon(exchange_id exchange)
{
    auto const row = requests_.extract(exchange);
    if (!row.empty())
    {
        exchanges_.erase(row.mapped());
        tell(call_abandoned{row.mapped()});
    }
}

void server::tell(event const& what)
{
    node_.handle(present(), what);
}

void server::carry_out(start_attempt const& what)
{
    upstreams_.send(what.attempt, what.address, what.request);
}

void server::carry_out(cancel_attempt const& what)
{
    upstreams_.cancel(what.attempt);
}

void server::carry_out(answer_head const& what)
{
    header_list headers = what.headers;
    headers.push_back({"X-Request-Id", what.request});
    callers_.answer_head(exchanges_.at(what.request), what.status, headers);
}

void server::carry_out(answer_piece const& what)
{
    callers_.answer_piece(exchanges_.at(what.request), what.bytes);
}

void server::carry_out(answer_end const& what)
{
    auto const row = exchanges_.extract(what.request);
    requests_.erase(row.mapped());
    callers_.answer_end(row.mapped());
}

void server::carry_out(answer_refusal const& what)
{
    auto const row = exchanges_.extract(what.request);
    requests_.erase(row.mapped());
    log(log_level::warning, "request_refused",
        {{"request", what.request},
         {"verdict", std::string(name(what.why.run))},
         {"reason", what.why.reason}});
    callers_.refuse(row.mapped(), what.request, what.why);
}

} // namespace amarantharch
