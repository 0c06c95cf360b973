#include "net/http_request.hpp"

#include "net/http_parser.hpp"

#include <absl/strings/numbers.h>

#include <unordered_map>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::chrono::hours retry_after_max{24};
// From an answer's head to its end. 1 MB, the largest page of the store, takes
// 0.8 s on a link of 10 Mbit/s.
constexpr std::chrono::seconds body_timeout{3};

struct pending_row
{
    http_answer answer;
    http_requester::callback done;
};

} // namespace

duration retry_after(http_answer const& answer)
{
    for (header_field const& field : answer.headers)
    {
        std::int64_t seconds = 0;
        if (http::string_to_field(field.name) == http::field::retry_after &&
            absl::SimpleAtoi(field.value, &seconds) && seconds > 0)
        {
            return std::min<duration>(
                std::chrono::seconds(std::min<std::int64_t>(
                    seconds, std::chrono::seconds(retry_after_max).count())),
                retry_after_max);
        }
    }
    return duration::zero();
}

class http_requester::impl
{
public:
    explicit impl(std::size_t answer_bytes)
        : answer_bytes_(answer_bytes),
          client_({[this](exchange_id e, int status, header_list headers)
                   { head(e, status, std::move(headers)); },
                   [this](exchange_id e, std::string const& bytes)
                   { piece(e, bytes); },
                   [this](exchange_id e) { finish(e, verdict::ran, ""); },
                   [this](exchange_id e, verdict run, std::string const& reason)
                   {
                       http_answer& answer = pending_.at(e).answer;
                       answer.status = 0;
                       answer.body.clear();
                       finish(e, run, reason);
                   }})
    {
    }

    void send(std::string const& address, call const& request,
              http_timeouts const& timeouts, callback done)
    {
        exchange_id const exchange = next_++;
        pending_[exchange].done = std::move(done);
        http_timeouts all = timeouts;
        all.whole = timeouts.head + body_timeout;
        client_.send(exchange, address, request, all);
    }

private:
    void head(exchange_id exchange, int status, header_list headers)
    {
        http_answer& answer = pending_.at(exchange).answer;
        answer.status = status;
        answer.headers = std::move(headers);
    }

    void piece(exchange_id exchange, std::string const& bytes)
    {
        http_answer& answer = pending_.at(exchange).answer;
        answer.body += bytes;
        if (answer.body.size() > answer_bytes_)
        {
            client_.cancel(exchange);
            answer.status = 0;
            answer.body.clear();
            finish(exchange, verdict::may_have_run, "answer_too_large");
        }
    }

    void finish(exchange_id exchange, verdict run, std::string const& reason)
    {
        auto node = pending_.extract(exchange);
        node.mapped().answer.run = run;
        node.mapped().answer.reason = reason;
        node.mapped().done(std::move(node.mapped().answer));
    }

    std::size_t answer_bytes_;
    exchange_id next_ = 1;
    std::unordered_map<exchange_id, pending_row> pending_;
    http_client client_;
};

http_requester::http_requester(std::size_t answer_bytes)
    : impl_(std::make_unique<impl>(answer_bytes))
{
}

http_requester::~http_requester() = default;

void http_requester::send(std::string const& address, call const& request,
                          http_timeouts const& timeouts, callback done)
{
    impl_->send(address, request, timeouts, std::move(done));
}

} // namespace amarantharch
