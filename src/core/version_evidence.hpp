// Compares a new version with the old one that runs beside it, valid at any
// look.
//
// Two test martingales (e-processes) are kept as logarithms of wealth, each for
// a grid of alternatives that are mixed with equal weights. Under the null
// hypothesis "new is not worse than old, up to the tolerance" the wealth has
// an expectation of at most 1 at every time, so by Ville's inequality the
// chance that it ever exceeds 1 / alpha is at most alpha, however often one
// looks.
//
// Failures: requests are assigned to the new version with a known probability
// s, independent of all else. Given that a request fails, it was a new one with
// probability s r / (s r + 1 - s), where r is the ratio of the failure rates.
// Each failure is one bet on r being a grid value rather than the tolerance.
// A cause that hits both versions moves nothing, whatever the rates are.
//
// Latency: each answer of the new version is ranked among up to
// `block_size` recent answers of the old one, each used once. If the new one
// is not slower (after division by the tolerance), every rank is at most as
// likely to be high as under uniform ranks, and each bet grows with the rank
// and has mean 1 over uniform ranks. No distribution is assumed.
//
// Logarithms of independent evidence add: evidence of several VMs is merged by
// summing. Cost: O(grid) an answer; about 700 bytes a test.
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

// What one VM has seen so far.
struct test_evidence
{
    std::uint64_t old_requests = 0;
    std::uint64_t new_requests = 0;
    std::uint64_t old_failures = 0;
    std::uint64_t new_failures = 0;
    std::array<double, failure_grid_size> failure_log_wealth{};
    std::array<double, latency_grid_size> latency_log_wealth{};
    MSGPACK_DEFINE(old_requests, new_requests, old_failures, new_failures,
                   failure_log_wealth, latency_log_wealth)

    void add(test_evidence const& other);
    // Logarithms of the mixed wealth.
    double failure_log_mixture() const;
    double latency_log_mixture() const;
};

class sequential_test
{
public:
    // A request of `arm`, assigned while new ones had probability `new_share`,
    // failed. Counts the first attempt of a request only.
    void on_failure(version_arm arm, double new_share);

    // One was answered; its first byte came after `latency`.
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

    void bet_on_rank(std::size_t rank, std::size_t block);

    test_evidence evidence_;
    std::deque<old_answer> old_answers_; // not used yet; oldest first
};

} // namespace amarantharch

#endif
