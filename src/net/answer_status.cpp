#include "net/answer_status.hpp"

#include <QUrl>

#include <fmt/format.h>

namespace amarantharch
{

namespace
{

struct status_row
{
    int status;
    absl::StatusCode code;
};

constexpr status_row status_rows[] = {
    {404, absl::StatusCode::kNotFound},
    {409, absl::StatusCode::kAborted},
    {429, absl::StatusCode::kResourceExhausted},
    {503, absl::StatusCode::kUnavailable},
};

constexpr int first_success = 200;
constexpr int after_success = 300;

} // namespace

absl::Status answer_status(http_answer const& answer)
{
    if (answer.status == 0)
    {
        return {answer.run == verdict::not_run ? absl::StatusCode::kUnavailable
                                               : absl::StatusCode::kUnknown,
                answer.reason};
    }
    if (answer.status >= first_success && answer.status < after_success)
    {
        return absl::OkStatus();
    }
    for (status_row const& row : status_rows)
    {
        if (row.status == answer.status)
        {
            return {row.code, answer.body};
        }
    }
    return absl::InternalError(fmt::format("status_{}", answer.status));
}

std::string percent_encode(std::string_view text)
{
    return QUrl::toPercentEncoding(
               QString::fromUtf8(text.data(),
                                 static_cast<qsizetype>(text.size())))
        .toStdString();
}

} // namespace amarantharch
