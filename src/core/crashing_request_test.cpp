// A request that crashes each upstream that runs it, and comes again and again.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// After its third crash and this time, a request may reach upstreams three
// times at most (BUDGET and ContactMs on the users' pages).
constexpr seconds contact{3};
constexpr std::size_t allowed_arrivals = 3;

call lookup(std::string const& path)
{
    call request;
    request.method = "GET";
    request.target = path;
    return request;
}

bool is_fatal(call const& request)
{
    return request.target == "/fatal";
}

std::size_t arrivals_after(std::vector<time_point> const& arrivals,
                           time_point since)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        arrivals, [&](time_point at) { return at > since; }));
}

// Four lookups a second at each VM, and the fatal one twice a second at any.
void send_lookups(test::crash_world& world, seconds span)
{
    for (auto round = 0; round < span / milliseconds(250); ++round)
    {
        for (std::size_t i = 0; i < 4; ++i)
        {
            world.send(i, "sound", lookup("/sound"));
        }
        if (round % 2 == 0)
        {
            world.send(world.pick(4), "fatal", lookup("/fatal"));
        }
        world.run(milliseconds(250));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_crashes_upstreams)

BOOST_AUTO_TEST_CASE(is_not_sent_any_more_though_it_was_the_only_one_there)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        test::crash_world world({.seed = seed}, is_fatal);
        send_lookups(world, seconds(30));
        BOOST_REQUIRE(world.crashes().size() >= 3u);
        BOOST_TEST(arrivals_after(world.of("fatal").arrivals,
                                  world.crashes()[2] + contact) <=
                       allowed_arrivals,
                   "seed " << seed);
        BOOST_TEST(world.of("sound").answered >=
                       world.of("sound").sent * 9 / 10,
                   "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
