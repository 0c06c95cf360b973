#include "bench/policy_bench_moves.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <optional>
#include <random>
#include <vector>

namespace amarantharch::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t vm_count = 8;
constexpr duration move_time = std::chrono::minutes(60);
constexpr double requests_per_second = 80;
constexpr duration gossip_interval = seconds(1);
constexpr duration record_delay = milliseconds(500);
constexpr duration load_period = seconds(300);
constexpr double new_capacity = 0.05; // of the slots, in the first stage

struct route_row
{
    char const* name;
    double part; // of the requests, cumulative
    double median_ms;
};

constexpr std::array<route_row, 3> routes{
    {{"question", 0.6, 60}, {"draft", 0.8, 350}, {"order", 1, 30}}};

constexpr version_kind kinds[] = {
    {"fails at once", false, 0.3, 0, 1, 1, false, 0.001, false},
    {"crashes", false, 1, 0, 1, 1, false, 0.001, false},
    {"fails seldom", false, 0.03, 0, 1, 1, false, 0.001, false},
    {"fails later", false, 0.2, 0.3, 1, 1, false, 0.001, false},
    {"fails at the last stages", false, 0.2, 0.72, 1, 1, false, 0.001, false},
    {"slow", false, 0, 0, 1.6, 1, false, 0.001, false},
    {"slow under load", false, 0, 0, 1, 2.5, false, 0.001, false},
    {"bad on one route", false, 0.3, 0, 1, 1, true, 0.001, false},
    {"good", true, 0, 0, 1, 1, false, 0.001, false},
    {"good, many failures", true, 0, 0, 1, 1, false, 0.03, false},
    {"good, common outage", true, 0, 0, 1, 1, false, 0.001, true},
    {"good, 5% slower", true, 0, 0, 1.05, 1, false, 0.001, false},
};

struct outcome
{
    bool failed;
    duration first_byte;
};

// The baseline: fixed stages, and thresholds against the old version's history
// on the last requests.
class threshold_mover
{
public:
    double share(double elapsed) const
    {
        if (taken_back_)
        {
            return 0;
        }
        return elapsed < 0.25 ? 0.05 : elapsed < 0.5 ? 0.25 : 1;
    }

    void on_outcome(version_arm arm, outcome const& what)
    {
        double const ms =
            std::chrono::duration<double, std::milli>(what.first_byte).count();
        if (arm == version_arm::old_version)
        {
            ++old_requests_;
            old_ms_ += ms;
            old_failures_ += what.failed ? 1 : 0;
            return;
        }
        ++new_requests_;
        new_ms_ += ms;
        new_failures_ += what.failed ? 1 : 0;
        if (new_requests_ == window)
        {
            close_window();
        }
    }

    bool taken_back() const
    {
        return taken_back_;
    }

private:
    static constexpr int window = 500;

    void close_window()
    {
        double const old_rate = old_failures_ / std::max(1.0, old_requests_);
        double const old_mean = old_ms_ / std::max(1.0, old_requests_);
        taken_back_ = taken_back_ || new_failures_ / window > old_rate + 0.02 ||
                      new_ms_ / window > old_mean * 1.5;
        new_requests_ = 0;
        new_failures_ = 0;
        new_ms_ = 0;
    }

    double old_requests_ = 0;
    double old_failures_ = 0;
    double old_ms_ = 0;
    int new_requests_ = 0;
    double new_failures_ = 0;
    double new_ms_ = 0;
    bool taken_back_ = false;
};

class move_session
{
public:
    move_session(version_kind const& kind, mover_kind mover, std::uint64_t seed,
                 bool cut_vm)
        : kind_(kind), mover_(mover), random_(seed), cut_vm_(cut_vm)
    {
        move_plan plan;
        plan.revision = fmt::format("move{}", seed);
        plan.started = from_micros(0);
        plan.deadline = plan.started + move_time;
        vms_.assign(vm_count, version_move(plan, {}));
        for (version_move& vm : vms_)
        {
            vm.set_capacity_share(new_capacity);
        }
    }

    move_result run()
    {
        std::exponential_distribution<double> gap(requests_per_second / 1e6);
        time_point now = from_micros(0);
        time_point next_gossip = now;
        while (now < from_micros(0) + move_time + seconds(30))
        {
            now += duration(static_cast<std::int64_t>(gap(random_)) + 1);
            now_share_ = elapsed(now);
            if (now >= next_gossip)
            {
                gossip(now);
                next_gossip += gossip_interval;
            }
            deliver(now);
            request(now);
        }
        return finish();
    }

private:
    double elapsed(time_point now) const
    {
        return std::chrono::duration<double>(now - from_micros(0)) /
               std::chrono::duration<double>(move_time);
    }

    // Slots in use at the old upstreams, as a share.
    double old_load(time_point now) const
    {
        double const turn =
            std::chrono::duration<double>(now - from_micros(0)) /
            std::chrono::duration<double>(load_period);
        return 0.5 + 0.25 * std::sin(2 * std::numbers::pi * turn);
    }

    bool cut(std::size_t vm) const
    {
        return cut_vm_ && vm == vm_count - 1 && now_share_ >= kind_.fails_from;
    }

