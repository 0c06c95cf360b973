#include "net/peer_transport.hpp"

#include "net/accepting.hpp"
#include "net/endpoint.hpp"
#include "net/message_session.hpp"
#include "net/peer_envelope.hpp"

#include <QFile>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslKey>
#include <QSslSocket>
#include <QTcpServer>
#include <QTimer>

#include <absl/status/statusor.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace amarantharch
{

namespace
{

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;

constexpr std::chrono::milliseconds sweep_interval{20};
// Connections that wait for the event loop; more have to try again.
constexpr int listen_backlog = 1024;
// Messages that are sent and not yet acknowledged, on one connection.
constexpr std::size_t messages_in_flight = 64;
constexpr qint64 socket_buffer_bytes = qint64{256} << 10;
// An envelope's own fields.
constexpr std::size_t envelope_overhead_bytes = 64;

struct queued_message
{
    peer_message_kind kind;
    std::string envelope;
    steady_time expires;
};

enum class link_state : std::uint8_t
{
    closed,     // no socket; may dial from `deadline` on
    connecting, // until `deadline`
    open,
};

// A VM that this one sends to.
struct peer_row
{
    std::string address;
    std::deque<queued_message> queue; // not yet sent
    std::size_t queue_bytes = 0;      // the sum of their envelopes
    std::map<message_id, queued_message> in_flight;
    std::size_t in_flight_bytes = 0;
    link_state state = link_state::closed;
    QSslSocket* socket = nullptr; // unless closed
    std::unique_ptr<message_session> session;
    steady_time deadline;
    steady_time last_used;
    int failures = 0; // since the peer last spoke
};

// A VM that sends to this one.
struct inbound_row
{
    std::string vm; // empty until the handshake is done
    std::unique_ptr<message_session> session;
    steady_time last_used;
};

// Hands accepted descriptors on, before a plain socket is made of them.
class descriptor_server : public QTcpServer
{
public:
    explicit descriptor_server(std::function<void(qintptr)> accepted)
        : accepted_(std::move(accepted))
    {
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        accepted_(descriptor);
    }

private:
    std::function<void(qintptr)> accepted_;
};

absl::StatusOr<QByteArray> read_file(std::string const& path)
{
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly))
    {
        return absl::NotFoundError(path + ": " +
                                   file.errorString().toStdString());
    }
    return file.readAll();
}

QSslKey read_key(QByteArray const& pem)
{
    QSslKey key(pem, QSsl::Ec);
    return key.isNull() ? QSslKey(pem, QSsl::Rsa) : key;
}

std::string common_name(QSslCertificate const& certificate)
{
    QStringList const names =
        certificate.subjectInfo(QSslCertificate::CommonName);
    return names.size() == 1 ? names.front().toStdString() : std::string();
}

// Names are checked against VM ids by this module, not as host names.
bool concern_only_the_name(QList<QSslError> const& errors)
{
    return std::all_of(errors.begin(), errors.end(),
                       [](QSslError const& error) {
                           return error.error() == QSslError::HostNameMismatch;
                       });
}

void discard(QSslSocket* socket)
{
    socket->disconnect();
    socket->abort();
    socket->deleteLater();
}

std::string_view view(QByteArray const& bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
}

void write(QSslSocket& socket, std::string const& bytes)
{
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

} // namespace

class peer_transport::impl
{
public:
    impl(peer_transport_settings settings, peer_transport_handlers handlers)
        : server_([this](qintptr descriptor)
                  { accept(descriptor, steady_clock::now()); }),
          settings_(std::move(settings)), handlers_(std::move(handlers)),
          random_(settings_.seed)
    {
        sweep_timer_.setInterval(sweep_interval);
        QObject::connect(&sweep_timer_, &QTimer::timeout, &context_,
                         [this] { sweep(steady_clock::now()); });
        sweep_timer_.start();
    }

    ~impl()
    {
        for (auto const& [vm, row] : peers_)
        {
            if (row.socket != nullptr)
            {
                discard(row.socket);
            }
        }
        for (auto const& [socket, row] : inbound_)
        {
            discard(socket);
        }
    }

    // -- Certificates

