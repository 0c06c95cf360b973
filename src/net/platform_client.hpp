// The platform's VM list, reclaim notices and cloud orders over HTTP.
//
// Nothing is repeated here: an order whose answer is lost is settled by
// ordering again with the same order id, or by reading the machines.
#ifndef AMARANTHARCH_NET_PLATFORM_CLIENT_HPP
#define AMARANTHARCH_NET_PLATFORM_CLIENT_HPP

#include "core/name_table.hpp"
#include "core/time.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

enum class vm_kind : std::uint8_t
{
    entry,
    upstream,
};

enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

struct listed_vm
{
    std::string vm;
    vm_kind kind = vm_kind::upstream;
    std::string address; // ip:port
    std::string failure_domain;
    vm_state state = vm_state::live;
    std::string machine_class;
    bool reclaimable = true;
    double price = 0;
};

struct machine_order
{
    std::string order; // id; the same id never starts a second machine
    std::uint64_t fence = 0;
    std::string machine_class;
    std::string failure_domain;
    bool reclaimable = true;
};

struct machine_entry
{
    std::string vm;
    std::string order;
    std::string machine_class;
    std::string failure_domain;
    bool reclaimable = true;
    std::string state;
};

class platform_client
{
public:
    template <typename Result>
    using callback = std::function<void(absl::StatusOr<Result>)>;

    // `address`: ip:port of the platform's API; `timeout` bounds each call.
    platform_client(std::string address, duration timeout);
    // Calls that are in progress are dropped without their callback.
    ~platform_client();

    // Each callback is called exactly once, from the event loop. Errors:
    // Unavailable (not sent), Unknown (sent, no whole answer),
    // ResourceExhausted (refused, such as no_capacity), DataLoss (malformed),
    // Aborted (409 to other calls), NotFound, Internal (any other status).
    void list_vms(callback<std::vector<listed_vm>> done);
    // When the platform will reclaim `vm`; nothing if it will not.
    void notice(std::string const& vm,
                callback<std::optional<time_point>> done);
    // Gives the id of the new VM.
    void start_machine(machine_order const& order, callback<std::string> done);
    void list_machines(callback<std::vector<machine_entry>> done);
    void stop_machine(std::string const& vm, std::uint64_t fence,
                      std::function<void(absl::Status)> done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
