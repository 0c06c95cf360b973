// amarantharch-standin: small stand-ins for the platform and the upstreams.
//
// Each --serve ROLE[=PORT] adds a role on a port of its own. For each, one
// JSON line {"event":"listening","role":R,"port":"P"} goes to standard error.
// Without --serve it is one plain service on a free port.
#include "standin/roles.hpp"

#include <QCoreApplication>

#include <boost/program_options.hpp>

#include <fmt/format.h>

#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace amarantharch::standin;

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;

options::options_description describe(standin_options& chosen)
{
    options::options_description known(
        "amarantharch-standin [--serve ROLE[=PORT]]...\nRoles: " +
        role_names());
    auto add = known.add_options();
    (void)add("help", "print this text");
    (void)add("serve", options::value(&chosen.serve)->composing(),
              "a role to serve; may be repeated");
    (void)add("address",
              options::value(&chosen.address)->default_value("127.0.0.1"),
              "IP address to listen on");
    (void)add("service",
              options::value(&chosen.service)->default_value("plain"),
              "name of the plain service");
    (void)add("upstream-version",
              options::value(&chosen.version)->default_value("1"),
              "version of the plain service and the engine");
    (void)add("run-ms", options::value(&chosen.run_ms)->default_value(0),
              "time that each plain request takes (ms)");
    (void)add("appends-per-second",
              options::value(&chosen.appends_per_second)->default_value(500),
              "append rate of the log");
    (void)add("retention-ms",
              options::value(&chosen.retention_ms)->default_value(86'400'000),
              "retention of the log (ms)");
    (void)add("lag-ms", options::value(&chosen.lag_ms)->default_value(500),
              "lag of the VM list and of the engine's reports (ms)");
    (void)add("fence", options::value(&chosen.fence)->default_value(true),
              "whether the engine checks the fencing number of orders");
    (void)add("cache-blocks",
              options::value(&chosen.cache_blocks)->default_value(4096),
              "prefix cache of the engine (blocks)");
    (void)add("step-us", options::value(&chosen.step_us)->default_value(5000),
              "time of the engine's step, before what its streams add (us)");
    (void)add("lose-every",
              options::value(&chosen.lose_every)->default_value(0),
              "each n-th cache event of the engine is lost; 0: none");
    return known;
}

int run(QCoreApplication& application, standin_options const& chosen)
{
    auto const fronts = serve_roles(chosen);
    if (!fronts.ok())
    {
        fmt::print(stderr, "{}\n", fronts.status().message().data());
        return exit_fault;
    }
    return application.exec();
}

} // namespace

int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    standin_options chosen;
    options::options_description const known = describe(chosen);
    try
    {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.contains("help"))
        {
            std::cout << known;
            return 0;
        }
    }
    catch (options::error const& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        std::cerr << known;
        return exit_usage;
    }
    return run(application, chosen);
}
