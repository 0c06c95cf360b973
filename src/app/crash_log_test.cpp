#include "app/crash_log.hpp"
#include "app/log.hpp"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

namespace amarantharch
{

namespace
{

// A pipe for the log of a process that logs a line, does not flush it, and
// crashes.
struct crashing_process
{
    crashing_process()
    {
        BOOST_REQUIRE(pipe(log_ends.data()) == 0);
    }

    ~crashing_process()
    {
        (void)close(log_ends[0]);
        (void)close(log_ends[1]);
    }

    crashing_process(crashing_process const&) = delete;
    crashing_process& operator=(crashing_process const&) = delete;

    // Leaves no room in the pipe.
    void fill_log()
    {
        BOOST_REQUIRE(fcntl(log_ends[1], F_SETFL, O_NONBLOCK) == 0);
        std::string const block(4'096, 'x');
        while (write(log_ends[1], block.data(), block.size()) > 0)
        {
        }
        BOOST_REQUIRE(fcntl(log_ends[1], F_SETFL, 0) == 0);
    }

    // The signal that ended the process; 0 if it had to be killed.
    int run()
    {
        pid_t const child = fork();
        if (child == 0)
        {
            log_crashes();
            buffer_log(log_ends[1]);
            log(log_level::info, "held", {});
            (void)raise(SIGSEGV);
            _exit(0);
        }
        constexpr std::chrono::milliseconds interval{10};
        constexpr int tries = 500;
        int status = 0;
        for (int i = 0; i < tries; ++i)
        {
            if (waitpid(child, &status, WNOHANG) == child)
            {
                return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
            }
            std::this_thread::sleep_for(interval);
        }
        (void)kill(child, SIGKILL);
        (void)waitpid(child, &status, 0);
        return 0;
    }

    std::string log_text()
    {
        std::string text(4'096, ' ');
        ssize_t const got = read(log_ends[0], text.data(), text.size());
        return text.substr(0, got > 0 ? static_cast<std::size_t>(got) : 0);
    }

    std::array<int, 2> log_ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_process_that_crashes)

BOOST_FIXTURE_TEST_CASE(say_why_and_give_the_lines_that_were_held,
                        crashing_process)
{
    BOOST_TEST(run() == SIGSEGV);
    std::string const text = log_text();
    BOOST_TEST(text.find("SIGSEGV") != std::string::npos, text);
    BOOST_TEST(text.find("\"event\":\"held\"") != std::string::npos, text);
}

// A process that hangs in its handler keeps its ports and its callers.
BOOST_FIXTURE_TEST_CASE(do_not_wait_for_a_reader, crashing_process)
{
    fill_log();
    BOOST_TEST(run() == SIGSEGV);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
