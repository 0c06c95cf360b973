#include "core/configuration_store.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace amarantharch;

namespace
{

// A fake signature that depends on the author's key and on every byte.
std::string sign(std::string_view author, std::string_view bytes)
{
    return fmt::format("{}-key-{}", author,
                       std::hash<std::string_view>()(bytes));
}

bool verify(std::string_view author, std::string_view bytes,
            std::string_view signature)
{
    return signature == sign(author, bytes);
}

// The configuration stream: one payload an offset.
struct stream
{
    std::vector<std::string> payloads;
    std::vector<time_point> times;
    log_offset first_retained = 1;

    log_offset end() const
    {
        return payloads.size() + 1;
    }

    log_offset append(std::string payload,
                      time_point time = from_micros(1'000'000))
    {
        payloads.push_back(std::move(payload));
        times.push_back(time);
        return payloads.size();
    }

    log_batch read(log_offset from, std::size_t max_records = 1000) const
    {
        log_batch batch;
        batch.first_retained = first_retained;
        batch.end = end();
        auto offset = std::max(from, first_retained);
        for (; offset < end() && batch.records.size() < max_records; ++offset)
        {
            log_record record;
            record.position = {offset, 0};
            record.payload = payloads[offset - 1];
            record.time = times[offset - 1];
            batch.records.push_back(std::move(record));
        }
        batch.next = offset;
        return batch;
    }
};

configuration_change change_by(std::string author, revision base,
                               std::string text)
{
    configuration_change change;
    change.publish_id = author + "@" + std::to_string(base.offset);
    change.base = base;
    change.author = std::move(author);
    change.text = std::move(text);
    change.signature = sign(change.author, signed_bytes(change));
    return change;
}

std::string weight(std::string const& organisation, int value)
{
    return "[organisation " + organisation +
           "]\nweight = " + std::to_string(value) + "\n";
}

struct vm
{
    configuration_store store;
    time_point now = from_micros(1'000'000);

    explicit vm(std::string name, duration retention = std::chrono::hours(24))
        : store({std::move(name), &verify, retention})
    {
    }

    std::vector<change_decision> read(stream const& from,
                                      std::size_t max_records = 1000)
    {
        return store.apply(now, from.read(store.next_offset(), max_records));
    }
};

bool same_state(configuration_store const& a, configuration_store const& b)
{
    return a.in_force() == b.in_force() &&
           to_text(a.sections()) == to_text(b.sections());
}

using store_state = std::pair<revision, std::string>;

store_state state_of(configuration_store const& store)
{
    return {store.in_force(), to_text(store.sections())};
}

// A reader of the whole stream, and its state before each offset.
struct reference
{
    vm reader{"reference"};
    std::vector<store_state> states{{}, {}}; // states[next_offset]

