// The model engines' control calls over HTTP: load reports, cache events,
// orders, cancelling of streams, export and import of KV cache blocks.
//
// Completions themselves go through http_client. Nothing is repeated here.
#ifndef AMARANTHARCH_NET_ENGINE_CLIENT_HPP
#define AMARANTHARCH_NET_ENGINE_CLIENT_HPP

#include "core/name_table.hpp"
#include "core/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amarantharch
{

struct engine_load
{
    time_point time; // when the engine measured it
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double tokens_per_second = 0;
    std::uint64_t cache_blocks_used = 0;
    std::uint64_t cache_blocks = 0;
    std::vector<std::string> versions;
    std::string role;
};

enum class engine_cache_event_kind : std::uint8_t
{
    stored,
    evicted,
};

struct engine_cache_event
{
    std::uint64_t sequence = 0; // gaps mean lost events
    engine_cache_event_kind kind = engine_cache_event_kind::stored;
    std::string block;
};

struct engine_cache_events
{
    std::vector<engine_cache_event> events;
    std::uint64_t next = 0; // where the next read starts
};

enum class engine_order_kind : std::uint8_t
{
    load,
    unload,
    role,
};

struct engine_order
{
    std::uint64_t fence = 0;
    engine_order_kind kind = engine_order_kind::load;
    std::string version; // for load and unload; else empty
    std::string adapter; // for load and unload; else empty
    std::string role;    // for role; else empty
};

class engine_client
{
public:
    template <typename Result>
    using callback = std::function<void(absl::StatusOr<Result>)>;
    using status_callback = std::function<void(absl::Status)>;

    // `timeout` bounds each call.
    explicit engine_client(duration timeout);
    // Calls that are in progress are dropped without their callback.
    ~engine_client();

    // `address`: ip:port of the engine. Each callback is called exactly once,
    // from the event loop. Errors: Unavailable (not sent), Unknown (sent, no
    // whole answer), FailedPrecondition (an order's fence is old), NotFound,
    // DataLoss (malformed answer), Internal (any other status).
    void load(std::string const& address, callback<engine_load> done);
    void events(std::string const& address, std::uint64_t from,
                callback<engine_cache_events> done);
    void order(std::string const& address, engine_order const& order,
               status_callback done);
    void cancel_stream(std::string const& address, std::string const& stream,
                       status_callback done);
    void export_block(std::string const& address, std::string const& block,
                      callback<std::string> done);
    void import_block(std::string const& address, std::string const& block,
                      std::string bytes, status_callback done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
