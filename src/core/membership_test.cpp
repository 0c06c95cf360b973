#include "core/membership.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace amarantharch;

namespace
{

constexpr std::uint64_t first_start = 1'000'000'000;
constexpr duration step = std::chrono::milliseconds(50);
// Messages kept for a stopped process.
constexpr std::size_t socket_buffer_messages = 200;

std::string name_of(std::size_t i)
{
    return fmt::format("vm-{}", i);
}

// Simulates several members and the messages between them in steps of 50 ms.
struct fleet
{
    std::vector<std::unique_ptr<membership>> vms;
    std::vector<std::string> names;                          // of vms, by index
    std::vector<std::pair<std::string, peer_message>> wires; // sender, message
    std::set<std::size_t> stopped; // dead or frozen: neither ticks nor reads
    std::function<bool(std::size_t, std::size_t)> cut = [](auto, auto)
    {
        return false;
    };
    std::vector<std::vector<member_change>> changes;
    time_point now = from_micros(first_start);
    std::uint64_t seed = 0;

    explicit fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            place(i, name_of(i));
        }
        list_all();
    }

    // Starts `vm` at the address of index `i`, replacing the VM there.
    void place(std::size_t i, std::string vm)
    {
        vms.resize(std::max(vms.size(), i + 1));
        names.resize(vms.size());
        changes.resize(vms.size());
        names[i] = vm;
        membership_options options;
        options.vm = std::move(vm);
        options.address = fmt::format("10.0.0.{}:1", i);
        options.failure_domain = fmt::format("zone-{}", i % 4);
        options.incarnation = static_cast<std::uint64_t>(to_micros(now));
        options.seed = ++seed;
        vms[i] = std::make_unique<membership>(options);
    }

    // Gives every VM the platform's list, which contains all VMs.
    void list_all()
    {
        std::vector<listed_member> list;
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            list.push_back({name_of(i), fmt::format("10.0.0.{}:1", i),
                            fmt::format("zone-{}", i % 4)});
        }
        for (auto& one : vms)
        {
            one->apply_vm_list(now, list);
        }
    }

    std::optional<std::size_t> index_of(std::string const& vm) const
    {
        auto const found = std::ranges::find(names, vm);
        if (found == names.end())
        {
            return std::nullopt;
        }
        return static_cast<std::size_t>(found - names.begin());
    }

    peer_sink sink(std::size_t from)
    {
        return [this, from](peer_message message)
        {
            wires.emplace_back(names[from], std::move(message));
        };
    }

    void deliver()
    {
        auto const in_flight = std::exchange(wires, {});
        std::vector<std::pair<std::string, peer_message>> waiting;
        for (auto const& [sender, message] : in_flight)
        {
            auto const from = index_of(sender);
            auto const to = index_of(message.vm);
            if (!from || !to || cut(*from, *to))
            {
                continue;
            }
            if (stopped.contains(*to))
            {
                if (waiting.size() < socket_buffer_messages)
                {
                    waiting.emplace_back(sender, message);
                }
                continue;
            }
            vms[*to]->receive(now, {sender, message.kind, message.payload},
                              sink(*to));
        }
        wires.insert(wires.end(), waiting.begin(), waiting.end());
    }

    void run(duration time)
    {
        for (auto const end = now + time; now < end; now += step)
        {
            deliver();
            for (std::size_t i = 0; i < vms.size(); ++i)
            {
                if (!stopped.contains(i))
                {
                    vms[i]->tick(now, sink(i));
                    auto const taken = vms[i]->take_changes();
                    changes[i].insert(changes[i].end(), taken.begin(),
                                      taken.end());
                }
            }
        }
    }

    member_state seen(std::size_t observer, std::size_t subject) const
    {
        auto const* row = vms[observer]->find(names[subject]);
        return row == nullptr ? member_state::gone : row->state();
    }

    bool all_see(std::size_t subject, member_state state) const
    {
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (i != subject && !stopped.contains(i) &&
                seen(i, subject) != state)
            {
                return false;
            }
        }
        return true;
    }

    bool all_live() const
    {
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            if (!all_see(i, member_state::live))
            {
                return false;
            }
        }
        return true;
    }

    bool anyone_was_gone() const
    {
        return std::ranges::any_of(changes,
                                   [](auto const& of_one)
                                   {
                                       return std::ranges::count(
                                                  of_one, member_state::gone,
                                                  &member_change::after) > 0;
                                   });
    }
};

