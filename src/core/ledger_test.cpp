#include "core/ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace amarantharch;

namespace
{

constexpr duration window = std::chrono::minutes(10);

time_point at(std::int64_t seconds)
{
    return from_micros(1'700'000'000'000'000) + std::chrono::seconds(seconds);
}

// A log that the VMs of a test share.
struct shared_log
{
    std::vector<log_record> records;
    log_offset first_retained = 1;

    log_offset end() const
    {
        return records.size() + 1;
    }

    void append(time_point time, std::string payload)
    {
        records.push_back({{end(), 0}, {}, std::move(payload), time});
    }

    log_batch read(log_offset from) const
    {
        log_batch batch;
        batch.stream = log_stream::requests;
        batch.first_retained = first_retained;
        batch.next = end();
        batch.end = end();
        for (auto i = std::max(from, first_retained); i < end(); ++i)
        {
            batch.records.push_back(records[i - 1]);
        }
        return batch;
    }
};

// One VM whose appends take effect when the test says so.
struct vm
{
    shared_log& log;
    std::vector<ledger_effect> effects;
    std::vector<std::string> unsent;
    ledger core;

    vm(shared_log& shared, std::string name, ledger_options options = {})
        : log(shared),
          core(named(std::move(options), std::move(name)),
               [this](ledger_effect effect) { take(std::move(effect)); })
    {
    }

    static ledger_options named(ledger_options options, std::string name)
    {
        options.vm = std::move(name);
        options.incarnation = 1;
        options.window = window;
        return options;
    }

    void take(ledger_effect effect)
    {
        if (auto* append = std::get_if<append_record>(&effect))
        {
            unsent.push_back(std::move(append->payload));
            return;
        }
        effects.push_back(std::move(effect));
    }

    void flush(time_point now)
    {
        for (auto& payload : unsent)
        {
            log.append(now, std::move(payload));
        }
        unsent.clear();
    }

    void read(time_point now)
    {
        core.apply(now, log.read(core.next_offset()));
    }

    // Appends and reads until the ledger emits no more records.
    void settle(time_point now)
    {
        do
        {
            flush(now);
            read(now);
        } while (!unsent.empty());
    }

    void submit(time_point now, request_id const& request, request_key key,
                bool asynchronous = false, std::uint64_t content = 7)
    {
        submission what;
        what.request = request;
        what.key = key;
        what.content = content;
        what.asynchronous = asynchronous;
        what.call = {request, "o", "s", "POST", "/claims", {}, "body"};
        core.submit(now, std::move(what));
    }

    template <typename Effect>
    Effect last()
    {
        BOOST_REQUIRE(!effects.empty());
        BOOST_REQUIRE(std::holds_alternative<Effect>(effects.back()));
        auto effect = std::get<Effect>(effects.back());
        effects.clear();
        return effect;
    }

    std::string reason()
    {
        return last<refused_reply>().why.reason;
    }
};

struct two_vms
{
    shared_log log;
    vm a{log, "a"};
    vm b{log, "b"};
    request_key key{1, 2};

    two_vms()
    {
        both(at(0));
    }

    void both(time_point now)
    {
        a.core.tick(now);
        b.core.tick(now);
        a.settle(now);
        b.settle(now);
        a.read(now);
    }

    // Runs the key at `a` to its outcome.
    void finish(time_point now, std::string answer)
    {
        a.submit(now, "r1", key);
        both(now);
        auto const run = a.last<run_request>();
        a.core.finish(now, run.run,
                      {verdict::ran, 201, "text/plain", std::move(answer)});
        both(now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_ledger)
BOOST_AUTO_TEST_SUITE(that_has_an_outcome)

BOOST_FIXTURE_TEST_CASE(gives_it_to_repeats_at_any_vm, two_vms)
{
    finish(at(1), "stall 7");
    b.submit(at(2), "r2", key);
    auto const reply = b.last<stored_outcome_reply>();
    BOOST_TEST(reply.outcome.status == 201);
    BOOST_TEST(reply.outcome.answer == "stall 7");
}

BOOST_FIXTURE_TEST_CASE(says_when_the_answer_was_too_large_to_keep, two_vms)
{
    finish(at(1), std::string(100'000, 'x'));
    b.submit(at(2), "r2", key);
    auto const reply = b.last<stored_outcome_reply>();
    BOOST_TEST((reply.outcome.run == verdict::ran));
    BOOST_TEST(!reply.outcome.answer_kept);
}

BOOST_FIXTURE_TEST_CASE(refuses_the_key_for_another_content, two_vms)
{
    finish(at(1), "stall 7");
    b.submit(at(2), "r2", key, false, 8);
    BOOST_TEST(b.reason() == ledger_reasons::key_reused);
}

BOOST_FIXTURE_TEST_CASE(runs_the_key_anew_after_the_repeat_window, two_vms)
{
    finish(at(1), "stall 7");
    submission what;
    what.request = "r2";
    what.key = key;
    what.content = 7;
    what.repeat_window = std::chrono::seconds(30);
    b.core.submit(at(100), what);
    both(at(100));
    BOOST_TEST(b.last<run_request>().request == "r2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_cannot_decide)

BOOST_FIXTURE_TEST_CASE(refuses_at_once_while_the_log_is_out, two_vms)
{
    a.core.set_reachable(at(1), false);
    a.submit(at(1), "r1", key);
    auto const why = a.last<refused_reply>().why;
    BOOST_TEST(why.reason == ledger_reasons::log_unreachable);
    BOOST_TEST((why.run == verdict::not_run));
    BOOST_TEST((why.retry_after > duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(gives_up_in_time_and_gives_back_what_it_obtains,
                        two_vms)
{
    a.submit(at(1), "r1", key);
    a.core.tick(at(4));
    BOOST_TEST((a.last<refused_reply>().why.run == verdict::not_run));
    both(at(5));
    BOOST_TEST(a.effects.empty());
    b.submit(at(6), "r2", key);
    both(at(6));
    BOOST_TEST(b.last<run_request>().request == "r2");
}

BOOST_FIXTURE_TEST_CASE(does_not_say_not_run_of_a_request_it_may_have_kept,
                        two_vms)
{
    a.submit(at(1), "r1", key, true);
    a.core.tick(at(4));
    auto const why = a.last<refused_reply>().why;
    BOOST_TEST((why.run == verdict::may_have_run));
    BOOST_TEST(why.reason == ledger_reasons::acceptance_unknown);
}

BOOST_FIXTURE_TEST_CASE(refuses_at_its_limits, two_vms)
{
    ledger_options options;
    options.max_keys = 3;
    vm c{log, "c", options};
    c.settle(at(1));
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        c.submit(at(1), "r", request_key{i, i});
        c.settle(at(1));
    }
    c.submit(at(1), "r", request_key{9, 9});
    BOOST_TEST(c.reason() == ledger_reasons::full);
    submission large;
    large.asynchronous = true;
    large.call.body = std::string(options.max_body_bytes + 1, 'x');
    a.core.submit(at(1), large);
    BOOST_TEST(a.reason() == ledger_reasons::body_too_large);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_begins_after_the_retention)

BOOST_FIXTURE_TEST_CASE(decides_nothing_before_a_window_has_passed, two_vms)
{
    finish(at(1), "stall 7");
    log.first_retained = log.end();
    log.append(at(2), encode(clock_record{}));
    vm c{log, "c"};
    c.settle(at(2));
    c.submit(at(2), "r2", key);
    BOOST_TEST(c.reason() == ledger_reasons::not_ready);
    c.core.tick(at(603));
    c.settle(at(603));
    BOOST_TEST(c.core.ready());
}

BOOST_FIXTURE_TEST_CASE(takes_a_peers_snapshot_and_goes_on_from_there, two_vms)
{
    finish(at(1), "stall 7");
    auto const snapshot = a.core.snapshot();
    log.first_retained = log.end();
    vm c{log, "c"};
    BOOST_TEST(c.core.restore(at(2), snapshot).ok());
    BOOST_TEST(c.core.next_offset() == a.core.next_offset());
    c.settle(at(2));
    c.submit(at(2), "r2", key);
    BOOST_TEST(c.last<stored_outcome_reply>().outcome.answer == "stall 7");
    BOOST_TEST(!c.core.restore(at(2), snapshot).ok());
}

BOOST_FIXTURE_TEST_CASE(starts_nothing_that_may_have_been_started_unread,
                        two_vms)
{
    // a records an acceptance. The start is in the part of the log that c never
    // reads; c reads only a copy of the acceptance, written before that start.
    a.submit(at(1), "r1", key, true);
    a.flush(at(1));
    auto const acceptance = log.records.back().payload;
    a.read(at(1));
    both(at(1));
    log.first_retained = log.end();
    log.append(at(2), acceptance);
    vm c{log, "c"};
    c.settle(at(2));
    for (int second = 3; second < 1200; second += 50)
    {
        c.core.tick(at(second));
        c.settle(at(second));
    }
    BOOST_TEST(c.core.ready());
    BOOST_TEST(c.effects.empty());
}

BOOST_FIXTURE_TEST_CASE(takes_a_release_of_what_it_does_not_know_for_no_right,
                        two_vms)
{
    // z releases a right that it never had. Another VM obtained the key in the
    // part of the log that c never reads, and the key is claimed repeatedly.
    log.append(at(1), encode(clock_record{}));
    log.first_retained = log.end();
    release_record release;
    release.header.key = key;
    release.header.run = {"z", 1, 1};
    release.header.basis.time_us = to_micros(at(1));
    log.append(at(2), encode(release));
    vm c{log, "c"};
    for (int second = 3; second < 1200; second += 300)
    {
        intent_record intent;
        intent.header.key = key;
        intent.header.run = {"z", 1, 2};
        intent.header.basis.time_us = to_micros(at(second));
        log.append(at(second), encode(intent));
        c.settle(at(second));
    }
    BOOST_TEST(c.core.ready());
    c.submit(at(1200), "r2", key, false, 0);
    BOOST_TEST(c.reason() == ledger_reasons::in_progress);
}

BOOST_FIXTURE_TEST_CASE(still_finds_what_was_accepted_long_before, two_vms)
{
    acceptance_record acceptance;
    acceptance.header.key = key;
    acceptance.header.run = {"z", 1, 1};
    acceptance.header.basis = {log.end() - 1, to_micros(at(1))};
    acceptance.call = {"r1", "o", "s", "POST", "/claims", {}, "body"};
    log.append(at(1), encode(acceptance));
    ledger_options no_takeover;
    no_takeover.takeover_delay = std::chrono::hours(24);
    vm keeper{log, "keeper", no_takeover};
    for (int second = 1; second <= 1400; second += 50)
    {
        keeper.core.tick(at(second));
        keeper.settle(at(second));
    }
    log.first_retained = 1;
    while (log.records[log.first_retained - 1].time < at(150))
    {
        ++log.first_retained;
    }
    vm c{log, "c"};
    c.settle(at(1401));
    BOOST_TEST(c.core.ready());
    BOOST_TEST(c.core.keys() == 1U);
    BOOST_TEST(log.end() - log.first_retained > 1U);
    c.core.tick(at(1420));
    c.settle(at(1420));
    BOOST_TEST(c.last<run_request>().call.body == "body");
}

BOOST_AUTO_TEST_CASE(takes_no_damage_from_malformed_snapshots)
{
    two_vms session;
    session.finish(at(1), "stall 7");
    auto const snapshot = session.a.core.snapshot();
    std::mt19937_64 random(5);
    for (std::size_t size = 0; size < snapshot.size(); ++size)
    {
        vm c{session.log, "c"};
        auto truncated = snapshot.substr(0, size);
        BOOST_TEST(!c.core.restore(at(2), truncated).ok());
        auto changed = snapshot;
        changed[size] = static_cast<char>(random());
        static_cast<void>(c.core.restore(at(2), changed));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_reads_records)

BOOST_AUTO_TEST_CASE(skips_what_no_vm_wrote)
{
    intent_record intent;
    intent.header.key = {1, 2};
    intent.header.run = {"a", 1, 1};
    auto const payload = encode(intent);
    auto const read = decode_ledger_record(payload);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(encode(*read) == payload);
    for (std::size_t size = 0; size < payload.size(); ++size)
    {
        BOOST_TEST(!decode_ledger_record(payload.substr(0, size)).ok());
    }
    std::mt19937_64 random(3);
    for (int i = 0; i < 20'000; ++i)
    {
        auto changed = payload;
        changed[random() % changed.size()] = static_cast<char>(random());
        static_cast<void>(decode_ledger_record(changed));
    }
}

BOOST_AUTO_TEST_CASE(does_not_allocate_what_a_few_bytes_claim)
{
    // An array of 2^32 - 1 elements, of which none follows.
    std::string const array("\xdd\xff\xff\xff\xff", 5);
    BOOST_TEST(!decode_ledger_record(array).ok());
    ledger_table table(window, 0);
    BOOST_TEST(!table.restore(array).ok());
}

BOOST_FIXTURE_TEST_CASE(keeps_a_key_that_is_asked_for_again_and_again, two_vms)
{
    // Records that lose extend the lifetime of their key too, for every reader.
    for (int second = 1; second <= 1801; second += 300)
    {
        intent_record intent;
        intent.header.key = key;
        intent.header.run = {"z", 1, static_cast<std::uint64_t>(second)};
        intent.header.basis = {0, to_micros(at(second - 10))};
        intent.content = 7;
        log.append(at(second), encode(intent));
        both(at(second));
    }
    b.submit(at(1802), "r2", key);
    BOOST_TEST(b.reason() == ledger_reasons::in_progress);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_key)

BOOST_AUTO_TEST_CASE(differs_wherever_a_part_differs)
{
    auto const key = key_from_content("o", "c", "POST /x", "body");
    BOOST_TEST((key == key_from_content("o", "c", "POST /x", "body")));
    BOOST_TEST((key != key_from_content("oc", "", "POST /x", "body")));
    BOOST_TEST((key != key_from_content("o", "c", "POST /xb", "ody")));
    BOOST_TEST((key_from_header("o", "k") != key_from_header("ok", "")));
    BOOST_TEST(to_string(request_key{1, 2}) ==
               "00000000000000010000000000000002");
}

BOOST_AUTO_TEST_SUITE_END()
