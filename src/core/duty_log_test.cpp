#include "core/duty_log.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

duration const window = seconds(5);
time_point const start = from_micros(1'000'000'000);

// An action of a holder, as the platform received it.
struct action
{
    time_point at;
    std::string vm;
    fence_number fence;
    window_number window;
    organisation_counts counts;
};

// A fake log with conditional appends, and a fake platform that refuses fences
// below the highest one seen.
struct environment
{
    std::vector<std::string> records;
    std::vector<action> accepted;
    fence_number highest = 0;
    std::uint64_t era = 1;
    time_point now = start;

    // The log comes back without its last `count` records.
    void lose(std::size_t count)
    {
        records.resize(records.size() - std::min(count, records.size()));
        ++era;
    }
};

struct vm
{
    vm(environment& shared, std::string name)
        : name_(std::move(name)), environment_(shared)
    {
        duty_log_options options;
        options.vm = name_;
        options.incarnation = 1;
        log = std::make_unique<duty_log>(options);
    }

    void step()
    {
        if (stopped)
        {
            return;
        }
        // Each VM counts differently, so that reports by two of them differ.
        if (++steps % (1 + name_.front() % 5) == 0)
        {
            usage.on_request_started(environment_.now, "organisation");
        }
        log->tick(environment_.now, true, false, usage,
                  [this](duty_request const& what)
                  { std::visit([this](auto const& r) { answer(r); }, what); });
    }

    void answer(read_duty_log const& what)
    {
        log->on_era(environment_.now, environment_.era);
        if (what.from > environment_.records.size())
        {
            log->on_read_truncated(0);
            return;
        }
        duty_batch batch{what.from, environment_.records.size(), {}, 0};
        batch.records.assign(environment_.records.begin() +
                                 static_cast<std::ptrdiff_t>(what.from),
                             environment_.records.end());
        log->on_read(environment_.now, batch);
    }

    void answer(append_duty_record const& what)
    {
        log->on_era(environment_.now, environment_.era);
        if (what.at != environment_.records.size())
        {
            log->on_append(environment_.now,
                           absl::FailedPreconditionError("end"));
            return;
        }
        environment_.records.push_back(what.record);
        if (lose_next_answer)
        {
            lose_next_answer = false;
            log->on_append(environment_.now, absl::UnknownError("timeout"));
            return;
        }
        log->on_append(environment_.now, what.at);
    }

    void answer(report_usage const& what)
    {
        if (what.fence < environment_.highest)
        {
            log->on_reported(environment_.now, what.window,
                             absl::AbortedError("fence"));
            return;
        }
        environment_.highest = what.fence;
        environment_.accepted.push_back(
            {environment_.now, name_, what.fence, what.window, what.counts});
        log->on_reported(environment_.now, what.window, absl::OkStatus());
    }

    std::string name_;
    environment& environment_;
    usage_windows usage{window};
    std::unique_ptr<duty_log> log;
    int steps = 0;
    bool stopped = false;
    bool lose_next_answer = false;
};

struct fleet
{
    explicit fleet(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            vms.push_back(std::make_unique<vm>(shared, std::to_string(i)));
        }
    }

    void run(duration span)
    {
        for (time_point const end = shared.now + span; shared.now < end;
             shared.now += milliseconds(50))
        {
            for (auto const& member : vms)
            {
                member->step();
            }
        }
    }

    vm& holder()
    {
        return **std::find_if(vms.begin(), vms.end(),
                              [](auto const& member)
                              { return member->log->holds(); });
    }

    environment shared;
    std::vector<std::unique_ptr<vm>> vms;
};

// Whether a VM acted before and after another VM within less than `lease`.
bool alternates_within(std::vector<action> const& actions, duration lease)
{
    for (std::size_t i = 0; i < actions.size(); ++i)
    {
        for (std::size_t k = i + 1; k < actions.size(); ++k)
        {
            for (std::size_t m = k + 1; m < actions.size(); ++m)
            {
                if (actions[i].vm == actions[m].vm &&
                    actions[k].vm != actions[i].vm &&
                    actions[m].at - actions[i].at < lease)
                {
                    return true;
                }
            }
        }
    }
    return false;
}

std::size_t windows_reported(std::vector<action> const& actions)
{
    std::map<window_number, organisation_counts> seen;
    for (action const& a : actions)
    {
        auto const [place, added] = seen.emplace(a.window, a.counts);
        BOOST_TEST((added || place->second == a.counts));
    }
    return seen.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_duty_log)

