#include "net/http_client.hpp"

#include "net/dead_peer.hpp"
#include "net/endpoint.hpp"
#include "net/http_parser.hpp"
#include "net/socket_write.hpp"

#include <QTcpSocket>
#include <QTimer>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <limits>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace amarantharch
{

namespace
{

using response_parser = http::response_parser<arriving_body>;
using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;

constexpr std::chrono::milliseconds sweep_interval{20};
// An idle connection is given up so long before its upstream would close it:
// a request that crosses the close would be lost.
constexpr duration keep_alive_margin = std::chrono::milliseconds(500);
// Interim answers (1xx) that one request may get.
constexpr int interim_answers = 16;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;

enum class phase : std::uint8_t
{
    connecting,
    head, // the request is being written or awaits its answer's head
    body, // the answer's head is reported
};

// Tells a closed from a reset connection, which Qt reports alike: holds a
// second descriptor of the socket, whose state can be read after the end.
class connection_state
{
public:
    explicit connection_state(QTcpSocket const& socket)
        : descriptor_(::dup(static_cast<int>(socket.socketDescriptor())))
    {
    }

    ~connection_state()
    {
        ::close(descriptor_);
    }

    connection_state(connection_state const&) = delete;
    connection_state& operator=(connection_state const&) = delete;

    // True if the other end closed its side in order.
    bool is_closed_in_order() const
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        return ::getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) ==
                   0 &&
               info.tcpi_state == TCP_CLOSE_WAIT;
    }

private:
    int descriptor_;
};

struct exchange_row
{
    QTcpSocket* socket = nullptr;
    std::string address;
    std::string wire; // the request until it is handed to the socket
    input_buffer input;
    std::unique_ptr<response_parser> parser;
    http_timeouts timeouts;
    phase state = phase::connecting;
    std::optional<steady_time> deadline;     // of `state`
    std::optional<steady_time> end_deadline; // of the whole answer
    bool head_request = false;
    bool taken = false; // the kernel has taken a byte of the request
    bool paused = false;
    std::optional<duration> idle_limit; // the upstream's
    int interims = 0;
    bool ended = false; // the connection did; last bytes may be unread
    // Set for an answer whose body ends with the connection.
    std::unique_ptr<connection_state> connection;
};

struct idle_row
{
    std::string address;
    QTcpSocket* socket;
    steady_time expires;
};

