#include "net/connection_check.hpp"

#include "net/endpoint.hpp"

#include <QTcpSocket>
#include <QTimer>

#include <memory>
#include <utility>

namespace amarantharch
{

void connection_check::start(std::string const& address, duration timeout,
                             std::function<void(connection_outcome)> done)
{
    auto* const socket = new QTcpSocket(&context_);
    auto const finish =
        [socket, done = std::move(done),
         ended = std::make_shared<bool>(false)](connection_outcome outcome)
    {
        if (std::exchange(*ended, true))
        {
            return;
        }
        socket->disconnect();
        socket->abort();
        socket->deleteLater();
        done(outcome);
    };
    QObject::connect(socket, &QTcpSocket::connected, socket,
                     [finish] { finish(connection_outcome::accepted); });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                     [finish](QAbstractSocket::SocketError error)
                     {
                         finish(error == QAbstractSocket::ConnectionRefusedError
                                    ? connection_outcome::refused
                                    : connection_outcome::unknown);
                     });
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout), socket,
        [socket, finish]
        {
            // A loop that is late may run this before it sees the connection,
            // which is then reported from here.
            (void)socket->waitForConnected(0);
            finish(connection_outcome::unknown);
        });
    // Queued, since this machine may refuse at once.
    QMetaObject::invokeMethod(
        socket,
        [socket, finish, target = parse_endpoint(address)]
        {
            if (!target)
            {
                finish(connection_outcome::unknown);
                return;
            }
            socket->connectToHost(target->host, target->port);
        },
        Qt::QueuedConnection);
}

} // namespace amarantharch
