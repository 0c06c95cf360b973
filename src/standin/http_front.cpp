#include "standin/http_front.hpp"

#include <cstdlib>

namespace amarantharch::standin
{

namespace
{

constexpr std::chrono::milliseconds tick_interval{2};
constexpr int crash_exit_status = 70;

constexpr http_server_limits limits{
    .header_bytes = 64 * 1024,
    .body_bytes = std::uint64_t{16} << 20,
    .connections = 16384,
    .connections_per_address = 16384,
};

time_point present()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
}

} // namespace

http_front::http_front(std::unique_ptr<role> served)
    : role_(std::move(served)),
      server_(limits, {[this](exchange_id exchange, call const& request)
                       { role_->receive(present(), exchange, request, emit_); },
                       [this](exchange_id exchange)
                       {
                           role_->abandon(present(), exchange);
                       }}),
      emit_([this](reply const& what)
            { std::visit([this](auto const& v) { carry_out(v); }, what); })
{
    QObject::connect(&timer_, &QTimer::timeout, &timer_,
                     [this] { role_->tick(present(), emit_); });
}

absl::Status http_front::listen(QHostAddress const& address, std::uint16_t port)
{
    absl::Status bound = server_.listen(address, port);
    if (bound.ok())
    {
        timer_.setTimerType(Qt::PreciseTimer);
        timer_.start(tick_interval);
    }
    return bound;
}

std::uint16_t http_front::port() const
{
    return server_.port();
}

void http_front::carry_out(whole_reply const& what)
{
    server_.answer(what.exchange, what.status,
                   {{"Content-Type", what.content_type}}, what.body);
}

void http_front::carry_out(reply_head const& what)
{
    server_.answer_head(what.exchange, what.status,
                        {{"Content-Type", what.content_type}});
}

void http_front::carry_out(reply_piece const& what)
{
    server_.answer_piece(what.exchange, what.bytes);
}

void http_front::carry_out(reply_end const& what)
{
    server_.answer_end(what.exchange);
}

void http_front::carry_out(reply_cut const& what)
{
    server_.answer_abort(what.exchange);
}

void http_front::carry_out(reply_crash const&)
{
    std::_Exit(crash_exit_status);
}

} // namespace amarantharch::standin
