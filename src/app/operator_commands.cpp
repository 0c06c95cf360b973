// The commands that speak to running VMs through their admin ports.
#include "app/admin_client.hpp"
#include "app/commands.hpp"
#include "app/log.hpp"
#include "app/timeline.hpp"

#include <QEventLoop>
#include <QTimer>

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

constexpr duration poll_interval = std::chrono::milliseconds(100);

void add_admins(options::options_description& known)
{
    auto add = known.add_options();
    (void)add(
        "admin",
        options::value<std::vector<std::string>>()->required()->composing(),
        "IP:PORT of a VM's admin port; may be repeated");
    (void)add("timeout-ms", options::value<std::int64_t>()->default_value(2000),
              "time for each VM to answer");
}

std::vector<std::string> admins(options::variables_map const& given)
{
    return given["admin"].as<std::vector<std::string>>();
}

duration timeout(options::variables_map const& given)
{
    return std::chrono::milliseconds(given["timeout-ms"].as<std::int64_t>());
}

call get(std::string target)
{
    return {"", "GET", std::move(target), {}, ""};
}

// The answer's body, or why there is none.
absl::StatusOr<std::string> body_of(std::string const& address,
                                    call const& request, duration wait)
{
    auto const answer = fetch(address, request, wait);
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->status >= 300)
    {
        return absl::FailedPreconditionError(fmt::format(
            "{} answered {}: {}", address, answer->status, answer->body));
    }
    return answer->body;
}

void describe_status(options::options_description& known)
{
    add_admins(known);
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
    for (std::string const& address : admins(given))
    {
        auto const body = body_of(address, get("/status"), timeout(given));
        all_answered = all_answered && body.ok();
        rows += json && !rows.empty() ? "," : "";
        rows += status_row(address, body, json);
    }
    json ? fmt::print("[{}]\n", rows) : fmt::print("{}", rows);
    return all_answered ? exit_success : exit_fault;
}

void describe_timeline(options::options_description& known)
{
    add_admins(known);
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
    auto const body = body_of(address, get("/timeline"), wait);
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
    for (std::string const& address : admins(given))
    {
        auto part = fetch_timeline(address, timeout(given));
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
    add_admins(known);
    auto add = known.add_options();
    (void)add("within-ms", options::value<std::int64_t>()->default_value(0),
              "when requests in progress are handed on or ended; 0: the VM's "
              "limits.drain_timeout");
    (void)add("wait-ms", options::value<std::int64_t>()->default_value(0),
              "wait so long for the VMs to be gone; 0: do not wait");
}

void sleep_for(duration time)
{
    QEventLoop loop;
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(time), &loop,
        &QEventLoop::quit);
    (void)loop.exec();
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
    for (std::string const& address : admins(given))
    {
        auto const body = body_of(address, order, timeout(given));
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

void describe_publish(options::options_description& known)
{
    add_admins(known);
    auto add = known.add_options();
    (void)add("base", options::value<std::uint64_t>(),
              "the revision that the change was written against");
    (void)add("id", options::value<std::string>(),
              "name of this publication; repeat it to ask again safely");
    (void)add("credential", options::value<std::string>()->default_value(""),
              "the publisher's credential");
    (void)add("dry-run", "only show what the change would touch");
}

// The change goes to a VM, which checks it, appends it to the log and tells
// what became of it: it is the one that reads the log.
int publish(options::variables_map const& given)
{
    auto const files = operands_of(given);
    if (files.size() != 1)
    {
        fmt::print(stderr, "amarantharch publish: expected one FILE\n");
        return exit_usage;
    }
    std::ifstream input(files[0], std::ios::binary);
    if (!input)
    {
        fmt::print(stderr, "{}: cannot be read\n", files[0]);
        return exit_fault;
    }
    call request{"", "POST", "/publish", {}, ""};
    request.body.assign(std::istreambuf_iterator<char>(input), {});
    std::string query = given.count("dry-run") != 0 ? "dry_run=1" : "dry_run=0";
    if (given.count("base") != 0)
    {
        query += fmt::format("&base={}", given["base"].as<std::uint64_t>());
    }
    if (given.count("id") != 0)
    {
        query += "&id=" + given["id"].as<std::string>();
    }
    request.target += "?" + query;
    request.headers.push_back(
        {"Authorization", given["credential"].as<std::string>()});
    auto const body = body_of(admins(given).front(), request, timeout(given));
    fmt::print("{}\n",
               body.ok() ? *body : std::string(body.status().message()));
    return body.ok() ? exit_success : exit_fault;
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
        {"publish", "FILE",
         "Publish a change of the configuration.\n"
         "The VM checks the change in FILE as every reader will and appends it "
         "to the log.\nThe answer says what became of it; repeating with the "
         "same --id is safe.",
         describe_publish, publish},
    };
}

} // namespace amarantharch
