#include "core/duty_log.hpp"

#include "core/bounded_unpack.hpp"

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

    // An append without an answer that is stored later, if the log then still
    // ends where the append wants it to.
    struct late_append
    {
        time_point at;
        append_duty_record what;
    };
    std::vector<late_append> late;

    void store_late_appends()
    {
        for (late_append const& append : late)
        {
            if (append.at <= now && append.what.at == records.size())
            {
                records.push_back(append.what.record);
            }
        }
        std::erase_if(late, [this](late_append const& append)
                      { return append.at <= now; });
    }

    // The log comes back without its last `count` records.
    void lose(std::size_t count)
    {
        records.resize(records.size() - std::min(count, records.size()));
        ++era;
    }
};

struct vm
{
    vm(environment& shared, std::string name, std::uint64_t incarnation = 1)
        : name_(std::move(name)), environment_(shared)
    {
        duty_log_options options;
        options.vm = name_;
        options.incarnation = incarnation;
        log = std::make_unique<duty_log>(options);
    }

    void step()
    {
        if (stopped)
        {
            return;
        }
        // Each VM counts differently, so that reports by two of them differ.
        if (counting && ++steps % (1 + name_.front() % 5) == 0)
        {
            usage.on_request_started(environment_.now, "organisation");
        }
        log->tick(environment_.now, watches, false, usage, demand,
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
        auto const first = environment_.records.begin() +
                           static_cast<std::ptrdiff_t>(what.from);
        auto const left = environment_.records.end() - first;
        batch.records.assign(first, first + std::min(left, page_records));
        records_read += batch.records.size();
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
        if (delay_next_append > duration::zero())
        {
            environment_.late.push_back(
                {environment_.now + delay_next_append, what});
            delay_next_append = duration::zero();
            log->on_append(environment_.now, absl::UnknownError("timeout"));
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
    service_demand demand;
    std::unique_ptr<duty_log> log;
    // The most records that an answer of the log holds.
    static constexpr std::ptrdiff_t page_records = 50;
    std::size_t records_read = 0;
    int steps = 0;
    bool stopped = false;
    bool watches = true;
    bool counting = true;
    bool lose_next_answer = false;
    duration delay_next_append{};
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
            shared.store_late_appends();
            for (auto const& member : vms)
            {
                member->step();
            }
        }
    }

    // Another process of the VM starts; an earlier one may go on.
    vm& start_again(std::string const& name)
    {
        vms.push_back(std::make_unique<vm>(shared, name, ++incarnation));
        return *vms.back();
    }

    // All processes end; each VM starts again after its time in `after`.
    void kill_all(std::vector<duration> const& after)
    {
        std::vector<std::pair<time_point, std::string>> starts;
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            starts.emplace_back(shared.now + after[i % after.size()],
                                vms[i]->name_);
        }
        vms.clear();
        std::sort(starts.begin(), starts.end());
        for (auto const& [at, name] : starts)
        {
            run(std::max(at - shared.now, duration::zero()));
            start_again(name);
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
    std::uint64_t incarnation = 1;
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

// Whether actions of two different VMs follow each other within less than
// `lease`.
bool switches_within(std::vector<action> const& actions, duration lease)
{
    return std::adjacent_find(actions.begin(), actions.end(),
                              [lease](action const& first, action const& next) {
                                  return first.vm != next.vm &&
                                         next.at - first.at < lease;
                              }) != actions.end();
}

// Whether every window that ended in `span` before `now`, but not in its last
// ten seconds, was reported within ten seconds of its end.
bool all_in_time(environment const& shared, time_point from)
{
    usage_windows const usage(window);
    for (window_number w = usage.window_at(from);
         usage.end_of(w) + seconds(10) <= shared.now; ++w)
    {
        bool const in_time = std::any_of(
            shared.accepted.begin(), shared.accepted.end(),
            [&](action const& a)
            { return a.window == w && a.at < usage.end_of(w) + seconds(10); });
        if (!in_time)
        {
            return false;
        }
    }
    return true;
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
            // Records of counts come each second: 24 span as long as 6 did
            // before there were any.
            all.shared.lose(random() % (seed % 2 == 0 ? 6 : 24));
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

BOOST_AUTO_TEST_SUITE(when_all_vms_are_killed)

// Guards against the wait for takeover_timeout, which made the next window
// late: at every moment of a window, with every order of restarts.
BOOST_AUTO_TEST_CASE(reports_the_windows_around_it_in_time)
{
    std::vector<std::vector<duration>> const restarts = {
        {seconds(1), seconds(2), seconds(3)},
        {seconds(3), seconds(2), seconds(1)},
        {seconds(3), seconds(3), seconds(3)},
        {milliseconds(1'050), milliseconds(1'050), milliseconds(1'050)},
    };
    for (auto const& after : restarts)
    {
        for (int ms = 0; ms < 5'000; ms += 250)
        {
            fleet all(3);
            all.run(seconds(21) + milliseconds(ms));
            std::string const name = all.holder().name_;
            all.kill_all(after);
            all.run(seconds(20));
            BOOST_TEST(all.holder().name_ == name, ms);
            BOOST_TEST(all.holder().log->describe().ends_with("resumed=true"),
                       ms);
            BOOST_TEST(all_in_time(all.shared, start + seconds(10)), ms);
            BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)), ms);
            windows_reported(all.shared.accepted);
        }
    }
}

// Guards against a holder that does not claim because membership does not name
// it as a watcher after its restart.
BOOST_AUTO_TEST_CASE(resumes_at_a_vm_that_does_not_watch)
{
    fleet all(1);
    all.run(seconds(21));
    all.vms.clear();
    all.run(seconds(1));
    vm& again = all.start_again("0");
    again.watches = false;
    vm& other = all.start_again("other");
    other.watches = false;
    all.run(seconds(2));
    BOOST_TEST(again.log->holds());
    BOOST_TEST(!other.log->holds());
}

// Guards against a claim by a VM that has read only a part of the log, and
// against a restart that takes as long as a log of hours needs to be read.
BOOST_AUTO_TEST_CASE(finds_the_holder_in_a_log_whose_first_records_are_old)
{
    fleet all(1);
    all.run(seconds(21));
    all.vms.clear();
    // Records of another holder precede; its claim and the present one are
    // further back than a VM reads.
    std::string const last = all.shared.records.back();
    all.shared.records.resize(1'000, last);
    vm& again = all.start_again("0");
    all.run(seconds(1));
    BOOST_TEST(again.log->holds());
    BOOST_TEST(again.records_read <= 200u);
}

// Guards against a record that was sent in an earlier era and stored behind the
// claim of another VM: it does not tell who holds the duties.
BOOST_AUTO_TEST_CASE(does_not_take_a_record_of_an_earlier_era_for_the_holders)
{
    fleet all(0);
    all.shared.era = 2;
    auto const put = [&all](duty_record_kind kind, std::string const& name,
                            std::uint64_t era)
    {
        duty_record record;
        record.kind = static_cast<std::uint8_t>(kind);
        record.vm = name;
        record.incarnation = 1;
        record.era = era;
        record.claim = kind == duty_record_kind::claim ? 0 : 1;
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, record);
        all.shared.records.emplace_back(buffer.data(), buffer.size());
    };
    put(duty_record_kind::claim, "other", 2);
    // The first of the records that are read.
    for (int i = 0; i < 71; ++i)
    {
        put(duty_record_kind::order, "0", 1);
    }
    for (int i = 0; i < 127; ++i)
    {
        put(duty_record_kind::order, "other", 2);
    }
    vm& again = all.start_again("0");
    all.run(seconds(6));
    BOOST_TEST(!again.log->holds());
    BOOST_TEST(again.log->describe().starts_with("holder=other"));
}

// Guards against the loss of counts of peers that the new process has not heard
// yet, and against a window that becomes late by waiting for them.
BOOST_AUTO_TEST_CASE(waits_for_the_counts_of_peers_but_not_too_long)
{
    for (int ms = 0; ms < 5'000; ms += 250)
    {
        fleet all(1);
        all.run(seconds(20) + milliseconds(ms));
        std::size_t const before = all.shared.accepted.size();
        all.vms.clear();
        all.run(seconds(1));
        all.start_again("0");
        time_point const started = all.shared.now;
        all.run(seconds(12));
        auto const first = std::find_if(
            all.shared.accepted.begin() + static_cast<std::ptrdiff_t>(before),
            all.shared.accepted.end(),
            [&](action const& a)
            {
                return std::none_of(all.shared.accepted.begin(),
                                    all.shared.accepted.begin() +
                                        static_cast<std::ptrdiff_t>(before),
                                    [&](action const& b)
                                    { return b.window == a.window; });
            });
        BOOST_REQUIRE((first != all.shared.accepted.end()));
        BOOST_TEST((first->at >= started + seconds(2)), ms);
        BOOST_TEST(all_in_time(all.shared, start + seconds(10)), ms);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_holder_starts_again_while_its_earlier_process)

struct fault
{
    char const* name;
    void (*begin)(vm& earlier);
    void (*end)(vm& earlier);
};

// Guards against two processes of one VM that both act, or take the duties from
// each other in turn.
BOOST_AUTO_TEST_CASE(is_alive_suspended_or_cut_off_the_later_one_supersedes)
{
    std::vector<fault> const faults = {
        {"alive", [](vm&) {},
         [](vm&) {
         }},
        {"suspended", [](vm& earlier) { earlier.stopped = true; },
         [](vm& earlier)
         {
             earlier.stopped = false;
         }},
        {"append lost", [](vm& earlier) { earlier.lose_next_answer = true; },
         [](vm&) {
         }},
        {"append stored late",
         [](vm& earlier) { earlier.delay_next_append = milliseconds(700); },
         [](vm&) {
         }},
        {"append stored very late",
         [](vm& earlier) { earlier.delay_next_append = seconds(4); },
         [](vm&) {
         }},
    };
    for (fault const& f : faults)
    {
        for (int ms = 0; ms < 5'000; ms += 200)
        {
            BOOST_TEST_CONTEXT(f.name << " at " << ms)
            {
                fleet all(3);
                all.run(seconds(21) + milliseconds(ms));
                vm& earlier = all.holder();
                f.begin(earlier);
                all.run(milliseconds(600));
                vm& later = all.start_again(earlier.name_);
                all.run(seconds(1));
                std::size_t const resumed = all.shared.accepted.size();
                f.end(earlier);
                all.run(seconds(20));
                BOOST_TEST(later.log->holds());
                BOOST_TEST(!earlier.log->holds());
                BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)));
                BOOST_TEST(all_in_time(all.shared, start + seconds(10)));
                windows_reported(all.shared.accepted);
                // The earlier process acts no more.
                fence_number greatest = 0;
                for (std::size_t i = resumed; i < all.shared.accepted.size();
                     ++i)
                {
                    BOOST_TEST(all.shared.accepted[i].fence >= greatest);
                    greatest = std::max(greatest, all.shared.accepted[i].fence);
                }
            }
        }
    }
}

// Guards against a claim at once by a process that is not the later one: an
// earlier one that wakes, or one that started with a clock set back.
BOOST_AUTO_TEST_CASE(is_the_later_one_by_its_incarnation_it_waits)
{
    fleet all(1);
    all.incarnation = 10;
    all.vms.clear();
    all.start_again("0");
    all.run(seconds(21));
    all.vms.clear();
    all.incarnation = 5;
    vm& set_back = all.start_again("0");
    all.run(seconds(6));
    BOOST_TEST(!set_back.log->holds());
    all.run(seconds(3));
    BOOST_TEST(set_back.log->holds());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_restarted_holder_meets_another_vm)

// Guards against actions of A, B and A within a lease: the other VM claims
// because of silence at every moment around the restart of the holder.
BOOST_AUTO_TEST_CASE(in_a_race_the_actions_of_the_two_lie_a_lease_apart)
{
    for (int away = 5'000; away < 14'000; away += 50)
    {
        fleet all(3);
        all.run(seconds(21));
        vm& first = all.holder();
        std::string const name = first.name_;
        first.stopped = true; // for good
        all.run(milliseconds(away));
        all.start_again(name);
        all.run(seconds(20));
        BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)), away);
        windows_reported(all.shared.accepted);
    }
}

// Guards against a restarted holder that takes the duties back at once from a
// VM that has claimed them since.
BOOST_AUTO_TEST_CASE(that_has_claimed_since_it_waits_like_others)
{
    fleet all(2);
    all.run(seconds(21));
    vm& first = all.holder();
    std::string const name = first.name_;
    first.stopped = true;
    all.run(seconds(12));
    vm& second = all.holder().stopped ? *all.vms.back() : all.holder();
    BOOST_TEST(second.log->holds());
    vm& again = all.start_again(name);
    all.run(seconds(12));
    BOOST_TEST(!again.log->holds());
    BOOST_TEST(second.log->holds());
}

// Guards against a claim of the other VM that is stored between the reading and
// the append of the restarted holder, or long after it was sent.
BOOST_AUTO_TEST_CASE(whose_claim_is_stored_late_only_one_of_them_acts)
{
    for (int delay = 50; delay < 4'000; delay += 50)
    {
        fleet all(2);
        all.run(seconds(21));
        vm& first = all.holder();
        std::string const name = first.name_;
        vm& other = &first == all.vms.front().get() ? *all.vms.back()
                                                    : *all.vms.front();
        first.stopped = true;
        other.delay_next_append = milliseconds(delay);
        all.run(seconds(9));
        all.start_again(name);
        all.run(seconds(30));
        BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)), delay);
        windows_reported(all.shared.accepted);
    }
}

