// Sequential comparison of a new version with the old one that runs alongside.
// It is valid at any time, however often it is evaluated.
//
// Two test martingales (e-processes) are kept as logarithms of wealth, each for
// a grid of alternative hypotheses that are mixed with equal weights. Under the
// null hypothesis "new is not worse than old, up to the tolerance" the expected
// wealth is at most 1 at every time, so by Ville's inequality the probability
// that it ever exceeds 1 / alpha is at most alpha.
//
// Failures: a request is assigned to the new version with a known probability
// s, independent of everything else. Given that a request fails, it was
// assigned to the new version with probability s r / (s r + 1 - s), where r is
// the ratio of the failure rates. Each failure is a bet that r is a grid value
// rather than the tolerance. A cause that affects both versions equally leaves
// the expected wealth unchanged or smaller, whatever the rates are.
//
// Latency: each answer of the new version is ranked among up to `block_size`
// recent answers of the old one, each of which is used once. If the new version
// is not slower (after division by the tolerance), its ranks are stochastically
// no greater than uniform ranks. Each bet increases with the rank and has mean
// 1 under uniform ranks. No latency distribution is assumed.
//
// Two more martingales use the same blocks. One asks whether the new version is
// slower by more than `slow_latency_ratio`; empty caches alone do not make it
// so, so it may be summed over routes. The other is the reverse: it bets on low
// ranks under the null hypothesis that the new version is slower by
// `kept_latency_ratio` or more, and so proves that it is not. Lack of evidence
// that a version is bad is no evidence that it is good.
//
// Logarithms of wealth from independent evidence add up, so the evidence of
// several VMs is merged by summing.
// Cost: O(grid) per answer; about 700 bytes per test.
#ifndef AMARANTHARCH_CORE_VERSION_EVIDENCE_HPP
#define AMARANTHARCH_CORE_VERSION_EVIDENCE_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace amarantharch
{

enum class version_arm : std::uint8_t
{
    old_version,
    new_version,
};

inline constexpr std::size_t failure_grid_size = 5;
inline constexpr std::size_t latency_grid_size = 4;

// Counts and wealth; of one VM, or the sum over several.
struct test_evidence
{
    std::uint64_t old_requests = 0;
    std::uint64_t new_requests = 0;
    std::uint64_t old_failures = 0;
    std::uint64_t new_failures = 0;
    std::array<double, failure_grid_size> failure_log_wealth{};
    std::array<double, latency_grid_size> latency_log_wealth{};
    std::array<double, latency_grid_size> slow_log_wealth{};
    std::array<double, latency_grid_size> sound_log_wealth{};
    MSGPACK_DEFINE(old_requests, new_requests, old_failures, new_failures,
                   failure_log_wealth, latency_log_wealth, slow_log_wealth,
                   sound_log_wealth)

    void add(test_evidence const& other);
    // Logarithm of the wealth, averaged over the grid.
    double failure_log_mixture() const;
    double latency_log_mixture() const;
    double slow_log_mixture() const;
    double sound_log_mixture() const;
};

class sequential_test
{
public:
    // A request failed that was assigned to `arm` while the new version was
    // chosen with probability `new_share`. To be called for first attempts
    // only.
    void on_failure(version_arm arm, double new_share);

    // A request was answered; `latency` is the time to the first byte.
    void on_answer(time_point now, version_arm arm, duration latency);

    test_evidence const& evidence() const
    {
        return evidence_;
    }

private:
    struct old_answer
    {
        time_point at;
        duration latency;
    };

    test_evidence evidence_;
    std::deque<old_answer> old_answers_; // not ranked against yet; oldest first
};

} // namespace amarantharch

#endif
