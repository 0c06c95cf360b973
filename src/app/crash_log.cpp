#include "app/crash_log.hpp"

#include "app/log.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>

namespace amarantharch
{

namespace
{

struct fatal_row
{
    int signal;
    std::string_view line; // whole, since a handler may not format
};

constexpr fatal_row fatal_rows[] = {
    {SIGSEGV,
     "{\"level\":\"error\",\"event\":\"ended\",\"reason\":\"SIGSEGV\"}\n"},
    {SIGBUS,
     "{\"level\":\"error\",\"event\":\"ended\",\"reason\":\"SIGBUS\"}\n"},
    {SIGFPE,
     "{\"level\":\"error\",\"event\":\"ended\",\"reason\":\"SIGFPE\"}\n"},
    {SIGILL,
     "{\"level\":\"error\",\"event\":\"ended\",\"reason\":\"SIGILL\"}\n"},
    {SIGABRT,
     "{\"level\":\"error\",\"event\":\"ended\",\"reason\":\"SIGABRT\"}\n"},
};

// The default of the signal is back when this runs.
void write_fatal(int signal)
{
    for (fatal_row const& row : fatal_rows)
    {
        if (row.signal == signal)
        {
            write_crash_line(row.line);
        }
    }
    (void)raise(signal);
}

// What the exception in flight says of itself.
std::string reason_in_flight()
{
    std::exception_ptr const thrown = std::current_exception();
    if (!thrown)
    {
        return "std::terminate";
    }
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (std::exception const& error)
    {
        return error.what();
    }
    catch (...)
    {
        return "an exception without a reason";
    }
}

[[noreturn]] void terminate()
{
    log(log_level::error, "ended", {{"reason", reason_in_flight()}});
    flush_log();
    std::abort();
}

} // namespace

void log_crashes()
{
    std::set_terminate(terminate);
    for (fatal_row const& row : fatal_rows)
    {
        struct sigaction action = {};
        action.sa_handler = write_fatal;
        action.sa_flags = static_cast<int>(SA_RESETHAND);
        (void)sigaction(row.signal, &action, nullptr); // valid signals
    }
}

} // namespace amarantharch