using std::chrono::minutes;
using std::chrono::seconds;

} // namespace

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(find_each_other_from_the_platforms_list)
{
    fleet f(8);
    f.run(seconds(20));
    BOOST_CHECK(f.all_live());
    BOOST_CHECK_EQUAL(f.vms[0]->fleet_size(), 8U);
    BOOST_CHECK_GT(f.vms[0]->find("vm-1")->incarnation, 0U);
}

BOOST_AUTO_TEST_CASE(introduce_a_new_vm_that_knows_only_one)
{
    fleet f(8);
    f.run(seconds(20));
    f.place(8, "vm-8");
    f.vms[8]->apply_vm_list(f.now, {{"vm-0", "10.0.0.0:1", "zone-0"}});
    f.run(seconds(30));
    BOOST_CHECK(f.all_live());
}

BOOST_AUTO_TEST_CASE(learn_that_one_has_died_and_then_forget_it)
{
    fleet f(8);
    f.run(seconds(20));
    f.vms[3]->state().set(f.now, soft_kind::organisation_usage, "org", 5);
    f.run(seconds(20));
    BOOST_CHECK_EQUAL(
        f.vms[5]->state().sum(soft_kind::organisation_usage, "org"), 5);
    f.stopped.insert(3);
    f.run(seconds(40));
    BOOST_CHECK(f.all_see(3, member_state::gone));
    BOOST_CHECK_EQUAL(
        f.vms[5]->state().sum(soft_kind::organisation_usage, "org"), 0);
    f.wires.clear();
    f.run(minutes(13));
    BOOST_CHECK(f.vms[5]->find("vm-3") == nullptr);
    BOOST_CHECK_EQUAL(f.vms[5]->members().size(), 6U);
}

BOOST_AUTO_TEST_CASE(learn_of_a_leaving_one_before_it_stops)
{
    fleet f(16);
    f.run(seconds(40));
    f.vms[3]->leave();
    f.run(seconds(2));
    BOOST_CHECK(f.all_see(3, member_state::leaving));
    f.run(seconds(20));
    BOOST_CHECK(f.all_see(3, member_state::leaving));
}

BOOST_AUTO_TEST_CASE(tell_a_vm_that_the_platform_will_reclaim_it)
{
    fleet f(8);
    f.run(seconds(20));
    f.vms[0]->mark_leaving(f.now, "vm-3");
    f.run(seconds(2));
    BOOST_CHECK(f.all_see(3, member_state::leaving));
    BOOST_CHECK(f.vms[3]->updates()[0].leaving);
}

