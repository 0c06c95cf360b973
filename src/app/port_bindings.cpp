#include "app/port_bindings.hpp"

#include "app/log.hpp"

#include <algorithm>
#include <utility>

namespace amarantharch
{

port_bindings& port_bindings::add(std::string name, std::string address,
                                  std::function<absl::Status()> bind)
{
    ports_.push_back({std::move(name), std::move(address), std::move(bind)});
    return *this;
}

absl::Status port_bindings::bind()
{
    absl::Status first;
    for (row& port : ports_)
    {
        if (!port.bound)
        {
            first.Update(bind_one(port));
        }
    }
    return first;
}

absl::Status port_bindings::bind_one(row& port)
{
    absl::Status status = port.bind();
    port.bound = status.ok();
    if (!port.bound && !std::exchange(port.lost, true))
    {
        log(log_level::warning, "port_lost",
            {{"name", port.name},
             {"address", port.address},
             {"reason", std::string(status.message())}});
    }
    if (port.bound && port.lost)
    {
        log(log_level::info, "port_regained",
            {{"name", port.name}, {"address", port.address}});
    }
    return status;
}

bool port_bindings::complete() const
{
    return std::all_of(ports_.begin(), ports_.end(),
                       [](row const& port) { return port.bound; });
}

} // namespace amarantharch
