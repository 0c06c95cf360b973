#include "app/log.hpp"

#include "core/name_table.hpp"
#include "core/time.hpp"

#include <fmt/format.h>

#include <cstdio>

namespace amarantharch
{

namespace
{

constexpr name_table<log_level, 4> log_level_names{{
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
}};

constexpr unsigned char first_printable = 0x20;

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

void log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields)
{
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
