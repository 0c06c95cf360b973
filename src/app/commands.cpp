// The commands that concern one VM's own process and files.
#include "app/commands.hpp"

#include "app/crash_log.hpp"
#include "app/log.hpp"
#include "app/platform_mode.hpp"
#include "app/server.hpp"
#include "app/settings.hpp"
#include "app/signal_watcher.hpp"
#include "core/configuration.hpp"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

constexpr std::string_view program_version = "0.1.0";
constexpr std::string_view expected_word = "expected ";
// Between two tries to read the platform's settings: writing a file takes less.
constexpr std::chrono::milliseconds settings_interval{50};

void describe_serve(options::options_description& known)
{
    (void)known.add_options()("settings", options::value<std::string>(),
                              "the INI file of this VM")(
        "platform", "take the settings from the platform that the VM runs on");
}

// The settings that the options name.
absl::StatusOr<settings> chosen_settings(options::variables_map const& given)
{
    if (given.count("platform") == 0)
    {
        return read_settings(given["settings"].as<std::string>());
    }
    auto const process = platform::read_process_settings();
    return process.ok() ? settings_of(*process)
                        : absl::StatusOr<settings>(process.status());
}

void add_json(options::options_description& known)
{
    (void)known.add_options()("json", "print JSON");
}

std::string as_json(settings_fault const& fault)
{
    return fmt::format(R"({{"file":"{}","line":{},"section":"{}","key":"{}",)"
                       R"("expected":"{}"}})",
                       json_escape(fault.file), fault.line,
                       json_escape(fault.section), json_escape(fault.key),
                       json_escape(fault.expected));
}

void describe_check(options::options_description& known)
{
    add_json(known);
    (void)known.add_options()(
        "configuration", "the files are configurations or changes to publish");
}

// The faults of a configuration file, on its own: what it names and does not
// hold counts as missing.
std::vector<settings_fault> configuration_faults(std::string const& file)
{
    std::ifstream input(file, std::ios::binary);
    if (!input)
    {
        return {{file, 0, "", "", "a file that can be read"}};
    }
    std::string const text{std::istreambuf_iterator<char>(input), {}};
    auto const parsed = parse_configuration(text);
    auto const compiled = compile(parsed.sections);
    std::vector<settings_fault> faults;
    for (auto const* list : {&parsed.faults, &compiled.faults})
    {
        for (configuration_fault const& fault : *list)
        {
            std::string_view message = fault.message;
            if (message.starts_with(expected_word)) // to_text adds it
            {
                message.remove_prefix(expected_word.size());
            }
            faults.push_back({file, static_cast<std::size_t>(fault.line),
                              fault.section, fault.key, std::string(message)});
        }
    }
    return faults;
}

int check(options::variables_map const& given)
{
    auto const files = operands_of(given);
    if (files.empty())
    {
        fmt::print(stderr, "amarantharch check: expected a FILE\n");
        return exit_usage;
    }
    bool const json = given.count("json") != 0;
    std::string rows;
    std::size_t count = 0;
    bool const configuration = given.count("configuration") != 0;
    for (std::string const& file : files)
    {
        for (settings_fault const& fault :
             configuration ? configuration_faults(file)
                           : read_settings_file(file).faults)
        {
            ++count;
            rows += json && !rows.empty() ? "," : "";
            rows += json ? as_json(fault) : to_text(fault) + "\n";
        }
    }
    json ? fmt::print("{{\"faults\":[{}]}}\n", rows) : fmt::print("{}", rows);
    return count == 0 ? exit_success : exit_fault;
}

// Says whether the settings, which have changed, can be read. They are in force
// from the next start on.
void check_again(options::variables_map const& given)
{
    auto const read = chosen_settings(given);
    log(read.ok() ? log_level::info : log_level::error, "settings_changed",
        {{"readable", read.ok() ? "yes" : "no"},
         {"reason", std::string(read.status().message())},
         {"in_force", "from the next start"}});
}

// The platform's settings may be read while they are written: such settings
// are tried again. A file that nothing names stays so.
bool may_become_readable(absl::Status const& read)
{
    return absl::IsInvalidArgument(read) || absl::IsNotFound(read);
}

