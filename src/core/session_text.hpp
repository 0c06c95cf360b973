// Sessions as text: events are read from lines, commands are written as lines.
//
// A line is a word followed by fields `name=value`; a value that is empty or
// holds a space, quote or control character stands in double quotes with the
// escapes \n \r \t \" \\ and \xNN. Reading and writing are inverse for events,
// so a recorded session can be replayed. Cost is linear in the line.
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

// One line of a session, taken apart but not yet understood.
struct text_line
{
    std::string word;
    std::vector<text_field> fields;

    // The value of the first field called `name`, or `otherwise`.
    std::string value(std::string_view name,
                      std::string_view otherwise = "") const;
};

// Takes a line apart. Fails on a field without '=', an unclosed quote or an
// unknown escape, naming the column.
absl::StatusOr<text_line> parse_text_line(std::string_view line);

// `value` as it stands behind '=' in a line.
std::string quoted_text(std::string_view value);

// The event that a line states: call, abandoned, head, piece, end, failed,
// tick, leaving, stop. Fails on other words and malformed numbers.
absl::StatusOr<event> parse_event(text_line const& line);

// A command as a line without its newline. Payloads of the log and of peers
// are given by size and kind only.
std::string to_text(command const& what);

} // namespace amarantharch

#endif
