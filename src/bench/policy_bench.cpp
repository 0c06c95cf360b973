// Measures the decisions under load against simple baselines, on synthetic
// time, over a number of seeds. Prints one table for each section.
#include "bench/policy_bench_moves.hpp"
#include "bench/policy_bench_slopes.hpp"
#include "bench/policy_bench_workload.hpp"
#include "bench/policy_bench_world.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

namespace po = boost::program_options;

namespace amarantharch::bench
{

namespace
{

struct bench_options
{
    std::uint64_t first_seed = 1;
    std::uint64_t seeds = 10;
    bool each_seed = false; // print a row per seed as well
};

// Mean and extremes of one figure over the seeds.
struct spread
{
    double sum = 0;
    double lowest = std::numeric_limits<double>::infinity();
    double highest = -std::numeric_limits<double>::infinity();
    int count = 0;

    void add(double value)
    {
        sum += value;
        lowest = std::min(lowest, value);
        highest = std::max(highest, value);
        ++count;
    }
    std::string text(int decimals) const
    {
        return fmt::format("{:.{}f} ({:.{}f}..{:.{}f})", sum / count, decimals,
                           lowest, decimals, highest, decimals);
    }
};

struct figure
{
    char const* name;
    int decimals;
    std::function<double(world_result const&)> of;
};

double light_late_share(world_result const& r)
{
    std::uint64_t late = 0;
    std::uint64_t all = 0;
    for (std::size_t i = 1; i < organisation_count; ++i)
    {
        std::string const who = organisation_name(i);
        auto const found = r.late_of.find(who);
        late += found == r.late_of.end() ? 0 : found->second;
        all += r.requests_of.at(who);
    }
    return static_cast<double>(late) / static_cast<double>(all);
}

double share_of(std::uint64_t part, std::uint64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

// Price of the fleet, per thousand answers within target.
double cost_at_target(world_result const& r, world_options const& options)
{
    double price = 0;
    for (upstream_profile const& profile : options.upstreams)
    {
        price += profile.price_per_hour;
    }
    double const hours =
        std::chrono::duration<double, std::ratio<3600>>(options.length).count();
    return price * hours * 1'000 / static_cast<double>(r.within_target);
}

struct variant
{
    std::string name;
    world_options world;
    workload_options workload;
};

void print_table(std::string const& title, std::vector<variant> const& variants,
                 std::vector<figure> const& figures,
                 bench_options const& options)
{
    fmt::print("\n### {}\n\n| variant |", title);
    for (figure const& f : figures)
    {
        fmt::print(" {} |", f.name);
    }
    fmt::print("\n|---|");
    for (std::size_t i = 0; i < figures.size(); ++i)
    {
        fmt::print("---|");
    }
    fmt::print("\n");
    for (variant v : variants)
    {
        std::vector<spread> spreads(figures.size());
        for (std::uint64_t i = 0; i < options.seeds; ++i)
        {
            v.world.seed = v.workload.seed = options.first_seed + i;
            world_result const r =
                run_world(v.world, make_workload(v.workload));
            std::string row =
                fmt::format("| {} seed {} |", v.name, v.world.seed);
            for (std::size_t f = 0; f < figures.size(); ++f)
            {
                double const value = figures[f].of(r);
                spreads[f].add(value);
                row += fmt::format(" {:.{}f} |", value, figures[f].decimals);
            }
            if (options.each_seed)
            {
                fmt::print("{}\n", row);
            }
        }
        fmt::print("| {} |", v.name);
        for (std::size_t f = 0; f < figures.size(); ++f)
        {
            fmt::print(" {} |", spreads[f].text(figures[f].decimals));
        }
        fmt::print("\n");
        std::fflush(stdout);
    }
}

variant variant_of(user_kind user)
{
    variant v;
    v.workload.user = user;
    v.world.upstreams = fleet_of(user);
    v.world.length = v.workload.length;
    return v;
}

std::vector<figure> const routing_figures{
    {"recomputed tokens, k", 0,
     [](world_result const& r)
     {
         return static_cast<double>(r.recomputed_tokens) / 1'000;
     }},
    {"late, %", 2,
     [](world_result const& r)
     {
         return r.late_share() * 100;
     }},
    {"first token p95, ms", 0,
     [](world_result const& r)
     {
         return percentile(r.first_token_ms, 0.95);
     }},
    {"interactive p95, ms", 0,
     [](world_result const& r)
     {
         return percentile(r.interactive_ms, 0.95);
     }},
    {"between tokens p95, ms", 1,
     [](world_result const& r)
     {
         return percentile(r.between_tokens_ms, 0.95);
     }},
};

void bench_routing(bench_options const& options)
{
    for (auto const& user : user_kind_names)
    {
        std::vector<variant> variants;
        for (auto const& strategy : routing_strategy_names)
        {
            variant v = variant_of(user.value);
            v.name = strategy.name;
            v.world.strategy = strategy.value;
            variants.push_back(v);
        }
        auto figures = routing_figures;
        figures.push_back({"cost per 1000 in target", 3,
                           [&](world_result const& r)
                           {
                               return cost_at_target(r, variants[0].world);
                           }});
        print_table(fmt::format("Routing, {}", user.name), variants, figures,
                    options);
    }
}

void bench_faults(bench_options const& options)
{
    struct fault
    {
        char const* name;
        void (*apply)(world_faults&);
    };
    fault const faults[] = {
        {"none",
         [](world_faults&) {
         }},
        {"reports and cache events lag 2 s",
         [](world_faults& f)
         {
             f.report_lag = std::chrono::seconds(2);
         }},
        {"half of the cache events lost",
         [](world_faults& f)
         {
             f.lost_cache_events_percent = 50;
         }},
        {"reclaim of a failure domain",
         [](world_faults& f)
         {
             f.reclaim_wave = true;
         }},
        {"reclaim, reports lag 2 s",
         [](world_faults& f)
         {
             f.reclaim_wave = true;
             f.report_lag = std::chrono::seconds(2);
         }},
        {"poison every 5 s",
         [](world_faults& f)
         {
             f.poison = true;
         }},
    };
    std::vector<variant> variants;
    for (fault const& f : faults)
    {
        for (auto const& strategy : routing_strategy_names)
        {
            bool const shown =
                strategy.value == routing_strategy::predicted ||
                strategy.value == routing_strategy::least_in_flight;
            if (shown)
            {
                variant v = variant_of(user_kind::rucksackwerk);
                v.name = fmt::format("{}: {}", f.name, strategy.name);
                v.world.strategy = strategy.value;
                f.apply(v.world.faults);
                variants.push_back(v);
            }
        }
    }
    auto figures = routing_figures;
    figures.push_back({"failed", 1,
                       [](world_result const& r)
                       {
                           return static_cast<double>(r.failed);
                       }});
    figures.push_back({"sent to leaving after 2 s", 0,
                       [](world_result const& r)
                       {
                           return static_cast<double>(r.to_leaving);
                       }});
    print_table("Faults, rucksackwerk", variants, figures, options);
}

void bench_limits(bench_options const& options)
{
    // At load 1 each organisation offers about two thirds of its share.
    struct offer
    {
        char const* name;
        double load;
        double heavy; // times the others' offer
    };
    offer const offers[] = {
        {"all 2/3 of their share", 1, 1},
        {"heavy 5, others 1/2 of their shares", 0.75, 10},
        {"heavy 5, others 2/3 of their shares", 1, 7.5},
    };
    std::vector<variant> variants;
    for (offer const& o : offers)
    {
        for (bool const fair : {true, false})
        {
            variant v = variant_of(user_kind::rucksackwerk);
            v.name = fmt::format("{}: {}", o.name,
                                 fair ? "fair" : "fifo, fixed limit");
            v.workload.load = o.load;
            v.workload.heavy = o.heavy;
            v.world.door = fair ? door_kind::fair : door_kind::fifo;
            variants.push_back(v);
        }
    }
    variant unheard = variants[2];
    unheard.name += ", peers unheard";
    unheard.world.faults.peers_unheard = true;
    variants.push_back(unheard);
    print_table("Limits, rucksackwerk", variants,
                {{"light late, %", 2,
                  [](world_result const& r)
                  {
                      return light_late_share(r) * 100;
                  }},
                 {"heavy late or refused, %", 1,
                  [](world_result const& r)
                  {
                      return r.late_share(organisation_name(0)) * 100;
                  }},
                 {"refused, %", 1,
                  [](world_result const& r)
                  {
                      return share_of(r.refused, r.requests) * 100;
                  }},
                 {"in target a session", 0,
                  [](world_result const& r)
                  {
                      return static_cast<double>(r.within_target);
                  }},
                 {"first token p95, ms", 0,
                  [](world_result const& r)
                  {
                      return percentile(r.first_token_ms, 0.95);
                  }}},
                options);
}

void bench_retries(bench_options const& options)
{
    struct fault
    {
        char const* name;
        double load;
        void (*apply)(world_faults&);
    };
    fault const faults[] = {
        {"1% fail", 1,
         [](world_faults& f)
         {
             f.failing_percent = 1;
         }},
        {"5% fail", 1,
         [](world_faults& f)
         {
             f.failing_percent = 5;
         }},
        {"30% fail", 1,
         [](world_faults& f)
         {
             f.failing_percent = 30;
         }},
        {"30% fail, load x2", 2,
         [](world_faults& f)
         {
             f.failing_percent = 30;
         }},
        {"outage of a third", 1,
         [](world_faults& f)
         {
             f.outage = true;
         }},
        {"reclaim", 1,
         [](world_faults& f)
         {
             f.reclaim_wave = true;
         }},
        {"reclaim, load x2", 2,
         [](world_faults& f)
         {
             f.reclaim_wave = true;
         }},
        {"reclaim, load x4", 4,
         [](world_faults& f)
         {
             f.reclaim_wave = true;
         }},
    };
    std::vector<variant> variants;
    for (fault const& f : faults)
    {
        for (bool const budget : {true, false})
        {
            variant v = variant_of(user_kind::rucksackwerk);
            v.name = fmt::format("{}: {}", f.name,
                                 budget ? "budget" : "three attempts");
            v.workload.load = f.load;
            v.world.retries = budget ? retry_kind::budget : retry_kind::fixed;
            f.apply(v.world.faults);
            variants.push_back(v);
        }
    }
    print_table("Retries, rucksackwerk", variants,
                {{"amplification", 3,
                  [](world_result const& r)
                  {
                      return r.amplification();
                  }},
                 {"moved", 0,
                  [](world_result const& r)
                  {
                      return static_cast<double>(r.moved);
                  }},
                 {"failed, %", 2,
                  [](world_result const& r)
                  {
                      return share_of(r.failed, r.requests) * 100;
                  }},
                 {"late, %", 2,
                  [](world_result const& r)
                  {
                      return r.late_share() * 100;
                  }}},
                options);
}

void print_moves(version_kind const& kind, mover_kind mover, bool cut_vm,
                 std::uint64_t runs, bench_options const& options)
{
    std::uint64_t taken_back = 0;
    std::uint64_t done = 0;
    std::uint64_t sent_after = 0;
    spread exposed;
    spread bad;
    spread minutes;
    for (std::uint64_t i = 0; i < runs; ++i)
    {
        move_result const r =
            run_move(kind, mover, options.first_seed + i, cut_vm);
        taken_back += r.state == move_state::rolled_back ? 1 : 0;
        done += r.state == move_state::done ? 1 : 0;
        sent_after += r.sent_after;
        exposed.add(r.exposed_share * 100);
        bad.add(r.bad_share * 100);
        minutes.add(r.seconds_to_end / 60);
    }
    fmt::print("| {}{} | {} | {} of {} | {} of {} | {} | {} | {} | {} |\n",
               kind.name, cut_vm ? ", one VM cut off" : "",
               mover == mover_kind::sequential ? "sequential" : "thresholds",
               taken_back, runs, done, runs, exposed.text(2), bad.text(2),
               minutes.text(1), sent_after);
    std::fflush(stdout);
}

void bench_moves(bench_options const& options)
{
    fmt::print(
        "\n### Moves of versions, one hour, 80 requests/s, 8 VMs\n\n"
        "| kind | mover | taken back | done in time | new version's "
        "requests, % | of these while bad, % of all | minutes to the end "
        "| sent 5 s after the end |\n|---|---|---|---|---|---|---|---|\n");
    constexpr std::uint64_t good_runs_per_seed = 10;
    for (version_kind const& kind : version_kinds())
    {
        std::uint64_t const runs =
            options.seeds * (kind.good ? good_runs_per_seed : 1);
        print_moves(kind, mover_kind::sequential, false, runs, options);
        print_moves(kind, mover_kind::thresholds, false, runs, options);
        if (!kind.good)
        {
            print_moves(kind, mover_kind::sequential, true, runs, options);
        }
    }
}

struct section
{
    char const* name;
    void (*run)(bench_options const&);
};

constexpr section sections[] = {
    {"routing", bench_routing},
    {"faults", bench_faults},
    {"limits", bench_limits},
    {"retries", bench_retries},
    {"moves", bench_moves},
    {"slopes",
     [](bench_options const&)
     {
         print_slopes();
     }},
};

int run(int argc, char** argv)
{
    bench_options options;
    std::string only;
    po::options_description described(
        "amarantharch-policy-bench: policies against baselines");
    auto add = described.add_options();
    add("help", "print this help");
    add("section", po::value(&only),
        "run one section: routing, faults, limits, retries, moves, "
        "slopes");
    add("seed", po::value(&options.first_seed), "first seed (1)");
    add("seeds", po::value(&options.seeds), "number of seeds (10)");
    add("each-seed", po::bool_switch(&options.each_seed),
        "print a row for each seed too");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, described), given);
    po::notify(given);
    if (given.contains("help"))
    {
        fmt::print("{}\n", (std::ostringstream() << described).str());
        return 0;
    }
    for (section const& s : sections)
    {
        if (only.empty() || only == s.name)
        {
            s.run(options);
        }
    }
    return 0;
}

} // namespace

} // namespace amarantharch::bench

int main(int argc, char** argv)
{
    try
    {
        return amarantharch::bench::run(argc, argv);
    }
    catch (std::exception const& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
