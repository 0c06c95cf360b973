// The usual speed of the upstreams of one service, learned from answers.
//
// Each quantity is the median of its samples, each sample divided by the work
// factor of its upstream (see upstream_speed). The median is followed by steps:
// a sample above it moves it up by a fixed ratio, one below moves it down, so a
// single sample of any size has the same influence. The ratio shrinks with the
// number of samples to a lower bound, so that the median follows changes.
//
// A sample of the prefill rate comes from an attempt whose uncached tokens are
// known, at an upstream with few requests. It includes the delay by the tokens
// of other requests, as the predictions that use it should.
//
// Cost: O(1) for each sample.
#ifndef AMARANTHARCH_CORE_SERVICE_PACE_HPP
#define AMARANTHARCH_CORE_SERVICE_PACE_HPP

namespace amarantharch
{

// A median that follows its samples within a factor of 20 of the initial guess.
class followed_median
{
public:
    explicit followed_median(double guess) : guess_(guess), value_(guess) {}

    // Ignores what is not a positive finite number.
    void add(double sample);

    double value() const
    {
        return value_;
    }
    bool has_samples() const
    {
        return samples_ > 0;
    }

private:
    double guess_;
    double value_;
    double samples_ = 0;
};

class service_pace
{
public:
    explicit service_pace(double prefill_tokens_per_ms)
        : prefill_(prefill_tokens_per_ms), hold_(default_hold_ms),
          gap_(default_gap_ms), prompt_(default_prompt_tokens)
    {
    }

    // An attempt with `tokens` uncached prompt tokens at a lightly loaded
    // upstream with work factor `factor` got its first event after `ms`.
    void on_first_event(double tokens, double ms, double factor)
    {
        prefill_.add(tokens / ms * factor);
    }

    // An attempt held a slot for `ms` at an upstream with work factor `factor`.
    void on_hold(double ms, double factor)
    {
        hold_.add(ms / factor);
    }

    // The mean time between the events of an answer.
    void on_gap(double ms, double factor)
    {
        gap_.add(ms / factor);
    }

    // An attempt was sent with `tokens` uncached prompt tokens.
    void on_prompt(double tokens);

    double prefill_tokens_per_ms() const
    {
        return prefill_.value();
    }
    double hold_ms() const
    {
        return hold_.value();
    }
    // Uncached prompt tokens of a request; the mean of the latest.
    double prompt_tokens() const
    {
        return prompt_;
    }

    // How much longer than usual the time between events is; 0 if not known.
    double gap_factor(double ms) const
    {
        return gap_.has_samples() ? ms / gap_.value() : 0;
    }

private:
    static constexpr double default_hold_ms = 500;
    static constexpr double default_gap_ms = 10;
    static constexpr double default_prompt_tokens = 0;

    followed_median prefill_;
    followed_median hold_;
    followed_median gap_;
    double prompt_;
};

} // namespace amarantharch

#endif
