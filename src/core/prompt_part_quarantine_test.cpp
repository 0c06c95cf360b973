#include "core/prompt_part_quarantine.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);
constexpr std::uint64_t shared = 1; // the first part of all prompts here
constexpr std::uint64_t fatal = 2;
constexpr std::uint64_t sound = 3;
constexpr std::uint64_t last = 4;

std::vector<prompt_part> prompt(std::uint64_t second)
{
    return {{shared, 10}, {second, 10}, {last, 10}};
}

crash_id crash(std::uint64_t number)
{
    return {"engine", number};
}

struct quarantined_parts
{
    quarantined_parts() : subject(options("vm")) {}

    static prompt_part_quarantine_options options(std::string const& vm)
    {
        prompt_part_quarantine_options result;
        result.vm = vm;
        return result;
    }

    // Crashes `count` engines, one after the other, each with a request of each
    // of these second parts in flight that was sent after the crash before.
    void crash_engines(std::uint64_t count,
                       std::vector<std::uint64_t> const& seconds_in_flight)
    {
        for (std::uint64_t i = 0; i < count; ++i)
        {
            now += milliseconds(300);
            crash_engine(seconds_in_flight, milliseconds(150));
        }
    }

    // Crashes an engine with requests in flight for so long.
    void crash_engine(std::vector<std::uint64_t> const& seconds_in_flight,
                      duration in_flight)
    {
        suspect_parts_in_flight parts;
        for (std::uint64_t const second : seconds_in_flight)
        {
            add_suspects(parts, suspect_parts(prompt(second)), in_flight);
        }
        subject.crashed(now, crash(++crashes), parts);
    }

    prompt_part_quarantine subject;
    std::uint64_t crashes = 0;
    time_point now = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_prompt_part_that_was_in_flight_at_crashes)

BOOST_FIXTURE_TEST_CASE(is_refused_after_the_third_crash, quarantined_parts)
{
    crash_engines(2, {fatal});
    BOOST_TEST(subject.may_send(now, prompt(fatal)));
    crash_engines(1, {fatal});
    BOOST_TEST(!subject.may_send(now, prompt(fatal)));
}

BOOST_FIXTURE_TEST_CASE(is_refused_for_the_rest_of_its_prompt_only,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    BOOST_TEST(subject.is_refused(fatal));
    BOOST_TEST(!subject.is_refused(shared));
    BOOST_TEST(subject.may_send(now, prompt(sound)));
}

BOOST_FIXTURE_TEST_CASE(is_never_the_last_one, quarantined_parts)
{
    crash_engines(9, {fatal});
    BOOST_TEST(!subject.is_refused(last));
}

BOOST_FIXTURE_TEST_CASE(is_the_shared_one_if_nothing_else_was_in_all_of_them,
                        quarantined_parts)
{
    crash_engines(1, {10});
    crash_engines(1, {11});
    crash_engines(1, {12});
    BOOST_TEST(subject.is_refused(shared));
}

BOOST_FIXTURE_TEST_CASE(is_not_refused_if_another_was_in_more_of_them,
                        quarantined_parts)
{
    crash_engines(3, {fatal, sound});
    crash_engines(1, {fatal});
    BOOST_TEST(subject.is_refused(fatal));
    BOOST_TEST(!subject.is_refused(sound));
    BOOST_TEST(!subject.is_refused(shared));
}

BOOST_FIXTURE_TEST_CASE(counts_a_crash_once, quarantined_parts)
{
    for (int i = 0; i < 5; ++i)
    {
        suspect_parts_in_flight parts;
        add_suspects(parts, suspect_parts(prompt(fatal)), milliseconds(150));
        now += seconds(1);
        subject.crashed(now, crash(1), parts);
    }
    BOOST_TEST(!subject.is_refused(fatal));
}

BOOST_FIXTURE_TEST_CASE(counts_crashes_of_one_moment_once, quarantined_parts)
{
    crash_engines(1, {fatal});
    now += milliseconds(300);
    for (int i = 0; i < 20; ++i)
    {
        crash_engine({fatal}, milliseconds(10) * i);
        now += milliseconds(2);
    }
    BOOST_TEST(!subject.is_refused(fatal));
    crash_engines(1, {fatal});
    BOOST_TEST(subject.is_refused(fatal));
}

BOOST_FIXTURE_TEST_CASE(counts_crashes_whose_requests_waited_long_by_their_time,
                        quarantined_parts)
{
    for (int i = 0; i < 3; ++i)
    {
        now += seconds(3);
        crash_engine({fatal}, seconds(60));
    }
    BOOST_TEST(subject.is_refused(fatal));
}

BOOST_FIXTURE_TEST_CASE(is_found_though_its_requests_were_sent_before,
                        quarantined_parts)
{
    for (int i = 0; i < 3; ++i)
    {
        now += milliseconds(300);
        crash_engine({fatal}, seconds(2));
    }
    BOOST_TEST(subject.is_refused(fatal));
}

