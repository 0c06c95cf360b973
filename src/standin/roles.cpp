#include "standin/roles.hpp"

#include "standin/engine.hpp"
#include "standin/log_service.hpp"
#include "standin/plain_service.hpp"
#include "standin/platform_service.hpp"

#include <absl/strings/numbers.h>

#include <fmt/format.h>

namespace amarantharch::standin
{

namespace
{

struct role_row
{
    std::string_view name;
    std::unique_ptr<role> (*make)(standin_options const&);
};

std::unique_ptr<role> make_log(standin_options const& options)
{
    log_service_options chosen;
    chosen.appends_per_second = options.appends_per_second;
    chosen.retention = std::chrono::milliseconds(options.retention_ms);
    return std::make_unique<log_service>(chosen);
}

std::unique_ptr<role> make_plain(standin_options const& options)
{
    return std::make_unique<plain_service>(
        plain_service_options{options.service, options.version,
                              std::chrono::milliseconds(options.run_ms)});
}

std::unique_ptr<role> make_engine(standin_options const& options)
{
    engine_options chosen;
    chosen.versions = {options.version};
    chosen.checks_fence = options.fence;
    chosen.report_lag = std::chrono::milliseconds(options.lag_ms);
    chosen.base_step = std::chrono::microseconds(options.step_us);
    chosen.cache.blocks = options.cache_blocks;
    chosen.cache.lag = chosen.report_lag;
    chosen.cache.lose_every = options.lose_every;
    return std::make_unique<engine>(chosen);
}

std::unique_ptr<role> make_platform(standin_options const& options)
{
    platform_service_options chosen;
    chosen.list_lag = std::chrono::milliseconds(options.lag_ms);
    return std::make_unique<platform_service>(chosen);
}

constexpr role_row role_table[] = {
    {"engine", make_engine},
    {"log", make_log},
    {"plain", make_plain},
    {"platform", make_platform},
};

role_row const* find_role(std::string_view name)
{
    for (role_row const& row : role_table)
    {
        if (row.name == name)
        {
            return &row;
        }
    }
    return nullptr;
}

absl::StatusOr<std::unique_ptr<http_front>>
serve_role(standin_options const& options, std::string const& text)
{
    std::size_t const equals = text.find('=');
    std::string const name = text.substr(0, equals);
    role_row const* const row = find_role(name);
    unsigned port = 0;
    bool const port_read = equals == std::string::npos ||
                           (absl::SimpleAtoi(text.substr(equals + 1), &port) &&
                            port <= UINT16_MAX);
    if (row == nullptr || !port_read)
    {
        return absl::InvalidArgumentError(
            fmt::format("--serve {}: expected ROLE or ROLE=PORT, with ROLE one "
                        "of {}",
                        text, role_names()));
    }
    auto front = std::make_unique<http_front>(row->make(options));
    absl::Status const bound =
        front->listen(QHostAddress(QString::fromStdString(options.address)),
                      static_cast<std::uint16_t>(port));
    if (!bound.ok())
    {
        return bound;
    }
    fmt::print(stderr,
               "{{\"event\":\"listening\",\"role\":\"{}\",\"port\":\"{}\"}}\n",
               name, front->port());
    return front;
}

} // namespace

std::string role_names()
{
    std::string names;
    for (role_row const& row : role_table)
    {
        names += fmt::format("{}{}", names.empty() ? "" : ", ", row.name);
    }
    return names;
}

absl::StatusOr<std::vector<std::unique_ptr<http_front>>>
serve_roles(standin_options const& options)
{
    std::vector<std::string> wanted = options.serve;
    if (wanted.empty())
    {
        wanted.emplace_back("plain");
    }
    std::vector<std::unique_ptr<http_front>> fronts;
    for (std::string const& text : wanted)
    {
        auto front = serve_role(options, text);
        if (!front.ok())
        {
            return front.status();
        }
        fronts.push_back(std::move(*front));
    }
    return fronts;
}

} // namespace amarantharch::standin
