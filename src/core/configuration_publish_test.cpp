#include "core/configuration_publish.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

namespace
{

bool verify(std::string_view author, std::string_view, std::string_view sig)
{
    return sig == std::string(author) + "-key";
}

configuration_change change_by(std::string author, revision base,
                               std::string text)
{
    configuration_change change;
    change.publish_id = author + "-1";
    change.base = base;
    change.signature = author + "-key";
    change.author = std::move(author);
    change.text = std::move(text);
    return change;
}

// One VM with its store, and the configuration stream that it reads.
struct publisher
{
    time_point now = from_micros(1'000'000);
    configuration_store store{{"vm-1", &verify}};
    membership fleet{{"vm-1", "10.0.0.1:1", "zone"}};
    log_offset end = 1;

    publisher()
    {
        read({});
    }

    std::vector<change_decision> read(std::vector<std::string> payloads)
    {
        log_batch batch;
        batch.first_retained = 1;
        for (auto& payload : payloads)
        {
            log_record record;
            record.position = {end++, 0};
            record.payload = std::move(payload);
            batch.records.push_back(std::move(record));
        }
        batch.next = end;
        batch.end = end;
        auto decisions = store.apply(now, batch);
        fleet.set_revision(now, store.in_force());
        return decisions;
    }

    void add_member(std::string vm)
    {
        member_update update;
        update.vm = std::move(vm);
        update.incarnation = 5;
        update.address = "10.0.0.2:1";
        fleet.merge(now, {update});
    }

    void hear_from(std::string vm, log_position held)
    {
        gossip_message message;
        message.sender.vm = vm;
        message.sender.incarnation = 5;
        message.revision = held;
        fleet.receive(
            now,
            {std::move(vm), peer_message_kind::membership, encode(message)},
            [](peer_message const&) {});
    }
};

std::string const good_text = "[organisation x]\nweight = 2\n";

} // namespace

BOOST_AUTO_TEST_SUITE(a_publish)

BOOST_AUTO_TEST_CASE(goes_from_pending_over_accepted_to_in_force)
{
    publisher p;
    p.add_member("vm-2");
    configuration_publish publish(p.now, change_by("a", {}, good_text));
    auto payload = publish.start(p.store, &verify);
    BOOST_REQUIRE(payload);
    BOOST_CHECK(publish.report().state == publish_state::pending);
    for (auto const& decision : p.read({*payload}))
    {
        publish.on_decision(decision);
    }
    publish.tick(p.now, p.fleet);
    BOOST_CHECK(publish.report().state == publish_state::accepted);
    BOOST_CHECK_EQUAL(publish.report().in_force_on, 1U);
    BOOST_CHECK_EQUAL(publish.report().members, 2U);
    BOOST_CHECK((publish.report().missing == std::vector<std::string>{"vm-2"}));
    p.hear_from("vm-2", {1, 0});
    publish.tick(p.now, p.fleet);
    BOOST_CHECK(publish.report().state == publish_state::in_force);
}

BOOST_AUTO_TEST_CASE(is_safe_to_repeat)
{
    publisher p;
    auto const change = change_by("a", {}, good_text);
    configuration_publish first(p.now, change);
    auto payload = first.start(p.store, &verify);
    // The change is published again before the first record is read, and once
    // more afterwards.
    configuration_publish second(p.now, change);
    auto again = second.start(p.store, &verify);
    BOOST_REQUIRE(payload && again);
    for (auto const& decision : p.read({*payload, *again}))
    {
        first.on_decision(decision);
        second.on_decision(decision);
    }
    BOOST_CHECK(first.report().state == publish_state::accepted);
    BOOST_CHECK(second.report().state == publish_state::accepted);
    BOOST_CHECK((p.store.in_force() == revision{1, 0}));
    configuration_publish third(p.now, change);
    BOOST_CHECK(!third.start(p.store, &verify));
    BOOST_CHECK(third.report().state == publish_state::accepted);
    BOOST_CHECK((third.report().position == revision{1, 0}));
}