BOOST_FIXTURE_TEST_CASE(is_not_found_by_those_beside_crashes_without_it,
                        quarantined_parts)
{
    for (int i = 0; i < 3; ++i)
    {
        now += milliseconds(300);
        crash_engine({fatal}, seconds(2));
        crash_engine({}, seconds(2));
    }
    BOOST_TEST(!subject.is_refused(fatal));
}

BOOST_AUTO_TEST_SUITE(and_then_in_an_answer)

BOOST_FIXTURE_TEST_CASE(is_free_again, quarantined_parts)
{
    crash_engines(2, {sound});
    auto const marks = subject.marks_of(prompt(sound));
    subject.answered(now, marks);
    crash_engines(2, {sound});
    BOOST_TEST(subject.may_send(now, prompt(sound)));
}

BOOST_FIXTURE_TEST_CASE(keeps_the_marks_that_came_after_it_was_sent,
                        quarantined_parts)
{
    auto const marks = subject.marks_of(prompt(fatal));
    crash_engines(3, {fatal});
    subject.answered(now, marks);
    BOOST_TEST(subject.is_refused(fatal));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_it_is_refused)

BOOST_FIXTURE_TEST_CASE(is_tried_now_and_then_until_it_is_certain,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    BOOST_TEST(!subject.may_send(now + milliseconds(1'999), prompt(fatal)));
    time_point const later = now + seconds(16);
    BOOST_TEST(subject.may_send(later, prompt(fatal)));
    BOOST_TEST(!subject.may_send(later + milliseconds(1), prompt(fatal)));
    crash_engines(2, {fatal});
    BOOST_TEST(!subject.may_send(now + minutes(5), prompt(fatal)));
}

BOOST_FIXTURE_TEST_CASE(is_tried_by_one_vm_at_a_time_in_a_fleet_of_any_size,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    for (std::size_t const vms : {2u, 9u, 86u, 195u})
    {
        std::size_t trials = 0;
        for (std::size_t rank = 0; rank < vms; ++rank)
        {
            prompt_part_quarantine vm(options("vm-" + std::to_string(rank)));
            vm.set_position({rank, vms});
            vm.merge(now, subject.refused_state(now));
            trials += vm.may_send(now + seconds(7), prompt(fatal)) ? 1 : 0;
        }
        BOOST_TEST(trials <= 3u, vms << " VMs");
        BOOST_TEST(trials >= 1u, vms << " VMs");
    }
}

BOOST_FIXTURE_TEST_CASE(has_callers_return_when_it_may_be_tried,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    auto const early = subject.refusal_of(now, prompt(fatal));
    BOOST_REQUIRE(early.has_value());
    BOOST_TEST((early->retry_after == seconds(2)));
    crash_engines(2, {fatal});
    auto const certain = subject.refusal_of(now, prompt(fatal));
    BOOST_REQUIRE(certain.has_value());
    BOOST_TEST((certain->retry_after == minutes(10)));
}

BOOST_FIXTURE_TEST_CASE(is_forgotten_at_last, quarantined_parts)
{
    crash_engines(5, {fatal});
    subject.tick(now + minutes(10) + seconds(1));
    BOOST_TEST(subject.size() == 0u);
    BOOST_TEST(subject.may_send(now + minutes(11), prompt(fatal)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_several_vms)

BOOST_FIXTURE_TEST_CASE(is_refused_at_all_however_the_messages_come,
                        quarantined_parts)
{
    prompt_part_quarantine other(options("other"));
    prompt_part_quarantine hears_at_once(options("another"));
    crash_engines(2, {fatal, sound});
    prompt_part_delta const first = subject.take_changes(now);
    hears_at_once.merge(now, first);
    subject.answered(now, subject.marks_of(prompt(sound)));
    crash_engines(1, {fatal});
    prompt_part_delta const second = subject.take_changes(now);
    hears_at_once.merge(now, second);
    BOOST_TEST(hears_at_once.is_refused(fatal));
    // Messages that are late make crashes look later than they were; refusals
    // are repeated.
    prompt_part_delta const repeated = subject.refused_state(now);
    for (prompt_part_delta const& delta :
         {second, first, repeated, second, first})
    {
        other.merge(now, delta);
    }
    BOOST_TEST(other.is_refused(fatal));
    BOOST_TEST(!other.is_refused(sound));
    BOOST_TEST(other.marks_of(prompt(sound)).size() ==
               subject.marks_of(prompt(sound)).size());
    BOOST_TEST(!other.take_changes(now).empty());
    other.merge(now, first);
    BOOST_TEST(other.take_changes(now).empty());
}

BOOST_FIXTURE_TEST_CASE(is_refused_at_one_that_starts_later, quarantined_parts)
{
    crash_engines(5, {fatal});
    prompt_part_quarantine other(options("other"));
    other.merge(now, subject.refused_state(now));
    BOOST_TEST(!other.may_send(now + minutes(1), prompt(fatal)));
    BOOST_TEST(other.may_send(now + minutes(1), prompt(sound)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
