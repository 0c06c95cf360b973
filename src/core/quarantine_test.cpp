#include "core/quarantine.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace amarantharch;

namespace
{

constexpr fingerprint poison = 1;
constexpr fingerprint neighbour = 2;
constexpr fingerprint other = 3;

time_point at(int seconds)
{
    return from_micros(1'000'000'000) + std::chrono::seconds(seconds);
}

crash_id crash(std::uint64_t number)
{
    return {"server-" + std::to_string(number), number};
}

// Requests that were all sent a moment before the crash.
suspect_requests just_sent(std::set<fingerprint> const& requests)
{
    suspect_requests result;
    for (fingerprint const each : requests)
    {
        result[each] = std::chrono::milliseconds(100);
    }
    return result;
}

// A crash as one VM saw it.
struct seen_crash
{
    std::uint64_t number;
    std::set<fingerprint> in_flight;
    bool reserved;
};

struct table_row
{
    char const* description;
    std::vector<seen_crash> crashes; // crash n in second n
    quarantine_decision of_poison;   // after settle_time
    quarantine_decision of_neighbour;
};

constexpr auto run = quarantine_decision::run;
constexpr auto run_alone = quarantine_decision::run_alone;
constexpr auto refuse = quarantine_decision::refuse;

std::vector<table_row> const rows{
    {"nothing crashed", {}, run, run},
    {"one crash, alone", {{1, {poison}, true}}, run_alone, run},
    {"one crash, together",
     {{1, {poison, neighbour}, false}},
     run_alone,
     run_alone},
    {"together, then alone",
     {{1, {poison, neighbour}, false}, {2, {poison}, true}},
     refuse,
     run_alone},
    {"alone twice", {{1, {poison}, true}, {2, {poison}, true}}, refuse, run},
    {"one crash seen twice",
     {{1, {poison}, true}, {1, {poison}, true}},
     run_alone,
     run},
    {"with another neighbour each time",
     {{1, {poison, neighbour}, false}, {2, {poison, other}, false}},
     refuse,
     run_alone},
    {"with the same neighbour twice",
     {{1, {poison, neighbour}, false}, {2, {poison, neighbour}, false}},
     run_alone,
     run_alone},
    {"with the same neighbour twice, then alone",
     {{1, {poison, neighbour}, false},
      {2, {poison, neighbour}, false},
      {3, {poison}, true}},
     refuse,
     run_alone},
    {"reported as alone by one VM, with another request by a second",
     {{1, {poison}, true},
      {1, {neighbour}, false},
      {2, {poison, neighbour}, false}},
     run_alone,
     run_alone},
};

} // namespace

BOOST_AUTO_TEST_SUITE(requests_that_crash_upstreams)

BOOST_AUTO_TEST_CASE(are_told_from_their_neighbours_by_the_table)
{
    for (auto const& row : rows)
    {
        BOOST_TEST_CONTEXT(row.description)
        {
            // Reports the crashes in every order.
            std::vector<std::size_t> order(row.crashes.size());
            for (std::size_t i = 0; i < order.size(); ++i)
            {
                order[i] = i;
            }
            do
            {
                quarantine subject{{}};
                for (auto const i : order)
                {
                    auto const& one = row.crashes[i];
                    subject.crashed(at(static_cast<int>(one.number)),
                                    crash(one.number), just_sent(one.in_flight),
                                    one.reserved);
                }
                BOOST_TEST((subject.decide(at(10), poison) == row.of_poison));
                BOOST_TEST(
                    (subject.decide(at(10), neighbour) == row.of_neighbour));
            } while (std::next_permutation(order.begin(), order.end()));
        }
    }
}

BOOST_AUTO_TEST_CASE(are_held_back_until_every_vm_has_told_of_the_crash)
{
    quarantine subject{{}};
    subject.crashed(at(0), crash(1), just_sent({poison, neighbour}), false);
    subject.crashed(at(5), crash(2), just_sent({poison, other}), false);
    BOOST_TEST((subject.decide(at(6), poison) == quarantine_decision::hold));
    BOOST_TEST((subject.decide(at(8), poison) == refuse));
}

BOOST_AUTO_TEST_CASE(are_acquitted_by_ending_well_alone_and_forgotten)
{
    quarantine subject{{}};
    subject.crashed(at(0), crash(1), just_sent({poison, neighbour}), false);
    subject.completed_alone(at(1), neighbour);
    BOOST_TEST((subject.decide(at(2), neighbour) == run));
    BOOST_TEST((subject.decide(at(2), poison) == run_alone));
    BOOST_TEST((subject.decide(at(4000), poison) == run));
    subject.tick(at(4000));
    BOOST_TEST(subject.size() == 0U);
}

BOOST_AUTO_TEST_CASE(are_known_by_what_an_upstream_sees)
{
    auto const print = [](std::string_view body)
    {
        return fingerprint_of("s", "one", "POST", "/v1/completions", body);
    };
    BOOST_TEST(print(R"({"a": "x  y"})") == print("{\"a\":\n\"x  y\"}"));
    BOOST_TEST(print(R"({"a":"x  y"})") != print(R"({"a":"x y"})"));
    BOOST_TEST(print(R"({"a":"\" x"})") != print(R"({"a":"\"x"})"));
    BOOST_TEST(print("a") != fingerprint_of("s", "one", "POST", "/v1", "a"));
    BOOST_TEST(print("a") !=
               fingerprint_of("s", "two", "POST", "/v1/completions", "a"));
}

BOOST_AUTO_TEST_CASE(take_no_more_memory_than_the_budget)
{
    quarantine_options options;
    options.max_fingerprints = 10;
    options.max_marks_per_fingerprint = 2;
    quarantine subject{options};
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        subject.crashed(at(static_cast<int>(i)), crash(i),
                        just_sent({poison, i + 10}), false);
    }
    BOOST_TEST(subject.size() == 10U);
    BOOST_TEST(subject.state().marks.size() <= 20U);
    BOOST_TEST((subject.decide(at(200), poison) == refuse));
}