// Runs the event loop until the settings can be read, cannot become so, or
// `stop`.
absl::StatusOr<settings> wait_for_settings(options::variables_map const& given,
                                           bool const& stop)
{
    auto read = chosen_settings(given);
    bool const waits =
        given.count("platform") != 0 && may_become_readable(read.status());
    std::string last_reason; // as logged
    while (waits && !stop && !read.ok())
    {
        std::string const reason(read.status().message());
        if (std::exchange(last_reason, reason) != reason)
        {
            log(log_level::warning, "settings_unreadable",
                {{"reason", reason}});
        }
        flush_log();
        QEventLoop pause;
        QTimer::singleShot(settings_interval, &pause, &QEventLoop::quit);
        (void)pause.exec();
        read = chosen_settings(given);
    }
    return read;
}

// Writes the held lines at each return of the command.
struct log_flusher
{
    log_flusher() = default;
    log_flusher(log_flusher const&) = delete;
    log_flusher& operator=(log_flusher const&) = delete;
    ~log_flusher()
    {
        flush_log();
    }
};

int fail_start(absl::Status const& why)
{
    log(log_level::error, "start_failed",
        {{"reason", std::string(why.message())}});
    return exit_fault;
}

void stop_loop()
{
    log(log_level::info, "stopped", {});
    flush_log();
    QCoreApplication::exit(exit_success);
}

int serve(options::variables_map const& given)
{
    if ((given.count("settings") != 0) == (given.count("platform") != 0))
    {
        fmt::print(stderr, "amarantharch serve: expected either --settings or "
                           "--platform\n");
        return exit_usage;
    }
    log_flusher const at_return;
    log_crashes();
    if (given.count("platform") != 0)
    {
        buffer_log(STDOUT_FILENO);
    }
    std::unique_ptr<server> subject; // null until the settings are read
    bool stop = false;               // before that
    duration drain_timeout{};
    auto const watcher = signal_watcher::watch(
        [&] { subject ? subject->drain(drain_timeout) : void(stop = true); },
        [&] { check_again(given); });
    if (!watcher.ok())
    {
        return fail_start(watcher.status());
    }
    auto const chosen = wait_for_settings(given, stop);
    if (stop)
    {
        log(log_level::info, "stopped", {});
        return exit_success;
    }
    if (!chosen.ok())
    {
        // Not fmt::print, which throws if nobody reads it.
        (void)std::fputs(
            (std::string(chosen.status().message()) + "\n").c_str(), stderr);
        return exit_fault;
    }
    set_log_level(chosen->least_logged);
    drain_timeout = chosen->limits.drain_timeout;
    subject = std::make_unique<server>(*chosen, stop_loop);
    absl::Status const started = subject->start();
    return started.ok() ? QCoreApplication::exec() : fail_start(started);
}

int version(options::variables_map const& given)
{
    given.count("json") != 0
        ? fmt::print("{{\"version\":\"{}\"}}\n", program_version)
        : fmt::print("amarantharch {}\n", program_version);
    return exit_success;
}

} // namespace

std::vector<command_row> vm_commands()
{
    return {
        {"serve", "",
         "Run one VM of the fleet.\n"
         "It reads its settings, listens, and logs JSON lines to standard "
         "error; the line\n\"listening\" names its ports. SIGTERM and SIGINT "
         "start a graceful shutdown: new\nrequests are refused, those in "
         "progress end, and the process exits with 0.",
         describe_serve, serve},
        {"check", "FILE...",
         "Check settings or configuration files and list every fault.\n"
         "Each line names file, line, section, key and what was expected. "
         "Exit status 1 if\nthere is a fault.",
         describe_check, check},
        {"version", "", "Print the version.", add_json, version},
    };
}

std::vector<command_row> all_commands()
{
    std::vector<command_row> commands = vm_commands();
    for (auto const& rows :
         {operator_commands(), publish_commands(), key_commands()})
    {
        commands.insert(commands.end(), rows.begin(), rows.end());
    }
    return commands;
}

} // namespace amarantharch
