// Structured logging: one JSON object a line on standard error.
#ifndef AMARANTHARCH_APP_LOG_HPP
#define AMARANTHARCH_APP_LOG_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace amarantharch
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

inline constexpr name_table<log_level, 4> log_level_names{{
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
}};

struct log_field
{
    std::string_view key;
    std::string value;
};

// Lines below `least` are not written from now on; at first info.
void set_log_level(log_level least);

// Writes one line: time, level, event name, then the fields in order. The
// fields that lead from process to process have fixed names: "request" for
// the request id, "vm" and "upstream" for who is meant.
void log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields);

// `text` as the inside of a JSON string.
std::string json_escape(std::string_view text);

// From now on lines are held and written to `descriptor` by flush_log, which
// never blocks; see log_buffer for what is dropped when its reader is slow.
void buffer_log(int descriptor);

// Writes held lines as far as their reader has room. Does nothing unless
// buffer_log was called.
void flush_log();

// For the process's last moment, also in a signal handler: writes `line` and
// then the held lines as they stand, as far as their reader has room.
void write_crash_line(std::string_view line);

} // namespace amarantharch

#endif
