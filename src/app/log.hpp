// Structured logging: one JSON object a line on standard error.
#ifndef AMARANTHARCH_APP_LOG_HPP
#define AMARANTHARCH_APP_LOG_HPP

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

struct log_field
{
    std::string_view key;
    std::string value;
};

// Writes one line: time, level, event name, then the fields in order.
void log(log_level level, std::string_view event,
         std::initializer_list<log_field> fields);

// `text` as the inside of a JSON string.
std::string json_escape(std::string_view text);

} // namespace amarantharch

#endif
