// Stand-in for the platform's append-only log service (docs/PROTOCOLS.md).
//
// Streams are sequences of records in memory. Reads that find nothing wait;
// each append and each tick serves the waiting reads that can be answered.
// Faults: outage, slow (answers late, appends take effect at once),
// answer_lost, request_dropped. GET /streams lists the streams as JSON.
#ifndef AMARANTHARCH_STANDIN_LOG_SERVICE_HPP
#define AMARANTHARCH_STANDIN_LOG_SERVICE_HPP

#include "standin/fault_table.hpp"
#include "standin/role.hpp"

#include <msgpack.hpp>

#include <deque>
#include <map>
#include <vector>

namespace amarantharch::standin
{

struct log_service_options
{
    double appends_per_second = 500; // over all streams; more get 429
    duration retention = std::chrono::hours(24);
    std::size_t payload_bytes = std::size_t{1} << 20;
    std::size_t read_bytes = std::size_t{1} << 20; // cap on max_bytes
};

struct stored_record
{
    std::uint64_t offset = 0;
    std::int64_t time_us = 0;
    std::string payload;
    MSGPACK_DEFINE(offset, time_us, payload)
};

// The body of the answer to a read.
struct read_answer
{
    std::uint64_t first_retained = 1;
    std::uint64_t end = 1; // one past the newest offset
    std::vector<stored_record> records;
    MSGPACK_DEFINE(first_retained, end, records)
};

class log_service : public role
{
public:
    explicit log_service(log_service_options options);

    void receive(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit) override;
    void abandon(time_point now, exchange_id exchange) override;
    void tick(time_point now, reply_sink const& emit) override;

private:
    struct stream_row
    {
        std::uint64_t first_retained = 1;
        // records[i].offset == first_retained + i
        std::deque<stored_record> records;

        std::uint64_t end() const
        {
            return first_retained + records.size();
        }
    };

    struct waiting_read
    {
        std::string stream;
        std::uint64_t from;
        std::size_t max_bytes;
        time_point until;
    };

    struct late_reply
    {
        time_point at;
        whole_reply answer;
    };

    void append(time_point now, exchange_id exchange, call const& request,
                std::string const& stream, reply_sink const& emit);
    void read(time_point now, exchange_id exchange, call const& request,
              std::string const& stream, reply_sink const& emit);
    void list_streams(exchange_id exchange, reply_sink const& emit);
    void answer_read(exchange_id exchange, waiting_read const& wanted,
                     reply_sink const& emit);
    void serve_waiting(time_point now, reply_sink const& emit);
    void expire(time_point now);
    bool admit_append(time_point now);
    void give(time_point now, whole_reply answer, reply_sink const& emit);

    log_service_options options_;
    fault_table faults_;
    std::map<std::string, stream_row> streams_;
    std::map<exchange_id, waiting_read> waiting_;
    std::vector<late_reply> late_;
    double append_tokens_;
    time_point refilled_{};
};

} // namespace amarantharch::standin

#endif
