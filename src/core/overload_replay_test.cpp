// Replays an overload before simulated engines and compares the decisions of
// load_shedding with sending everything at once.
//
// An engine has slots, a queue in order of rank, and a limit on the queue. Its
// prompts are processed in the order in which they got a slot, at a rate that
// is lower while it also writes events. All VMs hear the loads of all engines
// about 0.5 s late. Everything is a function of the seed.
#include "core/load_shedding.hpp"
#include "core/routing.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct request_kind
{
    std::string name;
    double per_second;
    std::uint32_t prompt_tokens;
    std::uint32_t events;
    milliseconds latency_target;
    milliseconds deadline;
    double credit_on_time;
    double credit_late;
    std::uint8_t rank;
    std::uint32_t max_attempts;
};

struct deployment
{
    std::string name;
    double tokens_per_ms;
    double ms_per_step;
    std::array<request_kind, 3> kinds;
    // Prompts that run share the engine's rate; otherwise they are processed in
    // the order of their start.
    bool shares_rate = false;
};

deployment const harvest_log{
    "harvest log",
    125,
    3.27,
    {{{"season-summary", 131, 11'992, 42, milliseconds(1'500),
       milliseconds(12'000), 1.9, 0.28, 2, 2},
      {"gate-query", 125, 826, 32, milliseconds(400), milliseconds(10'000), 4.7,
       0.19, 0, 1},
      {"tally-tag", 296, 2'368, 3, milliseconds(400), milliseconds(2'500), 0.28,
       0.028, 1, 2}}}};

deployment const newsroom{
    "newsroom",
    66.2,
    3.88,
    {{{"wire-roundup", 102, 11'992, 48, milliseconds(1'000),
       milliseconds(15'000), 5.2, 0.52, 0, 2},
      {"letter-rewrite", 124, 826, 36, milliseconds(1'000),
       milliseconds(12'000), 1.3, 0.13, 1, 1},
      {"archive-tag", 188, 2'368, 3, milliseconds(1'500), milliseconds(3'000),
       0.31, 0.031, 2, 2}}}};

constexpr std::size_t engine_count = 90;
constexpr std::uint32_t engine_slots = 16;
constexpr std::size_t engine_queue = 33;
constexpr std::size_t vm_count = 20;
constexpr milliseconds step{5};
constexpr milliseconds load_interval{300};
constexpr milliseconds load_delay{350};
constexpr milliseconds retry_backoff{20};
// The prompt rate while an engine also writes events.
constexpr double shared_rate = 0.8;
// The times of a replay.
constexpr seconds engines_gone_from{6};
constexpr seconds engines_gone_until{18};
constexpr seconds peak_from{8};
constexpr seconds peak_until{13};
constexpr seconds replay_end{40};
constexpr seconds arrivals_end{24};
constexpr double peak_factor = 3;

// How the requests of one kind ended.
struct kind_outcome
{
    std::size_t offered = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t rejections = 0; // answers to callers, with those after a return
    std::size_t large_offered = 0; // the largest tenth of prompts
    std::size_t large_served = 0;
    std::size_t turned_away = 0; // by engines

    std::size_t served() const
    {
        return on_time + late;
    }
    double served_share() const
    {
        return offered == 0 ? 1
                            : static_cast<double>(served()) /
                                  static_cast<double>(offered);
    }
    double large_share() const
    {
        return large_offered == 0 ? 1
                                  : static_cast<double>(large_served) /
                                        static_cast<double>(large_offered);
    }
};

struct replay_outcome
{
    std::array<kind_outcome, 3> kinds;
    double credit = 0;
    std::size_t held = 0;

    kind_outcome all() const
    {
        kind_outcome sum;
        for (kind_outcome const& each : kinds)
        {
            sum.offered += each.offered;
            sum.on_time += each.on_time;
            sum.late += each.late;
            sum.rejections += each.rejections;
        }
        return sum;
    }
};

class overload_replay
{
public:
    overload_replay(deployment const& what, bool sheds, std::uint64_t seed,
                    load_shedding_options options = {})
        : deployment_(what), sheds_(sheds), random_(seed),
          arrivals_random_(seed)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            routing_options routing;
            routing.seed = i + 1;
            vms_.push_back(std::make_unique<vm>(routing, options));
            vms_.back()->shedding.set_ranks({0, 1, 2});
        }
        engines_.resize(engine_count);
        list_engines(0, engine_count, 1);
    }

    replay_outcome run()
    {
        bool gone = false;
        bool returned = false;
        for (; now_ < start + replay_end; now_ += step)
        {
            if (!gone && now_ >= start + engines_gone_from)
            {
                gone = true;
                unlist_half();
            }
            if (!returned && now_ >= start + engines_gone_until)
            {
                returned = true;
                list_engines(0, engine_count / 2, 2);
            }
            offer_arrivals();
            send_back();
            retry_waiting();
            run_engines();
            expire();
            share_loads();
        }
        return outcome_;
    }

private:
    struct caller_request
    {
        std::size_t kind = 0;
        std::uint8_t rank = 0;
        std::uint32_t prompt = 0;
        bool is_large = false;
        time_point first_sent;
        std::size_t tries = 0; // of the caller
        time_point received;   // by the VM
        double occupancy = 0;  // when it was sent
        request_id id;
        std::size_t vm = 0;
        std::uint32_t attempts = 0; // of the VM
        std::vector<upstream_index> tried;
        std::optional<time_point> held_since;
        time_point held_until;
        duration predicted{};
        time_point due;
        attempt_id attempt = 0;
        upstream_index upstream = 0;
        time_point attempt_started;
        // At the engine.
        double prompt_left = 0;
        std::optional<time_point> first_event;
        time_point ends_at;
    };
    using request_ref = std::shared_ptr<caller_request>;

    struct engine
    {
        std::vector<request_ref> running; // in the order of their start
        std::vector<request_ref> waiting;
        std::deque<std::pair<time_point, upstream_report>> reports;
    };

    struct vm
    {
        vm(routing_options routing, load_shedding_options options)
            : routes(routing), shedding(options)
        {
        }
        upstream_table table;
        router routes;
        load_shedding shedding;
        std::vector<request_ref> waiting;
        duration slot_time{};
        std::map<upstream_index, time_point> full_since;
    };

    static constexpr time_point start = from_micros(1'000'000'000);

    request_kind const& kind_of(caller_request const& r) const
    {
        return deployment_.kinds[r.kind];
    }
    time_point deadline_of(caller_request const& r) const
    {
        return r.first_sent + kind_of(r).deadline;
    }

    void list_engines(std::size_t from, std::size_t to,
                      std::uint64_t incarnation)
    {
        for (auto const& each : vms_)
        {
            for (std::size_t i = from; i < to; ++i)
            {
                upstream_profile profile;
                profile.name = fmt::format("engine-{:02}", i);
                profile.service = "desk";
                profile.slots = engine_slots;
                profile.prefill_tokens_per_ms = 50; // as the product assumes
                upstream_index const index =
                    each->table.put(profile, incarnation);
                // The indices are those of engines_.
                BOOST_REQUIRE(index == i);
            }
        }
    }

    // What they have runs to its end.
    void unlist_half()
    {
        for (auto const& each : vms_)
        {
            for (std::size_t i = 0; i < engine_count / 2; ++i)
            {
                each->table.row(static_cast<upstream_index>(i)).leaving = true;
            }
        }
    }

    void offer_arrivals()
    {
        if (now_ >= start + arrivals_end)
        {
            return;
        }
        bool const peak =
            now_ >= start + peak_from && now_ < start + peak_until;
        for (std::size_t k = 0; k < deployment_.kinds.size(); ++k)
        {
            request_kind const& kind = deployment_.kinds[k];
            double const mean = kind.per_second * (peak ? peak_factor : 1) *
                                std::chrono::duration<double>(step).count();
            int const count =
                std::poisson_distribution<int>(mean)(arrivals_random_);
            for (int i = 0; i < count; ++i)
            {
                auto const request = std::make_shared<caller_request>();
                request->kind = k;
                request->rank = kind.rank;
                request->is_large =
                    std::bernoulli_distribution(0.1)(arrivals_random_);
                // The others are smaller, so that the mean is the kind's.
                request->prompt = static_cast<std::uint32_t>(
                    kind.prompt_tokens * (request->is_large ? 2.0 : 0.889));
                request->first_sent = now_;
                kind_outcome& outcome = outcome_.kinds[k];
                ++outcome.offered;
                outcome.large_offered += request->is_large ? 1 : 0;
                offer(request);
            }
        }
    }

    void offer(request_ref const& r)
    {
        ++r->tries;
        r->id = fmt::format("r{}", next_id_++);
        r->vm = std::uniform_int_distribution<std::size_t>(0, vm_count -
                                                                  1)(random_);
        r->attempts = 0;
        r->tried.clear();
        r->held_since.reset();
        r->received = now_;
        dispatch(r);
    }

    void send_back()
    {
        while (!coming_back_.empty() && coming_back_.begin()->first <= now_)
        {
            request_ref const r = coming_back_.begin()->second;
            coming_back_.erase(coming_back_.begin());
            offer(r);
        }
    }

    void reject(request_ref const& r, duration retry_after)
    {
        kind_outcome& outcome = outcome_.kinds[r->kind];
        ++outcome.rejections;
        duration const left = deadline_of(*r) - now_;
        if (r->tries == 1 && retry_after <= left / 3)
        {
            coming_back_.emplace(now_ + retry_after, r);
        }
    }

    std::optional<double> service_occupancy(vm const& v) const
    {
        double sum = 0;
        std::size_t count = 0;
        for (upstream_index i = 0; i < v.table.size(); ++i)
        {
            upstream_row const& row = v.table.row(i);
            if (row.takes_work(now_) && row.report)
            {
                sum += v.routes.load_of(i, row);
                ++count;
            }
        }
        return count == 0 ? std::nullopt
                          : std::optional(sum / static_cast<double>(count));
    }

    shedding_question question_of(vm const& v, caller_request const& r) const
    {
        shedding_question question;
        question.id = r.id;
        question.rank = kind_of(r).rank;
        question.received = r.received;
        question.deadline = deadline_of(r);
        question.latency_target = kind_of(r).latency_target;
        question.service_occupancy = service_occupancy(v);
        question.slot_time = v.slot_time;
        question.held_since = r.held_since;
        question.held_until = r.held_until;
        return question;
    }

    void dispatch(request_ref const& r)
    {
        vm& v = *vms_[r->vm];
        request_features features;
        features.service = "desk";
        features.prompt_tokens = r->prompt;
        features.expected_output = kind_of(*r).events;
        auto const chosen = v.routes.choose(now_, features, v.table, r->tried);
        if (!chosen)
        {
            reject(r, seconds(1));
            return;
        }
        if (sheds_)
        {
            shedding_question question = question_of(v, *r);
            question.predicted =
                milliseconds(static_cast<std::int64_t>(chosen->predicted_ms));
            upstream_row const& row = v.table.row(chosen->upstream);
            question.upstream_occupancy =
                v.routes.load_of(chosen->upstream, row);
            auto const full = v.full_since.find(chosen->upstream);
            question.upstream_full = full != v.full_since.end() && row.report &&
                                     row.report->measured_at <= full->second;
            if (question.service_occupancy)
            {
                v.shedding.on_occupancy(now_, *question.service_occupancy);
            }
            shedding_decision const decision =
                v.shedding.decide(now_, question);
            if (decision.action == shedding_action::hold)
            {
                outcome_.held += r->held_since ? 0 : 1;
                r->held_since = r->held_since.value_or(now_);
                r->held_until = decision.held_until;
                r->predicted = question.predicted;
                r->due = now_ + v.shedding.retry_interval();
                v.waiting.push_back(r);
                return;
            }
            if (decision.action == shedding_action::reject)
            {
                reject(r, decision.retry_after);
                return;
            }
            r->occupancy = decision.occupancy;
        }
        send(v, r, features, *chosen);
    }

    void send(vm& v, request_ref const& r, request_features const& features,
              choice const& chosen)
    {
        r->held_since.reset();
        r->attempt = next_attempt_++;
        r->upstream = chosen.upstream;
        r->attempt_started = now_;
        ++r->attempts;
        v.routes.on_sent(now_, r->attempt, features, chosen, v.table);
        engine& e = engines_[chosen.upstream];
        if (e.waiting.size() >= engine_queue)
        {
            turn_away(v, r, e);
            return;
        }
        r->prompt_left = r->prompt;
        r->first_event.reset();
        e.waiting.push_back(r);
    }

    void turn_away(vm& v, request_ref const& r, engine const& e)
    {
        ++outcome_.kinds[r->kind].turned_away;
        v.routes.on_end(now_, r->attempt, v.table);
        r->attempt = 0;
        r->tried.push_back(r->upstream);
        upstream_report const report = report_of(e);
        v.routes.on_report(r->upstream, report, v.table);
        v.full_since[r->upstream] = now_;
        v.shedding.on_rejection(
            static_cast<double>(report.running + report.waiting) /
            engine_slots);
        if (r->attempts < kind_of(*r).max_attempts)
        {
            r->due = now_ + retry_backoff;
            v.waiting.push_back(r);
            return;
        }
        shedding_question question = question_of(v, *r);
        question.upstream_full = true;
        reject(r, sheds_ ? v.shedding.retry_after(now_, question)
                         : duration(seconds(1)));
    }

    void retry_waiting()
    {
        for (auto const& each : vms_)
        {
            vm& v = *each;
            std::vector<request_ref> due;
            std::erase_if(v.waiting,
                          [&](request_ref const& r)
                          {
                              bool const is_due = r->due <= now_;
                              if (is_due)
                              {
                                  due.push_back(r);
                              }
                              return is_due;
                          });
            auto const order = [&](request_ref const& r)
            {
                shedding_question question;
                question.id = r->id;
                question.rank = kind_of(*r).rank;
                question.held_since = r->held_since;
                return std::pair(v.shedding.position_of(now_, question),
                                 deadline_of(*r) - r->predicted);
            };
            std::ranges::stable_sort(due, {}, order);
            for (request_ref const& r : due)
            {
                if (now_ < deadline_of(*r))
                {
                    dispatch(r);
                }
            }
        }
    }

    upstream_report report_of(engine const& e) const
    {
        return {now_, static_cast<std::uint32_t>(e.running.size()),
                static_cast<std::uint32_t>(e.waiting.size()), 0};
    }

    void run_engines()
    {
        for (engine& e : engines_)
        {
            fill_slots(e);
            bool const writes =
                std::ranges::any_of(e.running, [](request_ref const& r)
                                    { return r->first_event.has_value(); });
            double tokens = deployment_.tokens_per_ms *
                            static_cast<double>(step.count()) *
                            (writes ? shared_rate : 1);
            auto const prompts =
                std::ranges::count_if(e.running, [](request_ref const& r)
                                      { return r->prompt_left > 0; });
            double const share =
                deployment_.shares_rate
                    ? tokens / static_cast<double>(
                                   std::max<std::ptrdiff_t>(prompts, 1))
                    : tokens;
            for (request_ref const& r : e.running)
            {
                double const done = std::min({tokens, r->prompt_left, share});
                tokens -= done;
                r->prompt_left -= done;
                if (r->prompt_left <= 0 && !r->first_event)
                {
                    begin_answer(*r);
                }
            }
            std::erase_if(e.running,
                          [&](request_ref const& r)
                          {
                              bool const ended =
                                  r->first_event && r->ends_at <= now_;
                              if (ended)
                              {
                                  end(*r);
                              }
                              return ended;
                          });
        }
    }

    static void fill_slots(engine& e)
    {
        auto const rank = [](request_ref const& r)
        {
            return r->rank;
        };
        while (e.running.size() < engine_slots && !e.waiting.empty())
        {
            auto const next = std::ranges::min_element(e.waiting, {}, rank);
            e.running.push_back(*next);
            e.waiting.erase(next);
        }
    }

    void begin_answer(caller_request& r)
    {
        r.first_event = now_;
        r.ends_at =
            now_ + duration(static_cast<std::int64_t>(
                       kind_of(r).events * deployment_.ms_per_step * 1'000));
        vm& v = *vms_[r.vm];
        v.routes.on_first_token(r.attempt, std::nullopt);
        v.shedding.on_first_event(kind_of(r).rank, r.occupancy,
                                  now_ - r.attempt_started,
                                  kind_of(r).latency_target);
    }

    void end(caller_request& r)
    {
        vm& v = *vms_[r.vm];
        duration const held = now_ - r.attempt_started;
        v.slot_time +=
            v.slot_time == duration::zero() ? held : (held - v.slot_time) / 8;
        v.routes.on_end(now_, r.attempt, v.table);
        r.attempt = 0;
        request_kind const& kind = kind_of(r);
        kind_outcome& outcome = outcome_.kinds[r.kind];
        bool const on_time =
            *r.first_event - r.first_sent <= kind.latency_target;
        on_time ? ++outcome.on_time : ++outcome.late;
        outcome.large_served += r.is_large ? 1 : 0;
        outcome_.credit += on_time ? kind.credit_on_time : kind.credit_late;
    }

    // Ends what is past its deadline at engines; VMs cancel these attempts.
    void expire()
    {
        auto const expired = [this](request_ref const& r)
        {
            bool const is_past = deadline_of(*r) <= now_;
            if (is_past)
            {
                vm& v = *vms_[r->vm];
                v.routes.on_end(now_, r->attempt, v.table);
                r->attempt = 0;
            }
            return is_past;
        };
        for (engine& e : engines_)
        {
            std::erase_if(e.running, expired);
            std::erase_if(e.waiting, expired);
        }
    }

    // All VMs in turn hear what the engines said load_delay before.
    void share_loads()
    {
        constexpr auto rounds =
            static_cast<std::size_t>(load_interval / milliseconds(step));
        std::size_t const round = steps_++ % rounds;
        if (round % 10 == 0)
        {
            for (engine& e : engines_)
            {
                e.reports.emplace_back(now_, report_of(e));
                while (e.reports.size() > 1 &&
                       e.reports[1].first <= now_ - load_delay)
                {
                    e.reports.pop_front();
                }
            }
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (i * rounds / vm_count != round)
            {
                continue;
            }
            for (upstream_index u = 0; u < engine_count; ++u)
            {
                vms_[i]->routes.on_report(u, engines_[u].reports.front().second,
                                          vms_[i]->table);
            }
        }
    }

    deployment const& deployment_;
    bool sheds_;
    std::mt19937_64 random_;
    std::mt19937_64 arrivals_random_; // the same whatever is decided
    time_point now_ = start;
    std::vector<std::unique_ptr<vm>> vms_;
    std::vector<engine> engines_;
    std::multimap<time_point, request_ref> coming_back_;
    std::uint64_t next_id_ = 1;
    attempt_id next_attempt_ = 1;
    std::size_t steps_ = 0;
    replay_outcome outcome_;
};

std::string text_of(deployment const& what, replay_outcome const& outcome)
{
    std::string text = fmt::format("{}: credit {:.0f}, held {}", what.name,
                                   outcome.credit, outcome.held);
    for (std::size_t k = 0; k < what.kinds.size(); ++k)
    {
        kind_outcome const& each = outcome.kinds[k];
        text += fmt::format(
            "\n  {}: offered {}, on time {}, late {}, rejections {}, turned "
            "away by engines {}, large served {:.2f} of {:.2f}",
            what.kinds[k].name, each.offered, each.on_time, each.late,
            each.rejections, each.turned_away, each.large_share(),
            each.served_share());
    }
    return text;
}

// The engine's order of prompts is not known, so both are tried.
std::vector<deployment> all_deployments()
{
    std::vector<deployment> all{harvest_log, newsroom};
    for (std::size_t i = 0; i < 2; ++i)
    {
        deployment shared = all[i];
        shared.name += ", prompts share the rate";
        shared.shares_rate = true;
        all.push_back(shared);
    }
    return all;
}

std::size_t most_urgent_of(deployment const& what)
{
    return static_cast<std::size_t>(
        std::ranges::min_element(what.kinds, {}, &request_kind::rank) -
        what.kinds.begin());
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_replays)

// Guards against thresholds that cost callers more than they save: credit
// lost, urgent requests rejected, kinds or large prompts starved.
BOOST_AUTO_TEST_CASE(shedding_costs_callers_less_than_sending_everything)
{
    // The runs of a newsroom whose prompts share the rate differ by 2 in 100
    // between seeds, with and without shedding.
    constexpr double least_credit = 0.97;
    for (deployment const& each : all_deployments())
    {
        replay_outcome const earlier = overload_replay(each, false, 1).run();
        replay_outcome const now = overload_replay(each, true, 1).run();
        BOOST_TEST_MESSAGE("earlier, " << text_of(each, earlier));
        BOOST_TEST_MESSAGE("now, " << text_of(each, now));
        BOOST_TEST_CONTEXT(each.name)
        {
            BOOST_TEST(now.held > 0U);
            BOOST_TEST(now.credit >= earlier.credit * least_credit);
            std::size_t const first = most_urgent_of(each);
            BOOST_TEST(now.kinds[first].rejections <=
                       earlier.kinds[first].rejections);
            double const all_served = now.all().served_share();
            for (kind_outcome const& kind : now.kinds)
            {
                BOOST_TEST(kind.served_share() >= all_served / 4);
                BOOST_TEST(kind.large_share() >= kind.served_share() / 2);
                BOOST_TEST(now.kinds[first].served_share() >=
                           kind.served_share() - 0.05);
            }
        }
    }
}

// Guards against engines that reject the urgent because the less urgent have
// filled their queues.
BOOST_AUTO_TEST_CASE(urgent_queries_are_not_rejected_behind_summaries)
{
    replay_outcome const earlier = overload_replay(harvest_log, false, 1).run();
    replay_outcome const now = overload_replay(harvest_log, true, 1).run();
    std::size_t const first = most_urgent_of(harvest_log);
    BOOST_TEST(earlier.kinds[first].rejections > 0U);
    BOOST_TEST(now.kinds[first].rejections == 0U);
    BOOST_TEST(now.kinds[first].on_time * 5 > earlier.kinds[first].on_time * 6);
    BOOST_TEST(now.credit > earlier.credit * 1.15);
}

// Guards against changes on a day without an overload.
BOOST_AUTO_TEST_CASE(nothing_is_held_without_an_overload)
{
    for (deployment calm : all_deployments())
    {
        for (request_kind& kind : calm.kinds)
        {
            kind.per_second /= 3; // so that the peak is the usual load
        }
        replay_outcome const outcome = overload_replay(calm, true, 1).run();
        BOOST_TEST(outcome.held == 0U);
        BOOST_TEST(outcome.all().rejections == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
