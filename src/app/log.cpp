#include "app/log.hpp"

#include "core/time.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace amarantharch
{

namespace
{

constexpr unsigned char first_printable = 0x20;

// Set once at start, before anything else is logged.
log_level least_logged = log_level::info;

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
    fmt::print(stderr, "{}}}\n", line);
}

} // namespace amarantharch
