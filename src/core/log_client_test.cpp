#include "core/log_client.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace amarantharch;

namespace
{

std::string encoded_batch(log_offset base, std::string writer,
                          std::uint64_t sequence, std::string text)
{
    log_payload payload;
    payload.base = base;
    payload.first = {std::move(writer), 1, sequence};
    payload.records.push_back(std::move(text));
    return encode(payload);
}

// What the log does with one append.
enum class append_fault : std::uint8_t
{
    none,
    answer_lost,      // stored, but the client gets no answer
    request_lost,     // not stored, and the client gets no answer
    not_sent,         // connection refused
    refused,          // over the rate limit
    stored_twice,     // duplicated by the network, with one answer
    lost_then_stored, // no answer; stored after the client's next append
};
constexpr int append_faults = 7;

struct fake_log
{
    std::vector<std::string> stored; // stored[i] has the offset i + 1
    std::vector<std::string> delayed;
    log_offset first_retained = 1;
    bool unreachable = false;

    log_offset store(std::string const& bytes)
    {
        stored.push_back(bytes);
        return stored.size();
    }

    log_result append(send_append const& request, append_fault fault)
    {
        if (unreachable)
        {
            return append_not_sent{request.token};
        }
        auto const earlier = std::exchange(delayed, {});
        auto result = append_once(request, fault);
        for (auto const& bytes : earlier)
        {
            store(bytes);
        }
        return result;
    }

    log_result append_once(send_append const& request, append_fault fault)
    {
        switch (fault)
        {
        case append_fault::answer_lost:
            store(request.bytes);
            return append_unknown{request.token};
        case append_fault::request_lost:
            return append_unknown{request.token};
        case append_fault::not_sent:
            return append_not_sent{request.token};
        case append_fault::refused:
            return append_refused{request.token, std::chrono::milliseconds(20)};
        case append_fault::stored_twice:
            store(request.bytes);
            return append_stored{request.token, store(request.bytes)};
        case append_fault::lost_then_stored:
            delayed.push_back(request.bytes);
            return append_unknown{request.token};
        case append_fault::none:
            break;
        }
        return append_stored{request.token, store(request.bytes)};
    }

    log_result read(send_read const& request) const
    {
        if (unreachable)
        {
            return read_failed{request.token, {}};
        }
        read_done done{request.token, first_retained, stored.size() + 1, {}};
        auto const from = std::max(request.from, first_retained);
        for (auto offset = from; offset <= stored.size(); ++offset)
        {
            done.payloads.push_back({offset, {}, stored[offset - 1]});
        }
        return done;
    }
};

// A client with a transport to a fake log.
struct writer
{
    fake_log& log;
    log_client client;
    std::vector<append_fault> faults; // of the first appends, in order
    std::size_t appends = 0;
    std::vector<log_record> read;
    std::vector<bool> reachability;
    std::vector<log_batch> batches;
    time_point now = from_micros(1'000'000);

    writer(fake_log& l, std::string vm, log_client_options options = {})
        : log(l), client((options.vm = std::move(vm), options))
    {
        client.subscribe(log_stream::requests, 1);
    }

    void step()
    {
        std::vector<log_client_output> outputs;
        auto collect = [&](log_client_output o)
        {
            outputs.push_back(std::move(o));
        };
        client.tick(now, collect);
        for (std::size_t i = 0; i < outputs.size(); ++i)
        {
            auto const output = outputs[i];
            if (auto const* append = std::get_if<send_append>(&output))
            {
                auto const fault = appends < faults.size() ? faults[appends]
                                                           : append_fault::none;
                ++appends;
                client.handle(now, log.append(*append, fault), collect);
            }
            else if (auto const* request = std::get_if<send_read>(&output))
            {
                client.handle(now, log.read(*request), collect);
            }
            else if (auto const* got = std::get_if<log_read>(&output))
            {
                batches.push_back(got->batch);
                read.insert(read.end(), got->batch.records.begin(),
                            got->batch.records.end());
            }
            else
            {
                reachability.push_back(
                    std::get<log_reachability>(output).reachable);
            }
        }
        now += std::chrono::milliseconds(10);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
        }
    }

    std::vector<std::string> texts() const
    {
        std::vector<std::string> result;
        for (auto const& record : read)
        {
            result.push_back(record.payload);
        }
        return result;
    }

    record_id append(std::string text)
    {
        auto id = client.append(now, log_stream::requests, std::move(text));
        BOOST_REQUIRE(id.ok());
        return *id;
    }
};

using texts = std::vector<std::string>;

