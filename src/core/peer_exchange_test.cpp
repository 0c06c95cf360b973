#include "core/peer_exchange.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

// One VM among live peers. Keeps the updates that it sends, by receiver.
struct vm
{
    explicit vm(std::size_t peers, bool with_hubs = false)
        : members(own_membership()),
          requests(
              path_options(), [](command const&) {}, [](std::string const&) {}),
          exchange(exchange_options(with_hubs),
                   [this](command const& c) { keep(c); })
    {
        std::vector<member_update> updates;
        for (std::size_t i = 0; i < peers; ++i)
        {
            member_update update;
            update.vm = fmt::format("vm{}", i);
            update.address = fmt::format("10.0.0.1:{}", i + 1);
            update.failure_domain = "asan";
            update.incarnation = 1;
            updates.push_back(std::move(update));
        }
        members.merge(start, updates);
        requests.demand().on_admitted(start, "pool", 100);
    }

    static membership_options own_membership()
    {
        membership_options options;
        options.vm = "own";
        return options;
    }

    static request_path_options path_options()
    {
        request_path_options options;
        options.vm = "own";
        options.usage_window = seconds(5);
        return options;
    }

    static peer_exchange_options exchange_options(bool with_hubs)
    {
        peer_exchange_options options;
        options.shares_reading = with_hubs;
        options.vm = "own";
        options.usage_interval = milliseconds(300);
        return options;
    }

    void keep(command const& c)
    {
        if (auto const* message = std::get_if<send_to_peer>(&c))
        {
            auto const update = decode_peer_update(message->message.payload);
            BOOST_REQUIRE(update.ok());
            sent[message->message.vm].push_back(*update);
        }
    }

    void run(duration span)
    {
        for (time_point const end = now + span; now < end;
             now += milliseconds(50))
        {
            exchange.tick(now, members, requests);
        }
    }

    void receive(std::string const& peer, peer_update const& update)
    {
        exchange.receive(
            now, {peer, peer_message_kind::request, encode(update)}, requests);
    }

    std::size_t count(std::string const& peer,
                      bool (*fits)(peer_update const&)) const
    {
        auto const known = sent.find(peer);
        return known == sent.end()
                   ? 0
                   : static_cast<std::size_t>(
                         std::ranges::count_if(known->second, fits));
    }

    membership members;
    request_path requests;
    peer_exchange exchange;
    time_point now = start;
    std::map<std::string, std::vector<peer_update>> sent;
};

bool has_quotas(peer_update const& update)
{
    return !update.quota_reports.empty();
}

bool has_demand(peer_update const& update)
{
    return !update.demand.empty();
}

