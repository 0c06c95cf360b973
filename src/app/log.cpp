#include "app/log.hpp"

#include "app/log_buffer.hpp"
#include "core/time.hpp"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace amarantharch
{

namespace
{

constexpr unsigned char first_printable = 0x20;

// Bytes that a write to a pipe with room takes whole (PIPE_BUF on Linux).
constexpr std::size_t safe_write = 4'096;

// Set once at start, before anything else is logged.
log_level least_logged = log_level::info;
int buffered_descriptor = -1; // -1: lines go to standard error at once

log_buffer buffered;

// Writes a first part of `bytes`, without blocking; its size, 0 if there is no
// room or no reader. System calls only.
std::size_t write_if_room(int descriptor, std::string_view bytes)
{
    // A pipe that polls as writable takes this much without blocking.
    pollfd writable{descriptor, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0)
    {
        return 0;
    }
    ssize_t const written =
        ::write(descriptor, bytes.data(), std::min(bytes.size(), safe_write));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

} // namespace

std::string json_escape(std::string_view text)
{
    std::string escaped;
    for (char const c : text)
    {
        if (c == '"' || c == '\\')
        {
            escaped += '\\';
            escaped += c;
        }
        else if (static_cast<unsigned char>(c) < first_printable)
        {
            escaped += fmt::format("\\u{:04x}", c);
        }
        else
        {
            escaped += c;
        }
    }
    return escaped;
}

void set_log_level(log_level least)
{
    least_logged = least;
}

void log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields)
{
    if (level < least_logged)
    {
        return;
    }
    auto const now = std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
    std::string line =
        fmt::format(R"({{"time_us":{},"level":"{}","event":"{}")",
                    to_micros(now), name_in(log_level_names, level), event);
    for (log_field const& field : fields)
    {
        line +=
            fmt::format(R"(,"{}":"{}")", field.key, json_escape(field.value));
    }
    line += "}\n";
    if (buffered_descriptor < 0)
    {
        // Nobody may read it: that must not end the process.
        (void)std::fwrite(line.data(), 1, line.size(), stderr);
        return;
    }
    buffered.add(line, level >= log_level::warning);
    if (buffered.pending().size() >= safe_write)
    {
        flush_log();
    }
}

void buffer_log(int descriptor)
{
    buffered_descriptor = descriptor;
}

void flush_log()
{
    while (buffered_descriptor >= 0 && !buffered.pending().empty())
    {
        std::size_t const written =
            write_if_room(buffered_descriptor, buffered.pending());
        if (written == 0)
        {
            return; // the reader is slow or gone; lines are dropped when full
        }
        buffered.consume(written);
        if (auto const dropped = buffered.take_dropped())
        {
            log(log_level::warning, "log_lines_dropped",
                {{"count", fmt::to_string(dropped)}});
        }
    }
}

void write_crash_line(std::string_view line)
{
    int const descriptor =
        buffered_descriptor < 0 ? STDERR_FILENO : buffered_descriptor;
    (void)write_if_room(descriptor, line);
    std::string_view held = buffered.pending();
    for (std::size_t written = 1; !held.empty() && written > 0;)
    {
        written = write_if_room(descriptor, held);
        held.remove_prefix(written);
    }
}

} // namespace amarantharch
