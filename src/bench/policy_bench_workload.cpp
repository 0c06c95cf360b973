#include "bench/policy_bench_workload.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <span>

namespace amarantharch::bench
{

namespace
{

// One kind of request. Its prompt is a prefix that it shares with the others
// of its template, and a tail of its own.
struct traffic
{
    char const* service;
    request_class priority;
    double per_second; // over all organisations, at load 1
    std::uint32_t templates;
    std::uint32_t shared_tokens;
    std::uint32_t own_tokens;
    std::uint32_t output_tokens; // mean
    bool idempotent;
    // Share of the session's time in which all of it arrives, from its middle.
    double burst;
};

constexpr request_class interactive = request_class::interactive;
constexpr request_class standard = request_class::standard;
constexpr request_class batch = request_class::batch;

constexpr traffic registry_traffic[] = {
    {"desk", interactive, 25, 0, 0, 200, 1, false, 0.25}, // claims
    {"desk", interactive, 60, 0, 0, 100, 1, true, 1},     // lookups
    {"drafting", standard, 30, 24, 1'536, 192, 60, true, 1},
    {"drafting", batch, 10, 40, 3'072, 512, 400, true, 1},
};

constexpr traffic rucksackwerk_traffic[] = {
    {"shop", interactive, 15, 0, 0, 200, 1, false, 1}, // orders
    {"assistant", interactive, 50, 16, 1'024, 64, 40, true, 1},
    {"assistant", batch, 12, 40, 3'072, 320, 400, true, 1},
};

std::span<traffic const> traffic_of(user_kind user)
{
    if (user == user_kind::registry)
    {
        return registry_traffic;
    }
    return rucksackwerk_traffic;
}

class generator
{
public:
    explicit generator(workload_options const& options)
        : options_(options), random_(options.seed)
    {
    }

    std::vector<offered> run()
    {
        std::uint32_t kind = 0;
        for (traffic const& row : traffic_of(options_.user))
        {
            for (std::size_t who = 0; who < organisation_count; ++who)
            {
                double const times = who == 0 ? options_.heavy : 1;
                double const rate =
                    row.per_second * options_.load * times / organisation_count;
                arrivals(row, kind, who, rate);
            }
            ++kind;
        }
        std::stable_sort(requests_.begin(), requests_.end(),
                         [](offered const& a, offered const& b)
                         { return a.at < b.at; });
        return std::move(requests_);
    }

private:
    // A Poisson process at `rate` a second on average over the session.
    void arrivals(traffic const& row, std::uint32_t kind, std::size_t who,
                  double rate)
    {
        double const length =
            std::chrono::duration<double>(options_.length).count();
        double const from = length * (1 - row.burst) / 2;
        double const to = length - from;
        std::exponential_distribution<double> gap(rate / row.burst);
        for (double at = from + gap(random_); at < to; at += gap(random_))
        {
            requests_.push_back(make(row, kind, who, at));
        }
    }

    offered make(traffic const& row, std::uint32_t kind, std::size_t who,
                 double at)
    {
        offered request;
        request.at = from_micros(static_cast<std::int64_t>(at * 1e6));
        request.organisation = organisation_name(who);
        request.idempotent = row.idempotent;
        std::exponential_distribution<double> length(1.0 / row.output_tokens);
        request.output_tokens =
            1 + static_cast<std::uint32_t>(
                    std::min(length(random_), 4.0 * row.output_tokens));
        request_features& what = request.what;
        what.service = row.service;
        what.priority = row.priority;
        what.prompt_tokens = row.shared_tokens + row.own_tokens;
        what.expected_output = row.output_tokens;
        if (row.templates > 0)
        {
            what.prefix = chain(row, kind);
        }
        return request;
    }

    prefix_chain chain(traffic const& row, std::uint32_t kind)
    {
        std::uint64_t const root =
            (std::uint64_t{kind} * 1'000 + random_() % row.templates + 1) *
            0x9E3779B97F4A7C15u;
        prefix_chain blocks;
        for (std::uint32_t i = 0; i < row.shared_tokens / tokens_per_block; ++i)
        {
            blocks.push_back(std::mt19937_64(root + i)());
        }
        for (std::uint32_t i = 0; i < row.own_tokens / tokens_per_block; ++i)
        {
            blocks.push_back(random_());
        }
        return blocks;
    }

    workload_options const& options_;
    std::mt19937_64 random_;
    std::vector<offered> requests_;
};

upstream_profile profile_of(std::size_t number, char const* service,
                            upstream_kind kind)
{
    upstream_profile profile;
    profile.name = fmt::format("{}{}", service, number);
    profile.service = service;
    profile.kind = kind;
    profile.version = fmt::format("{}", 1);
    profile.failure_domain = fmt::format("domain{}", number % 4);
    profile.price_per_hour = 1;
    profile.cache_blocks = kind == upstream_kind::engine ? 1'024 : 0;
    return profile;
}

} // namespace

std::string organisation_name(std::size_t number)
{
    return fmt::format("organisation{}", number);
}

std::vector<upstream_profile> fleet_of(user_kind user)
{
    bool const registry = user == user_kind::registry;
    std::vector<upstream_profile> fleet;
    for (std::size_t i = 0; i < 20; ++i)
    {
        fleet.push_back(profile_of(i, registry ? "drafting" : "assistant",
                                   upstream_kind::engine));
    }
    for (std::size_t i = 0; i < 4; ++i)
    {
        fleet.push_back(
            profile_of(i, registry ? "desk" : "shop", upstream_kind::plain));
        fleet.back().slots = 32;
    }
    return fleet;
}

std::vector<offered> make_workload(workload_options const& options)
{
    return generator(options).run();
}

} // namespace amarantharch::bench