    absl::Status reload_certificates()
    {
        auto const certificate = read_file(settings_.certificate_file);
        auto const key = read_file(settings_.key_file);
        auto const authority = read_file(settings_.authority_file);
        for (auto const* const file : {&certificate, &key, &authority})
        {
            if (!file->ok())
            {
                return file->status();
            }
        }
        QSslKey const private_key = read_key(*key);
        auto const own = QSslCertificate::fromData(*certificate);
        auto const authorities = QSslCertificate::fromData(*authority);
        if (private_key.isNull() || own.isEmpty() || authorities.isEmpty())
        {
            return absl::InvalidArgumentError(
                "certificate, key or authority file holds no PEM of its kind");
        }
        use(own, private_key, authorities);
        return absl::OkStatus();
    }

    void use(QList<QSslCertificate> const& own, QSslKey const& key,
             QList<QSslCertificate> const& authorities)
    {
        bool const changed = tls_.caCertificates() != authorities;
        tls_ = QSslConfiguration();
        tls_.setLocalCertificateChain(own);
        tls_.setPrivateKey(key);
        tls_.setCaCertificates(authorities);
        tls_.setPeerVerifyMode(QSslSocket::VerifyPeer);
        tls_.setProtocol(QSsl::TlsV1_3OrLater);
        if (changed)
        {
            QMetaObject::invokeMethod(
                &context_, [this] { close_all(steady_clock::now()); },
                Qt::QueuedConnection);
        }
    }

    void close_all(steady_time now)
    {
        for (auto& [vm, row] : peers_)
        {
            if (row.state != link_state::closed)
            {
                abandon_link(vm, row, now);
                schedule(vm);
            }
        }
        for (auto const& [socket, row] : std::exchange(inbound_, {}))
        {
            discard(socket);
        }
    }

    // -- Sending

    absl::Status send(peer_message const& message, steady_time now)
    {
        auto const found = peers_.find(message.vm);
        if (found == peers_.end())
        {
            return absl::NotFoundError("unknown peer " + message.vm);
        }
        if (message.payload.size() > settings_.message_bytes)
        {
            return absl::InvalidArgumentError("message too large");
        }
        peer_row& row = found->second;
        std::string envelope = encode_envelope(message);
        if (!make_room(message.vm, row, envelope.size()))
        {
            return absl::ResourceExhaustedError("queue to " + message.vm +
                                                " is full");
        }
        enqueue(row, {message.kind, std::move(envelope),
                      now + settings_.queue_timeout});
        schedule(message.vm);
        return absl::OkStatus();
    }

    bool fits(peer_row const& row, std::size_t bytes) const
    {
        return row.queue.size() < settings_.queue_messages &&
               row.queue_bytes + bytes <= settings_.queue_bytes &&
               total_bytes_ + bytes <= settings_.total_queue_bytes;
    }

    // Drops the oldest membership messages until `bytes` more fit; false if
    // they do not even then.
    bool make_room(std::string const& vm, peer_row& row, std::size_t bytes)
    {
        std::size_t dropped = 0;
        auto each = row.queue.begin();
        while (!fits(row, bytes) && each != row.queue.end())
        {
            if (each->kind == peer_message_kind::membership)
            {
                forget_bytes(row, *each);
                each = row.queue.erase(each);
                ++dropped;
            }
            else
            {
                ++each;
            }
        }
        report_dropped_later(vm, dropped);
        return fits(row, bytes);
    }

    void report_dropped_later(std::string const& vm, std::size_t count)
    {
        if (count == 0)
        {
            return;
        }
        QMetaObject::invokeMethod(
            &context_,
            [this, vm, count]
            { handlers_.dropped(vm, peer_message_kind::membership, count); },
            Qt::QueuedConnection);
    }

    void enqueue(peer_row& row, queued_message message)
    {
        row.queue_bytes += message.envelope.size();
        total_bytes_ += message.envelope.size();
        row.queue.push_back(std::move(message));
    }

    void forget_bytes(peer_row& row, queued_message const& message)
    {
        row.queue_bytes -= message.envelope.size();
        total_bytes_ -= message.envelope.size();
    }

    // Sends from the event loop, so that messages queued together leave in
    // one write.
    void schedule(std::string const& vm)
    {
        if (!scheduled_.insert({vm, true}).second)
        {
            return;
        }
        QMetaObject::invokeMethod(
            &context_,
            [this, vm]
            {
                scheduled_.erase(vm);
                advance(vm, steady_clock::now());
            },
            Qt::QueuedConnection);
    }

    // Dials if there is reason to, and sends what may be sent.
    void advance(std::string const& vm, steady_time now)
    {
        auto const found = peers_.find(vm);
        if (found == peers_.end())
        {
            return;
        }
        peer_row& row = found->second;
        if (row.state == link_state::closed && !row.queue.empty() &&
            now >= row.deadline)
        {
            dial(vm, row, now);
        }
        else if (row.state == link_state::open)
        {
            submit(row, now);
        }
    }

