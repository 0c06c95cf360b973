#include "net/http_server.hpp"

#include "net/accepting.hpp"
#include "net/http_parser.hpp"
#include "net/socket_write.hpp"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <fmt/format.h>

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

using request_parser = http::request_parser<arriving_body>;
using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;

constexpr qint64 socket_buffer_bytes = qint64{64} << 10;
// Connections that wait for the event loop; more have to try again.
constexpr int listen_backlog = 1024;
constexpr std::size_t request_id_bytes = 128;
// Connections over the limit that get a refusal; further ones are reset.
constexpr std::size_t turned_away_connections = 256;
constexpr duration sweep_interval_max = std::chrono::milliseconds(250);
constexpr duration sweep_interval_min = std::chrono::milliseconds(5);
constexpr int sweeps_per_timeout = 4;
// While a drain has an end: its process may exit 50 ms after that.
constexpr std::chrono::milliseconds drain_sweep_interval{10};

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;
constexpr int status_headers_too_large = 431;
constexpr int status_unavailable = 503;
constexpr unsigned version_1_0 = 10;

enum class phase : std::uint8_t
{
    idle,      // no byte of the next request yet
    head,      // reading a request's head
    body,      // reading its body
    answering, // an answer is owed; exchange != 0
    closing,   // the last answer is written; input is discarded
};

struct connection
{
    QTcpSocket* socket = nullptr;
    std::string address; // the caller's, without its port
    input_buffer input;
    std::optional<request_parser> parser; // while in head or body
    phase state = phase::idle;
    steady_time deadline;       // of every state but answering
    steady_time write_progress; // when the caller last took bytes
    exchange_id exchange = 0;   // 0 unless answering
    std::uint64_t body_charge = 0;
    bool keep_alive = true;
    bool version_1_0 = false;
    bool head_request = false;
    bool chunked = false;
    bool bodiless = false; // the answer's pieces are not written
    bool started = false;  // the answer's head is written
    bool paused = false;
    bool pause_reported = false;
    bool shut = false;   // our sending side is closed
    bool doomed = false; // will be cut from the event loop
};

struct parse_failure
{
    http::error code;
    int status;
    std::string_view reason;
};

constexpr parse_failure parse_failures[] = {
    {http::error::body_limit, status_too_large, "body_too_large"},
    {http::error::header_limit, status_headers_too_large, "headers_too_large"},
    {http::error::buffer_overflow, status_headers_too_large,
     "headers_too_large"},
};

refusal malformed()
{
    return {status_bad_request, verdict::not_run, "malformed_request",
            duration::zero()};
}

refusal refusal_of(boost::beast::error_code error)
{
    for (parse_failure const& row : parse_failures)
    {
        if (error == row.code)
        {
            return {row.status, verdict::not_run, std::string(row.reason),
                    duration::zero()};
        }
    }
    return malformed();
}

refusal timeout_refusal(std::string reason)
{
    return {status_timeout, verdict::not_run, std::move(reason),
            duration::zero()};
}

bool has_no_body(int status)
{
    return status == status_no_content || status == status_not_modified;
}

std::string refusal_body(refusal const& why)
{
    return fmt::format("{{\"verdict\":\"{}\",\"reason\":\"{}\","
                       "\"retry_after_ms\":{}}}\n",
                       name(why.run), why.reason, to_millis(why.retry_after));
}

header_list refusal_headers(request_id const& request, refusal const& why,
                            bool fractional)
{
    header_list headers{{"Content-Type", "application/json"},
                        {"X-Request-Id", request},
                        {"X-Verdict", std::string(name(why.run))}};
    if (why.retry_after > duration::zero())
    {
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(why.retry_after);
        headers.push_back(
            {"Retry-After",
             fractional
                 ? fmt::format(
                       "{:.3f}",
                       std::chrono::duration<double>(why.retry_after).count())
                 : fmt::to_string(seconds.count())});
    }
    return headers;
}

// What the caller gave in X-Request-Id, or empty if it gave none of use.
template <typename Message>
request_id given_request_id(Message const& message)
{
    auto const given = message["X-Request-Id"];
    return given.size() > request_id_bytes ? request_id() : request_id(given);
}

