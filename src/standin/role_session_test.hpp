// A session with one role at a set time, for tests: asks, and keeps replies.
#ifndef AMARANTHARCH_STANDIN_ROLE_SESSION_TEST_HPP
#define AMARANTHARCH_STANDIN_ROLE_SESSION_TEST_HPP

#include "standin/role.hpp"

#include <map>
#include <memory>
#include <string>

namespace amarantharch::standin
{

class role_session
{
public:
    explicit role_session(std::unique_ptr<role> subject)
        : subject_(std::move(subject))
    {
    }

    // Sends a request now; its replies are found by the exchange returned.
    exchange_id ask(std::string method, std::string target,
                    std::string body = "", header_list headers = {})
    {
        exchange_id const exchange = ++last_exchange_;
        subject_->receive(now_, exchange,
                          call{"", std::move(method), std::move(target),
                               std::move(headers), std::move(body)},
                          sink());
        return exchange;
    }

    void set_fault(std::string body)
    {
        (void)ask("POST", "/fault", std::move(body));
    }

    void leave(exchange_id exchange)
    {
        subject_->abandon(now_, exchange);
    }

    void pass(duration time)
    {
        now_ += time;
        subject_->tick(now_, sink());
    }

    bool answered(exchange_id exchange) const
    {
        return whole_.count(exchange) != 0;
    }

    whole_reply const& answer(exchange_id exchange) const
    {
        return whole_.at(exchange);
    }

    // What has arrived of a streamed answer.
    std::string streamed(exchange_id exchange) const
    {
        auto const found = streamed_.find(exchange);
        return found == streamed_.end() ? "" : found->second;
    }

    bool is_ended(exchange_id exchange) const
    {
        return ended_.count(exchange) != 0;
    }

    bool is_cut(exchange_id exchange) const
    {
        return cut_.count(exchange) != 0;
    }

    bool crashed() const
    {
        return crashed_;
    }

    time_point now() const
    {
        return now_;
    }

private:
    reply_sink sink()
    {
        return [this](reply const& what)
        {
            std::visit([this](auto const& v) { keep(v); }, what);
        };
    }

    void keep(whole_reply const& what)
    {
        whole_.emplace(what.exchange, what);
    }
    void keep(reply_head const&) {}
    void keep(reply_piece const& what)
    {
        streamed_[what.exchange] += what.bytes;
    }
    void keep(reply_end const& what)
    {
        ended_[what.exchange] = true;
    }
    void keep(reply_cut const& what)
    {
        cut_[what.exchange] = true;
    }
    void keep(reply_crash const&)
    {
        crashed_ = true;
    }

    std::unique_ptr<role> subject_;
    time_point now_ = from_micros(1'000'000'000);
    exchange_id last_exchange_ = 0;
    std::map<exchange_id, whole_reply> whole_;
    std::map<exchange_id, std::string> streamed_;
    std::map<exchange_id, bool> ended_;
    std::map<exchange_id, bool> cut_;
    bool crashed_ = false;
};

} // namespace amarantharch::standin

#endif