    store_state const& at(stream log, log_offset next)
    {
        log.first_retained = 1;
        while (states.size() <= next)
        {
            reader.read(log, 1);
            states.push_back(state_of(reader.store));
        }
        return states[next];
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(operators_who_race)

// Appends each operator's record and a repeat of it, in every order. The stream
// is read at once, record by record, and by a VM that joins midway from a
// peer's snapshot.
void check_every_append_order(int operators)
{
    int orders = 0;
    std::vector<int> order(static_cast<std::size_t>(operators) * 2);
    std::iota(order.begin(), order.end(), 0);
    do
    {
        ++orders;
        stream log;
        vm reader("vm-1");
        revision const base{
            log.append(encode(change_by("root", {}, weight("shared", 1))))};
        for (int const i : order)
        {
            auto const name = "op" + std::to_string(i % operators);
            log.append(
                encode(change_by(name, base, weight(name, i % operators + 2))));
        }
        auto const decisions = reader.read(log);
        auto const winner = "op" + std::to_string(order[0] % operators);
        BOOST_CHECK_EQUAL(std::ranges::count(decisions,
                                             change_outcome::accepted,
                                             &change_decision::outcome),
                          2);
        BOOST_CHECK_EQUAL(reader.store.author(), winner);
        for (auto const& decision : decisions)
        {
            if (decision.outcome == change_outcome::superseded)
            {
                BOOST_CHECK_EQUAL(decision.in_force_author, winner);
                BOOST_CHECK(
                    (decision.changed ==
                     std::vector<std::string>{"organisation " + winner}));
            }
        }
        vm slow("vm-2");
        while (slow.store.next_offset() < log.end())
        {
            vm joining("vm-3");
            if (slow.store.in_force_known())
            {
                BOOST_REQUIRE(
                    joining.store.adopt(joining.now, slow.store.snapshot())
                        .ok());
            }
            joining.read(log);
            BOOST_CHECK(same_state(joining.store, reader.store));
            slow.read(log, 1);
        }
        BOOST_CHECK(same_state(slow.store, reader.store));
    } while (std::ranges::next_permutation(order).found);
    BOOST_TEST_MESSAGE(orders << " orders of " << operators << " operators");
}

BOOST_AUTO_TEST_CASE(two_have_one_winner_in_every_order)
{
    check_every_append_order(2);
}

BOOST_AUTO_TEST_CASE(three_have_one_winner_in_every_order)
{
    check_every_append_order(3);
}

BOOST_AUTO_TEST_CASE(the_loser_may_publish_again_on_top)
{
    stream log;
    vm reader("vm-1");
    log.append(encode(change_by("a", {}, weight("x", 2))));
    log.append(encode(change_by("b", {}, weight("y", 3))));
    log.append(encode(change_by("b", {1, 0}, weight("y", 3))));
    auto const decisions = reader.read(log);
    BOOST_CHECK(decisions[1].outcome == change_outcome::superseded);
    BOOST_CHECK(decisions[2].outcome == change_outcome::accepted);
    BOOST_CHECK_EQUAL(reader.store.tables()->organisations.size(), 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_change)

BOOST_AUTO_TEST_CASE(counts_only_if_signed_and_valid)
{
    stream log;
    vm reader("vm-1");
    auto forged = change_by("a", {}, weight("x", 2));
    forged.signature = "guess";
    log.append(encode(forged));
    auto altered = change_by("a", {}, weight("x", 2));
    altered.text = weight("x", 900);
    log.append(encode(altered));
    log.append(encode(change_by("a", {}, "[organisation x]\nweight = -1\n")));
    log.append("no record at all");
    auto const decisions = reader.read(log);
    BOOST_REQUIRE_EQUAL(decisions.size(), 3U);
    BOOST_CHECK(decisions[0].outcome == change_outcome::not_signed);
    BOOST_CHECK(decisions[1].outcome == change_outcome::not_signed);
    BOOST_CHECK(decisions[2].outcome == change_outcome::invalid);
    BOOST_CHECK(decisions[2].reason.find("line 2, column 10") !=
                std::string::npos);
    BOOST_CHECK(reader.store.in_force() == revision{});
}

BOOST_AUTO_TEST_CASE(has_a_signature_over_all_its_fields)
{
    auto const change = change_by("a", {3, 1}, "text");
    auto const bytes = signed_bytes(change);
    auto differs = [&](auto&& edit)
    {
        auto other = change;
        edit(other);
        return signed_bytes(other) != bytes;
    };
    BOOST_CHECK(differs([](auto& c) { c.base.offset = 4; }));
    BOOST_CHECK(differs([](auto& c) { c.base.index = 2; }));
    BOOST_CHECK(differs([](auto& c) { c.text = "other"; }));
    BOOST_CHECK(differs([](auto& c) { c.author = "b"; }));
    BOOST_CHECK(differs([](auto& c) { c.publish_id = "p"; }));
    BOOST_CHECK(differs([](auto& c) { c.replaces_all = true; }));
    BOOST_CHECK(differs([](auto& c) { c.written = from_micros(9); }));
    BOOST_CHECK(!differs([](auto& c) { c.signature = "s"; }));
}

BOOST_AUTO_TEST_CASE(beyond_the_size_limit_is_refused)
{
    stream log;
    vm reader("vm-1");
    std::string text =
        "[organisation x]\nlabel.long = " + std::string(1024UL * 1024, 'x') +
        "\n";
    log.append(encode(change_by("a", {}, text)));
    BOOST_CHECK(reader.read(log)[0].outcome == change_outcome::invalid);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_vm_that_starts)

BOOST_AUTO_TEST_CASE(is_ready_once_it_has_read_the_stream)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    vm reader("vm-1");
    BOOST_CHECK_EQUAL(reader.store.readiness().reason,
                      "configuration stream not read yet");
    reader.read(log, 1);
    BOOST_CHECK_EQUAL(reader.store.readiness().reason,
                      "reading the configuration stream: at 2 of 3");
    reader.read(log, 1);
    BOOST_CHECK(reader.store.readiness().ready);
}

BOOST_AUTO_TEST_CASE(with_a_stale_peers_snapshot_reads_on_before_it_is_ready)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    vm stale("vm-1");
    stale.read(log);
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    vm fresh("vm-2");
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, stale.store.snapshot()).ok());
    BOOST_CHECK(!fresh.store.readiness().ready);
    fresh.read(log);
    BOOST_CHECK(fresh.store.readiness().ready);
    BOOST_CHECK((fresh.store.in_force() == revision{2, 0}));
    BOOST_CHECK(!fresh.store.adopt(fresh.now, stale.store.snapshot()).ok());
    BOOST_CHECK((fresh.store.in_force() == revision{2, 0}));
}

