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
    // A pipe that polls as writable takes this much without blocking.
    pollfd writable{buffered_descriptor, POLLOUT, 0};
    while (buffered_descriptor >= 0 && !buffered.pending().empty() &&
           poll(&writable, 1, 0) == 1 && (writable.revents & POLLOUT) != 0)
    {
        std::string_view const pending = buffered.pending();
        ssize_t const written = ::write(buffered_descriptor, pending.data(),
                                        std::min(pending.size(), safe_write));
        if (written <= 0)
        {
            return; // the reader is gone; lines are dropped when it is full
        }
        buffered.consume(static_cast<std::size_t>(written));
        if (auto const dropped = buffered.take_dropped())
        {
            log(log_level::warning, "log_lines_dropped",
                {{"count", fmt::to_string(dropped)}});
        }
    }
}

int log_descriptor()
{
    return buffered_descriptor < 0 ? STDERR_FILENO : buffered_descriptor;
}

void write_held_log()
{
    std::string_view const pending = buffered.pending();
    (void)!::write(log_descriptor(), pending.data(), pending.size());
}

} // namespace amarantharch
