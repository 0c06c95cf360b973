#include "app/admin_client.hpp"

#include "net/http_client.hpp"

#include <QEventLoop>
#include <QTimer>

#include <fmt/format.h>

namespace amarantharch
{

absl::StatusOr<fetched> fetch(std::string const& address, call const& request,
                              duration timeout)
{
    constexpr exchange_id only_exchange = 1;
    QEventLoop loop;
    fetched answer;
    absl::Status outcome = absl::DeadlineExceededError(
        fmt::format("{} did not answer in {} ms", address, to_millis(timeout)));
    http_client client(
        {[&](exchange_id, int status, header_list const&)
         { answer.status = status; },
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

} // namespace amarantharch