// Guards against a claim at once in a log that has lost the claim of another
// VM, which may have acted a moment ago.
BOOST_AUTO_TEST_CASE(in_a_log_that_lost_its_claim_it_waits)
{
    for (std::size_t lost = 1; lost < 8; ++lost)
    {
        fleet all(2);
        all.run(seconds(21));
        vm& first = all.holder();
        std::string const name = first.name_;
        first.stopped = true;
        std::size_t const known = all.shared.records.size();
        while (all.shared.records.size() < known + lost)
        {
            all.run(milliseconds(50));
        }
        // The other VM does not come back: only the restarted one acts.
        all.vms.clear();
        all.shared.lose(lost);
        vm& again = all.start_again(name);
        all.run(seconds(6));
        BOOST_TEST(!again.log->holds(), lost);
        all.run(seconds(20));
        BOOST_TEST(again.log->holds(), lost);
        BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)), lost);
        windows_reported(all.shared.accepted);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a wait for ever after one loss: once a record is written in
// the present era, a restarted holder need not wait, nor leave windows out.
BOOST_AUTO_TEST_CASE(resumes_at_once_in_a_later_era_if_its_records_are_of_it)
{
    for (int ms = 0; ms < 5'000; ms += 250)
    {
        fleet all(3);
        all.run(seconds(21));
        all.shared.lose(2);
        all.run(seconds(30) + milliseconds(ms));
        std::string const name = all.holder().name_;
        all.kill_all({seconds(1), seconds(2), seconds(3)});
        all.run(seconds(20));
        BOOST_TEST(all.holder().name_ == name, ms);
        BOOST_TEST(all_in_time(all.shared, start + seconds(45)), ms);
        windows_reported(all.shared.accepted);
    }
}

// Restarts under the same name beside the earlier process, kills of all VMs,
// suspensions, lost answers and late appends at random.
BOOST_AUTO_TEST_CASE(keeps_its_promises_under_random_restarts)
{
    for (unsigned seed = 0; seed < 1'000; ++seed)
    {
        std::mt19937 random(seed);
        fleet all(3);
        all.run(seconds(11) + milliseconds(random() % 10'000));
        for (int round = 0; round < 4; ++round)
        {
            std::size_t const chosen = random() % all.vms.size();
            std::string const name = all.vms[chosen]->name_;
            all.vms[chosen]->lose_next_answer = random() % 4 == 0;
            all.vms[chosen]->delay_next_append =
                milliseconds(random() % 3 == 0 ? random() % 9'000 : 0);
            all.vms[chosen]->stopped = random() % 3 == 0;
            all.run(milliseconds(random() % 9'000));
            if (random() % 2 == 0)
            {
                all.start_again(name);
            }
            if (random() % 3 == 0)
            {
                all.kill_all({milliseconds(1'000 + random() % 2'000),
                              milliseconds(1'000 + random() % 2'000)});
            }
            all.run(milliseconds(random() % 4'000));
            for (auto const& member : all.vms)
            {
                member->stopped = member->stopped && random() % 2 == 0;
            }
        }
        all.run(seconds(30));
        BOOST_TEST(!switches_within(all.shared.accepted, seconds(3)), seed);
        windows_reported(all.shared.accepted);
    }
}

BOOST_AUTO_TEST_SUITE(records_the_counts)

std::vector<duty_record> counts_records(environment const& shared)
{
    std::vector<duty_record> all;
    for (std::string const& bytes : shared.records)
    {
        auto const record =
            msgpack::unpack(bytes.data(), bytes.size()).get().as<duty_record>();
        if (record.kind == static_cast<std::uint8_t>(duty_record_kind::counts))
        {
            all.push_back(record);
        }
    }
    return all;
}

// Guards against more calls than the header states.
BOOST_AUTO_TEST_CASE(at_most_once_a_second_and_only_when_they_changed)
{
    fleet all(1);
    all.run(seconds(60));
    auto const records = counts_records(all.shared);
    BOOST_TEST(records.size() >= 50u);
    for (std::size_t i = 1; i < records.size(); ++i)
    {
        BOOST_TEST(records[i].made_at - records[i - 1].made_at >= 1'000'000);
    }
    all.vms.front()->counting = false;
    all.run(seconds(2));
    std::size_t const quiet = counts_records(all.shared).size();
    all.run(seconds(30));
    BOOST_TEST(counts_records(all.shared).size() == quiet);
}

// Guards against counts that are lost, or counted twice, with the process that
// held them, whatever became of its last record.
BOOST_AUTO_TEST_CASE(and_a_new_holder_adds_them_once)
{
    struct fault
    {
        char const* name;
        void (*begin)(vm& first);
    };
    std::vector<fault> const faults = {
        {"none",
         [](vm&) {
         }},
        {"answer lost",
         [](vm& first)
         {
             first.lose_next_answer = true;
         }},
        {"stored late",
         [](vm& first)
         {
             first.delay_next_append = milliseconds(800);
         }},
    };
    for (fault const& f : faults)
    {
        for (int ms = 0; ms < 5'000; ms += 300)
        {
            BOOST_TEST_CONTEXT(f.name << " at " << ms)
            {
                fleet all(1);
                all.run(seconds(15) + milliseconds(ms));
                f.begin(*all.vms.front());
                all.run(milliseconds(1'500));
                window_number const killed =
                    all.vms.front()->usage.window_at(all.shared.now);
                auto const truth =
                    all.vms.front()->usage.total(killed)["organisation"];
                all.vms.clear();
                std::uint64_t recorded = 0;
                all.run(seconds(1));
                for (duty_record const& record : counts_records(all.shared))
                {
                    for (window_counts const& row : unpack(record.known))
                    {
                        recorded = row.window == killed
                                       ? row.counts.at("organisation")
                                       : recorded;
                    }
                }
                vm& again = all.start_again("0");
                again.counting = false;
                all.run(seconds(13));
                auto const reported = std::find_if(
                    all.shared.accepted.begin(), all.shared.accepted.end(),
                    [killed](action const& a) { return a.window == killed; });
                BOOST_REQUIRE((reported != all.shared.accepted.end()));
                auto const count = reported->counts.contains("organisation")
                                       ? reported->counts.at("organisation")
                                       : 0;
                BOOST_TEST(count == recorded);
                // Twenty requests a second are counted in this test.
                BOOST_TEST(count + 50 >= truth);
                BOOST_TEST(count <= truth);
            }
        }
    }
}

// Guards against counts that are missing for the next holder after the log has
// lost the records that held them.
BOOST_AUTO_TEST_CASE(again_if_the_log_has_lost_them)
{
    fleet all(1);
    all.run(seconds(12));
    // Later counts of the organisation would hide those that are lost.
    all.vms.front()->counting = false;
    all.run(milliseconds(1'200));
    all.shared.lose(6);
    // The holder learns of the loss by its next record, which is refused.
    usage_windows& usage = all.vms.front()->usage;
    window_number const present = usage.window_at(all.shared.now);
    usage.on_request_started(all.shared.now, "another");
    all.run(milliseconds(2'500));
    recorded_usage held;
    for (duty_record const& record : counts_records(all.shared))
    {
        held.merge(unpack(record.known));
    }
    auto const known = usage.by_process(present, "0", 1);
    BOOST_TEST(!known.empty());
    BOOST_TEST(held.missing(known).empty());
}

// The record and the rules of the build before records of counts.
struct older_record
{
    std::uint8_t kind = 0;
    std::string vm;
    std::uint64_t incarnation = 0;
    window_number window = 0;
    organisation_counts counts;
    MSGPACK_DEFINE(kind, vm, incarnation, window, counts)
};

struct older_reader
{
    void read(environment const& shared)
    {
        for (; position < shared.records.size(); ++position)
        {
            std::string const& bytes = shared.records[position];
            auto const record = bounded_unpack(bytes).get().as<older_record>();
            if (record.kind == 1)
            {
                holder = record.vm;
                claim = position;
            }
            if (record.kind == 2)
            {
                reported[record.window] = record.counts;
            }
        }
    }

    std::size_t position = 0;
    std::size_t claim = 0;
    std::string holder;
    std::map<window_number, organisation_counts> reported;
};

// Guards against a log that an older build cannot follow during an update.
BOOST_AUTO_TEST_CASE(so_that_an_older_build_skips_them)
{
    fleet all(3);
    all.run(seconds(31));
    BOOST_TEST(!counts_records(all.shared).empty());
    older_reader older;
    older.read(all.shared);
    BOOST_TEST(older.position == all.shared.records.size());
    BOOST_TEST(older.holder == all.holder().name_);
    BOOST_TEST(older.claim + 1 ==
               (all.shared.accepted.back().fence & 0xFFFFFFFF));
    for (action const& a : all.shared.accepted)
    {
        BOOST_TEST((older.reported.at(a.window) == a.counts));
    }
}

// Guards against a new build that does not follow an older holder, or that
// takes a record of an unknown kind for one of its own.
BOOST_AUTO_TEST_CASE(and_follows_an_older_holder_and_unknown_kinds)
{
    fleet all(1);
    auto const put = [&all](older_record const& record)
    {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, record);
        all.shared.records.emplace_back(buffer.data(), buffer.size());
    };
    put({1, "older", 7, 0, {}});
    put({2, "older", 7, 199, {{"organisation", 3}}});
    put({9, "older", 7, 200, {{"organisation", 4}}});
    all.run(seconds(6));
    BOOST_TEST(all.vms.front()->log->describe() ==
               "holder=older fence=4294967297 resumed=false");
    BOOST_TEST(!all.vms.front()->log->holds());
    all.run(seconds(8));
    BOOST_TEST(all.vms.front()->log->holds());
    BOOST_TEST(all.shared.accepted.front().window == 199);
    BOOST_TEST(all.shared.accepted.front().counts.at("organisation") == 3u);
    BOOST_TEST((std::none_of(
        all.shared.accepted.begin(), all.shared.accepted.end(),
        [](action const& a)
        {
            return a.window == 200 &&
                   a.counts == organisation_counts{{"organisation", 4}};
        })));
}

// Guards against a capacity plan that is blind after the loss of all VMs, and
// against one that follows an estimate of long ago.
BOOST_AUTO_TEST_CASE(with_the_demand_from_which_a_new_holder_starts)
{
    for (int const away : {1, 3, 60})
    {
        fleet all(1);
        for (int i = 0; i < 20; ++i)
        {
            all.vms.front()->demand.on_admitted(all.shared.now, "pool", 500);
            all.vms.front()->demand.tick(all.shared.now);
            all.run(milliseconds(500));
        }
        double const before =
            all.vms.front()->demand.rate(all.shared.now, "pool").value_or(0);
        BOOST_TEST(before > 0);
        all.vms.clear();
        all.run(seconds(away));
        vm& again = all.start_again("0");
        all.run(seconds(1));
        auto const rate = again.demand.rate(all.shared.now, "pool");
        BOOST_TEST(rate.has_value() == (away < 20), away);
        if (rate)
        {
            BOOST_TEST(*rate > before * 0.9, away);
            BOOST_TEST(*rate < before, away);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

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