    void submit(peer_row& row, steady_time now)
    {
        while (!row.queue.empty() && may_submit(row))
        {
            queued_message& next = row.queue.front();
            message_id const id = next_message_++;
            if (!row.session->send(id, next.envelope).ok())
            {
                break;
            }
            forget_bytes(row, next);
            row.in_flight_bytes += next.envelope.size();
            row.in_flight.emplace(id, std::move(next));
            row.queue.pop_front();
            row.last_used = now;
        }
        write(*row.socket, row.session->take_output());
    }

    bool may_submit(peer_row const& row) const
    {
        return row.in_flight.empty() ||
               (row.in_flight.size() < messages_in_flight &&
                row.in_flight_bytes < settings_.message_bytes);
    }

    // -- Outbound connections

    void dial(std::string const& vm, peer_row& row, steady_time now)
    {
        auto const target = parse_endpoint(row.address);
        if (!target)
        {
            row.deadline = now + settings_.backoff_max;
            return;
        }
        auto* const socket = new QSslSocket(&context_);
        row.socket = socket;
        row.state = link_state::connecting;
        row.deadline = now + settings_.connect_timeout;
        socket->setSslConfiguration(tls_);
        socket->setReadBufferSize(socket_buffer_bytes);
        QObject::connect(socket, &QSslSocket::sslErrors, socket,
                         [socket](QList<QSslError> const& errors)
                         {
                             if (concern_only_the_name(errors))
                             {
                                 socket->ignoreSslErrors();
                             }
                         });
        QObject::connect(socket, &QSslSocket::encrypted, socket,
                         [this, vm] { opened(vm, steady_clock::now()); });
        QObject::connect(socket, &QSslSocket::readyRead, socket,
                         [this, vm] { read_results(vm, steady_clock::now()); });
        // Queued, since a refusal by this machine is reported at once.
        QObject::connect(
            socket, &QSslSocket::errorOccurred, &context_,
            [this, vm, socket] { broken(vm, socket, steady_clock::now()); },
            Qt::QueuedConnection);
        socket->connectToHostEncrypted(target->host.toString(), target->port,
                                       QString::fromStdString(vm));
    }

    void opened(std::string const& vm, steady_time now)
    {
        peer_row& row = peers_.at(vm);
        if (common_name(row.socket->peerCertificate()) != vm)
        {
            lose(vm, row, now); // another VM has this address now
            return;
        }
        row.socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        row.state = link_state::open;
        row.last_used = now;
        row.session = std::make_unique<message_session>(session_role::dialer,
                                                        wire_message_bytes());
        submit(row, now);
        report_link(vm, true);
    }

    std::size_t wire_message_bytes() const
    {
        return settings_.message_bytes + envelope_overhead_bytes;
    }

    void report_link(std::string const& vm, bool connected)
    {
        if (handlers_.link)
        {
            handlers_.link(vm, connected);
        }
    }

    void read_results(std::string const& vm, steady_time now)
    {
        peer_row& row = peers_.at(vm);
        if (row.state != link_state::open)
        {
            return;
        }
        absl::Status const fed = row.session->feed(view(row.socket->readAll()));
        drop_counts dropped;
        for (message_result const& result : row.session->take_results())
        {
            settle(row, result, dropped);
        }
        if (!fed.ok())
        {
            lose(vm, row, now);
        }
        else
        {
            row.failures = 0; // it speaks only after it accepted this VM
            submit(row, now);
        }
        report_dropped(vm, dropped);
    }

    using drop_counts = std::map<peer_message_kind, std::size_t>;

    static void settle(peer_row& row, message_result const& result,
                       drop_counts& dropped)
    {
        auto const node = row.in_flight.extract(result.id);
        if (node.empty())
        {
            return;
        }
        row.in_flight_bytes -= node.mapped().envelope.size();
        if (!result.acknowledged)
        {
            ++dropped[node.mapped().kind];
        }
    }

    void report_dropped(std::string const& vm, drop_counts const& dropped)
    {
        for (auto const& [kind, count] : dropped)
        {
            handlers_.dropped(vm, kind, count);
        }
    }

    void broken(std::string const& vm, QSslSocket* socket, steady_time now)
    {
        auto const found = peers_.find(vm);
        if (found != peers_.end() && found->second.socket == socket)
        {
            lose(vm, found->second, now);
        }
    }

