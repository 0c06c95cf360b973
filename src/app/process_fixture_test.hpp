// Programs of the build as processes, for tests: start, find their ports in
// their logs, end them. All that were started end with the fixture.
#ifndef AMARANTHARCH_APP_PROCESS_FIXTURE_TEST_HPP
#define AMARANTHARCH_APP_PROCESS_FIXTURE_TEST_HPP

#include "app/admin_client.hpp"
#include "net/http_client.hpp"

#include <QCoreApplication>
#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <QTimer>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <sys/prctl.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amarantharch::testing
{

// A bound for what has to happen at all; nothing waits for it on success.
inline constexpr std::chrono::milliseconds patience{20'000};

// The application that Qt's sockets and processes need; one per program.
inline QCoreApplication& application()
{
    static int argc = 1;
    static char name[] = "app_tests";
    static char* argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

// Runs the event loop until `done`; false if that never came.
inline bool run_until(std::function<bool()> const& done)
{
    QEventLoop loop;
    bool gave_up = false;
    QTimer::singleShot(patience, &loop, [&] { gave_up = true; });
    while (!done() && !gave_up)
    {
        QTimer::singleShot(std::chrono::milliseconds(5), &loop,
                           &QEventLoop::quit);
        (void)loop.exec();
    }
    return done();
}

class program
{
public:
    // `prepare` runs in the process before the program does.
    program(std::string const& name, QStringList const& arguments,
            std::function<void()> prepare = nullptr)
    {
        process_.setProgram(
            QString::fromStdString(AMARANTHARCH_BINARY_DIR "/" + name));
        process_.setArguments(arguments);
        process_.setProcessChannelMode(QProcess::MergedChannels);
        // Ends with the test program, however that ends.
        process_.setChildProcessModifier(
            [prepare = std::move(prepare)]
            {
                (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
                if (prepare)
                {
                    prepare();
                }
            });
        process_.start();
    }

    ~program()
    {
        process_.kill();
        (void)process_.waitForFinished();
    }

    program(program const&) = delete;
    program& operator=(program const&) = delete;

    // The fields of the line of `event` whose `key` is `value`; empty if it
    // never appears.
    QJsonObject wait_for(char const* event, char const* key = nullptr,
                         char const* value = nullptr)
    {
        QJsonObject found;
        (void)run_until(
            [&]
            {
                output_ += process_.readAll();
                found = find_line(event, key, value);
                return !found.isEmpty() ||
                       process_.state() == QProcess::NotRunning;
            });
        BOOST_REQUIRE_MESSAGE(!found.isEmpty(), output_.toStdString());
        return found;
    }

    // The address of a port that its line "listening" names.
    std::string address(char const* field = "port", char const* key = nullptr,
                        char const* value = nullptr)
    {
        auto const line = wait_for("listening", key, value);
        return "127.0.0.1:" +
               line.value(QLatin1String(field)).toString().toStdString();
    }

    void terminate()
    {
        process_.terminate();
    }

    void kill()
    {
        process_.kill();
        (void)process_.waitForFinished();
    }

    void send(int signal)
    {
        (void)::kill(static_cast<pid_t>(process_.processId()), signal);
    }

    // The settings have changed.
    void reload()
    {
        send(SIGHUP);
    }

    // Stops the process where it stands, until thaw().
    void freeze()
    {
        send(SIGSTOP);
    }
    void thaw()
    {
        send(SIGCONT);
    }

    bool running() const
    {
        return process_.state() == QProcess::Running;
    }

    // The exit status once it has ended; -1 if it crashed or never ended.
    int exit_status()
    {
        bool const ended =
            run_until([&] { return process_.state() == QProcess::NotRunning; });
        return ended && process_.exitStatus() == QProcess::NormalExit
                   ? process_.exitCode()
                   : -1;
    }

    // All that it has printed.
    std::string output()
    {
        output_ += process_.readAll();
        return output_.toStdString();
    }

private:
    QJsonObject find_line(char const* event, char const* key,
                          char const* value) const
    {
        for (QByteArray const& line : output_.split('\n'))
        {
            QJsonObject row = QJsonDocument::fromJson(line).object();
            bool const matches =
                row.value("event") == QLatin1String(event) &&
                (key == nullptr ||
                 row.value(QLatin1String(key)) == QLatin1String(value));
            if (matches)
            {
                return row;
            }
        }
        return {};
    }

    QProcess process_;
    QByteArray output_;
};

// One streamed request, its answer seen as it arrives.
class streamed_request
{
public:
    streamed_request(std::string const& address, call const& request)
        : client_({[this](exchange_id, int status, header_list const&)
                   { status_ = status; },
                   [this](exchange_id, std::string const& bytes)
                   { body_ += bytes; },
                   [this](exchange_id) { ended_ = true; },
                   [this](exchange_id, verdict, std::string const& reason)
                   {
                       failure_ = reason;
                   }})
    {
        client_.send(1, address, request);
    }

    bool wait_for(std::string const& text)
    {
        return run_until(
                   [&]
                   {
                       return body_.find(text) != std::string::npos || ended_ ||
                              !failure_.empty();
                   }) &&
               body_.find(text) != std::string::npos;
    }

    // True if the answer came whole.
    bool wait_for_end()
    {
        return run_until([&] { return ended_ || !failure_.empty(); }) && ended_;
    }

    int status() const
    {
        return status_;
    }
    std::string const& body() const
    {
        return body_;
    }
    std::string const& failure() const
    {
        return failure_;
    }

private:
    http_client client_;
    int status_ = 0;
    std::string body_;
    bool ended_ = false;
    std::string failure_;
};

struct process_fixture
{
    process_fixture()
    {
        (void)application();
    }

    program& start(std::string const& name, QStringList const& arguments,
                   std::function<void()> prepare = nullptr)
    {
        programs.push_back(
            std::make_unique<program>(name, arguments, std::move(prepare)));
        return *programs.back();
    }

    // Writes `text` to a file that lasts as long as the fixture.
    std::string write_file(std::string const& name, std::string const& text)
    {
        std::string path =
            directory.filePath(QString::fromStdString(name)).toStdString();
        std::ofstream(path) << text;
        return path;
    }

    // A VM whose settings are [vm] with `id` and `domain`, and then `text`.
    program& start_vm(std::string const& id, std::string const& domain,
                      std::string const& text)
    {
        std::string const path = write_file(
            id + ".ini", fmt::format("[vm]\nid = {}\nfailure_domain = {}\n{}",
                                     id, domain, text));
        return start("amarantharch",
                     {"serve", "--settings", QString::fromStdString(path)});
    }

    QTemporaryDir directory;
    std::vector<std::unique_ptr<program>> programs;
};

} // namespace amarantharch::testing

#endif
