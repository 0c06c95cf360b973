// Text format of recorded sessions: parses events and prints commands, one a
// line.
//
// A line is a word followed by fields `name=value`. A value that is empty or
// has a space, quote, backslash, control character or non-ASCII byte is written
// in double quotes with the escapes \n \r \t \" \\ and \xNN. Parsing inverts
// quoting, so a recorded session can be replayed. Cost: linear in the line.
#ifndef AMARANTHARCH_CORE_SESSION_TEXT_HPP
#define AMARANTHARCH_CORE_SESSION_TEXT_HPP

#include "core/command.hpp"
#include "core/event.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

struct text_field
{
    std::string name;
    std::string value;
};

// One line of a session, split into fields but not interpreted.
struct text_line
{
    std::string word;
    std::vector<text_field> fields;

    // The value of the first field called `name`, or `default_value`.
    std::string value(std::string_view name,
                      std::string_view default_value = "") const;
};

// Splits a line into fields. Fails on a field without '=', an unclosed quote or
// an unknown escape; the error names the column.
absl::StatusOr<text_line> parse_text_line(std::string_view line);

// `value` as written after '=' in a line, quoted if necessary.
std::string quoted_text(std::string_view value);

// Parses an event by the line's word: call, abandoned, head, piece, end,
// failed, tick, leaving or stop. Fails on other words and malformed numbers.
absl::StatusOr<event> parse_event(text_line const& line);

// Prints a command as a line without a newline. Payloads of log records and
// peer messages are left out.
std::string to_text(command const& what);

} // namespace amarantharch

#endif
