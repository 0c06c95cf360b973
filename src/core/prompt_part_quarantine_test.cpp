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

    // Crashes `count` engines with a request of each of these second parts in
    // flight.
    void crash_engines(std::uint64_t count,
                       std::vector<std::uint64_t> const& seconds_in_flight)
    {
        for (std::uint64_t i = 0; i < count; ++i)
        {
            prompt_places parts;
            for (std::uint64_t const second : seconds_in_flight)
            {
                parts.merge(suspect_parts(prompt(second)));
            }
            subject.crashed(start, crash(++crashes), parts);
        }
    }

    prompt_part_quarantine subject;
    std::uint64_t crashes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_prompt_part_that_was_in_flight_at_crashes)

BOOST_FIXTURE_TEST_CASE(is_refused_after_the_third_crash, quarantined_parts)
{
    crash_engines(2, {fatal});
    BOOST_TEST(subject.may_send(start, prompt(fatal)));
    crash_engines(1, {fatal});
    BOOST_TEST(!subject.may_send(start, prompt(fatal)));
}

BOOST_FIXTURE_TEST_CASE(is_refused_for_the_rest_of_its_prompt_only,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    BOOST_TEST(subject.is_refused(fatal));
    BOOST_TEST(!subject.is_refused(shared));
    BOOST_TEST(subject.may_send(start, prompt(sound)));
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
        subject.crashed(start, crash(1), suspect_parts(prompt(fatal)));
    }
    BOOST_TEST(!subject.is_refused(fatal));
}

BOOST_AUTO_TEST_SUITE(and_then_in_an_answer)

BOOST_FIXTURE_TEST_CASE(is_free_again, quarantined_parts)
{
    crash_engines(2, {sound});
    auto const marks = subject.marks_of(prompt(sound));
    subject.answered(start, marks);
    crash_engines(2, {sound});
    BOOST_TEST(subject.may_send(start, prompt(sound)));
}

BOOST_FIXTURE_TEST_CASE(keeps_the_marks_that_came_after_it_was_sent,
                        quarantined_parts)
{
    auto const marks = subject.marks_of(prompt(fatal));
    crash_engines(3, {fatal});
    subject.answered(start, marks);
    BOOST_TEST(subject.is_refused(fatal));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_it_is_refused)

BOOST_FIXTURE_TEST_CASE(is_tried_now_and_then_until_it_is_certain,
                        quarantined_parts)
{
    crash_engines(3, {fatal});
    BOOST_TEST(!subject.may_send(start + milliseconds(1'999), prompt(fatal)));
    time_point const later = start + seconds(16);
    BOOST_TEST(subject.may_send(later, prompt(fatal)));
    BOOST_TEST(!subject.may_send(later + milliseconds(1), prompt(fatal)));
    crash_engines(2, {fatal});
    BOOST_TEST(!subject.may_send(start + minutes(5), prompt(fatal)));
}

BOOST_FIXTURE_TEST_CASE(is_forgotten_at_last, quarantined_parts)
{
    crash_engines(5, {fatal});
    subject.tick(start + minutes(10) + seconds(1));
    BOOST_TEST(subject.size() == 0u);
    BOOST_TEST(subject.may_send(start + minutes(11), prompt(fatal)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_several_vms)

BOOST_FIXTURE_TEST_CASE(is_refused_at_all_however_the_messages_come,
                        quarantined_parts)
{
    prompt_part_quarantine other(options("other"));
    crash_engines(2, {fatal, sound});
    prompt_part_delta const first = subject.take_changes();
    subject.answered(start, subject.marks_of(prompt(sound)));
    crash_engines(1, {fatal});
    prompt_part_delta const second = subject.take_changes();
    for (prompt_part_delta const& delta : {second, first, second, first})
    {
        other.merge(start, delta);
    }
    BOOST_TEST(other.is_refused(fatal));
    BOOST_TEST(!other.is_refused(sound));
    BOOST_TEST(other.marks_of(prompt(sound)).size() ==
               subject.marks_of(prompt(sound)).size());
    BOOST_TEST(!other.take_changes().empty());
    other.merge(start, first);
    BOOST_TEST(other.take_changes().empty());
}

BOOST_FIXTURE_TEST_CASE(is_refused_at_one_that_starts_later, quarantined_parts)
{
    crash_engines(5, {fatal});
    prompt_part_quarantine other(options("other"));
    other.merge(start, subject.refused_state());
    BOOST_TEST(!other.may_send(start + minutes(1), prompt(fatal)));
    BOOST_TEST(other.may_send(start + minutes(1), prompt(sound)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
