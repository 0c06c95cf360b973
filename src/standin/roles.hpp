// The roles by name, and their start on ports.
#ifndef AMARANTHARCH_STANDIN_ROLES_HPP
#define AMARANTHARCH_STANDIN_ROLES_HPP

#include "standin/http_front.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace amarantharch::standin
{

// What the command line sets; the units are in the names.
struct standin_options
{
    std::vector<std::string> serve; // ROLE or ROLE=PORT
    std::string address = "127.0.0.1";
    std::string service = "plain";
    std::string version = "1";
    std::int64_t run_ms = 0;
    double appends_per_second = 500;
    std::int64_t retention_ms = 86'400'000;
    std::int64_t lag_ms = 500;
    bool fence = true;
    std::uint64_t cache_blocks = 4096;
    std::int64_t step_us = 5000;
    std::uint64_t lose_every = 0;
};

// The names of all roles, separated by commas.
std::string role_names();

// Starts every role of `options.serve`, or one plain service if there is
// none, and prints a line for each. Fails on an unknown role or a port that
// cannot be bound.
absl::StatusOr<std::vector<std::unique_ptr<http_front>>>
serve_roles(standin_options const& options);

} // namespace amarantharch::standin

#endif