    void request(time_point now)
    {
        std::size_t const vm = random_() % vm_count;
        request_id const id = fmt::format("{}", random_());
        double const share = mover_ == mover_kind::sequential
                                 ? vms_[vm].share(now)
                                 : baseline_.share(elapsed(now));
        version_arm arm = vms_[vm].assign(now, id);
        if (mover_ == mover_kind::thresholds)
        {
            arm = uniform_(random_) < share ? version_arm::new_version
                                            : version_arm::old_version;
        }
        bool const is_new = arm == version_arm::new_version;
        route_row const& route = draw_route();
        double const capacity = std::max(new_capacity, share);
        double const load =
            is_new ? old_load(now) * share / capacity : old_load(now);
        load_band const band =
            load >= high_band_load ? load_band::high : load_band::low;
        outcome const what = draw(now, is_new, route, load, band);
        count(now, is_new);
        baseline_.on_outcome(arm, what);
        if (what.failed)
        {
            vms_[vm].on_failure(route.name, band, arm, share);
        }
        else
        {
            vms_[vm].on_answer(now, route.name, band, arm, what.first_byte);
        }
    }

    void count(time_point now, bool is_new)
    {
        bool const over = mover_ == mover_kind::sequential
                              ? ended_at_.has_value()
                              : baseline_.taken_back();
        if (!over)
        {
            ++requests_;
            new_requests_ += is_new ? 1 : 0;
            bool const shows = !kind_.good && elapsed(now) >= kind_.fails_from;
            bad_requests_ += is_new && shows ? 1 : 0;
            last_request_ = now;
        }
        else if (is_new && !done_ && now > last_request_ + seconds(5))
        {
            ++sent_after_;
        }
    }

    route_row const& draw_route()
    {
        double const place = uniform_(random_);
        return *std::find_if(routes.begin(), routes.end(),
                             [place](route_row const& row)
                             { return place < row.part; });
    }

    outcome draw(time_point now, bool is_new, route_row const& route,
                 double load, load_band band)
    {
        bool const affected =
            is_new && (!kind_.one_route || &route == &routes[1]);
        double failures = kind_.usual_failures;
        bool const outage = elapsed(now) > 0.2 && elapsed(now) < 0.2 + 2.0 / 60;
        failures += kind_.common_outage && outage ? 0.3 : 0;
        failures +=
            affected && elapsed(now) >= kind_.fails_from ? kind_.failures : 0;
        double ms = route.median_ms * std::exp(0.5 * normal_(random_));
        ms *= 1 + 0.3 * load * load / (1 - load);
        ms *= affected ? kind_.slow_factor : 1;
        ms *= affected && band == load_band::high ? kind_.slow_when_high : 1;
        return {uniform_(random_) < failures,
                duration(static_cast<std::int64_t>(ms * 1'000))};
    }

    void gossip(time_point now)
    {
        for (std::size_t from = 0; from < vm_count; ++from)
        {
            auto const seen = vms_[from].evidence(fmt::format("{}", from), 1);
            for (std::size_t to = 0; to < vm_count; ++to)
            {
                if (to != from && !cut(from) && !cut(to))
                {
                    vms_[to].merge(seen);
                    vms_[to].on_contact(now);
                }
            }
        }
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            auto const record = vms_[vm].tick(now, vm == 0);
            if (record && !cut(vm))
            {
                records_.push_back({now + record_delay, *record});
            }
        }
    }

    void deliver(time_point now)
    {
        while (delivered_ < records_.size() && records_[delivered_].at <= now)
        {
            move_record const& record = records_[delivered_].record;
            for (std::size_t vm = 0; vm < vm_count; ++vm)
            {
                if (!cut(vm))
                {
                    vms_[vm].apply(record);
                }
            }
            auto const state = static_cast<move_state>(record.state);
            if (state != move_state::running && !ended_at_)
            {
                ended_at_ = now;
                done_ = state == move_state::done;
            }
            ++delivered_;
        }
    }

    move_result finish() const
    {
        move_result result;
        result.state = vms_[0].report({}).state;
        if (mover_ == mover_kind::thresholds)
        {
            result.state = baseline_.taken_back() ? move_state::rolled_back
                                                  : move_state::done;
        }
        auto const all = static_cast<double>(requests_);
        result.exposed_share = static_cast<double>(new_requests_) / all;
        result.bad_share = static_cast<double>(bad_requests_) / all;
        result.seconds_to_end =
            std::chrono::duration<double>(last_request_ - from_micros(0))
                .count();
        result.sent_after = sent_after_;
        return result;
    }

    struct timed_record
    {
        time_point at;
        move_record record;
    };

    double now_share_ = 0; // of the move's time
    version_kind const& kind_;
    mover_kind mover_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_{0, 1};
    std::normal_distribution<double> normal_{0, 1};
    bool cut_vm_;
    std::vector<version_move> vms_;
    threshold_mover baseline_;
    std::vector<timed_record> records_;
    std::size_t delivered_ = 0;
    std::optional<time_point> ended_at_;
    bool done_ = false;
    time_point last_request_;
    std::uint64_t requests_ = 0;
    std::uint64_t new_requests_ = 0;
    std::uint64_t bad_requests_ = 0;
    std::uint64_t sent_after_ = 0;
};

} // namespace

std::span<version_kind const> version_kinds()
{
    return kinds;
}

move_result run_move(version_kind const& kind, mover_kind mover,
                     std::uint64_t seed, bool cut_vm)
{
    return move_session(kind, mover, seed, cut_vm).run();
}

} // namespace amarantharch::bench
