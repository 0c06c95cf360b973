#include "bench/policy_bench_slopes.hpp"

#include "core/admission.hpp"
#include "core/routing.hpp"
#include "core/version_move.hpp"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>
#include <string>

namespace amarantharch::bench
{

namespace
{

using std::chrono::seconds;

time_point const now = from_micros(0) + seconds(100);

double heap_kib()
{
    return static_cast<double>(mallinfo2().uordblks) / 1'024;
}

template <typename Work>
double micros_each(int count, Work const& work)
{
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
    {
        work(i);
    }
    std::chrono::duration<double, std::micro> const took =
        std::chrono::steady_clock::now() - begin;
    return took.count() / count;
}

void print_row(char const* what, int size, double micros, double kib)
{
    fmt::print("| {} | {} | {:.2f} | {:.0f} |\n", what, size, micros, kib);
}

void routing_slope(int upstreams)
{
    double const before = heap_kib();
    upstream_table table;
    router chooser{routing_options{}};
    for (int i = 0; i < upstreams; ++i)
    {
        upstream_profile profile;
        profile.name = fmt::format("engine{}", i);
        profile.service = std::string("drafting");
        upstream_index const index = table.put(profile);
        chooser.on_report(index, {now, 8, 1, 500}, table);
    }
    constexpr int templates = 64;
    std::vector<request_features> requests(templates);
    for (int i = 0; i < templates; ++i)
    {
        requests[static_cast<std::size_t>(i)].service = std::string("drafting");
        std::string const prompt(12'800, static_cast<char>('0' + i));
        requests[static_cast<std::size_t>(i)].prefix = hash_prefix(prompt);
        requests[static_cast<std::size_t>(i)].prompt_tokens = 3'200;
    }
    auto const decide = [&](int i)
    {
        auto const& what = requests[static_cast<std::size_t>(i % templates)];
        auto const picked = chooser.choose(now, what, table, {});
        auto const attempt = static_cast<attempt_id>(i) + 1;
        chooser.on_sent(now, attempt, what, *picked, table);
        chooser.on_first_token(attempt, 3'200);
        chooser.on_end(now, attempt, table);
    };
    double const micros = micros_each(20'000, decide);
    print_row("route, send and end; 40 candidates of upstreams", upstreams,
              micros, heap_kib() - before);
    auto const choose = [&](int i)
    {
        auto const& what = requests[static_cast<std::size_t>(i % templates)];
        chooser.choose(now, what, table, {});
    };
    print_row("choose only; 40 candidates of upstreams", upstreams,
              micros_each(20'000, choose), 0);
}

void admission_slope(int organisations)
{
    double const before = heap_kib();
    admission door{admission_options{}};
    auto const offer = [&](int i)
    {
        admission_request what;
        what.id = fmt::format("{}", i);
        what.organisation = fmt::format("o{}", i % organisations);
        what.tokens = 100;
        door.offer(now, what);
        if (i >= 100)
        {
            door.on_end(now, fmt::format("{}", i - 100), 100);
        }
        door.release(now);
    };
    double const micros = micros_each(20'000, offer);
    print_row("admit, end and release; organisations", organisations, micros,
              heap_kib() - before);
}

void move_slope(int vms)
{
    double const before = heap_kib();
    move_plan plan;
    plan.revision = fmt::format("{}", 1);
    plan.started = now;
    plan.deadline = now + seconds(3'600);
    version_move move(plan, {});
    move_evidence seen;
    seen.revision = plan.revision;
    seen.incarnation = 1;
    for (int route = 0; route < 3; ++route)
    {
        for (std::uint8_t band = 0; band < 2; ++band)
        {
            seen.cells.push_back({fmt::format("route{}", route), band, {}});
        }
    }
    auto const merge = [&](int i)
    {
        seen.vm = fmt::format("vm{}", i % vms);
        ++seen.sequence;
        move.merge(seen);
    };
    double const merging = micros_each(vms * 4, merge);
    double const kib = heap_kib() - before;
    print_row("merge a peer's evidence of 6 cells; VMs", vms, merging, kib);
    auto const tick = [&](int)
    {
        move.tick(now, true);
    };
    print_row("tick of a move, 6 cells; VMs", vms, micros_each(20, tick), kib);
}

} // namespace

void print_slopes()
{
    fmt::print("\n### Time and memory\n\n| operation; grows with | size | us "
               "each | KiB |\n|---|---|---|---|\n");
    for (int const upstreams : {40, 400, 4'300})
    {
        routing_slope(upstreams);
    }
    for (int const organisations : {5, 50, 500})
    {
        admission_slope(organisations);
    }
    for (int const vms : {8, 128, 1'200})
    {
        move_slope(vms);
    }
}

} // namespace amarantharch::bench
