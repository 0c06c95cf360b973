// Stand-in for a plain service: runs any request and counts the runs.
//
// The answer is {"run":N,"service":NAME,"version":V,"path":P,"echo":BODY},
// N being the count of runs of the request's key: its Idempotency-Key header,
// or its method, path and body where it has none. GET /runs returns the
// counts, by which tests judge whether a request ran at most once:
// {"total":T,"by_key":{K:N},"by_body":{HASH:N}}. X-Run-Ms: N in a request
// makes its run take that long; the run counts from its start. Faults:
// outage, request_dropped, answer_lost, slow, crash, bad_version.
// A request with the header X-Stream-Pieces: N is answered in N pieces, with
// X-Run-Ms between one piece and the next.
#ifndef AMARANTHARCH_STANDIN_PLAIN_SERVICE_HPP
#define AMARANTHARCH_STANDIN_PLAIN_SERVICE_HPP

#include "standin/fault_table.hpp"
#include "standin/role.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch::standin
{

struct plain_service_options
{
    std::string service = "plain";
    std::string version = "1";
    duration run_time{}; // of each request, besides X-Run-Ms
};

class plain_service : public role
{
public:
    explicit plain_service(plain_service_options options);

    void receive(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit) override;
    void abandon(time_point now, exchange_id exchange) override;
    void tick(time_point now, reply_sink const& emit) override;

private:
    struct running_row
    {
        time_point next; // when the next piece or the whole answer is due
        duration step;
        std::string body;
        std::int64_t pieces;   // 0: a whole answer
        std::int64_t sent = 0; // pieces so far
    };

    void run(time_point now, exchange_id exchange, call const& request,
             reply_sink const& emit);
    // Does what is due; true if the request is finished.
    bool advance(time_point now, exchange_id exchange, running_row& row,
                 reply_sink const& emit);
    std::string runs() const;

    plain_service_options options_;
    fault_table faults_;
    std::uint64_t total_ = 0;
    std::map<std::string, std::uint64_t> by_key_;
    std::map<std::string, std::uint64_t> by_body_;
    std::map<exchange_id, running_row> running_;
};

} // namespace amarantharch::standin

#endif