BOOST_AUTO_TEST_CASE(gives_the_duties_to_one_vm)
{
    fleet all(3);
    all.run(seconds(20));
    auto const holders =
        std::count_if(all.vms.begin(), all.vms.end(),
                      [](auto const& member) { return member->log->holds(); });
    BOOST_TEST(holders == 1);
    BOOST_TEST(windows_reported(all.shared.accepted) >= 3u);
}

BOOST_AUTO_TEST_CASE(reports_each_window_in_time)
{
    fleet all(3);
    all.run(seconds(41));
    for (action const& a : all.shared.accepted)
    {
        time_point const end = all.vms.front()->usage.end_of(a.window);
        BOOST_TEST((a.at >= end && a.at < end + seconds(10)));
    }
}

BOOST_AUTO_TEST_SUITE(when_the_holder)

BOOST_AUTO_TEST_CASE(dies_another_goes_on_and_misses_no_window)
{
    fleet all(3);
    all.run(seconds(21));
    all.holder().stopped = true;
    all.holder().log = std::make_unique<duty_log>(duty_log_options{});
    all.run(seconds(30));
    BOOST_TEST(windows_reported(all.shared.accepted) >= 9u);
    BOOST_TEST(!alternates_within(all.shared.accepted, seconds(3)));
}

BOOST_AUTO_TEST_CASE(freezes_and_wakes_it_does_not_act_between_the_others)
{
    for (int frozen_ms = 500; frozen_ms < 20'000; frozen_ms += 700)
    {
        fleet all(3);
        all.run(seconds(21) + milliseconds(frozen_ms));
        vm& first = all.holder();
        first.stopped = true;
        all.run(milliseconds(frozen_ms));
        first.stopped = false;
        all.run(seconds(20));
        BOOST_TEST(!alternates_within(all.shared.accepted, seconds(3)));
        windows_reported(all.shared.accepted);
    }
}

BOOST_AUTO_TEST_CASE(does_not_learn_that_its_record_was_stored)
{
    fleet all(2);
    all.run(seconds(11));
    vm& first = all.holder();
    first.lose_next_answer = true;
    all.run(seconds(21));
    BOOST_TEST(windows_reported(all.shared.accepted) >= 5u);
    BOOST_TEST(first.log->holds());
}

BOOST_AUTO_TEST_SUITE_END()

// Any number of records is lost at any moment, twice, and the holder may freeze
// or stop meanwhile.
BOOST_AUTO_TEST_CASE(keeps_its_promises_when_the_log_loses_its_last_records)
{
    for (unsigned seed = 0; seed < 2'000; ++seed)
    {
        std::mt19937 random(seed);
        fleet all(3);
        all.run(seconds(11) + milliseconds(random() % 10'000));
        for (int loss = 0; loss < 2; ++loss)
        {
            vm& first = *all.vms[random() % all.vms.size()];
            first.stopped = random() % 2 == 0;
            first.lose_next_answer = random() % 4 == 0;
            all.run(milliseconds(random() % 3'000));
            all.shared.lose(random() % 6);
            all.run(milliseconds(random() % 9'000));
            first.stopped = false;
            if (random() % 3 == 0)
            {
                all.vms[random() % all.vms.size()] =
                    std::make_unique<vm>(all.shared, "new");
            }
            all.run(seconds(2));
        }
        std::size_t const before = windows_reported(all.shared.accepted);
        all.run(seconds(30));
        BOOST_TEST(windows_reported(all.shared.accepted) >= before + 4, seed);
        BOOST_TEST(!alternates_within(all.shared.accepted, seconds(3)), seed);
        std::map<fence_number, std::string> holders;
        for (action const& a : all.shared.accepted)
        {
            auto const [place, added] = holders.emplace(a.fence, a.vm);
            BOOST_TEST((added || place->second == a.vm), seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(forgets_a_fence_that_was_refused)
{
    fleet all(1);
    all.run(seconds(2));
    BOOST_TEST(all.vms.front()->log->holds());
    all.vms.front()->log->on_fenced();
    BOOST_TEST(!all.vms.front()->log->holds());
    BOOST_TEST(!all.vms.front()->log->order_fence(all.shared.now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
