#include "net/http_client.hpp"

#include "net/http_parser.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <map>
#include <optional>

namespace amarantharch
{

namespace
{

constexpr std::uint32_t response_header_bytes = 64 * 1024;

using response_parser = http::response_parser<http::string_body>;

struct exchange_row
{
    QTcpSocket* socket = nullptr;
    std::string address;
    std::string wire; // the request until it is written
    std::string input;
    std::unique_ptr<response_parser> parser;
    bool written = false;
    bool head_reported = false;
};

} // namespace

class http_client::impl
{
public:
    explicit impl(http_client_handlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    ~impl()
    {
        for (auto const& [id, row] : rows_)
        {
            discard(row.socket);
        }
        for (auto const& [address, socket] : idle_)
        {
            discard(socket);
        }
    }

    void send(exchange_id exchange, std::string const& address,
              call const& request)
    {
        exchange_row& row = rows_[exchange];
        row.address = address;
        row.wire = serialize_request(request, address);
        row.parser = std::make_unique<response_parser>();
        row.parser->eager(true);
        row.parser->header_limit(response_header_bytes);
        row.parser->body_limit(boost::none);
        row.parser->skip(request.method == "HEAD");
        row.socket = take_idle(address);
        bool const fresh = row.socket == nullptr;
        if (fresh)
        {
            row.socket = new QTcpSocket;
        }
        watch(exchange, row.socket);
        fresh ? connect(exchange, row) : write(row);
    }

    void connect(exchange_id exchange, exchange_row& row)
    {
        auto const colon = row.address.rfind(':');
        QHostAddress const host(
            QString::fromStdString(row.address.substr(0, colon)));
        quint16 const port =
            QString::fromStdString(row.address.substr(colon + 1)).toUShort();
        QObject::connect(row.socket, &QTcpSocket::connected, row.socket,
                         [this, exchange] { write(rows_.at(exchange)); });
        row.socket->connectToHost(host, port);
    }

    static void write(exchange_row& row)
    {
        row.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        row.socket->write(row.wire.data(),
                          static_cast<qint64>(row.wire.size()));
        row.written = true;
        row.wire.clear();
    }

    void watch(exchange_id exchange, QTcpSocket* socket)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, exchange] { read(exchange); });
        QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                         [this, exchange](QAbstractSocket::SocketError)
                         { broken(exchange); });
    }

    void read(exchange_id exchange)
    {
        exchange_row& row = rows_.at(exchange);
        QByteArray const bytes = row.socket->readAll();
        row.input.append(bytes.constData(),
                         static_cast<std::size_t>(bytes.size()));
        boost::beast::error_code error;
        while (!row.input.empty() && !row.parser->is_done())
        {
            std::size_t const used =
                row.parser->put(boost::asio::buffer(row.input), error);
            row.input.erase(0, used);
            if (error)
            {
                break;
            }
        }
        if (error && error != http::error::need_more)
        {
            fail(exchange, "malformed_answer");
            return;
        }
        report(exchange);
    }

    // Reports what the parser has taken in since the last report.
    void report(exchange_id exchange)
    {
        exchange_row& row = rows_.at(exchange);
        if (row.parser->is_header_done() && !row.head_reported)
        {
            row.head_reported = true;
            auto const& message = row.parser->get();
            handlers_.head(exchange, static_cast<int>(message.result_int()),
                           end_to_end_headers<false>(message));
        }
        if (!rows_.contains(exchange))
        {
            return;
        }
        std::string body = std::exchange(row.parser->get().body(), {});
        bool const done = row.parser->is_done();
        if (!body.empty())
        {
            handlers_.piece(exchange, std::move(body));
        }
        if (done && rows_.contains(exchange))
        {
            finish(exchange);
        }
    }

    void finish(exchange_id exchange)
    {
        auto node = rows_.extract(exchange);
        exchange_row& row = node.mapped();
        row.socket->disconnect();
        if (row.parser->keep_alive() && row.input.empty())
        {
            keep(row.address, row.socket);
        }
        else
        {
            discard(row.socket);
        }
        handlers_.end(exchange);
    }

    void broken(exchange_id exchange)
    {
        exchange_row& row = rows_.at(exchange);
        boost::beast::error_code error;
        if (row.parser->is_header_done())
        {
            row.parser->put_eof(error); // ends a body framed by close
        }
        if (!error && row.parser->is_done())
        {
            report(exchange);
            return;
        }
        fail(exchange, row.written ? "connection_lost" : "connect_failed");
    }

    void fail(exchange_id exchange, std::string const& reason)
    {
        auto node = rows_.extract(exchange);
        exchange_row const& row = node.mapped();
        discard(row.socket);
        handlers_.failed(exchange,
                         row.written ? verdict::may_have_run : verdict::not_run,
                         reason);
    }

    void cancel(exchange_id exchange)
    {
        auto node = rows_.extract(exchange);
        if (!node.empty())
        {
            discard(node.mapped().socket);
        }
    }

    QTcpSocket* take_idle(std::string const& address)
    {
        auto const found = idle_.find(address);
        if (found == idle_.end())
        {
            return nullptr;
        }
        QTcpSocket* const socket = found->second;
        idle_.erase(found);
        socket->disconnect();
        return socket;
    }

    void keep(std::string const& address, QTcpSocket* socket)
    {
        idle_.emplace(address, socket);
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         [this, socket] { forget_idle(socket); });
    }

    void forget_idle(QTcpSocket* socket)
    {
        std::erase_if(idle_, [socket](auto const& entry)
                      { return entry.second == socket; });
        socket->deleteLater();
    }

    static void discard(QTcpSocket* socket)
    {
        socket->disconnect();
        socket->abort();
        socket->deleteLater();
    }

    http_client_handlers handlers_;
    std::map<exchange_id, exchange_row> rows_;
    std::multimap<std::string, QTcpSocket*> idle_;
};

http_client::http_client(http_client_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(handlers)))
{
}

http_client::~http_client() = default;

void http_client::send(exchange_id exchange, std::string const& address,
                       call const& request)
{
    impl_->send(exchange, address, request);
}

void http_client::cancel(exchange_id exchange)
{
    impl_->cancel(exchange);
}

} // namespace amarantharch
