// Measures the processor time of relaying tokens: callers' HTTP streams on
// one side, upstreams' on the other, joined by http_server and http_client
// with no decision between them.
//
// The relay runs in a thread of its own, whose processor time is read from
// the kernel; callers and upstreams, as plain sockets, run in another. Tokens
// leave each upstream at a fixed interval, spread evenly over the streams, so
// that they arrive one at a time as from model engines.
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>
#include <QTimer>

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <sys/resource.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <vector>

namespace
{

namespace options = boost::program_options;

constexpr int tick_ms = 1;
constexpr double micros_per_second = 1e6;
constexpr char const* request = "GET /stream HTTP/1.1\r\nHost: relay\r\n\r\n";
constexpr char const* answer_head = "HTTP/1.1 200 OK\r\n"
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
constexpr char const* token =
    "26\r\ndata: {\"index\":1234,\"token\":\"word \"}\n\n\r\n";
constexpr char const* last_chunk = "0\r\n\r\n";

struct load
{
    int streams;
    int interval_ms; // between the tokens of one stream
    int tokens;      // of each stream
};

double micros(timeval const& t)
{
    return static_cast<double>(t.tv_sec) * micros_per_second +
           static_cast<double>(t.tv_usec);
}

// Processor time of the calling thread in microseconds.
double thread_micros()
{
    rusage usage{};
    ::getrusage(RUSAGE_THREAD, &usage);
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

[[noreturn]] void give_up(std::string const& reason)
{
    fmt::print(stderr, "a stream failed: {}\n", reason);
    std::_Exit(EXIT_FAILURE);
}

// Joins each caller's exchange to one of the same number upstream.
class relay
{
public:
    explicit relay(std::string upstream)
        : upstream_(std::move(upstream)),
          server_({}, {[this](amarantharch::exchange_id e,
                              amarantharch::call const& c)
                       { client_.send(e, upstream_, c); },
                       [this](amarantharch::exchange_id e)
                       {
                           client_.cancel(e);
                       }}),
          client_({[this](amarantharch::exchange_id e, int status,
                          amarantharch::header_list const& headers)
                   { server_.answer_head(e, status, headers); },
                   [this](amarantharch::exchange_id e, std::string const& bytes)
                   { server_.answer_piece(e, bytes); },
                   [this](amarantharch::exchange_id e)
                   { server_.answer_end(e); },
                   [](amarantharch::exchange_id, amarantharch::verdict,
                      std::string const& reason)
                   {
                       give_up(reason);
                   }})
    {
    }

    // The port it listens on, or zero.
    std::uint16_t listen()
    {
        return server_.listen(QHostAddress::LocalHost, 0).ok() ? server_.port()
                                                               : 0;
    }

private:
    std::string upstream_;
    amarantharch::http_server server_;
    amarantharch::http_client client_;
};

// The sockets on both sides of the relay.
class traffic
{
public:
    explicit traffic(load what) : load_(what)
    {
        upstream_.setListenBacklogSize(what.streams);
        upstream_.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&upstream_, &QTcpServer::newConnection, &upstream_,
                         [this] { accept(); });
        QObject::connect(&timer_, &QTimer::timeout, &timer_,
                         [this] { tick(); });
        timer_.setTimerType(Qt::PreciseTimer);
    }

    std::string upstream_address() const
    {
        return fmt::format("127.0.0.1:{}", upstream_.serverPort());
    }

    void call(std::uint16_t port)
    {
        for (int i = 0; i < load_.streams; ++i)
        {
            callers_.push_back(std::make_unique<QTcpSocket>());
            QTcpSocket* const socket = callers_.back().get();
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, socket] { receive(socket->readAll()); });
            QObject::connect(socket, &QTcpSocket::errorOccurred, socket,
                             [socket]
                             { give_up(socket->errorString().toStdString()); });
            socket->connectToHost(QHostAddress::LocalHost, port);
            socket->write(request);
        }
    }

    bool ready() const
    {
        return static_cast<int>(streams_.size()) == load_.streams;
    }

    void start()
    {
        timer_.start(tick_ms);
    }

    bool finished() const
    {
        return received_ >=
               static_cast<qsizetype>(load_.streams) * load_.tokens;
    }

    qsizetype received() const
    {
        return received_;
    }

private:
    void accept()
    {
        while (QTcpSocket* const socket = upstream_.nextPendingConnection())
        {
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, socket]
                             {
                                 socket->readAll();
                                 socket->write(answer_head);
                                 streams_.push_back(socket);
                             });
        }
    }

    // Sends what is due of the next streams in turn.
    void tick()
    {
        due_ +=
            static_cast<double>(load_.streams) * tick_ms / load_.interval_ms;
        qsizetype const total =
            static_cast<qsizetype>(load_.streams) * load_.tokens;
        for (; due_ >= 1 && sent_ < total; due_ -= 1, ++sent_)
        {
            QTcpSocket* const stream = streams_[next_++ % streams_.size()];
            stream->write(token);
            if (sent_ >= total - load_.streams)
            {
                stream->write(last_chunk);
            }
        }
    }

    void receive(QByteArray const& bytes)
    {
        received_ += bytes.count("data:");
    }

    load load_;
    QTcpServer upstream_;
    QTimer timer_;
    std::vector<std::unique_ptr<QTcpSocket>> callers_;
    std::vector<QTcpSocket*> streams_;
    std::size_t next_ = 0;
    double due_ = 0;
    qsizetype sent_ = 0;
    qsizetype received_ = 0;
};

void run(load what)
{
    traffic sockets(what);
    QThread thread;
    QObject in_thread;
    std::unique_ptr<relay> under_test;
    in_thread.moveToThread(&thread);
    thread.start();
    auto const invoke = [&](auto function)
    {
        QMetaObject::invokeMethod(&in_thread, function,
                                  Qt::BlockingQueuedConnection);
    };
    std::uint16_t port = 0;
    double begin = 0;
    double end = 0;
    invoke(
        [&]
        {
            under_test = std::make_unique<relay>(sockets.upstream_address());
            port = under_test->listen();
        });
    sockets.call(port);
    while (!sockets.ready())
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    invoke([&] { begin = thread_micros(); });
    sockets.start();
    while (!sockets.finished())
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    invoke(
        [&]
        {
            end = thread_micros();
            under_test.reset();
        });
    thread.quit();
    thread.wait();
    fmt::print("streams {} interval_ms {} tokens {} us_per_token {:.2f}\n",
               what.streams, what.interval_ms, sockets.received(),
               (end - begin) / static_cast<double>(sockets.received()));
}

} // namespace

int main(int argc, char** argv)
{
    load what{};
    options::options_description known("amarantharch-relay-bench");
    known.add_options()("help", "print this text")(
        "streams", options::value(&what.streams)->default_value(680),
        "concurrent streams; each takes four descriptors")(
        "interval-ms", options::value(&what.interval_ms)->default_value(48),
        "time between the tokens of a stream")(
        "tokens", options::value(&what.tokens)->default_value(100),
        "tokens of each stream");
    try
    {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.contains("help") || what.streams < 1 ||
            what.interval_ms < 1 || what.tokens < 1)
        {
            std::cout << known;
            return given.contains("help") ? 0 : 2;
        }
    }
    catch (options::error const& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
    QCoreApplication application(argc, argv);
    run(what);
    return 0;
}