duration sweep_interval(http_server_limits const& limits)
{
    duration const shortest = std::min(
        {limits.idle_timeout, limits.header_timeout, limits.body_timeout,
         limits.write_timeout, limits.linger_timeout, limits.drain_grace});
    return std::clamp(shortest / sweeps_per_timeout, sweep_interval_min,
                      sweep_interval_max);
}

void set_linger(QTcpSocket& socket, linger const& how)
{
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &how, sizeof how);
}

// Makes each close that follows a reset, which no caller takes for the end of
// an answer; also the kernel's, when this process ends.
void reset_on_close(QTcpSocket& socket)
{
    set_linger(socket, {1, 0});
}

// Makes each close that follows an orderly one again.
void end_on_close(QTcpSocket& socket)
{
    set_linger(socket, {0, 0});
}

} // namespace

class http_server::impl
{
public:
    impl(http_server_limits limits, http_server_handlers handlers)
        : limits_(limits), handlers_(std::move(handlers))
    {
        QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                         [this] { accept(); });
        QObject::connect(&server_, &QTcpServer::acceptError, &server_,
                         [this] { accept_failed_ = true; });
        accept_again_after_errors(server_);
        QObject::connect(&sweep_timer_, &QTimer::timeout, &server_,
                         [this] { sweep(steady_clock::now()); });
        sweep_timer_.setInterval(std::chrono::ceil<std::chrono::milliseconds>(
            sweep_interval(limits_)));
        sweep_timer_.start();
    }

    ~impl()
    {
        for (auto const& [socket, row] : connections_)
        {
            socket->disconnect();
            socket->abort();
        }
    }

    // -- Connections

    void accept()
    {
        while (QTcpSocket* const socket = server_.nextPendingConnection())
        {
            admit(socket, steady_clock::now());
        }
    }

    void admit(QTcpSocket* socket, steady_time now)
    {
        if (connections_.size() >=
            limits_.connections + turned_away_connections)
        {
            reset_on_close(*socket);
            socket->abort();
            socket->deleteLater();
            return;
        }
        connection& row = add(socket, now);
        std::size_t const of_address = ++addresses_[row.address];
        if (connections_.size() > limits_.connections)
        {
            reject(row, no_room("too_many_connections"));
        }
        else if (of_address > limits_.connections_per_address)
        {
            reject(row,
                   {status_too_many, verdict::not_run,
                    "too_many_connections_from_address", limits_.retry_after});
        }
    }

    connection& add(QTcpSocket* socket, steady_time now)
    {
        connection& row = connections_[socket];
        row.socket = socket;
        row.address = socket->peerAddress().toString().toStdString();
        row.deadline = bounded(now + limits_.idle_timeout);
        row.write_progress = now;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        socket->setReadBufferSize(socket_buffer_bytes);
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket,
                         [this, socket] { written(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         [this, socket] { closed(socket); });
        return row;
    }

    void closed(QTcpSocket* socket)
    {
        auto const node = connections_.extract(socket);
        if (node.empty())
        {
            return;
        }
        connection const& row = node.mapped();
        body_memory_ -= row.body_charge;
        auto const address = addresses_.find(row.address);
        if (--address->second == 0)
        {
            addresses_.erase(address);
        }
        socket->deleteLater();
        if (row.exchange != 0)
        {
            exchanges_.erase(row.exchange);
            handlers_.abandoned(row.exchange);
        }
        report_if_drained();
    }

    void report_if_drained()
    {
        if (draining_ && connections_.empty() && handlers_.drained)
        {
            handlers_.drained();
        }
    }

    // Cuts the connection from the event loop, not from inside a caller.
    void cut_soon(connection& row)
    {
        row.doomed = true;
        QTcpSocket* const socket = row.socket;
        QMetaObject::invokeMethod(
            socket, [socket] { cut(socket); }, Qt::QueuedConnection);
    }

    static void cut(QTcpSocket* socket)
    {
        reset_on_close(*socket);
        socket->abort();
    }

    // -- Requests

    void read(QTcpSocket* socket)
    {
        auto const found = connections_.find(socket);
        if (found == connections_.end())
        {
            return;
        }
        connection& row = found->second;
        if (row.state == phase::answering)
        {
            return; // the next request waits in the socket
        }
        bool const is_open = row.state != phase::closing && !row.doomed;
        if (is_open && row.state == phase::idle && !row.input.empty())
        {
            parse(row, steady_clock::now());
            if (!row.parser)
            {
                return; // what it holds is enough for a request
            }
        }
        QByteArray const bytes = socket->readAll();
        if (!is_open)
        {
            return;
        }
        row.input.append(bytes.constData(),
                         static_cast<std::size_t>(bytes.size()));
        parse(row, steady_clock::now());
    }

    void parse(connection& row, steady_time now)
    {
        if (row.input.empty())
        {
            return;
        }
        if (!row.parser)
        {
            start_request(row, now);
        }
        boost::beast::error_code error;
        std::string_view const bytes = row.input.view();
        std::size_t const used = row.parser->put(
            boost::asio::buffer(bytes.data(), bytes.size()), error);
        row.input.consume(used);
        if (error && error != http::error::need_more)
        {
            reject(row, refusal_of(error));
            return;
        }
        if (row.parser->is_header_done() && row.state == phase::head)
        {
            if (!has_known_framing<true>(row.parser->get()))
            {
                reject(row, malformed());
                return;
            }
            start_body(row, now);
        }
        if (!charge_body(row))
        {
            reject(row, no_room("body_memory_exhausted"));
        }
        else if (row.parser->is_done())
        {
            deliver(row);
        }
        else if (row.input.view().size() > limits_.header_bytes)
        {
            // The line of a chunk's size or a trailer, without an end.
            reject(row, malformed());
        }
    }

    void start_request(connection& row, steady_time now)
    {
        row.parser.emplace();
        row.parser->eager(true);
        row.parser->header_limit(limits_.header_bytes);
        row.parser->body_limit(limits_.body_bytes);
        row.state = phase::head;
        row.deadline = bounded(now + limits_.header_timeout);
        row.head_request = false;
        row.version_1_0 = false;
    }

    // Notes what governs the form of the answer, as far as it was parsed.
    static void note_head(connection& row)
    {
        auto const& message = row.parser->get();
        row.head_request = message.method() == http::verb::head;
        row.version_1_0 = message.version() == version_1_0;
    }

    void start_body(connection& row, steady_time now)
    {
        note_head(row);
        row.state = phase::body;
        row.deadline = bounded(now + limits_.body_timeout);
        auto const& message = row.parser->get();
        if (!row.parser->is_done() && !row.version_1_0 &&
            lists_token(std::string(message[http::field::expect]),
                        "100-continue"))
        {
            write(row, "HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    // False if the bodies being read exceed their budget.
    bool charge_body(connection& row)
    {
        std::uint64_t const held = row.parser->get().body().capacity();
        body_memory_ += held - row.body_charge;
        row.body_charge = held;
        return body_memory_ <= limits_.body_memory_bytes;
    }

    void end_reading(connection& row)
    {
        row.parser.reset();
        body_memory_ -= row.body_charge;
        row.body_charge = 0;
    }

    void deliver(connection& row)
    {
        auto message = row.parser->release();
        end_reading(row);
        row.keep_alive = message.keep_alive();
        call request;
        request.id = given_request_id(message);
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = end_to_end_headers<true>(message);
        request.body = std::move(message.body());
        handlers_.request(owe_answer(row), std::move(request));
    }

    exchange_id owe_answer(connection& row)
    {
        row.state = phase::answering;
        row.exchange = next_exchange_++;
        row.started = false;
        row.chunked = false;
        row.bodiless = false;
        exchanges_[row.exchange] = &row;
        return row.exchange;
    }

    // Refuses what this class cannot pass on, and closes.
    void reject(connection& row, refusal const& why)
    {
        request_id given;
        if (row.parser)
        {
            given = given_request_id(row.parser->get());
            note_head(row);
        }
        end_reading(row);
        row.input.clear();
        row.keep_alive = false;
        refuse(owe_answer(row), given, why);
    }

    refusal no_room(std::string reason) const
    {
        return {status_unavailable, verdict::not_run, std::move(reason),
                limits_.retry_after};
    }

    // -- Answers

    connection* owner(exchange_id exchange)
    {
        auto const found = exchanges_.find(exchange);
        return found == exchanges_.end() ? nullptr : found->second;
    }

    static void write(connection& row, std::string_view bytes)
    {
        if (row.doomed)
        {
            return;
        }
        if (row.socket->bytesToWrite() == 0)
        {
            row.write_progress = steady_clock::now();
        }
        write_at_once(*row.socket, bytes);
    }

    // Whether bytes wait that this connection has not parsed; the event loop
    // may not have seen them yet.
    static bool has_more(connection const& row)
    {
        int waiting = 0;
        (void)::ioctl(static_cast<int>(row.socket->socketDescriptor()),
                      FIONREAD, &waiting); // leaves 0 if it fails
        return !row.input.empty() || row.socket->bytesAvailable() > 0 ||
               waiting > 0;
    }

    // The fields by which this connection, not the answer, is governed; decides
    // whether it is kept.
    std::string_view connection_header(connection& row) const
    {
        row.keep_alive =
            row.keep_alive && (!close_after_answers_ || has_more(row));
        if (!row.keep_alive)
        {
            return "Connection: close\r\n";
        }
        return row.version_1_0 ? "Connection: keep-alive\r\n" : "";
    }

    void answer_head(connection& row, int status, header_list const& headers)
    {
        row.started = true;
        row.bodiless = row.head_request || has_no_body(status);
        row.chunked = !row.version_1_0;
        if (row.version_1_0 && !row.bodiless)
        {
            row.keep_alive = false; // the close ends the body
            reset_on_close(*row.socket);
        }
        bool const framed = row.chunked && !has_no_body(status);
        write(row, fmt::format("{}{}{}{}\r\n", status_line(status),
                               serialize_headers(headers),
                               framed ? "Transfer-Encoding: chunked\r\n" : "",
                               connection_header(row)));
    }

    void answer_piece(connection& row, std::string const& bytes)
    {
        if (bytes.empty() || row.bodiless || row.doomed)
        {
            return;
        }
        if (outgoing(row) > limits_.outgoing_limit_bytes)
        {
            cut_soon(row);
            return;
        }
        if (row.chunked)
        {
            write(row, fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
        }
        else
        {
            write(row, bytes);
        }
        if (!row.paused && outgoing(row) > limits_.outgoing_pause_bytes)
        {
            pause(row);
        }
    }

    static std::size_t outgoing(connection const& row)
    {
        return static_cast<std::size_t>(row.socket->bytesToWrite());
    }

    void pause(connection& row)
    {
        row.paused = true;
        exchange_id const exchange = row.exchange;
        QMetaObject::invokeMethod(
            row.socket, [this, exchange] { report_paused(exchange); },
            Qt::QueuedConnection);
    }

    void report_paused(exchange_id exchange)
    {
        connection* const row = owner(exchange);
        if (row != nullptr && row->paused && !row->pause_reported)
        {
            row->pause_reported = true;
            if (handlers_.paused)
            {
                handlers_.paused(exchange);
            }
        }
    }

    void written(QTcpSocket* socket)
    {
        auto const found = connections_.find(socket);
        if (found == connections_.end())
        {
            return;
        }
        connection& row = found->second;
        row.write_progress = steady_clock::now();
        if (row.state == phase::closing)
        {
            shut_when_flushed(row);
        }
        else if (row.paused && outgoing(row) < limits_.outgoing_pause_bytes / 2)
        {
            resume(row);
        }
    }

    void resume(connection& row)
    {
        row.paused = false;
        bool const reported = std::exchange(row.pause_reported, false);
        if (reported && row.exchange != 0 && handlers_.resumed)
        {
            handlers_.resumed(row.exchange);
        }
    }

    void answer_end(connection& row)
    {
        if (row.chunked && !row.bodiless)
        {
            write(row, "0\r\n\r\n");
        }
        finish(row);
    }

    void answer_abort(connection& row)
    {
        bool const framed = row.chunked && !row.bodiless;
        row.keep_alive = false;
        if (row.started && framed)
        {
            finish(row); // the missing last chunk shows that it is torn
            return;
        }
        end_exchange(row);
        row.state = phase::closing;
        row.deadline = steady_clock::now() + limits_.linger_timeout;
        cut_soon(row);
    }

    void answer(connection& row, int status, header_list const& headers,
                std::string const& body)
    {
        bool const bodiless = row.head_request || has_no_body(status);
        std::string const length =
            has_no_body(status)
                ? std::string()
                : fmt::format("Content-Length: {}\r\n", body.size());
        write(row, fmt::format("{}{}{}{}\r\n{}", status_line(status),
                               serialize_headers(headers), length,
                               connection_header(row),
                               bodiless ? std::string_view() : body));
        finish(row);
    }

    void refuse(exchange_id exchange, request_id const& request,
                refusal const& why)
    {
        connection* const row = owner(exchange);
        if (row == nullptr)
        {
            return;
        }
        if (row->started)
        {
            answer_abort(*row);
            return;
        }
        answer(*row, why.status,
               refusal_headers(request, why, limits_.fractional_retry_after),
               refusal_body(why));
    }

    void end_exchange(connection& row)
    {
        exchanges_.erase(row.exchange);
        row.exchange = 0;
        row.pause_reported = false;
    }

    void finish(connection& row)
    {
        steady_time const now = steady_clock::now();
        end_exchange(row);
        if (!row.keep_alive)
        {
            close(row, now);
            return;
        }
        row.state = phase::idle;
        row.deadline = bounded(
            now + (draining_ ? limits_.drain_grace : limits_.idle_timeout));
        QTcpSocket* const socket = row.socket;
        QMetaObject::invokeMethod(
            socket, [this, socket] { read(socket); }, Qt::QueuedConnection);
    }

    // -- Closing

    // Closes our side once all is written; the caller's bytes are discarded
    // until it closes too, since a reset could destroy the last answer.
    void close(connection& row, steady_time now)
    {
        row.state = phase::closing;
        row.deadline = now + limits_.linger_timeout;
        QTcpSocket* const socket = row.socket;
        QMetaObject::invokeMethod(
            socket,
            [this, socket]
            {
                read(socket);
                written(socket);
            },
            Qt::QueuedConnection);
    }

    static void shut_when_flushed(connection& row)
    {
        if (!row.shut && row.socket->bytesToWrite() == 0)
        {
            row.shut = true;
            end_on_close(*row.socket);
            ::shutdown(static_cast<int>(row.socket->socketDescriptor()),
                       SHUT_WR);
        }
    }

    // Accepts what waits, as far as there is room: the kernel reports a
    // connection that it can't give again and again.
    void stop_accepting()
    {
        accept_failed_ = false;
        while (server_.isListening() && !accept_failed_ &&
               server_.waitForNewConnection(0))
        {
            accept();
        }
        server_.close();
    }

    // The end of drain() comes before any later deadline.
    steady_time bounded(steady_time deadline) const
    {
        return drain_end_ ? std::min(deadline, *drain_end_) : deadline;
    }

    void drain(steady_time now, duration within)
    {
        stop_accepting();
        draining_ = true;
        close_after_answers_ = true;
        if (within < std::chrono::floor<duration>(steady_time::max() - now))
        {
            drain_end_ = now + within;
            sweep_timer_.setTimerType(Qt::PreciseTimer);
            sweep_timer_.setInterval(drain_sweep_interval);
        }
        for (auto& [socket, row] : connections_)
        {
            row.deadline =
                bounded(row.state == phase::idle
                            ? std::min(row.deadline, now + limits_.drain_grace)
                            : row.deadline);
        }
        QMetaObject::invokeMethod(
            &server_, [this] { report_if_drained(); }, Qt::QueuedConnection);
    }

    // -- Timeouts

    void sweep(steady_time now)
    {
        std::vector<QTcpSocket*> due;
        for (auto const& [socket, row] : connections_)
        {
            if (stalled(row, now) ||
                (row.state != phase::answering && now >= row.deadline))
            {
                due.push_back(socket);
            }
        }
        for (QTcpSocket* const socket : due)
        {
            auto const found = connections_.find(socket);
            if (found != connections_.end())
            {
                expire(found->second, now);
            }
        }
    }

    bool stalled(connection const& row, steady_time now) const
    {
        return row.socket->bytesToWrite() > 0 &&
               now - row.write_progress >= limits_.write_timeout;
    }

    void expire(connection& row, steady_time now)
    {
        if (stalled(row, now) || row.state == phase::closing)
        {
            cut(row.socket);
        }
        else if (row.state == phase::idle)
        {
            has_more(row) ? read(row.socket) : close(row, now);
        }
        else if (drain_end_ && now >= *drain_end_)
        {
            reject(row, no_room("stopping"));
        }
        else
        {
            reject(row,
                   timeout_refusal(row.state == phase::head ? "header_timeout"
                                                            : "body_timeout"));
        }
    }

    QTcpServer server_;
    QTimer sweep_timer_;
    http_server_limits limits_;
    http_server_handlers handlers_;
    bool draining_ = false;
    bool accept_failed_ = false; // since stop_accepting began
    bool close_after_answers_ = false;
    std::optional<steady_time> drain_end_;
    exchange_id next_exchange_ = 1;
    std::unordered_map<QTcpSocket*, connection> connections_;
    // exchanges_[e] == &c if and only if c.exchange == e != 0; rows of
    // connections_ do not move.
    std::unordered_map<exchange_id, connection*> exchanges_;
    // How many connections each address has.
    std::unordered_map<std::string, std::size_t> addresses_;
    // The sum of body_charge over all connections.
    std::uint64_t body_memory_ = 0;
};

http_server::http_server(http_server_limits limits,
                         http_server_handlers handlers)
    : impl_(std::make_unique<impl>(limits, std::move(handlers)))
{
}

http_server::~http_server() = default;

absl::Status http_server::listen(QHostAddress const& address,
                                 std::uint16_t port)
{
    impl_->server_.setListenBacklogSize(listen_backlog);
    impl_->server_.setMaxPendingConnections(listen_backlog);
    if (!impl_->server_.listen(address, port))
    {
        return absl::UnavailableError(
            impl_->server_.errorString().toStdString());
    }
    return absl::OkStatus();
}

std::uint16_t http_server::port() const
{
    return impl_->server_.serverPort();
}

void http_server::answer_head(exchange_id exchange, int status,
                              header_list const& headers)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->answer_head(*row, status, headers);
    }
}

void http_server::answer_piece(exchange_id exchange, std::string const& bytes)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->answer_piece(*row, bytes);
    }
}

void http_server::answer_end(exchange_id exchange)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->answer_end(*row);
    }
}

void http_server::answer_abort(exchange_id exchange)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->answer_abort(*row);
    }
}

void http_server::answer(exchange_id exchange, int status,
                         header_list const& headers, std::string const& body)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->answer(*row, status, headers, body);
    }
}

void http_server::refuse(exchange_id exchange, request_id const& request,
                         refusal const& why)
{
    impl_->refuse(exchange, request, why);
}

void http_server::stop_accepting()
{
    impl_->stop_accepting();
}

void http_server::close_after_answers()
{
    impl_->close_after_answers_ = true;
}

void http_server::drain(duration within)
{
    impl_->drain(steady_clock::now(), within);
}

std::string http_server::source_of(exchange_id exchange) const
{
    connection const* const row = impl_->owner(exchange);
    return row == nullptr ? std::string() : row->address;
}

std::size_t http_server::connections() const
{
    return impl_->connections_.size();
}

} // namespace amarantharch
