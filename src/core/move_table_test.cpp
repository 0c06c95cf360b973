#include "core/move_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

namespace
{

configuration tables_of(std::string const& text)
{
    auto const parsed = parse_configuration(text);
    auto compiled = compile(parsed.sections);
    for (auto const& fault : compiled.faults)
    {
        BOOST_ERROR(to_string(fault));
    }
    return compiled.tables;
}

time_point at(int seconds)
{
    return time_point(std::chrono::seconds(seconds));
}

configuration const moving = tables_of(
    "[service drafts]\nkind = engine\n"
    "[upstream d1]\naddress = 10.0.0.1:80\nservice = drafts\nversion = v1\n"
    "failure_domain = a\n"
    "[upstream d2]\naddress = 10.0.0.2:80\nservice = drafts\nversion = v2\n"
    "failure_domain = a\n"
    "[move up]\nselect = service=drafts\nfrom = v1\nto = v2\n"
    "deadline_us = 3600000000\n");

// Two move tables that read the same control stream.
struct two_vms
{
    move_table first;
    move_table second;
    log_offset next = 1;

    two_vms()
    {
        first.configure(at(0), moving);
        second.configure(at(0), moving);
    }

    // At the first VM requests of the new version fail, none of the old one.
    void new_version_fails_at_first()
    {
        version_choice choice;
        choice.move_revision = first.choose(at(1), "drafts", "r").move_revision;
        choice.arm = version_arm::new_version;
        choice.new_share = 0.01;
        for (int i = 0; i < 20; ++i)
        {
            first.on_failure("route", choice);
        }
    }

    void share_log(time_point now, std::vector<std::string> const& records)
    {
        log_batch batch;
        batch.stream = log_stream::control;
        for (std::string const& payload : records)
        {
            log_record record;
            record.position = {next++, 0};
            record.id = record_id{"vm", 1, next};
            record.payload = payload;
            record.time = now;
            batch.records.push_back(std::move(record));
        }
        first.apply(now, batch);
        second.apply(now, batch);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_service_that_moves_to_a_new_version)

BOOST_AUTO_TEST_CASE(begins_with_a_small_share)
{
    two_vms vms;
    int to_new = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        auto const choice =
            vms.first.choose(at(1), "drafts", std::to_string(i));
        to_new += choice.version == "v2" ? 1 : 0;
    }
    BOOST_TEST(to_new <= 200); // 2% of the traffic
    BOOST_TEST(vms.first.choose(at(1), "other", "r").version == "");
}

BOOST_AUTO_TEST_CASE(is_taken_back_at_every_vm_once_one_has_seen_it_fail)
{
    two_vms vms;
    vms.new_version_fails_at_first();
    auto const records = vms.first.tick(at(2), false);
    BOOST_REQUIRE_EQUAL(records.size(), 1U);
    vms.share_log(at(3), records);
    for (move_table* const vm : {&vms.first, &vms.second})
    {
        BOOST_TEST(
            (vm->reports(at(3)).at("up").state == move_state::rolled_back));
        BOOST_TEST(vm->choose(at(3), "drafts", "r").version == "v1");
    }
    BOOST_TEST(vms.first.tick(at(9), true).empty());
}

BOOST_AUTO_TEST_CASE(has_its_record_appended_again_until_it_is_read_back)
{
    two_vms vms;
    vms.new_version_fails_at_first();
    BOOST_TEST(vms.first.tick(at(2), false).size() == 1U); // lost
    BOOST_TEST(vms.first.tick(at(3), false).empty());
    auto const again = vms.first.tick(at(5), false);
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    vms.share_log(at(6), again);
    BOOST_TEST(vms.first.tick(at(9), false).empty());
}

BOOST_AUTO_TEST_CASE(goes_on_over_revisions_that_do_not_change_it)
{
    two_vms vms;
    vms.new_version_fails_at_first();
    vms.share_log(at(2), vms.first.tick(at(2), false));
    vms.second.configure(at(3), moving);
    BOOST_TEST(
        (vms.second.reports(at(3)).at("up").state == move_state::rolled_back));
}

BOOST_AUTO_TEST_SUITE_END()
