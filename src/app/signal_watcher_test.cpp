#include "app/process_fixture_test.hpp"
#include "app/signal_watcher.hpp"

#include <QTcpServer>

#include <sys/ioctl.h>
#include <sys/stat.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string_view>

using namespace amarantharch;
using namespace amarantharch::testing;

namespace
{

struct watched
{
    watched()
    {
        (void)application();
    }

    std::unique_ptr<signal_watcher> watch()
    {
        auto made =
            signal_watcher::watch([this] { ++stops; }, [this] { ++reloads; });
        return made.ok() ? *std::move(made) : nullptr;
    }

    int stops = 0;
    int reloads = 0;
};

bool ends_the_process(int number)
{
    struct sigaction now = {};
    BOOST_REQUIRE(sigaction(number, nullptr, &now) == 0);
    return now.sa_handler == SIG_DFL;
}

// Makes standard error a pipe without a reader.
void lose_log()
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) == 0)
    {
        (void)dup2(ends[1], STDERR_FILENO);
        (void)close(ends[0]);
        (void)close(ends[1]);
    }
}

// A VM whose settings are a pipe: it has read them and waits for their end.
struct vm_that_reads_its_settings : process_fixture
{
    vm_that_reads_its_settings()
    {
        path = directory.filePath("vm.ini").toStdString();
        BOOST_REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
        vm = &start("amarantharch",
                    {"serve", "--settings", QString::fromStdString(path)});
        // A pipe without a reader refuses a writer that does not wait.
        BOOST_REQUIRE(run_until(
            [&]
            {
                writer = writer >= 0 ? writer
                                     : open(path.c_str(),
                                            O_WRONLY | O_NONBLOCK | O_CLOEXEC);
                return writer >= 0;
            }));
        BOOST_REQUIRE(write(writer, text.data(), text.size()) ==
                      static_cast<ssize_t>(text.size()));
        BOOST_REQUIRE(run_until(
            [&]
            {
                int unread = 0;
                return ioctl(writer, FIONREAD, &unread) == 0 && unread == 0;
            }));
    }

    // What is read from now on is a file.
    void end_settings()
    {
        BOOST_REQUIRE(unlink(path.c_str()) == 0);
        (void)write_file("vm.ini", std::string(text));
        BOOST_REQUIRE(close(writer) == 0);
    }

    static constexpr std::string_view text = "[vm]\nid = entry-0\n"
                                             "failure_domain = asan\n";
    std::string path;
    program* vm = nullptr;
    int writer = -1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_vms_process)

BOOST_AUTO_TEST_SUITE(that_reads_its_settings)

BOOST_FIXTURE_TEST_CASE(stops_in_order_if_it_is_told_to_stop,
                        vm_that_reads_its_settings)
{
    vm->terminate();
    end_settings();
    BOOST_TEST(vm->exit_status() == 0, vm->output());
    BOOST_TEST(vm->output().find(R"("event":"stopped")") != std::string::npos,
               vm->output());
}

BOOST_FIXTURE_TEST_CASE(serves_if_it_is_told_that_they_changed,
                        vm_that_reads_its_settings)
{
    vm->reload();
    end_settings();
    (void)vm->wait_for("listening");
    BOOST_TEST(vm->running());
    vm->terminate();
    BOOST_TEST(vm->exit_status() == 0, vm->output());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_log_nobody_reads)

BOOST_FIXTURE_TEST_CASE(serves_all_the_same, process_fixture)
{
    QTcpServer free;
    BOOST_REQUIRE(free.listen(QHostAddress::LocalHost));
    std::uint16_t const port = free.serverPort();
    free.close();
    std::string const path = write_file(
        "vm.ini", fmt::format("[vm]\nid = entry-0\nfailure_domain = asan\n"
                              "listen_port = {}\n",
                              port));
    program& vm =
        start("amarantharch",
              {"serve", "--settings", QString::fromStdString(path)}, lose_log);
    call const ask{"", "GET", "/", {}, ""};
    std::string const address = fmt::format("127.0.0.1:{}", port);
    BOOST_TEST(run_until([&] { return fetch(address, ask, patience).ok(); }));
    vm.terminate(); // what it says of that meets no reader either
    BOOST_TEST(vm.exit_status() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_signal, watched)

BOOST_AUTO_TEST_CASE(is_told_to_the_watcher)
{
    auto const watcher = watch();
    BOOST_REQUIRE(watcher);
    BOOST_REQUIRE(raise(SIGHUP) == 0);
    BOOST_REQUIRE(raise(SIGTERM) == 0);
    BOOST_TEST(run_until([&] { return stops == 1 && reloads == 1; }));
}

BOOST_AUTO_TEST_SUITE(before_its_watcher)

BOOST_AUTO_TEST_CASE(is_told_once_the_watcher_is_there)
{
    BOOST_REQUIRE(signal_watcher::hold());
    for (int const number : {SIGHUP, SIGHUP, SIGTERM})
    {
        BOOST_REQUIRE(raise(number) == 0);
    }
    auto const watcher = watch();
    BOOST_REQUIRE(watcher);
    BOOST_TEST(run_until([&] { return stops == 1 && reloads == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_the_end_of_its_watcher)

BOOST_AUTO_TEST_CASE(does_not_end_the_process)
{
    BOOST_REQUIRE(watch());
    for (int const number : {SIGTERM, SIGINT, SIGHUP, SIGPIPE})
    {
        BOOST_TEST(!ends_the_process(number), number);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
