// The command line: one table of commands, each with its own options.
//
// Exit status of every command: 0 it did what was asked; 1 it could not, or
// found faults; 2 the command line was wrong, and nothing was done.
#ifndef AMARANTHARCH_APP_COMMAND_LINE_HPP
#define AMARANTHARCH_APP_COMMAND_LINE_HPP

#include <boost/program_options.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

inline constexpr int exit_success = 0;
inline constexpr int exit_fault = 1;
inline constexpr int exit_usage = 2;

struct command_row
{
    std::string_view name;
    std::string_view operands; // as shown in the usage line
    std::string_view help;     // one sentence first, then details
    // Adds the command's options.
    void (*describe)(boost::program_options::options_description& options);
    // Operands are in "operand", a list of strings.
    int (*run)(boost::program_options::variables_map const& given);
};

// Runs the command named by argv; prints usage and returns exit_usage if the
// command line is wrong. A Qt application must exist.
int run_command_line(std::vector<std::string> const& arguments,
                     std::vector<command_row> const& commands);

// The commands of this program.
std::vector<command_row> all_commands();

// The operands given, empty if there are none.
std::vector<std::string>
operands_of(boost::program_options::variables_map const& given);

} // namespace amarantharch

#endif
