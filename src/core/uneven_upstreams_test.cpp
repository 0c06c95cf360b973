#include "core/load_sharing.hpp"
#include "core/prefix_cache.hpp"
#include "core/routing.hpp"
#include "core/upstream_table.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

// The requests of the newsroom (docs/HARD-LOAD.md).
struct kind_of_request
{
    std::string name;
    double per_second;
    std::uint32_t shared_tokens;
    double own_tokens; // mean
    std::uint32_t events;
    milliseconds target;
    double credit_on_time;
    double credit_late;
    request_class priority;
    std::uint64_t subjects;
};

std::array<kind_of_request, 3> const kinds{{
    {"wire-roundup", 102, 5'382, 6'610, 48, milliseconds(1'000), 5.2, 0.52,
     request_class::interactive, 40},
    {"letter-rewrite", 124, 198, 628, 36, milliseconds(1'000), 1.3, 0.13,
     request_class::standard, 200},
    {"archive-tag", 188, 568, 1'800, 3, milliseconds(1'500), 0.31, 0.031,
     request_class::batch, 100},
}};

struct figures
{
    std::uint32_t answered = 0;
    std::uint32_t late = 0;
    double credit = 0;
    double offered_credit = 0;
    std::uint32_t largest = 0; // requests over 25,000 prompt tokens
    std::uint32_t largest_late = 0;

    double late_share() const
    {
        return answered == 0 ? 0 : static_cast<double>(late) / answered;
    }
};

struct stream
{
    std::size_t kind = 0;
    std::size_t vm = 0;
    attempt_id attempt = 0;
    time_point sent_at;
    time_point last_event_at;
    std::uint64_t subject = 0;
    std::uint32_t prompt = 0;
    double uncached = 0; // still to be prefilled
    std::uint32_t events = 0;
    bool late = false;
};

// An engine with chunked prefill: each step yields one event of each stream
// whose prompt is complete, and processes a part of the first incomplete one.
class fake_engine
{
public:
    static constexpr std::size_t slots = 16;
    static constexpr double step_ms = 3.88;
    static constexpr double tokens_per_ms = 66.2;
    static constexpr double chunk_tokens = 512;
    static constexpr double memory_tokens = 466'639;
    static constexpr double slow_ratio = 2.5;
    static constexpr double slow_share = 0.15;

    fake_engine(double usual, bool has_slow_moments, std::uint64_t seed)
        : usual_(usual), has_slow_moments_(has_slow_moments), random_(seed)
    {
        plan_moment(start);
    }

    void add(stream const& what)
    {
        waiting_.push_back(what);
    }

    bool is_idle() const
    {
        return running_.empty() && waiting_.empty();
    }

    double factor(time_point now)
    {
        while (now >= slow_until_)
        {
            plan_moment(slow_until_);
        }
        return now >= slow_from_ ? usual_ * slow_ratio : usual_;
    }

    // Runs a step that begins now; returns its end.
    template <typename OnEvent>
    time_point run_step(time_point now, OnEvent on_event)
    {
        admit();
        double const work = factor(now);
        double chunk = chunk_tokens;
        std::vector<bool> yields(running_.size());
        for (std::size_t i = 0; i < running_.size(); ++i)
        {
            double const part = std::min(chunk, running_[i].uncached);
            running_[i].uncached -= part;
            chunk -= part;
            yields[i] = running_[i].uncached <= 0;
        }
        double const ms =
            work * (step_ms + (chunk_tokens - chunk) / tokens_per_ms);
        time_point const end =
            now + duration(static_cast<std::int64_t>(ms * 1'000));
        for (std::size_t i = 0; i < running_.size(); ++i)
        {
            if (yields[i])
            {
                ++running_[i].events;
                on_event(end, running_[i]);
            }
        }
        std::erase_if(running_, [](stream const& s)
                      { return s.events >= kinds[s.kind].events; });
        return end;
    }

    upstream_report report(time_point now, bool states_work)
    {
        upstream_report result{now, static_cast<std::uint32_t>(running_.size()),
                               static_cast<std::uint32_t>(waiting_.size()), 0};
        if (states_work)
        {
            auto const percent =
                static_cast<std::uint32_t>(std::lround(factor(now) * 100));
            result.work = {now, percent, percent, 1};
        }
        return result;
    }

private:
    void plan_moment(time_point from)
    {
        constexpr double slow_ms = 600;
        std::exponential_distribution<double> pause(slow_share /
                                                    (1 - slow_share) / slow_ms);
        auto const calm =
            has_slow_moments_
                ? duration(static_cast<std::int64_t>(pause(random_) * 1'000))
                : duration(std::chrono::hours(1));
        slow_from_ = from + calm;
        slow_until_ = slow_from_ + milliseconds(600);
    }

    void admit()
    {
        while (!waiting_.empty() && running_.size() < slots)
        {
            stream next = waiting_.front();
            waiting_.pop_front();
            kind_of_request const& kind = kinds[next.kind];
            auto const key = std::pair(next.kind, next.subject);
            bool const cached = cache_.contains(key);
            next.uncached = next.prompt - (cached ? kind.shared_tokens : 0);
            cache_[key] = ++uses_;
            running_.push_back(next);
            evict();
        }
    }

    void evict()
    {
        double held = 0;
        for (auto const& [key, use] : cache_)
        {
            held += kinds[key.first].shared_tokens;
        }
        while (held > memory_tokens / 2)
        {
            auto const oldest = std::ranges::min_element(
                cache_, {}, [](auto const& entry) { return entry.second; });
            held -= kinds[oldest->first.first].shared_tokens;
            cache_.erase(oldest);
        }
    }

    double usual_;
    bool has_slow_moments_;
    std::mt19937_64 random_;
    time_point slow_from_;
    time_point slow_until_;
    std::vector<stream> running_;
    std::deque<stream> waiting_;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> cache_;
    std::uint64_t uses_ = 0;
};

struct replay_options
{
    bool states_work = true;
    bool uses_work_times = true;
    bool uneven = true;
    double load = 1; // times the arrivals of the table
    std::uint64_t seed = 1;
    std::size_t vms = 20;
    std::size_t engines = 90;
    duration warm_up = seconds(20);
    duration counted = seconds(20);
};

// Many VMs that decide by their own answers and by loads that all share late.
class replay
{
public:
    explicit replay(replay_options const& options)
        : options_(options), random_(options.seed)
    {
        constexpr std::array<double, 3> speeds{0.6, 1, 1.6};
        for (std::size_t i = 0; i < options.engines; ++i)
        {
            engines_.emplace_back(options.uneven ? speeds[i % speeds.size()]
                                                 : 1,
                                  options.uneven, options.seed * 1'000 + i);
        }
        for (std::size_t i = 0; i < options.vms; ++i)
        {
            routing_options routing;
            routing.seed = options.seed * 100 + i + 1;
            routing.uses_work_times = options.uses_work_times;
            vms_.push_back(std::make_unique<vm>(routing));
            for (std::size_t e = 0; e < options.engines; ++e)
            {
                upstream_profile profile;
                profile.name = fmt::format("engine-{}", e);
                profile.service = "desk";
                profile.prefill_tokens_per_ms = 50;
                vms_.back()->table.put(profile);
            }
        }
        steps_due_.resize(options.engines, time_point::max());
    }

    std::map<std::string, figures> run()
    {
        constexpr auto tick = milliseconds(1);
        time_point const end = start + options_.warm_up + options_.counted;
        for (time_point now = start; now < end; now += tick)
        {
            share_loads(now);
            for (std::size_t k = 0; k < kinds.size(); ++k)
            {
                std::poisson_distribution<int> arrivals(
                    options_.load * kinds[k].per_second / 1'000);
                for (int n = arrivals(random_); n > 0; --n)
                {
                    send(now, k);
                }
            }
            for (std::size_t e = 0; e < engines_.size(); ++e)
            {
                run_engine(e, now + tick);
            }
        }
        return figures_;
    }

    std::vector<std::uint32_t> const& sent() const
    {
        return sent_by_engine_;
    }
    // Hash of the upstream of each request, in order.
    std::uint64_t choices() const
    {
        return choices_;
    }
    router const& any_router() const
    {
        return vms_.front()->chooser;
    }

private:
    struct vm
    {
        explicit vm(routing_options const& options) : chooser(options) {}
        upstream_table table;
        router chooser;
    };

    using load_map = std::map<std::size_t, upstream_report>;

    // Answers' loads go to the hubs every 300 ms, and from them to all VMs.
    void share_loads(time_point now)
    {
        auto const ms = to_millis(now - start);
        if (ms % 300 == 0)
        {
            std::swap(at_hubs_, seen_);
            seen_.clear();
        }
        if (ms % 300 == 150)
        {
            for (auto const& [engine, report] : at_hubs_)
            {
                for (auto const& each : vms_)
                {
                    each->chooser.on_report(static_cast<upstream_index>(engine),
                                            report, each->table);
                }
            }
        }
    }

    void send(time_point now, std::size_t k)
    {
        kind_of_request const& kind = kinds[k];
        constexpr double spread = 0.8;
        std::lognormal_distribution<double> size(-spread * spread / 2, spread);
        auto const own = static_cast<std::uint32_t>(
            std::clamp(kind.own_tokens * size(random_), 32.0, 64'600.0));
        std::uint64_t const subject = random_() % kind.subjects;
        std::vector<prompt_part> const parts{
            {(k + 1) * 1'000'000 + subject, kind.shared_tokens},
            {++unique_, own}};
        request_features what;
        what.service = "desk";
        what.priority = kind.priority;
        what.latency_target = kind.target;
        what.prefix = hash_prompt_parts(parts);
        what.affinity_key = shared_prefix_hash(parts, what.prefix);
        what.prompt_tokens = kind.shared_tokens + own;
        what.expected_output = kind.events;
        stream sent;
        sent.kind = k;
        sent.vm = random_() % vms_.size();
        vm& decider = *vms_[sent.vm];
        auto const picked =
            decider.chooser.choose(now, what, decider.table, {});
        constexpr std::uint64_t multiplier = 1'099'511'628'211u; // of FNV-1a
        choices_ = (choices_ ^ picked->upstream) * multiplier;
        sent.attempt = ++attempts_;
        sent.sent_at = now;
        sent.subject = subject;
        sent.prompt = what.prompt_tokens;
        decider.chooser.on_sent(now, sent.attempt, what, *picked,
                                decider.table);
        engines_[picked->upstream].add(sent);
        if (now >= start + options_.warm_up)
        {
            sent_by_engine_.resize(engines_.size());
            ++sent_by_engine_[picked->upstream];
        }
        steps_due_[picked->upstream] =
            std::min(std::max(now, busy_until(picked->upstream)),
                     steps_due_[picked->upstream]);
    }

    time_point busy_until(std::size_t engine) const
    {
        auto const known = busy_.find(engine);
        return known == busy_.end() ? start : known->second;
    }

    void run_engine(std::size_t e, time_point until)
    {
        while (steps_due_[e] < until)
        {
            time_point const end = engines_[e].run_step(
                steps_due_[e],
                [&](time_point at, stream& s) { on_event(e, at, s); });
            busy_[e] = end;
            steps_due_[e] = engines_[e].is_idle() ? time_point::max() : end;
        }
    }

    void on_event(std::size_t e, time_point at, stream& s)
    {
        kind_of_request const& kind = kinds[s.kind];
        vm& decider = *vms_[s.vm];
        if (s.events == 1)
        {
            upstream_report const report =
                engines_[e].report(at, options_.states_work);
            decider.chooser.on_report(static_cast<upstream_index>(e), report,
                                      decider.table);
            auto const [kept, added] = seen_.try_emplace(e, report);
            if (!added)
            {
                merge_report(kept->second, report);
            }
            decider.chooser.on_first_token(s.attempt, std::nullopt);
            decider.chooser.on_first_event(at, s.attempt, decider.table);
            s.late = at - s.sent_at > kind.target;
        }
        else
        {
            s.late = s.late || at - s.last_event_at > milliseconds(500);
        }
        s.last_event_at = at;
        if (s.events < kind.events)
        {
            return;
        }
        decider.chooser.on_last_event(at, s.attempt, s.events, decider.table);
        decider.chooser.on_end(at, s.attempt, decider.table);
        if (s.sent_at >= start + options_.warm_up)
        {
            count(kind, s);
        }
    }

    void count(kind_of_request const& kind, stream const& s)
    {
        constexpr std::uint32_t large = 25'000;
        figures& row = figures_[kind.name];
        ++row.answered;
        row.late += s.late ? 1 : 0;
        row.credit += s.late ? kind.credit_late : kind.credit_on_time;
        row.offered_credit += kind.credit_on_time;
        row.largest += s.prompt > large ? 1 : 0;
        row.largest_late += s.prompt > large && s.late ? 1 : 0;
    }

    replay_options options_;
    std::mt19937_64 random_;
    std::vector<fake_engine> engines_;
    std::vector<std::unique_ptr<vm>> vms_;
    std::vector<time_point> steps_due_;
    std::map<std::size_t, time_point> busy_;
    load_map seen_;
    load_map at_hubs_;
    std::uint64_t unique_ = 1'000'000'000;
    attempt_id attempts_ = 0;
    std::uint64_t choices_ = 0;
    std::map<std::string, figures> figures_;
    std::vector<std::uint32_t> sent_by_engine_;
};

std::string describe(std::map<std::string, figures> const& all)
{
    std::string text;
    double credit = 0;
    double offered = 0;
    for (auto const& [name, row] : all)
    {
        text +=
            fmt::format("{}: {} of {} late, largest {} of {}; ", name, row.late,
                        row.answered, row.largest_late, row.largest);
        credit += row.credit;
        offered += row.offered_credit;
    }
    return text + fmt::format("credit {:.3f}", credit / offered);
}

} // namespace

BOOST_AUTO_TEST_SUITE(uneven_upstreams)

// Guards against prompts that miss their target on slow upstreams while fast
// ones run small requests, and against VMs that all choose the one that looks
// fastest.
BOOST_AUTO_TEST_CASE(delay_fewer_urgent_requests_than_without_their_work_times)
{
    for (double const load : {1.0, 1.7})
    {
        for (std::uint64_t const seed : {1u, 2u})
        {
            replay_options options;
            options.seed = seed;
            options.load = load;
            options.uses_work_times = false;
            auto const before = replay(options).run();
            options.uses_work_times = true;
            auto const after = replay(options).run();
            BOOST_TEST_MESSAGE(fmt::format("load {} seed {}", load, seed));
            BOOST_TEST_MESSAGE("  without: " << describe(before));
            BOOST_TEST_MESSAGE("  with:    " << describe(after));
            BOOST_TEST(after.at("wire-roundup").late_share() <
                       before.at("wire-roundup").late_share() / 2);
            BOOST_TEST(after.at("wire-roundup").largest_late <=
                       before.at("wire-roundup").largest_late);
            for (auto const& kind : kinds)
            {
                BOOST_TEST(after.at(kind.name).late_share() <=
                               before.at(kind.name).late_share() + 0.01,
                           kind.name);
            }
        }
    }
}

// Guards against an upstream that gets no work because it is slow, so that its
// recovery would not be noticed, and against VMs that all choose the same one
// because the same loads make it look fastest.
BOOST_AUTO_TEST_CASE(all_get_some_work_and_none_much_more_than_the_others)
{
    for (double const load : {1.0, 2.6})
    {
        replay_options options;
        options.load = load;
        replay run(options);
        run.run();
        BOOST_REQUIRE(!run.sent().empty());
        auto const sum =
            std::accumulate(run.sent().begin(), run.sent().end(), 0u);
        auto const mean = sum / static_cast<std::uint32_t>(run.sent().size());
        BOOST_TEST(std::ranges::min(run.sent()) >= 1u);
        BOOST_TEST(std::ranges::max(run.sent()) <= 4 * mean);
    }
}

// Guards against a rate that is learned from the prompt's shared part, which
// other VMs may have brought to the engine's cache.
BOOST_AUTO_TEST_CASE(have_the_rate_that_answers_show)
{
    replay load{replay_options{}};
    load.run();
    double const rate =
        load.any_router().pace_of("desk")->prefill_tokens_per_ms();
    // Each chunk of a prompt takes a step of the other streams too.
    double const fastest =
        fake_engine::chunk_tokens /
        (fake_engine::step_ms +
         fake_engine::chunk_tokens / fake_engine::tokens_per_ms);
    BOOST_TEST(rate > 0.6 * fastest);
    BOOST_TEST(rate < 1.1 * fastest);
}

// Guards against another decision where upstreams state no work time.
BOOST_AUTO_TEST_CASE(are_chosen_as_before_if_they_state_no_work_time)
{
    replay_options options;
    options.states_work = false;
    options.counted = seconds(5);
    replay with(options);
    with.run();
    options.uses_work_times = false;
    replay without(options);
    without.run();
    BOOST_TEST(with.choices() == without.choices());
    BOOST_TEST(with.any_router().pace_of("desk") == nullptr);
    options.states_work = true;
    options.uses_work_times = true;
    replay stating(options);
    stating.run();
    BOOST_TEST(stating.choices() != without.choices());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