BOOST_AUTO_TEST_CASE(refuses_a_snapshot_whose_next_changes_have_expired)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    vm stale("vm-1");
    stale.read(log);
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    log.append(encode(change_by("a", {2, 0}, weight("x", 4))));
    vm current("vm-2");
    current.read(log);
    log.first_retained = 3;
    vm fresh("vm-3");
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, stale.store.snapshot()).ok());
    fresh.read(log);
    BOOST_CHECK(!fresh.store.readiness().ready);
    BOOST_CHECK_EQUAL(fresh.store.readiness().reason,
                      "log starts at offset 3: waiting for a checkpoint or a "
                      "peer's snapshot");
    BOOST_CHECK(!fresh.store.adopt(fresh.now, stale.store.snapshot()).ok());
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, current.store.snapshot()).ok());
    BOOST_CHECK(fresh.store.readiness().ready);
    BOOST_CHECK(same_state(fresh.store, current.store));
}

BOOST_AUTO_TEST_CASE(in_an_outage_waits_for_what_its_peers_hold)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    vm peer("vm-1");
    peer.read(log);
    vm fresh("vm-2");
    fresh.store.set_log_reachable(fresh.now, false);
    BOOST_CHECK(!fresh.store.readiness().ready);
    fresh.store.on_peer_revision({2, 0});
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, peer.store.snapshot()).ok());
    BOOST_CHECK_EQUAL(fresh.store.readiness().reason,
                      "log unreachable; a peer holds revision 2.0, this VM "
                      "1.0");
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    peer.read(log);
    BOOST_REQUIRE(fresh.store.adopt(fresh.now, peer.store.snapshot()).ok());
    BOOST_CHECK(fresh.store.readiness().ready);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_revision_in_force)

BOOST_AUTO_TEST_CASE(is_written_again_before_its_record_expires)
{
    stream log;
    auto change = change_by("a", {}, weight("x", 2));
    // The operator's clock is years ahead; only the log's clock matters.
    change.written = from_micros(0) + std::chrono::hours(100'000);
    change.signature = sign("a", signed_bytes(change));
    log.append(encode(change));
    duration const retention = std::chrono::hours(10);
    std::vector<vm> vms;
    for (int i = 0; i < 30; ++i)
    {
        vms.emplace_back("vm-" + std::to_string(i), retention);
        vms.back().read(log);
    }
    // Four retention periods in steps of a minute; a record expires after one
    // period.
    for (int minute = 0; minute < 40 * 60; ++minute)
    {
        for (auto& one : vms)
        {
            one.now += std::chrono::minutes(1);
            one.read(log);
            if (auto payload = one.store.tick(one.now))
            {
                log.append(*payload, one.now);
            }
        }
        while (vms[0].now - log.times[log.first_retained - 1] > retention)
        {
            ++log.first_retained;
            BOOST_REQUIRE_LT(log.first_retained, log.end());
        }
    }
    // About two checkpoints per retention period, whatever the number of VMs.
    BOOST_CHECK_LE(log.payloads.size(), 12U);
    vm fresh("vm-new", retention);
    fresh.read(log);
    BOOST_CHECK(fresh.store.readiness().ready);
    BOOST_CHECK((fresh.store.in_force() == revision{1, 0}));
}

BOOST_AUTO_TEST_CASE(survives_a_log_that_lost_it_while_a_vm_holds_it)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    log.append("other");
    vm holder("vm-1");
    holder.read(log);
    log.first_retained = 3; // an outage longer than the retention
    holder.read(log);
    vm fresh("vm-2");
    fresh.read(log);
    BOOST_CHECK(!fresh.store.readiness().ready);
    std::optional<std::string> payload;
    for (int second = 0; second < 20 && !payload; ++second)
    {
        holder.now += std::chrono::seconds(1);
        payload = holder.store.tick(holder.now);
    }
    BOOST_REQUIRE(payload);
    log.append(*payload);
    fresh.read(log);
    BOOST_CHECK(fresh.store.readiness().ready);
    BOOST_CHECK(same_state(fresh.store, holder.store));
}