    // Closes the connection, reports what was in flight, and backs off.
    void lose(std::string const& vm, peer_row& row, steady_time now)
    {
        bool const was_open = row.state == link_state::open;
        drop_counts dropped;
        for (auto const& [id, message] : row.in_flight)
        {
            ++dropped[message.kind];
        }
        close_link(row);
        row.deadline = now + backoff(row.failures++);
        report_dropped(vm, dropped);
        if (was_open)
        {
            report_link(vm, false);
        }
    }

    static void close_link(peer_row& row)
    {
        if (row.socket != nullptr)
        {
            discard(row.socket);
        }
        row.socket = nullptr;
        row.session.reset();
        row.in_flight.clear();
        row.in_flight_bytes = 0;
        row.state = link_state::closed;
    }

    // Doubles from backoff_min up to backoff_max, less a random half.
    duration backoff(int failures)
    {
        constexpr int doublings = 20;
        auto const factor = std::int64_t{1} << std::min(failures, doublings);
        duration const full =
            std::min(settings_.backoff_min * factor, settings_.backoff_max);
        std::uniform_int_distribution<std::int64_t> jitter(full.count() / 2,
                                                           full.count());
        return duration(jitter(random_));
    }

    // -- Inbound connections

    void accept(qintptr descriptor, steady_time now)
    {
        auto* const socket = new QSslSocket(&context_);
        socket->setSocketDescriptor(descriptor);
        if (inbound_.size() >= settings_.inbound_connections)
        {
            discard(socket);
            return;
        }
        inbound_[socket].last_used = now;
        socket->setSslConfiguration(tls_);
        socket->setReadBufferSize(socket_buffer_bytes);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        QObject::connect(socket, &QSslSocket::encrypted, socket,
                         [this, socket]
                         { authenticated(socket, steady_clock::now()); });
        QObject::connect(socket, &QSslSocket::readyRead, socket,
                         [this, socket]
                         { read_messages(socket, steady_clock::now()); });
        QObject::connect(socket, &QSslSocket::errorOccurred, socket,
                         [this, socket] { drop_inbound(socket); });
        QObject::connect(socket, &QSslSocket::disconnected, socket,
                         [this, socket] { drop_inbound(socket); });
        socket->startServerEncryption();
    }

    void authenticated(QSslSocket* socket, steady_time now)
    {
        std::string const vm = common_name(socket->peerCertificate());
        if (vm.empty())
        {
            drop_inbound(socket);
            return;
        }
        inbound_row& row = inbound_.at(socket);
        row.vm = vm;
        row.last_used = now;
        row.session = std::make_unique<message_session>(session_role::listener,
                                                        wire_message_bytes());
        write(*socket, row.session->take_output());
    }

    void read_messages(QSslSocket* socket, steady_time now)
    {
        auto const found = inbound_.find(socket);
        if (found == inbound_.end() || !found->second.session)
        {
            return;
        }
        inbound_row& row = found->second;
        absl::Status const fed = row.session->feed(view(socket->readAll()));
        std::vector<std::string> const received = row.session->take_received();
        std::string const vm = row.vm;
        row.last_used = now;
        write(*socket, row.session->take_output());
        if (!fed.ok())
        {
            drop_inbound(socket);
        }
        for (std::string const& envelope : received)
        {
            deliver(vm, envelope);
        }
    }

    void deliver(std::string const& vm, std::string const& envelope)
    {
        auto message = decode_envelope(envelope);
        if (message.ok())
        {
            message->vm = vm;
            handlers_.received(*std::move(message));
        }
    }

    void drop_inbound(QSslSocket* socket)
    {
        if (inbound_.erase(socket) > 0)
        {
            discard(socket);
        }
    }

    // -- Peers and time

    void set_peer(std::string const& vm, std::string const& address,
                  steady_time now)
    {
        peer_row& row = peers_[vm];
        if (row.address == address)
        {
            return;
        }
        row.address = address;
        row.failures = 0;
        row.deadline = now;
        if (row.state != link_state::closed)
        {
            abandon_link(vm, row, now);
        }
        schedule(vm);
    }

    // As lose(), but without calling a handler from inside a call.
    void abandon_link(std::string const& vm, peer_row& row, steady_time now)
    {
        drop_counts dropped;
        for (auto const& [id, message] : row.in_flight)
        {
            ++dropped[message.kind];
        }
        bool const was_open = row.state == link_state::open;
        close_link(row);
        row.deadline = now;
        QMetaObject::invokeMethod(
            &context_,
            [this, vm, dropped, was_open]
            {
                report_dropped(vm, dropped);
                if (was_open)
                {
                    report_link(vm, false);
                }
            },
            Qt::QueuedConnection);
    }