bool tells_of_evacuations(peer_update const& update)
{
    return !update.evacuations.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(what_vms_tell_each_other)

BOOST_AUTO_TEST_SUITE(in_a_small_fleet)

BOOST_AUTO_TEST_CASE(is_all_told_to_everyone_in_one_message)
{
    vm own(8);
    own.run(milliseconds(300));
    BOOST_TEST(own.sent.size() == 8u);
    for (auto const& [peer, updates] : own.sent)
    {
        BOOST_TEST(updates.size() == 1u);
        BOOST_TEST(has_quotas(updates.front()));
        BOOST_TEST(has_demand(updates.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_large_fleet)

BOOST_AUTO_TEST_CASE(is_the_use_of_quotas_to_all_in_time)
{
    vm own(85);
    own.run(milliseconds(900));
    for (auto const& [peer, row] : own.members.members())
    {
        BOOST_TEST(own.count(peer, has_quotas) >= 1u);
    }
}

BOOST_AUTO_TEST_CASE(is_the_work_offered_to_the_watchers_of_the_duties)
{
    vm own(85);
    own.run(seconds(1));
    auto const watchers =
        own.members.others_selected_for(duty_purpose, duty_watchers);
    BOOST_TEST(watchers.size() >= duty_watchers - 1);
    std::size_t receivers = 0;
    for (auto const& [peer, row] : own.members.members())
    {
        receivers += own.count(peer, has_demand) > 0 ? 1 : 0;
    }
    BOOST_TEST(receivers == watchers.size());
}

BOOST_AUTO_TEST_CASE(is_the_work_offered_to_a_holder_that_does_not_watch)
{
    vm own(85);
    auto const watchers =
        own.members.others_selected_for(duty_purpose, duty_watchers);
    std::size_t i = 0;
    while (std::ranges::find(watchers, fmt::format("vm{}", i)) !=
           watchers.end())
    {
        ++i;
    }
    std::string const holder = fmt::format("vm{}", i);
    peer_update update;
    update.holds_duties = true;
    own.receive(holder, update);
    own.run(seconds(1));
    BOOST_TEST(own.count(holder, has_demand) > 0u);
}

// Guards against a VM without the store that never hears of an evacuation, and
// against messages to all peers for it.
BOOST_AUTO_TEST_CASE(are_the_evacuations_to_two_peers_each_half_second)
{
    vm own(85);
    own.requests.handle(start, domain_evacuated{{"asan", true, 0, 6}});
    own.run(seconds(3));
    std::size_t messages = 0;
    std::size_t receivers = 0;
    for (auto const& [peer, updates] : own.sent)
    {
        std::size_t const told = own.count(peer, tells_of_evacuations);
        messages += told;
        receivers += told > 0 ? 1 : 0;
    }
    BOOST_TEST(messages == 12u);
    BOOST_TEST(receivers == 12u);
}

// Guards against messages about evacuations where there has been none.
BOOST_AUTO_TEST_CASE(is_nothing_of_evacuations_without_a_record)
{
    vm own(85);
    own.run(seconds(3));
    for (auto const& [peer, updates] : own.sent)
    {
        BOOST_TEST(own.count(peer, tells_of_evacuations) == 0u);
    }
}

// Guards against a VM that serves by a peer's configuration without knowing
// what is evacuated: it is told in the same message.
BOOST_AUTO_TEST_CASE(are_the_evacuations_with_the_configuration)
{
    vm own(85);
    own.exchange.set_configuration(3, "routes");
    own.requests.handle(start, domain_evacuated{{"asan", true, 0, 6}});
    peer_update question;
    question.wants_configuration = true;
    own.receive("vm7", question);
    BOOST_REQUIRE(own.sent["vm7"].size() == 1u);
    peer_update const& answer = own.sent["vm7"].front();
    BOOST_TEST(answer.configuration_pieces.size() == 1u);
    BOOST_TEST(answer.evacuations.size() == 1u);
}

BOOST_AUTO_TEST_SUITE(with_hubs)

std::size_t messages(vm const& own)
{
    std::size_t count = 0;
    for (auto const& [peer, updates] : own.sent)
    {
        count += updates.size();
    }
    return count;
}

bool is_relayed(peer_update const& update)
{
    return !update.relayed_quotas.empty();
}

// A VM that is no hub itself; `own` is one in some fleets.
std::size_t fleet_without_own_hub(std::size_t from)
{
    for (std::size_t size = from;; ++size)
    {
        vm own(size, true);
        if (!shared_reading("own").is_reader(own.members))
        {
            return size;
        }
    }
}

BOOST_AUTO_TEST_CASE(costs_as_many_messages_in_a_fleet_of_any_size)
{
    for (std::size_t const size : {20u, 195u, 1'200u})
    {
        vm own(fleet_without_own_hub(size), true);
        own.run(seconds(3));
        // Each 300 ms to two hubs, each second to three watchers and eight
        // others.
        BOOST_TEST(messages(own) <= 10 * 2 + 3 * 3 + 3 * 8u, size);
    }
}

BOOST_AUTO_TEST_CASE(tells_the_hubs_of_the_own_cell_only)
{
    vm own(fleet_without_own_hub(195), true);
    own.run(seconds(1));
    auto const hubs = shared_reading("own").own_readers(own.members);
    BOOST_TEST(hubs.size() == 2u);
    std::size_t receivers = 0;
    for (auto const& [peer, updates] : own.sent)
    {
        receivers += own.count(peer, is_relayed) > 0 ? 1 : 0;
    }
    BOOST_TEST(receivers == hubs.size());
    BOOST_TEST(own.count(hubs.front(), is_relayed) >= 3u);
}

BOOST_AUTO_TEST_CASE(takes_no_report_on_behalf_of_another_vm)
{
    vm own(20, true);
    peer_update forged;
    forged.cell = shared_reading("own").own_cell(own.members);
    forged.relayed_quotas = {{"vm1", 1, 1, {{"heavy", 1e9}}}};
    own.receive("vm2", forged);
    own.run(seconds(1));
    for (auto const& [peer, updates] : own.sent)
    {
        for (peer_update const& update : updates)
        {
            for (quota_sum const& sum : update.quota_sums)
            {
                BOOST_TEST(sum.spent.empty());
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