// True if the upstream has neither closed nor said anything on an idle
// connection. Looks at the kernel's state, since Qt's may lag behind it.
bool is_usable(QTcpSocket const& socket)
{
    char byte = 0;
    auto const got = ::recv(static_cast<int>(socket.socketDescriptor()), &byte,
                            1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::optional<steady_time> after(steady_time now, duration timeout)
{
    if (timeout == duration::zero())
    {
        return std::nullopt;
    }
    return now + timeout;
}

std::string_view timeout_reason(phase state)
{
    switch (state)
    {
    case phase::connecting:
        return "connect_timeout";
    case phase::head:
        return "head_timeout";
    case phase::body:
        break;
    }
    return "piece_timeout";
}

std::string_view loss_reason(phase state)
{
    switch (state)
    {
    case phase::connecting:
        return "connect_failed";
    case phase::head:
        return "connection_lost";
    case phase::body:
        break;
    }
    return "answer_cut";
}

} // namespace

class http_client::impl
{
public:
    impl(http_client_handlers handlers, http_client_limits limits)
        : handlers_(std::move(handlers)), limits_(limits)
    {
        sweep_timer_.setInterval(sweep_interval);
        QObject::connect(&sweep_timer_, &QTimer::timeout, &context_,
                         [this] { sweep(steady_clock::now()); });
        sweep_timer_.start();
    }

    ~impl()
    {
        for (auto const& [id, row] : rows_)
        {
            if (row.socket != nullptr)
            {
                discard(row.socket);
            }
        }
        for (idle_row const& row : idle_)
        {
            discard(row.socket);
        }
    }

    // -- Requests

    void send(exchange_id exchange, std::string const& address,
              call const& request, http_timeouts const& timeouts,
              steady_time now)
    {
        exchange_row& row = rows_[exchange];
        row.address = address;
        row.timeouts = timeouts;
        row.head_request = request.method == "HEAD";
        row.wire = serialize_request(
            request, request.metadata.host.empty()
                         ? std::string_view(address)
                         : std::string_view(request.metadata.host));
        expect_answer(row);
        row.socket = take_idle(address);
        if (row.socket != nullptr)
        {
            watch(exchange, row.socket);
            write(row, now);
        }
        else
        {
            connect(exchange, row, now);
        }
    }

    void expect_answer(exchange_row& row) const
    {
        row.parser = std::make_unique<response_parser>();
        row.parser->eager(true);
        row.parser->header_limit(limits_.header_bytes);
        // Beast takes any length for one over the limit where there is none.
        row.parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        row.parser->skip(row.head_request);
    }

    void connect(exchange_id exchange, exchange_row& row, steady_time now)
    {
        auto const target = parse_endpoint(row.address);
        if (!target)
        {
            QMetaObject::invokeMethod(
                &context_, [this, exchange] { fail(exchange, "bad_address"); },
                Qt::QueuedConnection);
            return;
        }
        row.socket = new QTcpSocket(&context_);
        row.socket->setReadBufferSize(
            static_cast<qint64>(limits_.read_buffer_bytes));
        row.deadline = after(now, row.timeouts.connect);
        watch(exchange, row.socket);
        QObject::connect(row.socket, &QTcpSocket::connected, row.socket,
                         [this, exchange] { connected(exchange); });
        // Queued, since a refusal by this machine is reported at once.
        QMetaObject::invokeMethod(
            row.socket,
            [this, exchange, socket = row.socket, target = *target]
            { start_connecting(exchange, socket, target); },
            Qt::QueuedConnection);
    }

    void start_connecting(exchange_id exchange, QTcpSocket* socket,
                          endpoint const& target)
    {
        auto const found = rows_.find(exchange);
        if (found != rows_.end() && found->second.socket == socket)
        {
            socket->connectToHost(target.host, target.port);
        }
    }

    void connected(exchange_id exchange)
    {
        exchange_row& row = rows_.at(exchange);
        if (limits_.dead_peer_timeout > duration::zero())
        {
            give_up_dead_peer(static_cast<int>(row.socket->socketDescriptor()),
                              limits_.dead_peer_timeout);
        }
        write(row, steady_clock::now());
    }

    // Hands the request to the kernel, and what it does not take to the
    // socket.
    static void write(exchange_row& row, steady_time now)
    {
        row.state = phase::head;
        row.deadline = after(now, row.timeouts.head);
        row.end_deadline = after(now, row.timeouts.whole);
        row.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        row.taken = write_at_once(*row.socket, row.wire) > 0;
        row.wire.clear();
        row.wire.shrink_to_fit();
    }

    void watch(exchange_id exchange, QTcpSocket* socket)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, exchange] { read(exchange); });
        QObject::connect(socket, &QTcpSocket::bytesWritten, socket,
                         [this, exchange] { rows_.at(exchange).taken = true; });
        QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                         [this, exchange] { broken(exchange); });
    }

    // -- Answers

    void read(exchange_id exchange)
    {
        auto const found = rows_.find(exchange);
        if (found == rows_.end() || found->second.paused)
        {
            return;
        }
        exchange_row& row = found->second;
        QByteArray const bytes = row.socket->readAll();
        row.input.append(bytes.constData(),
                         static_cast<std::size_t>(bytes.size()));
        // An answer before the request's first byte cannot be one to it, but
        // shows nothing about what the upstream did; assume the worse.
        row.taken = row.taken || !bytes.isEmpty();
        if (!parse(row))
        {
            fail(exchange, "malformed_answer");
            return;
        }
        report(exchange, steady_clock::now());
    }

    // Feeds the parser; false if the answer is malformed.
    bool parse(exchange_row& row) const
    {
        while (!row.input.empty() && !row.parser->is_done())
        {
            boost::beast::error_code error;
            std::string_view const bytes = row.input.view();
            std::size_t const used = row.parser->put(
                boost::asio::buffer(bytes.data(), bytes.size()), error);
            row.input.consume(used);
            if (error && error != http::error::need_more)
            {
                return false;
            }
            if (row.parser->is_header_done() &&
                !(has_known_framing<false>(row.parser->get()) &&
                  skip_interim(row)))
            {
                return false;
            }
            if (error)
            {
                break;
            }
        }
        // What is left of an answer in progress is unfinished framing.
        return row.parser->is_done() ||
               row.input.view().size() <= limits_.header_bytes;
    }

    // Starts anew after an interim answer; false if there is one too many.
    bool skip_interim(exchange_row& row) const
    {
        unsigned const status = row.parser->get().result_int();
        if (status >= first_final_status)
        {
            return true;
        }
        if (status == status_switching_protocols ||
            ++row.interims > interim_answers)
        {
            return false;
        }
        expect_answer(row);
        return true;
    }

    // Reports what the parser has taken in since the last report. Handlers
    // may cancel the exchange or pause it, so it is looked up after each.
    void report(exchange_id exchange, steady_time now)
    {
        report_head(exchange, now);
        report_piece(exchange, now);
        exchange_row* const row = active(exchange);
        if (row != nullptr && row->parser->is_done())
        {
            finish(exchange, now);
        }
    }

    // The row of an exchange that is in progress and not paused.
    exchange_row* active(exchange_id exchange)
    {
        auto const found = rows_.find(exchange);
        return found == rows_.end() || found->second.paused ? nullptr
                                                            : &found->second;
    }

    void report_head(exchange_id exchange, steady_time now)
    {
        exchange_row* const row = active(exchange);
        if (row == nullptr || row->state == phase::body ||
            !row->parser->is_header_done())
        {
            return;
        }
        row->state = phase::body;
        row->deadline = after(now, row->timeouts.piece);
        auto const& message = row->parser->get();
        note_idle_limit(*row, std::string(message[http::field::keep_alive]));
        if (row->parser->need_eof() && !row->parser->is_done())
        {
            row->connection = std::make_unique<connection_state>(*row->socket);
        }
        handlers_.head(exchange, static_cast<int>(message.result_int()),
                       end_to_end_headers<false>(message));
    }

    void report_piece(exchange_id exchange, steady_time now)
    {
        exchange_row* const row = active(exchange);
        if (row == nullptr || row->state != phase::body)
        {
            return;
        }
        std::string body = std::exchange(row->parser->get().body(), {});
        if (!body.empty())
        {
            row->deadline = after(now, row->timeouts.piece);
            handlers_.piece(exchange, std::move(body));
        }
    }

    void finish(exchange_id exchange, steady_time now)
    {
        auto node = rows_.extract(exchange);
        exchange_row& row = node.mapped();
        row.socket->disconnect();
        bool const reusable =
            row.parser->keep_alive() && row.input.empty() && !row.ended &&
            row.socket->state() == QAbstractSocket::ConnectedState &&
            row.socket->bytesToWrite() == 0 &&
            row.socket->bytesAvailable() == 0;
        duration const idle = std::min(
            limits_.idle_lifetime, row.idle_limit.value_or(duration::max()));
        reusable&& idle > duration::zero()
            ? keep(row.address, row.socket, now + idle)
            : discard(row.socket);
        handlers_.end(exchange);
    }

    // How long the upstream keeps the connection, as its Keep-Alive field
    // says, less a margin for what is already on its way.
    static void note_idle_limit(exchange_row& row, std::string const& field)
    {
        constexpr std::string_view parameter = "timeout=";
        auto const at = field.find(parameter);
        int seconds = 0;
        if (at != std::string::npos &&
            std::from_chars(field.data() + at + parameter.size(),
                            field.data() + field.size(), seconds)
                    .ec == std::errc())
        {
            row.idle_limit = std::chrono::seconds(seconds) - keep_alive_margin;
        }
    }

    void broken(exchange_id exchange)
    {
        exchange_row& row = rows_.at(exchange);
        row.ended = true;
        if (!row.paused)
        {
            conclude(exchange);
        }
    }

    // After the connection's end: takes the last bytes, then decides whether
    // the answer is whole.
    void conclude(exchange_id exchange)
    {
        read(exchange);
        exchange_row* const row = active(exchange);
        if (row == nullptr)
        {
            return;
        }
        boost::beast::error_code error = http::error::partial_message;
        if (row->connection && row->connection->is_closed_in_order())
        {
            row->parser->put_eof(error); // ends a body framed by closing
        }
        if (!error && row->parser->is_done())
        {
            report(exchange, steady_clock::now());
            return;
        }
        fail(exchange, loss_reason(row->state));
    }

    void fail(exchange_id exchange, std::string_view reason)
    {
        auto node = rows_.extract(exchange);
        if (node.empty())
        {
            return;
        }
        exchange_row const& row = node.mapped();
        verdict const run = run_verdict(row);
        if (row.socket != nullptr)
        {
            discard(row.socket);
        }
        handlers_.failed(exchange, run, std::string(reason));
    }

    static verdict run_verdict(exchange_row const& row)
    {
        return row.taken ? verdict::may_have_run : verdict::not_run;
    }

    void cancel(exchange_id exchange)
    {
        auto node = rows_.extract(exchange);
        if (!node.empty() && node.mapped().socket != nullptr)
        {
            discard(node.mapped().socket);
        }
    }

    // -- Back-pressure

    void pause(exchange_id exchange)
    {
        auto const found = rows_.find(exchange);
        if (found != rows_.end())
        {
            found->second.paused = true;
        }
    }

    void resume(exchange_id exchange, steady_time now)
    {
        auto const found = rows_.find(exchange);
        if (found == rows_.end() || !found->second.paused)
        {
            return;
        }
        exchange_row& row = found->second;
        row.paused = false;
        row.deadline = row.state == phase::body ? after(now, row.timeouts.piece)
                                                : row.deadline;
        QMetaObject::invokeMethod(
            &context_, [this, exchange] { continue_reading(exchange); },
            Qt::QueuedConnection);
    }

    void continue_reading(exchange_id exchange)
    {
        exchange_row const* const row = active(exchange);
        if (row == nullptr)
        {
            return;
        }
        row->ended ? conclude(exchange) : read(exchange);
    }

    // -- Pooled connections, oldest first

    QTcpSocket* take_idle(std::string const& address)
    {
        while (true)
        {
            auto const found = std::find_if(idle_.rbegin(), idle_.rend(),
                                            [&](idle_row const& row)
                                            { return row.address == address; });
            if (found == idle_.rend())
            {
                return nullptr;
            }
            QTcpSocket* const socket = found->socket;
            remove_idle(std::prev(found.base()));
            if (is_usable(*socket))
            {
                socket->disconnect();
                return socket;
            }
            discard(socket);
        }
    }

    void remove_idle(std::list<idle_row>::iterator row)
    {
        auto const count = idle_of_address_.find(row->address);
        if (--count->second == 0)
        {
            idle_of_address_.erase(count);
        }
        idle_.erase(row);
    }

    void keep(std::string const& address, QTcpSocket* socket,
              steady_time expires)
    {
        idle_.push_back({address, socket, expires});
        if (++idle_of_address_[address] > limits_.idle_connections_per_address)
        {
            close_oldest(address);
        }
        if (idle_.size() > limits_.idle_connections)
        {
            close_idle(idle_.begin());
        }
        auto const close = [this, socket]
        {
            forget_idle(socket);
        };
        QObject::connect(socket, &QTcpSocket::disconnected, socket, close);
        // Bytes that no request asked for: the connection is of no use.
        QObject::connect(socket, &QTcpSocket::readyRead, socket, close);
    }

    void close_oldest(std::string const& address)
    {
        close_idle(std::find_if(idle_.begin(), idle_.end(),
                                [&](idle_row const& row)
                                { return row.address == address; }));
    }

    void close_idle(std::list<idle_row>::iterator row)
    {
        QTcpSocket* const socket = row->socket;
        remove_idle(row);
        discard(socket);
    }

    void forget_idle(QTcpSocket* socket)
    {
        auto const found = std::find_if(idle_.begin(), idle_.end(),
                                        [socket](idle_row const& row)
                                        { return row.socket == socket; });
        if (found != idle_.end())
        {
            close_idle(found);
        }
    }

    // -- Timeouts

    void sweep(steady_time now)
    {
        for (auto row = idle_.begin(); row != idle_.end();)
        {
            auto const next = std::next(row);
            if (now >= row->expires)
            {
                close_idle(row);
            }
            row = next;
        }
        std::vector<exchange_id> due;
        for (auto const& [exchange, row] : rows_)
        {
            if (late_reason(row, now))
            {
                due.push_back(exchange);
            }
        }
        for (exchange_id const exchange : due)
        {
            expire(exchange, now);
        }
    }

    void expire(exchange_id exchange, steady_time now)
    {
        auto const found = rows_.find(exchange);
        auto const reason = found == rows_.end()
                                ? std::nullopt
                                : late_reason(found->second, now);
        if (reason)
        {
            fail(exchange, *reason);
        }
    }

    // Why an exchange is to be given up at `now`, if it is.
    static std::optional<std::string_view> late_reason(exchange_row const& row,
                                                       steady_time now)
    {
        if (row.end_deadline && now >= *row.end_deadline)
        {
            return "answer_timeout";
        }
        if (row.deadline && now >= *row.deadline && !row.paused)
        {
            return timeout_reason(row.state);
        }
        return std::nullopt;
    }

    static void discard(QTcpSocket* socket)
    {
        socket->disconnect();
        socket->abort();
        socket->deleteLater();
    }

    QObject context_; // parent of the sockets and of queued calls
    QTimer sweep_timer_;
    http_client_handlers handlers_;
    http_client_limits limits_;
    std::unordered_map<exchange_id, exchange_row> rows_;
    std::list<idle_row> idle_;
    // How many rows of idle_ each address has.
    std::unordered_map<std::string, std::size_t> idle_of_address_;
};

http_client::http_client(http_client_handlers handlers,
                         http_client_limits limits)
    : impl_(std::make_unique<impl>(std::move(handlers), limits))
{
}

http_client::~http_client() = default;

void http_client::send(exchange_id exchange, std::string const& address,
                       call const& request, http_timeouts const& timeouts)
{
    impl_->send(exchange, address, request, timeouts, steady_clock::now());
}

void http_client::cancel(exchange_id exchange)
{
    impl_->cancel(exchange);
}

void http_client::pause(exchange_id exchange)
{
    impl_->pause(exchange);
}

void http_client::resume(exchange_id exchange)
{
    impl_->resume(exchange, steady_clock::now());
}

std::size_t http_client::in_progress() const
{
    return impl_->rows_.size();
}

std::size_t http_client::idle_connections() const
{
    return impl_->idle_.size();
}

} // namespace amarantharch