BOOST_AUTO_TEST_CASE(is_not_undone_by_a_late_checkpoint_of_a_paused_vm)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    vm paused("vm-1");
    paused.read(log);
    auto const late = encode(paused.store.snapshot());
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    log.append(late);
    log.first_retained = 3;
    vm fresh("vm-2");
    fresh.read(log);
    BOOST_CHECK(!fresh.store.in_force_known());
    BOOST_CHECK(fresh.store.in_force() == revision{});
}

BOOST_AUTO_TEST_CASE(applies_changes_that_crossed_the_checkpoint)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    vm writer("vm-1");
    writer.read(log);
    auto const checkpoint = encode(writer.store.snapshot()); // as of 1
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    log.append(checkpoint);
    log.append(encode(change_by("a", {2, 0}, weight("x", 4))));
    writer.read(log);
    log.first_retained = 2;
    vm fresh("vm-2");
    fresh.read(log);
    BOOST_CHECK((fresh.store.in_force() == revision{4, 0}));
    BOOST_CHECK(same_state(fresh.store, writer.store));
}

// Several VMs under random faults: none ever differs from a reader of the whole
// stream at the same offset, and none returns to an older revision.
BOOST_AUTO_TEST_CASE(never_reverts_under_random_faults)
{
    constexpr unsigned seeds = 300;
    int ready_checks = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        auto pick = [&](std::size_t n)
        {
            return random() % n;
        };
        stream log;
        std::vector<std::string> delayed;
        std::vector<vm> vms;
        std::vector<revision> highest(4);
        reference history;
        for (std::size_t i = 0; i < 4; ++i)
        {
            vms.emplace_back("vm-" + std::to_string(i));
        }
        for (int step = 0; step < 200; ++step)
        {
            auto const i = pick(vms.size());
            auto& one = vms[i];
            switch (pick(9))
            {
            case 0: // publish against this VM's revision; may be repeated
            case 1:
            {
                auto const payload = encode(change_by(
                    "op" + std::to_string(pick(3)), one.store.in_force(),
                    weight("x" + std::to_string(pick(4)),
                           static_cast<int>(pick(90)) + 1)));
                log.append(payload);
                delayed.push_back(payload);
                break;
            }
            case 2: // a delayed copy
                if (!delayed.empty())
                {
                    log.append(delayed[pick(delayed.size())]);
                }
                break;
            case 3: // a checkpoint, appended now or later
                if (one.store.in_force_known())
                {
                    auto const payload = encode(one.store.snapshot());
                    delayed.push_back(payload);
                    if (pick(2) == 0)
                    {
                        log.append(payload);
                    }
                }
                break;
            case 4: // records expire
                log.first_retained =
                    std::min(log.end(), log.first_retained + pick(3));
                break;
            case 5: // replaced by a VM that adopts a peer's (stale) snapshot
            {
                vm fresh("vm-" + std::to_string(i));
                auto const& peer = vms[pick(vms.size())].store;
                if (peer.in_force_known())
                {
                    fresh.store.adopt(fresh.now, peer.snapshot()).IgnoreError();
                }
                vms[i] = std::move(fresh);
                highest[i] = {};
                break;
            }
            default:
                one.read(log, pick(4));
            }
            auto const& store = vms[i].store;
            BOOST_REQUIRE(store.in_force() >= highest[i]);
            highest[i] = store.in_force();
            if (store.in_force_known())
            {
                vm reference("reference");
                stream whole = log;
                whole.first_retained = 1;
                reference.store.apply(reference.now,
                                      whole.read(1, store.next_offset() - 1));
                BOOST_TEST_CONTEXT("seed " << seed << " step " << step)
                {
                    BOOST_REQUIRE(same_state(store, reference.store));
                }
                ++ready_checks;
            }
        }
    }
    BOOST_TEST_MESSAGE(ready_checks << " states compared");
    BOOST_CHECK_GT(ready_checks, 10000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_restart_of_all_vms)

BOOST_AUTO_TEST_CASE(finds_the_revision_in_force_in_the_log)
{
    stream log;
    log.append(encode(change_by("a", {}, weight("x", 2))));
    log.append(encode(change_by("a", {1, 0}, weight("x", 3))));
    for (log_offset first = 1; first <= 2; ++first)
    {
        stream tail = log;
        vm before("vm-1");
        before.read(tail);
        tail.append(encode(before.store.snapshot()));
        tail.first_retained = first;
        vm after("vm-1");
        after.read(tail);
        BOOST_CHECK(after.store.readiness().ready);
        BOOST_CHECK(same_state(after.store, before.store));
    }
}

BOOST_AUTO_TEST_SUITE_END()
