#include "app/log.hpp"
#include "app/server.hpp"

#include <QCoreApplication>

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <iostream>

namespace
{

namespace options = boost::program_options;

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;

int serve(std::string const& path, int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    auto settings = amarantharch::read_settings(path);
    if (!settings.ok())
    {
        fmt::print(stderr, "{}\n", settings.status().ToString());
        return exit_fault;
    }
    amarantharch::server server(*settings);
    absl::Status const started = server.start();
    if (!started.ok())
    {
        fmt::print(stderr, "{}\n", started.ToString());
        return exit_fault;
    }
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description known("amarantharch serve --settings FILE");
    known.add_options()("help", "print this text")(
        "command", options::value<std::string>(), "serve")(
        "settings", options::value<std::string>(), "the INI file of this VM");
    options::positional_options_description positional;
    positional.add("command", 1);
    try
    {
        options::variables_map given;
        options::store(options::command_line_parser(argc, argv)
                           .options(known)
                           .positional(positional)
                           .run(),
                       given);
        if (given.contains("help"))
        {
            std::cout << known;
            return 0;
        }
        if (given.contains("command") && given.contains("settings") &&
            given["command"].as<std::string>() == "serve")
        {
            return serve(given["settings"].as<std::string>(), argc, argv);
        }
    }
    catch (options::error const& error)
    {
        fmt::print(stderr, "{}\n", error.what());
    }
    std::cerr << known;
    return exit_usage;
}