    void forget_peer(std::string const& vm)
    {
        auto node = peers_.extract(vm);
        if (!node.empty())
        {
            total_bytes_ -= node.mapped().queue_bytes;
            close_link(node.mapped());
        }
    }

    void sweep(steady_time now)
    {
        std::vector<std::string> names;
        for (auto const& [vm, row] : peers_)
        {
            if (needs_attention(row, now))
            {
                names.push_back(vm);
            }
        }
        for (std::string const& vm : names)
        {
            attend(vm, now);
        }
        close_idle_inbound(now);
    }

    bool needs_attention(peer_row const& row, steady_time now) const
    {
        return !row.queue.empty() || row.state == link_state::connecting ||
               (row.state == link_state::open && is_idle(row, now));
    }

    bool is_idle(peer_row const& row, steady_time now) const
    {
        return row.in_flight.empty() && row.queue.empty() &&
               now - row.last_used >= settings_.idle_timeout;
    }

    void attend(std::string const& vm, steady_time now)
    {
        drop_expired(vm, now);
        auto const found = peers_.find(vm);
        if (found == peers_.end())
        {
            return;
        }
        peer_row& row = found->second;
        if (row.state == link_state::connecting && now >= row.deadline)
        {
            lose(vm, row, now);
        }
        else if (row.state == link_state::open && is_idle(row, now))
        {
            abandon_link(vm, row, now);
        }
        else
        {
            advance(vm, now);
        }
    }

    void drop_expired(std::string const& vm, steady_time now)
    {
        auto const found = peers_.find(vm);
        if (found == peers_.end())
        {
            return;
        }
        peer_row& row = found->second;
        drop_counts dropped;
        while (!row.queue.empty() && now >= row.queue.front().expires)
        {
            ++dropped[row.queue.front().kind];
            forget_bytes(row, row.queue.front());
            row.queue.pop_front();
        }
        report_dropped(vm, dropped);
    }

    // A handshake has connect_timeout. The dialer closes idle connections;
    // one that it left open in silence is closed after twice that time.
    void close_idle_inbound(steady_time now)
    {
        std::vector<QSslSocket*> due;
        for (auto const& [socket, row] : inbound_)
        {
            duration const allowed = row.session ? settings_.idle_timeout * 2
                                                 : settings_.connect_timeout;
            if (now - row.last_used >= allowed)
            {
                due.push_back(socket);
            }
        }
        std::for_each(due.begin(), due.end(),
                      [this](QSslSocket* socket) { drop_inbound(socket); });
    }

    QObject context_; // parent of the sockets and of queued calls
    descriptor_server server_;
    QTimer sweep_timer_;
    peer_transport_settings settings_;
    peer_transport_handlers handlers_;
    QSslConfiguration tls_;
    std::mt19937_64 random_;
    message_id next_message_ = 1;
    std::map<std::string, peer_row> peers_;
    std::unordered_map<QSslSocket*, inbound_row> inbound_;
    // Peers for which advance() is queued.
    std::map<std::string, bool> scheduled_;
    // The sum of queue_bytes over all peers.
    std::size_t total_bytes_ = 0;
};

peer_transport::peer_transport(peer_transport_settings settings,
                               peer_transport_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(handlers)))
{
}

peer_transport::~peer_transport() = default;

absl::Status peer_transport::reload_certificates()
{
    return impl_->reload_certificates();
}

absl::Status peer_transport::listen(QHostAddress const& address,
                                    std::uint16_t port)
{
    absl::Status loaded = impl_->reload_certificates();
    if (!loaded.ok())
    {
        return loaded;
    }
    accept_again_after_errors(impl_->server_);
    impl_->server_.setListenBacklogSize(listen_backlog);
    if (!impl_->server_.listen(address, port))
    {
        return absl::UnavailableError(
            impl_->server_.errorString().toStdString());
    }
    return absl::OkStatus();
}

std::uint16_t peer_transport::port() const
{
    return impl_->server_.serverPort();
}

void peer_transport::set_peer(std::string const& vm, std::string const& address)
{
    impl_->set_peer(vm, address, steady_clock::now());
}

void peer_transport::forget_peer(std::string const& vm)
{
    impl_->forget_peer(vm);
}

absl::Status peer_transport::send(peer_message const& message)
{
    return impl_->send(message, steady_clock::now());
}

} // namespace amarantharch
