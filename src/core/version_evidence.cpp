#include "core/version_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace amarantharch
{

namespace
{

// Ratios of new to old up to which the new version counts as not worse.
constexpr double tolerated_failure_ratio = 1.5;
constexpr double tolerated_latency_ratio = 1.15;
// Empty caches alone don't make a new version slower than this.
constexpr double slow_latency_ratio = 2;
// A new version is kept only if it is shown to be less slow than this.
constexpr double kept_latency_ratio = 2.5;

constexpr std::array<double, failure_grid_size> failure_ratios{3, 8, 30, 150,
                                                               1'000};

// Stakes of the bets that pay linearly in the rank. The last bet of the grid
// is on the highest rank alone.
constexpr std::array<double, latency_grid_size - 1> linear_stakes{0.25, 0.5,
                                                                  0.9};

constexpr std::size_t block_size = 7;
constexpr std::size_t max_old_answers = 32;
constexpr duration max_answer_age = std::chrono::seconds(10);

// The probability that a failed request was assigned to the new version.
double new_given_failure(double share, double ratio)
{
    return share * ratio / (share * ratio + 1 - share);
}

template <std::size_t Size>
double log_mixture(std::array<double, Size> const& log_wealth)
{
    double const highest =
        *std::max_element(log_wealth.begin(), log_wealth.end());
    double sum = 0;
    for (double const value : log_wealth)
    {
        sum += std::exp(value - highest);
    }
    return highest + std::log(sum / static_cast<double>(Size));
}

// Bets on a high rank among `block` answers.
void bet_on_rank(std::size_t rank, std::size_t block,
                 std::array<double, latency_grid_size>& log_wealth)
{
    double const relative =
        2 * static_cast<double>(rank) / static_cast<double>(block) - 1;
    for (std::size_t i = 0; i < linear_stakes.size(); ++i)
    {
        log_wealth[i] += std::log1p(linear_stakes[i] * relative);
    }
    // Pays `high` on the highest of block + 1 ranks and `low` on the others;
    // the mean over uniform ranks is 1.
    double const ranks = static_cast<double>(block) + 1;
    double const high = ranks / 2;
    double const low = (ranks - high) / (ranks - 1);
    log_wealth.back() += std::log(rank == block ? high : low);
}

} // namespace

void test_evidence::add(test_evidence const& other)
{
    old_requests += other.old_requests;
    new_requests += other.new_requests;
    old_failures += other.old_failures;
    new_failures += other.new_failures;
    for (std::size_t i = 0; i < failure_grid_size; ++i)
    {
        failure_log_wealth[i] += other.failure_log_wealth[i];
    }
    for (std::size_t i = 0; i < latency_grid_size; ++i)
    {
        latency_log_wealth[i] += other.latency_log_wealth[i];
        slow_log_wealth[i] += other.slow_log_wealth[i];
        sound_log_wealth[i] += other.sound_log_wealth[i];
    }
}

double test_evidence::failure_log_mixture() const
{
    return log_mixture(failure_log_wealth);
}

double test_evidence::latency_log_mixture() const
{
    return log_mixture(latency_log_wealth);
}

double test_evidence::slow_log_mixture() const
{
    return log_mixture(slow_log_wealth);
}

double test_evidence::sound_log_mixture() const
{
    return log_mixture(sound_log_wealth);
}

void sequential_test::on_failure(version_arm arm, double new_share)
{
    bool const is_new = arm == version_arm::new_version;
    ++(is_new ? evidence_.new_requests : evidence_.old_requests);
    ++(is_new ? evidence_.new_failures : evidence_.old_failures);
    if (new_share <= 0 || new_share >= 1)
    {
        return; // only one version gets requests
    }
    double const null = new_given_failure(new_share, tolerated_failure_ratio);
    for (std::size_t i = 0; i < failure_grid_size; ++i)
    {
        double const bet = new_given_failure(new_share, failure_ratios[i]);
        evidence_.failure_log_wealth[i] +=
            is_new ? std::log(bet / null) : std::log((1 - bet) / (1 - null));
    }
}

void sequential_test::on_answer(time_point now, version_arm arm,
                                duration latency)
{
    if (arm == version_arm::old_version)
    {
        ++evidence_.old_requests;
        old_answers_.push_back({now, latency});
        if (old_answers_.size() > max_old_answers)
        {
            old_answers_.pop_front();
        }
        return;
    }
    ++evidence_.new_requests;
    while (!old_answers_.empty() &&
           old_answers_.front().at + max_answer_age < now)
    {
        old_answers_.pop_front();
    }
    std::size_t const block = std::min(block_size, old_answers_.size());
    auto const first = old_answers_.end() - static_cast<std::ptrdiff_t>(block);
    // The number of the block's answers that are faster than this one, had it
    // been faster by `ratio`.
    auto const rank_at = [&](double ratio)
    {
        auto const adjusted =
            std::chrono::duration<double, std::micro>(latency) / ratio;
        return static_cast<std::size_t>(std::count_if(
            first, old_answers_.end(),
            [&](old_answer const& old) { return old.latency < adjusted; }));
    };
    if (block > 0)
    {
        bet_on_rank(rank_at(tolerated_latency_ratio), block,
                    evidence_.latency_log_wealth);
        bet_on_rank(rank_at(slow_latency_ratio), block,
                    evidence_.slow_log_wealth);
        bet_on_rank(block - rank_at(kept_latency_ratio), block,
                    evidence_.sound_log_wealth);
    }
    old_answers_.erase(first, old_answers_.end());
}

} // namespace amarantharch
