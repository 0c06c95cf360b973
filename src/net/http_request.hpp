// One request, one whole answer: a convenience over http_client for the
// platform's and the engines' small JSON calls.
//
// Never repeats a request. Answers above `answer_bytes` fail, and those that
// are not whole some seconds after the time-out of their head, though bytes of
// them still come.
#ifndef AMARANTHARCH_NET_HTTP_REQUEST_HPP
#define AMARANTHARCH_NET_HTTP_REQUEST_HPP

#include "net/http_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace amarantharch
{

struct http_answer
{
    int status = 0;      // 0: no whole answer; see `run` and `reason`
    header_list headers; // of the head, if that came whole
    std::string body;    // empty unless all of it came
    verdict run = verdict::not_run;
    std::string reason;
};

// The Retry-After header of `answer`, or zero.
duration retry_after(http_answer const& answer);

class http_requester
{
public:
    using callback = std::function<void(http_answer)>;

    explicit http_requester(std::size_t answer_bytes = std::size_t{8} << 20);
    // Requests in progress are dropped without their callback.
    ~http_requester();

    // `done` is called exactly once, from the event loop. Sets
    // `timeouts.whole`.
    void send(std::string const& address, call const& request,
              http_timeouts const& timeouts, callback done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
