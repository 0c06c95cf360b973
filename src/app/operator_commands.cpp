// The commands that speak to running VMs through their admin ports.
#include "app/admin_client.hpp"
#include "app/commands.hpp"
#include "app/log.hpp"
#include "app/timeline.hpp"

#include <fmt/format.h>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

constexpr duration poll_interval = std::chrono::milliseconds(100);

call get(std::string target)
{
    return {"", "GET", std::move(target), {}, ""};
}

void describe_status(options::options_description& known)
{
    describe_admins(known);
    (void)known.add_options()("json", "print a JSON array, one row per VM");
}

std::string status_row(std::string const& address,
                       absl::StatusOr<std::string> const& body, bool json)
{
    if (json)
    {
        return body.ok()
                   ? fmt::format(R"({{"admin":"{}","status":{}}})", address,
                                 *body)
                   : fmt::format(
                         R"({{"admin":"{}","error":"{}"}})", address,
                         json_escape(std::string(body.status().message())));
    }
    return fmt::format("{}: {}\n", address,
                       body.ok() ? *body
                                 : std::string(body.status().message()));
}

int status(options::variables_map const& given)
{
    bool const json = given.count("json") != 0;
    bool all_answered = true;
    std::string rows;
    for (std::string const& address : admins_of(given))
    {
        auto const body =
            fetch_body(address, get("/status"), timeout_of(given));
        all_answered = all_answered && body.ok();
        rows += json && !rows.empty() ? "," : "";
        rows += status_row(address, body, json);
    }
    json ? fmt::print("[{}]\n", rows) : fmt::print("{}", rows);
    return all_answered ? exit_success : exit_fault;
}

void describe_timeline(options::options_description& known)
{
    describe_admins(known);
    auto add = known.add_options();
    (void)add("request", options::value<std::string>(),
              "only the entries of this request id");
    (void)add("format", options::value<std::string>()->default_value("text"),
              "text, json, or trace (Chrome's trace event format)");
    (void)add("json", "the same as --format json");
}

struct timeline_format
{
    std::string_view name;
    std::string (*print)(std::vector<timeline_entry> const&);
};

constexpr timeline_format timeline_formats[] = {
    {"text", timeline_as_text},
    {"json", timeline_as_json},
    {"trace", timeline_as_trace},
};

timeline_format const* find_format(options::variables_map const& given)
{
    std::string const name =
        given.count("json") != 0 ? "json" : given["format"].as<std::string>();
    for (timeline_format const& row : timeline_formats)
    {
        if (row.name == name)
        {
            return &row;
        }
    }
    return nullptr;
}

absl::StatusOr<std::vector<timeline_entry>>
fetch_timeline(std::string const& address, duration wait)
{
    auto const body = fetch_body(address, get("/timeline"), wait);
    if (!body.ok())
    {
        return body.status();
    }
    return timeline_from_json(*body);
}

int show_timeline(options::variables_map const& given)
{
    timeline_format const* const format = find_format(given);
    if (format == nullptr)
    {
        fmt::print(stderr, "amarantharch timeline: --format is text, json or "
                           "trace\n");
        return exit_usage;
    }
    std::vector<std::vector<timeline_entry>> parts;
    bool all_answered = true;
    for (std::string const& address : admins_of(given))
    {
        auto part = fetch_timeline(address, timeout_of(given));
        if (!part.ok())
        {
            all_answered = false;
            fmt::print(stderr, "{}\n", std::string(part.status().message()));
            continue;
        }
        parts.push_back(std::move(*part));
    }
    auto merged = merge_timelines(parts);
    if (given.count("request") != 0)
    {
        std::string const wanted = given["request"].as<std::string>();
        std::erase_if(merged, [&](timeline_entry const& entry)
                      { return entry.request != wanted; });
    }
    fmt::print("{}", format->print(merged));
    return all_answered ? exit_success : exit_fault;
}

void describe_drain(options::options_description& known)
{
    describe_admins(known);
    auto add = known.add_options();
    (void)add("within-ms", options::value<std::int64_t>()->default_value(0),
              "when requests in progress are handed on or ended; 0: the VM's "
              "limits.drain_timeout");
    (void)add("wait-ms", options::value<std::int64_t>()->default_value(0),
              "wait so long for the VMs to be gone; 0: do not wait");
}

// Whether the VM at `address` is gone by `wait` from now.
bool wait_until_gone(std::string const& address, duration wait)
{
    auto const until = std::chrono::steady_clock::now() + wait;
    while (fetch(address, get("/health"), poll_interval * 10).ok())
    {
        if (std::chrono::steady_clock::now() >= until)
        {
            return false;
        }
        sleep_for(poll_interval);
    }
    return true;
}

int drain(options::variables_map const& given)
{
    call const order{"",
                     "POST",
                     fmt::format("/drain?timeout_ms={}",
                                 given["within-ms"].as<std::int64_t>()),
                     {},
                     ""};
    duration const wait =
        std::chrono::milliseconds(given["wait-ms"].as<std::int64_t>());
    bool all_done = true;
    for (std::string const& address : admins_of(given))
    {
        auto const body = fetch_body(address, order, timeout_of(given));
        bool const gone = body.ok() && (wait == duration::zero() ||
                                        wait_until_gone(address, wait));
        all_done = all_done && gone;
        fmt::print("{}: {}\n", address,
                   !body.ok() ? std::string(body.status().message())
                   : !gone    ? "still there"
                   : wait == duration::zero() ? "draining"
                                              : "gone");
    }
    return all_done ? exit_success : exit_fault;
}

} // namespace

std::vector<command_row> operator_commands()
{
    return {
        {"status", "",
         "Show the state of running VMs.\n"
         "One row per --admin. Exit status 1 if one did not answer.",
         describe_status, status},
        {"timeline", "",
         "Show what VMs did, in causal order.\n"
         "The time lines of all --admin VMs are merged. A VM that does not "
         "answer is named\non standard error, and the exit status is 1. Open "
         "--format trace in a trace viewer.",
         describe_timeline, show_timeline},
        {"drain", "",
         "Shut VMs down without cutting a request.\n"
         "Readiness goes first, then new requests are refused, then the "
         "process ends when\nthe last request has its answer or --within-ms "
         "is over.",
         describe_drain, drain},
    };
}

} // namespace amarantharch