// Four VMs run random requests, one of which is the poison. The other VMs learn
// of a crash at once, since urgent gossip arrives before a caller can retry.
BOOST_AUTO_TEST_SUITE(in_a_fleet)

BOOST_AUTO_TEST_CASE(stop_after_the_second_crash_and_no_innocent_is_refused)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
    {
        std::mt19937_64 random(seed);
        std::vector<quarantine> vms(4, quarantine{{}});
        int crashes = 0;
        for (int second = 0; second < 200; ++second)
        {
            auto const upstream = static_cast<std::uint64_t>(second);
            auto& vm = vms[random() % vms.size()];
            std::set<fingerprint> batch;
            bool reserved = false;
            for (int i = 0; i < 6 && !reserved; ++i)
            {
                fingerprint const print = 1 + random() % 12;
                auto const decision = vm.decide(at(second), print);
                BOOST_REQUIRE((decision != refuse || print == poison));
                if (decision == run)
                {
                    batch.insert(print);
                }
                else if (decision == run_alone && batch.empty())
                {
                    batch.insert(print);
                    reserved = true;
                }
            }
            if (batch.contains(poison))
            {
                ++crashes;
                vm.crashed(at(second), crash(upstream), just_sent(batch),
                           reserved);
            }
            else if (reserved)
            {
                vm.completed_alone(at(second), *batch.begin());
            }
            auto const changes = vm.take_changes();
            for (auto& peer : vms)
            {
                peer.merge(at(second), changes);
            }
        }
        BOOST_REQUIRE_EQUAL(crashes, 2);
    }
}

BOOST_AUTO_TEST_CASE(are_known_alike_whatever_way_the_gossip_took)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        std::mt19937_64 random(seed);
        std::vector<quarantine_delta> deltas;
        for (int i = 0; i < 12; ++i)
        {
            quarantine vm{{}};
            vm.crashed(at(i), crash(random() % 4),
                       just_sent({1 + random() % 3, 1 + random() % 3}), false);
            vm.completed_alone(at(i + 1), 1 + random() % 3);
            deltas.push_back(vm.take_changes());
        }
        std::array<quarantine, 2> vms{quarantine{{}}, quarantine{{}}};
        for (auto& vm : vms)
        {
            std::shuffle(deltas.begin(), deltas.end(), random);
            for (auto const& delta : deltas)
            {
                vm.merge(at(20), delta);
                vm.merge(at(20), deltas[random() % deltas.size()]);
            }
            BOOST_TEST(!vm.merge(at(20), deltas[0]));
        }
        BOOST_TEST(!vms[0].merge(at(20), vms[1].state()));
        BOOST_TEST(!vms[1].merge(at(20), vms[0].state()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
