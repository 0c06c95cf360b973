#include "bench/policy_bench_world.hpp"

#include "bench/policy_bench_engine.hpp"
#include "core/outlier.hpp"
#include "core/retry_budget.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace amarantharch::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration network_delay = milliseconds(1);
constexpr duration report_interval = milliseconds(200);
constexpr duration cache_event_interval = milliseconds(500);
constexpr duration usage_interval = milliseconds(500);
constexpr duration tick_interval = milliseconds(20);
constexpr duration request_deadline = seconds(30);
constexpr duration drain_time = seconds(60); // after the last request
constexpr duration poison_interval = seconds(5);
constexpr duration restart_time = seconds(10);
constexpr duration news_delay = milliseconds(100); // to each further VM
constexpr std::uint32_t fixed_attempts = 3;

double millis(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

// The baseline's door: a fixed limit and one queue for all.
struct fifo_door
{
    std::size_t limit = 0;
    std::size_t in_flight = 0;
    std::deque<request_id> waiting;
};

// One service's doors at one VM; the session uses one of the two.
struct door_state
{
    admission fair;
    fifo_door fifo;
};

struct vm_state
{
    explicit vm_state(routing_options const& routing) : chooser(routing) {}

    router chooser;
    std::map<std::string, door_state> doors; // by service
    retry_budget budget{retry_budget_options{}};
    outlier_detector outliers{outlier_options{}};
    upstream_table table;
};

struct request_state
{
    offered const* request = nullptr;
    std::size_t vm = 0;
    time_point arrived;
    std::uint32_t attempts = 0;
    attempt_id current = 0; // 0: none
    std::vector<upstream_index> exclusions;
    bool answer_begun = false;
    bool ended = false;
};

struct attempt_state
{
    request_id request;
    upstream_index upstream = 0;
};

class world
{
public:
    world(world_options const& options, std::vector<offered> const& workload)
        : options_(options), workload_(workload), random_(options.seed)
    {
        observe_engines();
        engines_.reserve(options.upstreams.size());
        for (upstream_profile const& profile : options.upstreams)
        {
            engines_.emplace_back(profile, time_, observer_);
            slots_[profile.service] += profile.slots;
        }
        for (std::uint32_t i = 0; i < options.vms; ++i)
        {
            vms_.push_back(make_vm(i));
        }
        poison_.organisation = std::string("poison");
        poison_.what.service = options.upstreams.front().service;
        poison_.what.prompt_tokens = 100;
        poison_.output_tokens = 10;
    }

    world_result run()
    {
        time_point const begin = from_micros(0);
        time_point const end = begin + options_.length + drain_time;
        for (offered const& request : workload_)
        {
            time_.at(request.at, [this, &request](time_point now)
                     { on_arrival(now, request); });
        }
        time_.repeat(begin, tick_interval, end,
                     [this](time_point now)
                     {
                         for (std::size_t i = 0; i < vms_.size(); ++i)
                         {
                             release(now, i);
                         }
                     });
        time_.repeat(begin, report_interval, end,
                     [this](time_point now) { publish_reports(now); });
        time_.repeat(begin, cache_event_interval, end,
                     [this](time_point now) { publish_cache_events(now); });
        if (!options_.faults.peers_unheard)
        {
            time_.repeat(begin, usage_interval, end,
                         [this](time_point now) { exchange_usage(now); });
        }
        schedule_faults(begin);
        time_.run_until(end);
        return std::move(result_);
    }

private:
    void observe_engines()
    {
        observer_.on_prefill =
            [this](time_point now, job const& what, std::size_t held)
        {
            count_computed(what.request->what, held);
            if (what.request == &poison_)
            {
                // Not from within the engine that is to die.
                time_.at(
                    now, [this, what](time_point then)
                    { die_of_poison(then, attempts_[what.attempt].upstream); });
            }
        };
        observer_.on_first_token = [this](time_point now, job const& what,
                                          std::uint32_t cached, double ms)
        {
            result_.between_tokens_ms.push_back(ms);
            time_.at(now + network_delay, [this, what, cached](time_point t)
                     { on_first_token(t, what.attempt, cached); });
        };
        observer_.on_end = [this](time_point now, job const& what)
        {
            time_.at(now + network_delay, [this, what](time_point then)
                     { on_answer_end(then, what.attempt); });
        };
    }

    std::unique_ptr<vm_state> make_vm(std::uint32_t number)
    {
        routing_options routing;
        routing.strategy = options_.strategy;
        routing.seed = options_.seed * 1'000 + number;
        auto vm = std::make_unique<vm_state>(routing);
        for (upstream_profile const& profile : options_.upstreams)
        {
            vm->table.put(profile);
        }
        for (auto const& [service, slots] : slots_)
        {
            admission_options admitting;
            admitting.limit.initial = slots / options_.vms;
            admitting.limit.floor = admitting.limit.initial * 3 / 4;
            admitting.limit.ceiling = admitting.limit.initial;
            vm->doors.emplace(service,
                              door_state{admission(admitting),
                                         {slots / options_.vms, 0, {}}});
        }
        return vm;
    }

    void schedule_faults(time_point begin)
    {
        outage_from_ = begin + options_.length / 3;
        outage_to_ = begin + options_.length * 2 / 3;
        if (options_.faults.reclaim_wave)
        {
            time_.at(begin + options_.length / 2,
                     [this](time_point now) { reclaim_domain(now); });
        }
        if (options_.faults.poison)
        {
            time_.repeat(begin + poison_interval, poison_interval,
                         begin + options_.length,
                         [this](time_point now) { on_arrival(now, poison_); });
        }
    }

    // Callers' side.

    void on_arrival(time_point now, offered const& request)
    {
        request_id const id = fmt::format("{}", next_request_++);
        request_state& state = requests_[id];
        state.request = &request;
        state.vm = random_() % vms_.size();
        state.arrived = now;
        ++result_.requests;
        ++result_.requests_of[request.organisation];
        if (options_.door == door_kind::fifo)
        {
            door_of(state).fifo.waiting.push_back(id);
            release(now, door_of(state));
            return;
        }
        admission_request what;
        what.id = id;
        what.organisation = request.organisation;
        what.priority = request.what.priority;
        what.tokens = charged_tokens(request.what.prompt_tokens,
                                     request.what.expected_output);
        what.bytes = request.what.prompt_tokens * bytes_per_token;
        what.deadline = now + request_deadline;
        admission_result const decided = door_of(state).fair.offer(now, what);
        for (refused_request const& lost : decided.evicted)
        {
            refuse(requests_[lost.id]);
        }
        if (decided.outcome == admission_outcome::refused)
        {
            refuse(state);
        }
        else if (decided.outcome == admission_outcome::run_now)
        {
            dispatch(now, id);
        }
    }

    void refuse(request_state& state)
    {
        ++result_.refused;
        ++result_.late_of[state.request->organisation];
        state.ended = true;
    }

    void release(time_point now, std::size_t vm)
    {
        for (auto& [service, door] : vms_[vm]->doors)
        {
            release(now, door);
        }
    }

    void release(time_point now, door_state& door)
    {
        fifo_door& fifo = door.fifo;
        while (!fifo.waiting.empty() && fifo.in_flight < fifo.limit)
        {
            request_id const id = fifo.waiting.front();
            fifo.waiting.pop_front();
            ++fifo.in_flight;
            dispatch(now, id);
        }
        admission_release const released = door.fair.release(now);
        for (refused_request const& late : released.refused)
        {
            refuse(requests_[late.id]);
        }
        for (request_id const& id : released.run)
        {
            dispatch(now, id);
        }
    }

    // Attempts.

    void dispatch(time_point now, request_id const& id)
    {
        request_state& state = requests_[id];
        vm_state& vm = vm_of(state);
        auto const picked = vm.chooser.choose(now, state.request->what,
                                              vm.table, state.exclusions);
        if (!picked)
        {
            finish(now, id, false);
            return;
        }
        attempt_id const attempt = next_attempt_++;
        attempts_[attempt] = {id, picked->upstream};
        state.current = attempt;
        ++state.attempts;
        ++result_.attempts;
        vm.chooser.on_sent(now, attempt, state.request->what, *picked,
                           vm.table);
        auto const leaving = leaving_since_.find(picked->upstream);
        if (leaving != leaving_since_.end() &&
            now >= leaving->second + seconds(2))
        {
            ++result_.to_leaving;
        }
        time_.at(now + network_delay,
                 [this, what = job{attempt, state.request}](time_point then)
                 { arrive_at_engine(then, what); });
    }

    void arrive_at_engine(time_point now, job const& what)
    {
        world_faults const& faults = options_.faults;
        bool const out =
            faults.outage && now >= outage_from_ && now < outage_to_;
        bool const fails = out || random_() % 100 < faults.failing_percent;
        fake_engine& engine = engines_[attempts_[what.attempt].upstream];
        if (engine.alive() && !fails)
        {
            engine.receive(now, what);
            return;
        }
        time_.at(now + network_delay, [this, what](time_point then)
                 { on_failure(then, what.attempt, retry_cause::failed); });
    }

    void count_computed(request_features const& what, std::size_t held)
    {
        result_.computed_tokens += what.prompt_tokens - held * tokens_per_block;
        for (std::size_t i = held; i < what.prefix.size(); ++i)
        {
            bool const first = computed_.insert(what.prefix[i]).second;
            result_.recomputed_tokens += first ? 0 : tokens_per_block;
        }
    }

    // The state of the attempt's request if it is still its current attempt.
    request_state* current(attempt_id attempt)
    {
        request_state& state = requests_[attempts_.at(attempt).request];
        return state.current == attempt ? &state : nullptr;
    }

    void on_first_token(time_point now, attempt_id attempt,
                        std::uint32_t cached)
    {
        request_state* const state = current(attempt);
        if (state == nullptr)
        {
            return;
        }
        vm_state& vm = vm_of(*state);
        vm.chooser.on_first_token(attempt, cached);
        door_of(*state).fair.on_first_byte(now, attempts_.at(attempt).request);
        if (!std::exchange(state->answer_begun, true))
        {
            count_first_token(now, *state);
        }
    }

    void count_first_token(time_point now, request_state const& state)
    {
        double const ms = millis(now - state.arrived);
        result_.first_token_ms.push_back(ms);
        request_class const priority = state.request->what.priority;
        if (priority == request_class::interactive)
        {
            result_.interactive_ms.push_back(ms);
        }
        duration const target = admission_options{}
                                    .classes[static_cast<std::size_t>(priority)]
                                    .first_byte_target;
        if (ms <= millis(target))
        {
            ++result_.within_target;
        }
        else
        {
            ++result_.late_of[state.request->organisation];
        }
    }

    void on_answer_end(time_point now, attempt_id attempt)
    {
        request_state* const state = current(attempt);
        if (state == nullptr)
        {
            return;
        }
        vm_state& vm = vm_of(*state);
        attempt_state const& ended = attempts_.at(attempt);
        vm.outliers.on_result(now, ended.upstream, true, vm.table);
        vm.budget.on_success(state->request->what.service);
        vm.chooser.on_end(now, attempt, vm.table);
        finish(now, ended.request, true);
    }

    void on_failure(time_point now, attempt_id attempt, retry_cause cause)
    {
        request_state* const state = current(attempt);
        if (state == nullptr)
        {
            return;
        }
        state->current = 0;
        vm_state& vm = vm_of(*state);
        attempt_state const& failed = attempts_.at(attempt);
        vm.chooser.on_end(now, attempt, vm.table);
        if (cause == retry_cause::failed)
        {
            vm.outliers.on_result(now, failed.upstream, false, vm.table);
        }
        state->exclusions.push_back(failed.upstream);
        auto const delay = delay_of_retry(now, failed.request, *state, cause);
        if (!delay)
        {
            finish(now, failed.request, false);
            return;
        }
        result_.moved += cause == retry_cause::upstream_leaving ? 1 : 0;
        time_.at(now + *delay, [this, id = failed.request](time_point then)
                 { dispatch(then, id); });
    }

    std::optional<duration> delay_of_retry(time_point now, request_id const& id,
                                           request_state const& state,
                                           retry_cause cause)
    {
        if (options_.retries == retry_kind::fixed)
        {
            bool const again = state.attempts < fixed_attempts;
            return again ? std::optional(duration::zero()) : std::nullopt;
        }
        retry_question question;
        question.service = state.request->what.service;
        question.id = id;
        question.cause = cause;
        question.run = verdict::may_have_run;
        question.idempotent = state.request->idempotent;
        question.answer_begun = state.answer_begun;
        question.resumable = true;
        question.attempts = state.attempts;
        question.deadline = state.arrived + request_deadline;
        retry_decision const decided = vm_of(state).budget.ask(now, question);
        bool const allowed = decided.answer == retry_answer::allowed;
        return allowed ? std::optional(decided.delay) : std::nullopt;
    }

    void finish(time_point now, request_id const& id, bool success)
    {
        request_state& state = requests_[id];
        state.ended = true;
        state.current = 0;
        if (!success)
        {
            ++result_.failed;
            bool const counted = state.answer_begun;
            result_.late_of[state.request->organisation] += counted ? 0 : 1;
        }
        if (options_.door == door_kind::fifo)
        {
            --door_of(state).fifo.in_flight;
        }
        else
        {
            offered const& request = *state.request;
            door_of(state).fair.on_end(
                now, id,
                charged_tokens(request.what.prompt_tokens,
                               request.output_tokens));
        }
        release(now, door_of(state));
    }

    // The platform's and the upstreams' side.

    void publish_reports(time_point now)
    {
        for (upstream_index i = 0; i < engines_.size(); ++i)
        {
            if (!engines_[i].alive())
            {
                continue;
            }
            time_.at(now + options_.faults.report_lag,
                     [this, i, report = engines_[i].report(now)](time_point)
                     {
                         for (auto& vm : vms_)
                         {
                             vm->chooser.on_report(i, report, vm->table);
                         }
                     });
        }
    }

    void publish_cache_events(time_point now)
    {
        for (upstream_index i = 0; i < engines_.size(); ++i)
        {
            cache_events const changes = engines_[i].take_cache_events();
            if (random_() % 100 < options_.faults.lost_cache_events_percent)
            {
                continue;
            }
            time_.at(now + options_.faults.report_lag * 3,
                     [this, i, changes](time_point)
                     {
                         for (auto& vm : vms_)
                         {
                             vm->chooser.on_cache_events(i, changes);
                         }
                     });
        }
    }

    void exchange_usage(time_point now)
    {
        for (std::size_t from = 0; from < vms_.size(); ++from)
        {
            for (auto& [service, door] : vms_[from]->doors)
            {
                usage_summary const summary =
                    door.fair.usage(fmt::format("vm{}", from), 1);
                merge_elsewhere(now, from, service, summary);
            }
        }
    }

    void merge_elsewhere(time_point now, std::size_t from,
                         std::string const& service,
                         usage_summary const& summary)
    {
        for (std::size_t to = 0; to < vms_.size(); ++to)
        {
            if (to != from)
            {
                vms_[to]->doors.at(service).fair.merge(now, summary);
            }
        }
    }

    void reclaim_domain(time_point now)
    {
        std::string const domain = engines_[0].profile().failure_domain;
        for (upstream_index i = 0; i < engines_.size(); ++i)
        {
            if (engines_[i].profile().failure_domain != domain)
            {
                continue;
            }
            leaving_since_[i] = now;
            for (std::size_t vm = 0; vm < vms_.size(); ++vm)
            {
                time_.at(now + news_delay * vm,
                         [this, vm, i](time_point)
                         {
                             upstream_table& table = vms_[vm]->table;
                             table.mark_leaving(table.row(i).profile.name, 0);
                         });
            }
            time_.at(now + options_.faults.reclaim_notice,
                     [this, i](time_point then)
                     { lose_jobs(then, i, retry_cause::upstream_leaving); });
        }
    }

    void lose_jobs(time_point now, upstream_index index, retry_cause cause)
    {
        for (job const& what : engines_[index].stop())
        {
            on_failure(now, what.attempt, cause);
        }
    }

    void die_of_poison(time_point now, upstream_index index)
    {
        if (!engines_[index].alive())
        {
            return;
        }
        ++result_.deaths;
        lose_jobs(now, index, retry_cause::failed);
        time_.at(now + restart_time,
                 [this, index](time_point) { engines_[index].restart(); });
    }

    vm_state& vm_of(request_state const& state)
    {
        return *vms_[state.vm];
    }

    door_state& door_of(request_state const& state)
    {
        return vm_of(state).doors.at(state.request->what.service);
    }

    world_options const& options_;
    std::vector<offered> const& workload_;
    std::mt19937_64 random_;
    timeline time_;
    engine_observer observer_;
    offered poison_;
    std::vector<fake_engine> engines_;
    std::map<std::string, std::uint32_t> slots_; // by service
    std::vector<std::unique_ptr<vm_state>> vms_;
    std::unordered_map<request_id, request_state> requests_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::map<upstream_index, time_point> leaving_since_;
    std::unordered_set<block_hash> computed_;
    time_point outage_from_;
    time_point outage_to_;
    std::uint64_t next_request_ = 0;
    attempt_id next_attempt_ = 1;
    world_result result_;
};

} // namespace

double world_result::amplification() const
{
    std::uint64_t const admitted = requests - refused;
    return admitted == 0
               ? 1
               : static_cast<double>(attempts) / static_cast<double>(admitted);
}

double world_result::late_share(std::string const& organisation) const
{
    auto const late = late_of.find(organisation);
    if (late == late_of.end())
    {
        return 0;
    }
    return static_cast<double>(late->second) /
           static_cast<double>(requests_of.at(organisation));
}

double world_result::late_share() const
{
    return requests == 0 ? 0
                         : 1 - static_cast<double>(within_target) /
                                   static_cast<double>(requests);
}

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return samples[static_cast<std::size_t>(rank)];
}

world_result run_world(world_options const& options,
                       std::vector<offered> const& workload)
{
    return world(options, workload).run();
}

} // namespace amarantharch::bench
