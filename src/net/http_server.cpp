#include "net/http_server.hpp"

#include "net/http_parser.hpp"

#include <QTcpServer>
#include <QTcpSocket>

#include <fmt/format.h>

#include <map>
#include <optional>

namespace amarantharch
{

namespace
{

using request_parser = http::request_parser<http::string_body>;

std::string status_line(int status)
{
    auto const reason =
        http::obsolete_reason(static_cast<http::status>(status));
    return fmt::format("HTTP/1.1 {} {}\r\n", status, std::string(reason));
}

std::string header_block(header_list const& headers)
{
    std::string block;
    for (header_field const& field : headers)
    {
        block += fmt::format("{}: {}\r\n", field.name, field.value);
    }
    return block;
}

struct connection
{
    QTcpSocket* socket;
    std::string input; // bytes not yet parsed
    std::optional<request_parser> parser;
    exchange_id exchange = 0; // 0 while no answer is owed
    bool keep_alive = true;
    bool closing = false;
};

} // namespace

class http_server::impl
{
public:
    impl(http_server_limits limits, http_server_handlers handlers)
        : limits_(limits), handlers_(std::move(handlers))
    {
        QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                         [this] { accept(); });
    }

    ~impl()
    {
        for (auto const& [socket, row] : connections_)
        {
            socket->disconnect();
            socket->abort();
        }
    }

    void accept()
    {
        while (QTcpSocket* socket = server_.nextPendingConnection())
        {
            if (connections_.size() >= limits_.connections)
            {
                socket->write(
                    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                    "Retry-After: 1\r\nContent-Length: 0\r\n\r\n");
                socket->disconnectFromHost();
                QObject::connect(socket, &QTcpSocket::disconnected, socket,
                                 &QObject::deleteLater);
                continue;
            }
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            connections_[socket].socket = socket;
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, socket] { read(socket); });
            QObject::connect(socket, &QTcpSocket::disconnected, socket,
                             [this, socket] { closed(socket); });
        }
    }

    void read(QTcpSocket* socket)
    {
        QByteArray const bytes = socket->readAll();
        connection& row = connections_.at(socket);
        row.input.append(bytes.constData(),
                         static_cast<std::size_t>(bytes.size()));
        parse(row);
    }

    // Parses the next request unless an answer is still owed.
    void parse(connection& row)
    {
        if (row.exchange != 0 || row.closing || row.input.empty())
        {
            return;
        }
        if (!row.parser)
        {
            row.parser.emplace();
            row.parser->eager(true);
            row.parser->header_limit(limits_.header_bytes);
            row.parser->body_limit(limits_.body_bytes);
        }
        boost::beast::error_code error;
        std::size_t const used =
            row.parser->put(boost::asio::buffer(row.input), error);
        row.input.erase(0, used);
        if (error && error != http::error::need_more)
        {
            reject(row, error);
            return;
        }
        if (row.parser->is_done())
        {
            deliver(row);
        }
    }

    void deliver(connection& row)
    {
        auto message = row.parser->release();
        row.parser.reset();
        row.keep_alive = message.keep_alive();
        row.exchange = next_exchange_++;
        exchanges_[row.exchange] = row.socket;
        call request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = end_to_end_headers<true>(message);
        request.body = std::move(message.body());
        handlers_.request(row.exchange, std::move(request));
    }

    void reject(connection& row, boost::beast::error_code error)
    {
        int status = 400;
        std::string reason = "malformed_request";
        if (error == http::error::body_limit)
        {
            status = 413;
            reason = "body_too_large";
        }
        else if (error == http::error::header_limit)
        {
            status = 431;
            reason = "headers_too_large";
        }
        row.keep_alive = false;
        row.exchange = next_exchange_++;
        exchanges_[row.exchange] = row.socket;
        refuse(row.exchange, "",
               refusal{status, verdict::not_run, reason, duration::zero()});
    }

    void closed(QTcpSocket* socket)
    {
        auto const found = connections_.find(socket);
        exchange_id const exchange = found->second.exchange;
        connections_.erase(found);
        socket->deleteLater();
        if (exchange != 0)
        {
            exchanges_.erase(exchange);
            handlers_.abandoned(exchange);
        }
    }

    connection* owner(exchange_id exchange)
    {
        auto const found = exchanges_.find(exchange);
        return found == exchanges_.end() ? nullptr
                                         : &connections_.at(found->second);
    }

    static void write(connection& row, std::string const& bytes)
    {
        row.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    void finish(connection& row)
    {
        exchanges_.erase(row.exchange);
        row.exchange = 0;
        if (!row.keep_alive)
        {
            row.closing = true;
            row.socket->disconnectFromHost();
            return;
        }
        QTcpSocket* const socket = row.socket;
        QMetaObject::invokeMethod(
            socket, [this, socket] { parse(connections_.at(socket)); },
            Qt::QueuedConnection);
    }

    void answer(exchange_id exchange, int status, header_list const& headers,
                std::string const& body)
    {
        connection* const row = owner(exchange);
        if (row == nullptr)
        {
            return;
        }
        write(*row, fmt::format("{}{}Content-Length: {}\r\n{}\r\n{}",
                                status_line(status), header_block(headers),
                                body.size(), connection_header(*row), body));
        finish(*row);
    }

    static std::string_view connection_header(connection const& row)
    {
        return row.keep_alive ? "" : "Connection: close\r\n";
    }

    void refuse(exchange_id exchange, request_id const& request,
                refusal const& why)
    {
        header_list headers{{"Content-Type", "application/json"},
                            {"X-Request-Id", request},
                            {"X-Verdict", std::string(name(why.run))}};
        if (why.retry_after > duration::zero())
        {
            auto const seconds =
                std::chrono::ceil<std::chrono::seconds>(why.retry_after);
            headers.push_back({"Retry-After", fmt::to_string(seconds.count())});
        }
        answer(exchange, why.status, headers,
               fmt::format(R"({{"verdict":"{}","reason":"{}",)"
                           R"("retry_after_ms":{}}})"
                           "\n",
                           name(why.run), why.reason,
                           to_millis(why.retry_after)));
    }

    QTcpServer server_;
    http_server_limits limits_;
    http_server_handlers handlers_;
    exchange_id next_exchange_ = 1;
    std::map<QTcpSocket*, connection> connections_;
    // exchanges_[e] == s if and only if connections_[s].exchange == e != 0.
    std::map<exchange_id, QTcpSocket*> exchanges_;
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
        impl::write(*row,
                    fmt::format("{}{}Transfer-Encoding: chunked\r\n{}\r\n",
                                status_line(status), header_block(headers),
                                impl::connection_header(*row)));
    }
}

void http_server::answer_piece(exchange_id exchange, std::string const& bytes)
{
    connection* const row = impl_->owner(exchange);
    if (row != nullptr && !bytes.empty())
    {
        impl::write(*row, fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
    }
}

void http_server::answer_end(exchange_id exchange)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl::write(*row, "0\r\n\r\n");
        impl_->finish(*row);
    }
}

void http_server::answer(exchange_id exchange, int status,
                         header_list const& headers, std::string const& body)
{
    impl_->answer(exchange, status, headers, body);
}

void http_server::abort(exchange_id exchange)
{
    if (connection* const row = impl_->owner(exchange))
    {
        impl_->exchanges_.erase(exchange);
        row->exchange = 0;
        row->closing = true;
        row->socket->disconnectFromHost();
    }
}

void http_server::refuse(exchange_id exchange, request_id const& request,
                         refusal const& why)
{
    impl_->refuse(exchange, request, why);
}

} // namespace amarantharch
