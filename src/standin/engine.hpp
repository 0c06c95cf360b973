// Stand-in for a model engine (docs/PROTOCOLS.md): batched decoding, a limited
// prefix cache, priorities, resume, cancel, orders and late reports.
//
// Time goes in steps. At the start of a step waiting streams join the batch,
// highest priority first, then first come; the step lasts base_step, plus
// stream_step per stream in the batch, plus prefill_token for each token of a
// joining prompt that is not cached. At its end each stream of the batch gets
// one token. Token i of a prompt is a hash of the prompt and i, whatever the
// engine and version, so anybody can check a stream.
//
// Faults: outage, request_dropped, crash, cut, slow (each step takes `ms`
// longer), bad_version (requests for that version fail, or, with `ms`, steps
// with one of them take that much longer). GET /runs gives {"total":N,
// "by_key":{K:N}} by Idempotency-Key, else by stream id.
#ifndef AMARANTHARCH_STANDIN_ENGINE_HPP
#define AMARANTHARCH_STANDIN_ENGINE_HPP

#include "standin/block_cache.hpp"
#include "standin/fault_table.hpp"
#include "standin/role.hpp"

#include <QJsonObject>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace amarantharch::standin
{

// The text of token `index` of the answer to `prompt`.
std::string token_of(std::string_view prompt, std::int64_t index);

struct engine_options
{
    std::vector<std::string> versions{"1"};
    std::string role = "mixed";
    bool checks_fence = true;
    std::size_t batch = 32;
    std::size_t waiting = 256; // more get 429
    duration base_step = std::chrono::milliseconds(5);
    duration stream_step = std::chrono::microseconds(100);
    duration prefill_token = std::chrono::microseconds(20);
    duration load_time = std::chrono::milliseconds(200); // of a version
    duration report_lag = std::chrono::milliseconds(500);
    block_cache_options cache{};
};

class engine : public role
{
public:
    explicit engine(engine_options options);

    void receive(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit) override;
    void abandon(time_point now, exchange_id exchange) override;
    void tick(time_point now, reply_sink const& emit) override;

private:
    struct stream_row
    {
        std::string id;
        std::string prompt;
        std::string version;
        std::int64_t next;  // index of the next token
        std::int64_t end;   // one past the last token
        std::int64_t first; // index of the first token of this answer
        int priority;
        bool streamed; // or one JSON body at the end
        std::size_t cached_tokens = 0;
        std::vector<std::string> tokens; // of an answer that is not streamed
    };

    struct load_report
    {
        time_point at;
        QJsonObject body;
    };

    void start(time_point now, exchange_id exchange, call const& request,
               reply_sink const& emit);
    void cancel(exchange_id exchange, std::string_view stream,
                reply_sink const& emit);
    void order(time_point now, exchange_id exchange, call const& request,
               reply_sink const& emit);
    void apply_order(time_point now, QJsonObject const& what);
    void move_block(time_point now, exchange_id exchange, call const& request,
                    std::string_view block, reply_sink const& emit);
    void report_load(time_point now, exchange_id exchange,
                     reply_sink const& emit) const;
    void report_events(time_point now, exchange_id exchange,
                       call const& request, reply_sink const& emit) const;
    void report_runs(exchange_id exchange, reply_sink const& emit) const;

    void keep_report(time_point now);
    void finish_loads(time_point now);
    void run_steps(time_point now, reply_sink const& emit);
    void begin_step(time_point now, reply_sink const& emit);
    // The time that the stream's prefill takes.
    duration join(time_point now, exchange_id exchange, reply_sink const& emit);
    void end_step(time_point now, reply_sink const& emit);
    // Gives the stream one token; true if it is finished.
    bool advance(time_point now, exchange_id exchange, stream_row& row,
                 reply_sink const& emit);
    duration extra_step_time(time_point now) const;
    std::vector<exchange_id>::iterator next_waiting();

    engine_options options_;
    fault_table faults_;
    block_cache cache_;
    std::uint64_t newest_fence_ = 0;
    std::map<std::string, time_point> loading_; // version: ready at
    // Each stream is in exactly one of running_ and waiting_.
    std::map<exchange_id, stream_row> streams_;
    std::vector<exchange_id> running_;
    std::vector<exchange_id> waiting_; // in order of arrival
    bool stepping_ = false;
    time_point step_ends_{};
    std::uint64_t tokens_given_ = 0;
    std::deque<load_report> reports_; // ascending by time
    std::uint64_t tokens_at_report_ = 0;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> runs_by_key_;
};

} // namespace amarantharch::standin

#endif