BOOST_AUTO_TEST_CASE(that_was_accepted_is_known_to_a_vm_that_joined_later)
{
    publisher p;
    auto const change = change_by("a", {}, good_text);
    p.read({encode(change)});
    publisher fresh;
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, p.store.snapshot()).ok());
    configuration_publish repeat(fresh.now, change);
    BOOST_CHECK(!repeat.start(fresh.store, &verify));
    BOOST_CHECK(repeat.report().state == publish_state::accepted);
}

BOOST_AUTO_TEST_CASE(that_lost_a_race_names_the_winner_and_what_changed)
{
    publisher p;
    configuration_publish loser(p.now, change_by("b", {}, good_text));
    auto payload = loser.start(p.store, &verify);
    auto const winner =
        encode(change_by("a", {}, "[organisation y]\nweight = 3\n"));
    for (auto const& decision : p.read({winner, *payload}))
    {
        loser.on_decision(decision);
    }
    BOOST_CHECK(loser.report().state == publish_state::refused);
    BOOST_CHECK_EQUAL(loser.report().reason,
                      "written against revision 0.0, but 1.0 by a is in force; "
                      "changed: organisation y");
}

BOOST_AUTO_TEST_CASE(without_an_answer_is_unknown_until_it_is_read)
{
    publisher p;
    configuration_publish publish(p.now, change_by("a", {}, good_text));
    auto payload = publish.start(p.store, &verify);
    p.now += std::chrono::seconds(11);
    publish.tick(p.now, p.fleet);
    BOOST_CHECK(publish.report().state == publish_state::unknown);
    BOOST_CHECK(publish.report().reason.find("id a-1") != std::string::npos);
    for (auto const& decision : p.read({*payload}))
    {
        publish.on_decision(decision);
    }
    BOOST_CHECK(publish.report().state == publish_state::accepted);
}

BOOST_AUTO_TEST_SUITE(is_refused_before_the_append)

BOOST_AUTO_TEST_CASE(with_its_reason)
{
    publisher p;
    auto const refused = [&](configuration_change const& change)
    {
        configuration_publish publish(p.now, change);
        BOOST_CHECK(!publish.start(p.store, &verify));
        BOOST_CHECK(publish.report().state == publish_state::refused);
        return publish.report();
    };
    auto forged = change_by("a", {}, good_text);
    forged.signature = "x";
    BOOST_CHECK_EQUAL(refused(forged).reason, "no valid signature of a");
    BOOST_CHECK_EQUAL(refused(change_by("a", {4, 0}, good_text)).reason,
                      "written against revision 4.0, but 0.0 by  is in force");
    auto const faulty = refused(change_by("a", {}, "[what]\n[how]\n"));
    BOOST_CHECK_EQUAL(faulty.faults.size(), 2U);
    configuration_store unread({"vm-2", &verify});
    auto const report =
        check_change(unread, change_by("a", {}, good_text), &verify);
    BOOST_CHECK_EQUAL(report.reason,
                      "this VM does not know the revision in force: "
                      "configuration stream not read yet");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(can_be_tried_without_effect)
{
    publisher p;
    p.read({encode(change_by("a", {},
                             "[organisation x]\nlabel.tier = gold\n"
                             "[organisation y]\n[service s]\n[route r]\n"
                             "path = /\nservice = s\n"))});
    auto const result = try_change(
        p.store, change_by("a", {1, 0},
                           "[remove organisation y]\n[organisation z]\n"
                           "[route r]\npath = /\nservice = s\n"
                           "organisations = tier = gold\n"));
    BOOST_CHECK(result.faults.empty());
    BOOST_CHECK((result.added == std::vector<std::string>{"organisation z"}));
    BOOST_CHECK((result.changed == std::vector<std::string>{"route r"}));
    BOOST_CHECK((result.removed == std::vector<std::string>{"organisation y"}));
    BOOST_REQUIRE_EQUAL(result.selected.size(), 1U);
    BOOST_CHECK((result.selected[0].second == std::vector<std::string>{"x"}));
    BOOST_CHECK((p.store.in_force() == revision{1, 0}));
}

BOOST_AUTO_TEST_SUITE_END()
