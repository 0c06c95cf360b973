// Upstreams that crash if all VMs together have them turn away too many
// requests in a second, before a whole fleet and more load than they bear.
#include "core/crash_fixture_test.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The bound on the users' pages (LIMIT): while the upstreams of a service say
// that they are brittle, they crash two times and a tenth of their number at
// most. `contact` after they began to, they may have less room.
constexpr seconds contact{3};
constexpr std::size_t allowed_crashes = 2;

std::string const brittle_header = "Brittle";

// Brittleness and refusals in headers of their own; everything else as in the
// native dialect.
class brittle_dialect final : public dialect
{
public:
    std::string read_call(call& request) const override
    {
        return native_dialect().read_call(request);
    }

    call write_attempt(call const& request,
                       attempt_metadata const& metadata) const override
    {
        return native_dialect().write_attempt(request, metadata);
    }

    bool promises_not_run(int status) const override
    {
        return native_dialect().promises_not_run(status);
    }

    answer_metadata read_answer(request_id const& request, int status,
                                header_list const& headers) const override
    {
        answer_metadata metadata =
            native_dialect().read_answer(request, status, headers);
        if (!header_value(headers, "Not-Run").empty())
        {
            metadata.stated_verdict = verdict::not_run;
        }
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
        std::string const load(header_value(headers, "Load"));
        if (std::sscanf(load.c_str(), "%u,%u,%u", &running, &waiting, &slots) ==
            3)
        {
            metadata.load = answer_load{running, waiting, slots};
        }
        std::string const value(header_value(headers, brittle_header));
        if (!value.empty())
        {
            metadata.notice.refusal_limit =
                static_cast<std::uint32_t>(std::atoi(value.c_str()));
        }
        metadata.tells_of_limits = true;
        return metadata;
    }
};

brittle_dialect const spoken;

struct brittle_world
{
    explicit brittle_world(test::crash_world_options options)
        : vms(options.vms), world(with_headers(std::move(options)),
                                  [](call const&) { return false; })
    {
    }

    test::crash_world_options with_headers(test::crash_world_options options)
    {
        options.api_dialect = &spoken;
        options.answer_headers = [this](std::string const&)
        {
            return refusals == 0 ? header_list()
                                 : header_list{{brittle_header,
                                                fmt::format("{}", refusals)}};
        };
        return options;
    }

    void name(std::size_t count, std::size_t room)
    {
        refusals = count;
        world.set_brittle(count, room);
    }

    // Callers come back as they are told, once.
    void send_for(duration span, int per_second)
    {
        constexpr milliseconds step{10};
        double due = 0;
        for (auto round = 0; round < span / step; ++round)
        {
            for (due += per_second * 0.01; due >= 1; --due)
            {
                send();
            }
            auto const& all = world.refusals_of("sound");
            for (; seen < all.size(); ++seen)
            {
                returns.emplace(world.now() + all[seen].retry_after, 0);
            }
            while (!returns.empty() && returns.begin()->first <= world.now())
            {
                returns.erase(returns.begin());
                if (world.pick(2) == 0) // the others have tried twice
                {
                    send();
                }
            }
            world.run(step);
        }
    }

    void send()
    {
        call request;
        request.method = "GET";
        request.target = fmt::format("/{}", next_target++ % 50);
        request.metadata.time_limit = seconds(2);
        world.send(world.pick(vms), "sound", std::move(request));
    }

    std::size_t vms;
    std::size_t refusals = 0;
    std::uint64_t next_target = 0;
    std::size_t seen = 0;
    std::multimap<time_point, int> returns;
    test::crash_world world;
};

test::crash_world_options four_desks(std::uint64_t seed, std::size_t vms)
{
    test::crash_world_options options;
    options.vms = vms;
    options.upstreams = 4;
    options.slots = 6;
    options.first_byte = milliseconds(250);
    options.room = 12;
    options.seed = seed;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstreams_that_are_brittle)

BOOST_AUTO_TEST_CASE(are_not_crashed_by_the_refusals_of_the_whole_fleet)
{
    for (std::size_t const vms : {9u, 40u})
    {
        for (std::uint64_t seed = 1; seed <= 4; ++seed)
        {
            brittle_world desks(four_desks(seed, vms));
            desks.send_for(seconds(3), 60);
            desks.name(5, 12);
            desks.send_for(contact, 60);
            desks.name(5, 8);
            desks.send_for(seconds(8), 250); // 128 a second are borne
            desks.send_for(seconds(4), 60);
            BOOST_TEST(desks.world.crashes().size() <= allowed_crashes,
                       vms << " VMs, seed " << seed << ": "
                           << desks.world.crashes().size() << " crashes, "
                           << desks.world.turned_away() << " turned away");
            // Half of what they bear while load is at its worst.
            BOOST_TEST(desks.world.of("sound").answered >= 10 * 60 + 8 * 64u,
                       vms << " VMs, seed " << seed << ": "
                           << desks.world.of("sound").answered);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
