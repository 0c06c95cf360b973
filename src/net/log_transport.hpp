// The platform's log service over HTTP: appends and long-poll reads.
//
// Neither call is repeated here. An append whose answer is lost is reported
// as unknown: its writer learns its fate by reading the stream.
#ifndef AMARANTHARCH_NET_LOG_TRANSPORT_HPP
#define AMARANTHARCH_NET_LOG_TRANSPORT_HPP

#include "core/log.hpp"
#include "net/http_client.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amarantharch
{

enum class append_outcome : std::uint8_t
{
    stored,   // at `offset`
    not_sent, // no byte of it left this VM
    unknown,  // it may have been stored
    refused,  // not stored; come back after `retry_after`
};

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    log_offset offset = 0;
    duration retry_after = duration::zero();
    std::string reason; // stable word; empty when stored
};

struct raw_log_record
{
    log_offset offset = 0;
    time_point time;
    std::string payload;
};

struct log_read_result
{
    log_offset first_retained = 0;
    log_offset end = 0; // one past the newest offset
    std::vector<raw_log_record> records;
};

struct log_read_request
{
    log_stream stream = log_stream::configuration;
    log_offset from = 1;
    std::size_t max_bytes = std::size_t{1} << 20;
    duration wait = std::chrono::seconds(5);
};

class log_transport
{
public:
    using append_callback = std::function<void(append_result)>;
    using read_callback = std::function<void(absl::StatusOr<log_read_result>)>;

    // `address`: ip:port of the log service. `timeout` bounds an append, and
    // a read beyond its wait.
    log_transport(std::string address, duration timeout);
    // Calls that are in progress are dropped without their callback.
    ~log_transport();

    // Each callback is called exactly once, from the event loop.
    void append(log_stream stream, std::string payload, append_callback done);
    void read(log_read_request const& request, read_callback done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

// Decodes the body of a read's answer; DataLoss if it is malformed.
absl::StatusOr<log_read_result> decode_log_read(std::string_view body);

} // namespace amarantharch

#endif
