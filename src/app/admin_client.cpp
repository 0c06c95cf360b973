#include "app/admin_client.hpp"

#include "net/http_client.hpp"

#include <QEventLoop>
#include <QTimer>

#include <fmt/format.h>

namespace amarantharch
{

namespace options = boost::program_options;

namespace
{

constexpr int first_failure_status = 300;

} // namespace

absl::StatusOr<fetched> fetch(std::string const& address, call const& request,
                              duration timeout)
{
    constexpr exchange_id only_exchange = 1;
    QEventLoop loop;
    fetched answer;
    absl::Status outcome = absl::DeadlineExceededError(
        fmt::format("{} did not answer in {} ms", address, to_millis(timeout)));
    http_client client(
        {[&](exchange_id, int status, header_list headers)
         {
             answer.status = status;
             answer.headers = std::move(headers);
         },
         [&](exchange_id, std::string const& bytes) { answer.body += bytes; },
         [&](exchange_id)
         {
             outcome = absl::OkStatus();
             loop.quit();
         },
         [&](exchange_id, verdict, std::string const& reason)
         {
             outcome =
                 absl::UnavailableError(fmt::format("{}: {}", address, reason));
             loop.quit();
         }});
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout), &loop,
        &QEventLoop::quit);
    // Sent from the loop, so that a failure at once finds it running.
    QTimer::singleShot(0, &loop,
                       [&] { client.send(only_exchange, address, request); });
    (void)loop.exec();
    if (!outcome.ok())
    {
        return outcome;
    }
    return answer;
}

absl::StatusOr<std::string> fetch_body(std::string const& address,
                                       call const& request, duration timeout)
{
    auto answer = fetch(address, request, timeout);
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->status >= first_failure_status)
    {
        return absl::FailedPreconditionError(fmt::format(
            "{} answered {}: {}", address, answer->status, answer->body));
    }
    return std::move(answer->body);
}

void sleep_for(duration time)
{
    QEventLoop loop;
    QTimer::singleShot(
        std::chrono::duration_cast<std::chrono::milliseconds>(time), &loop,
        &QEventLoop::quit);
    (void)loop.exec();
}

void describe_admins(options::options_description& known)
{
    auto add = known.add_options();
    (void)add(
        "admin",
        options::value<std::vector<std::string>>()->required()->composing(),
        "IP:PORT of a VM's admin port; may be repeated");
    (void)add("timeout-ms", options::value<std::int64_t>()->default_value(2000),
              "time for each VM to answer");
}

std::vector<std::string> admins_of(options::variables_map const& given)
{
    return given["admin"].as<std::vector<std::string>>();
}

duration timeout_of(options::variables_map const& given)
{
    return std::chrono::milliseconds(given["timeout-ms"].as<std::int64_t>());
}

} // namespace amarantharch