// Enough steps of 10 ms for every retry in these tests.
constexpr int settle_steps = 400;

} // namespace

BOOST_AUTO_TEST_SUITE(a_writer_of_the_log)

BOOST_AUTO_TEST_CASE(gathers_records_into_one_append)
{
    fake_log log;
    writer w(log, "vm-1");
    w.step();
    auto const first = w.append("a");
    w.append("b");
    w.run(5);
    BOOST_CHECK_EQUAL(log.stored.size(), 1U);
    BOOST_CHECK((w.texts() == texts{"a", "b"}));
    BOOST_CHECK(w.read[0].id == first);
    BOOST_CHECK_EQUAL(w.read[1].position.index, 1U);
    BOOST_CHECK_EQUAL(w.client.queued_bytes(), 0U);
}

// Under every sequence of three faults, the writer and a later reader read each
// record once, in order.
BOOST_AUTO_TEST_CASE(has_each_record_counted_once_under_any_three_faults)
{
    for (int i = 0; i < append_faults * append_faults * append_faults; ++i)
    {
        fake_log log;
        writer w(log, "vm-1");
        for (int rest = i, n = 0; n < 3; ++n, rest /= append_faults)
        {
            w.faults.push_back(static_cast<append_fault>(rest % append_faults));
        }
        w.step();
        w.append("a");
        w.append("b");
        w.run(settle_steps);
        w.append("c");
        w.run(settle_steps);
        writer late(log, "vm-2");
        late.run(3);
        BOOST_TEST_CONTEXT("faults " << i)
        {
            BOOST_CHECK((w.texts() == texts{"a", "b", "c"}));
            BOOST_CHECK((late.texts() == texts{"a", "b", "c"}));
            BOOST_CHECK_EQUAL(w.client.queued_bytes(), 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(refuses_records_when_its_queue_is_full)
{
    fake_log log;
    log.unreachable = true;
    log_client_options options;
    options.queue_bytes = 1000;
    writer w(log, "vm-1", options);
    std::size_t taken = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto id =
            w.client.append(w.now, log_stream::requests, std::string(100, 'x'));
        taken += id.ok() ? 1 : 0;
        BOOST_CHECK(id.ok() || absl::IsResourceExhausted(id.status()));
        w.step();
    }
    BOOST_CHECK_EQUAL(taken, 9U);
    BOOST_CHECK((w.reachability == std::vector<bool>{false}));
    log.unreachable = false;
    w.run(1000);
    BOOST_CHECK_EQUAL(w.read.size(), 9U);
    BOOST_CHECK((w.reachability == std::vector<bool>{false, true}));
}

BOOST_AUTO_TEST_CASE(refuses_what_it_could_not_read_back)
{
    log_client client(log_client_options{});
    auto id = client.append(from_micros(0), log_stream::control, "x");
    BOOST_CHECK(absl::IsFailedPrecondition(id.status()));
}

BOOST_AUTO_TEST_CASE(stays_within_its_share_of_the_logs_rate)
{
    fake_log log;
    log_client_options options;
    options.appends_per_second = append_share(300, 30);
    options.append_burst = 5;
    writer w(log, "vm-1", options);
    for (int i = 0; i < 1000; ++i) // 10 s
    {
        w.append("r");
        w.step();
    }
    BOOST_CHECK_LE(log.stored.size(), 5U + 10U * 10U);
    w.run(50);
    BOOST_CHECK_EQUAL(w.read.size(), 1000U);
}

BOOST_AUTO_TEST_CASE(writes_a_batch_anew_only_when_no_copy_can_count)
{
    fake_log log;
    writer w(log, "vm-1");
    w.faults = {append_fault::request_lost};
    w.step();
    w.append("a");
    w.run(1); // sent and lost
    w.client.set_appends_per_second(0);
    for (log_offset i = 0; i < batch_window + 1; ++i)
    {
        log.store(""); // appends of other VMs
    }
    w.client.set_appends_per_second(10);
    w.run(settle_steps);
    BOOST_CHECK(std::ranges::count(w.texts(), "a") == 1);
    BOOST_CHECK_EQUAL(w.client.queued_bytes(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_reader_of_the_log)

BOOST_AUTO_TEST_CASE(ignores_a_copy_beyond_the_window)
{
    fake_log log;
    auto const bytes = encoded_batch(0, "vm-9", 1, "late");
    auto const other = encoded_batch(0, "vm-8", 1, "early");
    log.store(other);
    for (log_offset i = 1; i < batch_window; ++i)
    {
        log.store("not a payload");
    }
    log.store(bytes); // one offset too late
    writer w(log, "vm-1");
    w.run(3);
    BOOST_CHECK((w.texts() == texts{"early"}));
}

BOOST_AUTO_TEST_CASE(decides_like_others_wherever_it_starts)
{
    // vm-1 writes every third batch twice, the second copy some offsets later.
    fake_log log;
    for (std::uint64_t i = 0; i < 40; ++i)
    {
        auto const base = log.stored.size();
        auto const bytes = encoded_batch(base, "vm-1", i, std::to_string(i));
        log.store(bytes);
        if (i % 3 == 0)
        {
            log.delayed.push_back(bytes);
        }
        if (i % 4 == 0)
        {
            for (auto const& copy : std::exchange(log.delayed, {}))
            {
                log.store(copy);
            }
        }
    }
    writer full_reader(log, "vm-2");
    full_reader.run(3);
    std::map<log_position, std::string> decided;
    for (auto const& record : full_reader.read)
    {
        decided[record.position] = record.payload;
    }
    for (log_offset from = 1; from <= log.stored.size(); ++from)
    {
        fake_log tail = log;
        tail.first_retained = from;
        writer tail_reader(tail, "vm-3");
        tail_reader.run(3);
        std::set<log_position> seen;
        for (auto const& record : tail_reader.read)
        {
            if (!record.possible_duplicate)
            {
                BOOST_CHECK(decided.contains(record.position));
            }
            seen.insert(record.position);
        }
        for (auto const& [position, text] : decided)
        {
            BOOST_CHECK(position.offset < from || seen.contains(position));
        }
    }
}

BOOST_AUTO_TEST_CASE(reports_a_gap_left_by_retention)
{
    fake_log log;
    writer w(log, "vm-1");
    w.append("a");
    w.run(5);
    log.unreachable = true;
    w.run(5);
    log.unreachable = false;
    log.store(encoded_batch(1, "vm-2", 1, "lost"));
    log.store(encoded_batch(2, "vm-2", 2, "kept"));
    log.first_retained = 3;
    w.run(settle_steps);
    BOOST_CHECK((w.texts() == texts{"a", "kept"}));
    BOOST_CHECK_EQUAL(w.batches.back().first_retained, 3U);
    BOOST_CHECK(w.client.caught_up(log_stream::requests));
}

BOOST_AUTO_TEST_CASE(remembers_no_more_than_the_window)
{
    fake_log log;
    writer w(log, "vm-1");
    for (std::uint64_t i = 0; i < batch_window * 2; ++i)
    {
        log.store(encoded_batch(i, "vm-2", i, "x"));
    }
    w.run(3);
    BOOST_CHECK_EQUAL(w.read.size(), batch_window * 2);
    BOOST_CHECK_LE(w.client.remembered_batches(), batch_window + 1);
}

BOOST_AUTO_TEST_CASE(reads_on_a_hint_without_polling)
{
    fake_log log;
    writer w(log, "vm-1");
    w.run(2);
    w.client.set_read_mode(log_stream::requests, read_mode::on_hint);
    log.store(encoded_batch(0, "vm-2", 1, "x"));
    w.run(10);
    BOOST_CHECK(w.read.empty());
    w.client.hint(w.now, log_stream::requests, 1, std::chrono::milliseconds(5));
    w.run(2);
    BOOST_CHECK((w.texts() == texts{"x"}));
}

BOOST_AUTO_TEST_CASE(survives_bytes_that_are_no_payload)
{
    fake_log log;
    auto const good = encoded_batch(0, "vm-2", 1, "x");
    for (std::size_t cut = 0; cut < good.size(); ++cut)
    {
        log.store(good.substr(0, cut));
    }
    log.store(std::string(1000, '\xdd')); // an array of 2^32 elements
    log.store(good);
    writer w(log, "vm-1");
    w.run(3);
    BOOST_CHECK((w.texts() == texts{"x"}));
}

BOOST_AUTO_TEST_CASE(stays_small_over_an_outage_of_hours)
{
    fake_log log;
    log.unreachable = true;
    writer w(log, "vm-1");
    w.append("a");
    int calls = 0;
    for (int i = 0; i < 4 * 3600; ++i)
    {
        auto const before = w.appends;
        w.now += std::chrono::seconds(1);
        w.step();
        calls += static_cast<int>(w.appends - before);
    }
    BOOST_CHECK_LT(calls, 4 * 3600);
    log.unreachable = false;
    w.now += std::chrono::seconds(10);
    w.run(10);
    BOOST_CHECK((w.texts() == texts{"a"}));
}

BOOST_AUTO_TEST_SUITE_END()
