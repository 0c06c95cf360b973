#include "app/command_line.hpp"

#include "app/settings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

std::string first_sentence(std::string_view help)
{
    return std::string(help.substr(0, help.find('.')));
}

std::string overview(std::vector<command_row> const& commands)
{
    std::string text = "usage: amarantharch COMMAND [OPTION]...\n\n";
    for (command_row const& row : commands)
    {
        text += fmt::format("  {:10} {}\n", row.name, first_sentence(row.help));
    }
    return text +
           "\n`amarantharch COMMAND --help` explains a command;\n"
           "`amarantharch --help-settings` lists every setting as an INI file,"
           "\nwith --markdown as docs/SETTINGS.md.\n"
           "Exit status: 0 done, 1 not done or faults found, 2 usage.\n";
}

options::options_description describe(command_row const& row)
{
    options::options_description known("Options");
    (void)known.add_options()("help", "print this text");
    row.describe(known);
    return known;
}

std::string usage(command_row const& row)
{
    std::ostringstream known;
    known << describe(row);
    return fmt::format("usage: amarantharch {} [OPTION]...{}{}\n\n{}\n\n{}",
                       row.name, row.operands.empty() ? "" : " ", row.operands,
                       row.help, known.str());
}

options::variables_map parse(command_row const& row,
                             std::vector<std::string> const& arguments)
{
    options::options_description known = describe(row);
    (void)known.add_options()("operand",
                              options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    (void)positional.add("operand", row.operands.empty() ? 0 : -1);
    options::variables_map given;
    options::store(options::command_line_parser(arguments)
                       .options(known)
                       .positional(positional)
                       .run(),
                   given);
    if (given.count("help") == 0)
    {
        options::notify(given);
    }
    return given;
}

int run_command(command_row const& row,
                std::vector<std::string> const& arguments)
{
    options::variables_map given;
    try
    {
        given = parse(row, arguments);
    }
    catch (options::error const& error)
    {
        fmt::print(stderr, "amarantharch {}: {}\n\n{}", row.name, error.what(),
                   usage(row));
        return exit_usage;
    }
    if (given.count("help") != 0)
    {
        fmt::print("{}", usage(row));
        return exit_success;
    }
    return row.run(given);
}

int print_settings(std::vector<std::string> const& arguments)
{
    bool const markdown = arguments.size() == 2 && arguments[1] == "--markdown";
    if (arguments.size() > 1 && !markdown)
    {
        fmt::print(stderr, "amarantharch: expected --markdown or nothing\n");
        return exit_usage;
    }
    fmt::print("{}", markdown ? settings_as_markdown() : settings_as_ini());
    return exit_success;
}

} // namespace

std::vector<std::string> operands_of(options::variables_map const& given)
{
    return given.count("operand") == 0
               ? std::vector<std::string>{}
               : given["operand"].as<std::vector<std::string>>();
}

int run_command_line(std::vector<std::string> const& arguments,
                     std::vector<command_row> const& commands)
{
    if (arguments.empty())
    {
        fmt::print(stderr, "{}", overview(commands));
        return exit_usage;
    }
    if (arguments[0] == "--help" || arguments[0] == "help")
    {
        fmt::print("{}", overview(commands));
        return exit_success;
    }
    if (arguments[0] == "--help-settings")
    {
        return print_settings(arguments);
    }
    auto const row = std::find_if(commands.begin(), commands.end(),
                                  [&](command_row const& candidate)
                                  { return candidate.name == arguments[0]; });
    if (row == commands.end())
    {
        fmt::print(stderr, "amarantharch: no command \"{}\"\n\n{}",
                   arguments[0], overview(commands));
        return exit_usage;
    }
    return run_command(*row, {std::next(arguments.begin()), arguments.end()});
}

} // namespace amarantharch
