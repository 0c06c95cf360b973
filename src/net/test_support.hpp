// Plain-socket callers and upstreams for the tests of this layer.
//
// They speak bytes, not HTTP, so that a test says exactly what goes over the
// wire and when. All run on the test's own event loop.
#ifndef AMARANTHARCH_NET_TEST_SUPPORT_HPP
#define AMARANTHARCH_NET_TEST_SUPPORT_HPP

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace amarantharch::test
{

// The application that Qt's sockets need, for a test program without one of its
// own.
inline QCoreApplication& application()
{
    static int count = 1;
    static char name[] = "tests";
    static char* names[] = {name, nullptr};
    static QCoreApplication instance(count, names);
    return instance;
}

// Far above what any condition takes; only a failing test reaches it.
constexpr qint64 give_up_ms = 10'000;

// Runs the event loop until `condition` holds; false if it never does.
template <typename Condition>
bool run_until(Condition condition)
{
    QElapsedTimer timer;
    timer.start();
    while (!condition())
    {
        if (timer.elapsed() > give_up_ms)
        {
            return false;
        }
        QCoreApplication::processEvents(
            QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 1);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

// Runs the event loop until nothing is left to do right now.
inline void run_pending()
{
    constexpr int rounds = 20;
    for (int i = 0; i < rounds; ++i)
    {
        QCoreApplication::processEvents();
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
}

// One end of a TCP connection that records all it receives.
class peer_socket
{
public:
    explicit peer_socket(QTcpSocket* socket) : socket_(socket)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this] { received += socket_->readAll(); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         [this] { closed = true; });
        if (socket->isOpen())
        {
            received += socket->readAll();
        }
    }

    explicit peer_socket(std::uint16_t port) : peer_socket(new QTcpSocket)
    {
        socket_->connectToHost(QHostAddress::LocalHost, port);
        socket_->waitForConnected(static_cast<int>(give_up_ms));
    }

    ~peer_socket()
    {
        socket_->disconnect();
        socket_->abort();
        delete socket_;
    }

    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    void send(std::string const& bytes)
    {
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
        socket_->flush();
    }

    // Closes after all that was sent has left.
    void close()
    {
        socket_->disconnectFromHost();
    }

    // Closes such that the other end sees a reset.
    void reset()
    {
        linger const at_once{1, 0};
        ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET,
                     SO_LINGER, &at_once, sizeof at_once);
        socket_->abort();
    }

    bool got(std::string const& text) const
    {
        return received.find(text) != std::string::npos;
    }

    QTcpSocket& socket()
    {
        return *socket_;
    }

    std::string received;
    bool closed = false;

private:
    QTcpSocket* socket_;
};

// A listening socket that keeps every connection made to it.
class peer_server
{
public:
    peer_server()
    {
        server_.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                         [this] { accept(); });
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", server_.serverPort());
    }

    // How often `text` was received over all connections.
    std::size_t count(std::string const& text) const
    {
        std::size_t found = 0;
        for (auto const& each : connections)
        {
            for (auto at = each->received.find(text); at != std::string::npos;
                 at = each->received.find(text, at + 1))
            {
                ++found;
            }
        }
        return found;
    }

    std::vector<std::unique_ptr<peer_socket>> connections;

private:
    void accept()
    {
        while (QTcpSocket* const socket = server_.nextPendingConnection())
        {
            socket->setParent(nullptr);
            connections.push_back(std::make_unique<peer_socket>(socket));
        }
    }

    QTcpServer server_;
};

// How a caller's connection stands.
enum class seen : std::uint8_t
{
    open,
    closed, // in order
    reset,
};

// A caller whose socket tells a reset from a close, which Qt reports alike.
class plain_caller
{
public:
    plain_caller(std::uint16_t port, std::string const& request)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        bool const sent =
            ::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) == 0 &&
            ::send(socket_, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size());
        if (!sent)
        {
            throw std::runtime_error("the request could not be sent");
        }
    }

    ~plain_caller()
    {
        ::close(socket_);
    }

    plain_caller(plain_caller const&) = delete;
    plain_caller& operator=(plain_caller const&) = delete;

    // Takes what has come, and tells how the connection stands. The socket
    // tells of a reset once only.
    seen look()
    {
        char bytes[65'536];
        while (state_ == seen::open)
        {
            ssize_t const got =
                ::recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (got > 0)
            {
                received.append(bytes, static_cast<std::size_t>(got));
                continue;
            }
            if (got == 0)
            {
                state_ = seen::closed;
            }
            else if (errno != EAGAIN)
            {
                state_ = seen::reset;
            }
            break;
        }
        return state_;
    }

    std::string received;

private:
    int socket_;
    seen state_ = seen::open;
};

} // namespace amarantharch::test

#endif