BOOST_AUTO_TEST_CASE(agree_on_an_update_in_whatever_order_it_comes)
{
    struct outcome
    {
        std::uint64_t incarnation;
        member_health health;
        bool leaving;
        bool operator==(outcome const&) const = default;
    };
    std::vector<member_update> updates;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        for (auto health :
             {member_health::live, member_health::suspect, member_health::gone})
        {
            for (bool leaving : {false, true})
            {
                updates.push_back(
                    {"vm-9", incarnation, health, leaving, {}, {}});
            }
        }
    }
    auto const apply = [&](std::vector<std::size_t> const& order)
    {
        membership subject({"vm-1", "10.0.0.1:1", "zone"});
        member_update const known{
            "vm-9", 1, member_health::live, false, "10.0.0.9:1", "zone"};
        subject.merge(from_micros(1), {known});
        for (auto const i : order)
        {
            subject.merge(from_micros(1), {updates[i]});
        }
        auto const* row = subject.find("vm-9");
        return outcome{row->incarnation, row->health, row->leaving};
    };
    for (std::size_t a = 0; a < updates.size(); ++a)
    {
        for (std::size_t b = 0; b < updates.size(); ++b)
        {
            for (std::size_t c = 0; c < updates.size(); ++c)
            {
                std::vector<std::size_t> order{a, b, c};
                auto const expected = apply(order);
                std::ranges::sort(order);
                do
                {
                    BOOST_REQUIRE(apply(order) == expected);
                } while (std::ranges::next_permutation(order).found);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE(with_cut_links)

BOOST_AUTO_TEST_CASE(lose_nobody_over_any_single_link_in_any_direction)
{
    for (std::size_t a = 0; a < 5; ++a)
    {
        for (std::size_t b = 0; b < 5; ++b)
        {
            for (bool both : {false, true})
            {
                if (a == b || (both && b < a))
                {
                    continue;
                }
                fleet f(5);
                f.run(seconds(15));
                f.cut = [=](auto from, auto to)
                {
                    return (from == a && to == b) ||
                           (both && from == b && to == a);
                };
                f.run(seconds(40));
                BOOST_TEST_CONTEXT(a << " to " << b << " both " << both)
                {
                    BOOST_CHECK(!f.anyone_was_gone());
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(find_each_other_again_after_every_length_of_cut)
{
    for (auto const length : {seconds(5), seconds(60), seconds(900)})
    {
        fleet f(8);
        f.run(seconds(20));
        f.cut = [](auto from, auto to)
        {
            return (from < 4) != (to < 4);
        };
        f.run(length);
        if (length > seconds(30))
        {
            BOOST_CHECK(f.seen(0, 7) == member_state::gone);
            BOOST_CHECK(f.seen(7, 0) == member_state::gone);
        }
        BOOST_CHECK(f.seen(0, 3) == member_state::live);
        f.cut = [](auto, auto)
        {
            return false;
        };
        f.list_all(); // each half may have forgotten the other by now
        f.run(seconds(90));
        BOOST_TEST_CONTEXT(length.count() << " s")
        {
            BOOST_CHECK(f.all_live());
        }
    }
}

BOOST_AUTO_TEST_CASE(keep_what_was_taken_back_on_either_side)
{
    fleet f(8);
    f.run(seconds(20));
    f.cut = [](auto from, auto to)
    {
        return (from < 4) != (to < 4);
    };
    f.run(seconds(60));
    f.vms[0]->state().set(f.now, soft_kind::version_taken_back, "m1", 1);
    f.vms[7]->state().set(f.now, soft_kind::version_taken_back, "m2", 1);
    f.run(seconds(3));
    BOOST_CHECK(!f.vms[7]->state().value(soft_kind::version_taken_back, "m1"));
    f.cut = [](auto, auto)
    {
        return false;
    };
    f.run(seconds(90));
    for (auto const& vm : f.vms)
    {
        for (auto const* move : {"m1", "m2"})
        {
            BOOST_CHECK(vm->state().value(soft_kind::version_taken_back, move));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_frozen_processes)

BOOST_AUTO_TEST_CASE(take_a_frozen_one_back_and_it_condemns_nobody)
{
    for (auto const length : {seconds(2), seconds(8), seconds(60)})
    {
        fleet f(8);
        f.run(seconds(20));
        f.stopped.insert(2);
        f.run(length);
        f.stopped.clear();
        f.changes[2].clear();
        f.run(seconds(60));
        BOOST_TEST_CONTEXT(length.count() << " s")
        {
            BOOST_CHECK(f.all_live());
            BOOST_CHECK_EQUAL(std::ranges::count(f.changes[2],
                                                 member_state::gone,
                                                 &member_change::after),
                              0);
        }
    }
}

// Guards against a process that declares its peers gone after a pause of its
// own. It stops with a probe in flight and a suspect; when it continues, its
// first tick comes before it has read the answers that wait in its sockets.
BOOST_AUTO_TEST_CASE(are_not_judged_by_a_process_that_was_frozen_itself)
{
    for (auto const cut_for :
         {std::chrono::milliseconds(100), std::chrono::milliseconds(1500)})
    {
        fleet f(3);
        f.run(seconds(10));
        f.cut = [](auto, auto to)
        {
            return to == 0;
        }; // VM 0 receives no answers
        f.run(cut_for);
        while (f.seen(0, 1) != member_state::suspect)
        {
            f.run(step);
        }
        f.cut = [](auto, auto)
        {
            return false;
        };
        f.wires.clear();
        f.changes[0].clear();
        f.now += minutes(5);
        f.vms[0]->tick(f.now, f.sink(0));
        BOOST_CHECK(f.vms[0]->take_changes().empty());
        f.run(seconds(30));
        BOOST_CHECK(f.all_see(1, member_state::live));
        BOOST_CHECK(!f.anyone_was_gone());
    }
}

BOOST_AUTO_TEST_CASE(survive_the_freeze_of_all)
{
    fleet f(8);
    f.run(seconds(20));
    f.now += minutes(5);
    f.run(seconds(20));
    BOOST_CHECK(f.all_live());
    BOOST_CHECK(!f.anyone_was_gone());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_replaced)

BOOST_AUTO_TEST_CASE(are_known_by_their_newer_start)
{
    fleet f(8);
    f.run(seconds(20));
    auto const old = f.vms[3]->updates()[0].incarnation;
    f.place(3, "vm-3");
    f.list_all();
    f.run(seconds(20));
    BOOST_CHECK(f.all_live());
    BOOST_CHECK_GT(f.vms[0]->find("vm-3")->incarnation, old);
}

BOOST_AUTO_TEST_CASE(leave_their_address_to_a_new_vm)
{
    fleet f(8);
    f.run(seconds(20));
    f.place(3, "vm-new");
    f.vms[3]->apply_vm_list(f.now, {{"vm-0", "10.0.0.0:1", "zone-0"}});
    f.run(seconds(4));
    BOOST_CHECK(f.all_see(3, member_state::live));
    for (std::size_t i = 0; i < 8; ++i)
    {
        if (i != 3)
        {
            auto const* old = f.vms[i]->find("vm-3");
            BOOST_CHECK(old->state() == member_state::gone);
        }
    }
}

BOOST_AUTO_TEST_CASE(may_be_a_whole_failure_domain_at_once)
{
    fleet f(32);
    f.run(seconds(60));
    for (std::size_t i = 0; i < 32; i += 4)
    {
        f.stopped.insert(i);
    }
    f.run(seconds(40));
    for (std::size_t i = 0; i < 32; ++i)
    {
        BOOST_CHECK(
            f.all_see(i, i % 4 == 0 ? member_state::gone : member_state::live));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_spread_news)

BOOST_AUTO_TEST_CASE(know_of_a_new_revision_within_three_seconds)
{
    fleet f(64);
    f.run(seconds(90));
    f.vms[5]->set_revision(f.now, {7, 1});
    f.run(seconds(3));
    for (auto const& vm : f.vms)
    {
        BOOST_CHECK((vm->newest_revision() == log_position{7, 1}));
    }
}

BOOST_AUTO_TEST_CASE(tell_who_holds_a_revision)
{
    fleet f(8);
    f.run(seconds(20));
    for (std::size_t i = 0; i < 8; ++i)
    {
        if (i != 6)
        {
            f.vms[i]->set_revision(f.now, {9, 0});
        }
    }
    f.vms[0]->query_revisions({9, 0});
    f.run(seconds(1));
    auto const spread = f.vms[0]->count_holders({9, 0});
    BOOST_CHECK_EQUAL(spread.members, 8U);
    BOOST_CHECK_EQUAL(spread.in_force, 7U);
    BOOST_CHECK((spread.missing == std::vector<std::string>{"vm-6"}));
}

BOOST_AUTO_TEST_CASE(stay_within_their_bytes_under_a_flood_of_rows)
{
    fleet f(16);
    f.run(seconds(30));
    std::vector<std::uint64_t> before;
    for (auto const& vm : f.vms)
    {
        before.push_back(vm->traffic().bytes_sent);
    }
    for (int second = 0; second < 60; ++second)
    {
        for (auto& vm : f.vms)
        {
            for (int i = 0; i < 50; ++i)
            {
                vm->state().set(f.now,
                                i % 2 == 0 ? soft_kind::upstream_load
                                           : soft_kind::quarantine, // urgent
                                fmt::format("u{}", i), second);
            }
        }
        f.run(seconds(1));
    }
    membership_options const options;
    for (std::size_t i = 0; i < f.vms.size(); ++i)
    {
        auto const sent = f.vms[i]->traffic().bytes_sent - before[i];
        BOOST_CHECK_LE(static_cast<double>(sent),
                       options.bytes_per_second * 60 + options.burst_bytes);
    }
}

BOOST_AUTO_TEST_CASE(share_a_duty_among_few)
{
    fleet f(16);
    f.run(seconds(40));
    auto const count_selected = [&]
    {
        return std::ranges::count_if(
            f.vms, [](auto const& vm)
            { return vm->is_selected_for("configuration", 4); });
    };
    BOOST_CHECK_EQUAL(count_selected(), 4);
}

BOOST_AUTO_TEST_CASE(leave_a_duty_to_those_with_the_most_processor_time)
{
    membership_options options{"vm-0", "10.0.0.1:1000", "zone"};
    options.millicores = 120;
    membership subject(options);
    std::vector<listed_member> listed;
    for (std::uint32_t i = 1; i < 40; ++i)
    {
        std::uint32_t const millicores = i % 10 == 0 ? 500 : 120;
        listed.push_back({fmt::format("vm-{}", i),
                          fmt::format("10.0.0.1:{}", 1000 + i), "zone",
                          millicores});
    }
    subject.apply_vm_list(from_micros(first_start), listed);
    auto const chosen = subject.others_selected_for("configuration", 3);
    BOOST_TEST(std::set<std::string>(chosen.begin(), chosen.end()) ==
               (std::set<std::string>{"vm-10", "vm-20", "vm-30"}));
    BOOST_TEST(!subject.is_selected_for("configuration", 3));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ignore_what_is_no_message_or_speaks_for_another)
{
    membership subject({"vm-1", "10.0.0.1:1", "zone"});
    gossip_message message;
    message.sender = {"vm-2", 5, member_health::live, false, "10.0.0.2:1", "z"};
    message.members.push_back(
        {"vm-3", 6, member_health::live, true, "10.0.0.3:1", "z"});
    message.rows.push_back({{soft_kind::quarantine, "f", ""}, 1, 2});
    auto const bytes = encode(message);
    auto const discard = [](peer_message const&) {
    };
    auto const kind = peer_message_kind::membership;
    subject.receive(from_micros(2), {"vm-4", kind, bytes}, discard);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        subject.receive(from_micros(2), {"vm-2", kind, bytes.substr(0, size)},
                        discard);
    }
    BOOST_CHECK_EQUAL(subject.traffic().undecodable, bytes.size() + 1);
    BOOST_CHECK(subject.members().empty());
    subject.receive(from_micros(2), {"vm-2", kind, bytes}, discard);
    BOOST_CHECK_EQUAL(subject.members().size(), 2U);
    BOOST_CHECK(subject.find("vm-3")->state() == member_state::leaving);
}

BOOST_AUTO_TEST_SUITE_END()
