#include "net/datagram_transport.hpp"

#include "core/bounded_unpack.hpp"
#include "net/endpoint.hpp"

#include <QNetworkDatagram>

#include <utility>

namespace amarantharch
{

namespace
{

// What a datagram holds, in this order.
struct wire_datagram
{
    std::string sender;
    std::uint8_t kind = 0;
    std::string payload;
    MSGPACK_DEFINE(sender, kind, payload)
};

bool is_kind(std::uint8_t value)
{
    for (auto const& row : peer_message_kind_names)
    {
        if (static_cast<std::uint8_t>(row.value) == value)
        {
            return true;
        }
    }
    return false;
}

} // namespace

std::string encode_datagram(std::string const& sender,
                            peer_message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
                  wire_datagram{sender, static_cast<std::uint8_t>(message.kind),
                                message.payload});
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<peer_message> decode_datagram(std::string_view bytes)
{
    try
    {
        auto wire = bounded_unpack(bytes).get().as<wire_datagram>();
        if (!is_kind(wire.kind))
        {
            return absl::InvalidArgumentError("unknown kind of message");
        }
        return peer_message{std::move(wire.sender),
                            static_cast<peer_message_kind>(wire.kind),
                            std::move(wire.payload)};
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

datagram_transport::datagram_transport(
    std::string vm, std::function<void(peer_message)> received)
    : vm_(std::move(vm)), received_(std::move(received))
{
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_,
                     [this] { read(); });
}

absl::Status datagram_transport::listen(QHostAddress const& address,
                                        std::uint16_t port)
{
    return socket_.bind(address, port)
               ? absl::OkStatus()
               : absl::UnavailableError(socket_.errorString().toStdString());
}

void datagram_transport::send(std::string const& address,
                              peer_message const& message)
{
    auto const target = parse_endpoint(address);
    std::string const bytes = encode_datagram(vm_, message);
    // A socket that is not bound would take a port of its own.
    if (!target || bytes.size() > max_bytes ||
        socket_.state() != QAbstractSocket::BoundState)
    {
        ++dropped_;
        return;
    }
    // A full queue is as good as a lost datagram.
    (void)socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                                target->host, target->port);
}

void datagram_transport::read()
{
    while (socket_.hasPendingDatagrams())
    {
        QByteArray const bytes =
            socket_.receiveDatagram(static_cast<qint64>(max_bytes)).data();
        auto message = decode_datagram(
            {bytes.constData(), static_cast<std::size_t>(bytes.size())});
        if (message.ok())
        {
            received_(*std::move(message));
        }
        else
        {
            ++dropped_;
        }
    }
}

} // namespace amarantharch
