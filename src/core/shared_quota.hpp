// Limits the usage of each organisation over all VMs without a central counter.
//
// A quota allows rate x window + burst in any span of `window`, and a tolerance
// beyond that. For each organisation, each VM keeps a token bucket that stands
// for the whole fleet. It is filled at the average rate that the quota allows
// over a window, holds at most a part of the tolerance, and is drained by what
// this VM admits and by what the peers report to have admitted. So a window
// never sees more than the quota and that part, even if every VM restarts in it
// with an empty bucket. What a peer has admitted since its last report is
// estimated from its rate before, and corrected by its next report.
//
// A VM that has started and has heard nothing of the others yet, as when all
// start at once, admits no more than its even part, for at most
// `silence_timeout`.
//
// The quota also holds while VMs are partitioned: a peer without a report for
// `silence_timeout` is assumed to use its full share, so this VM fills its
// bucket only with the part of the rate that falls to itself and to the peers
// that it hears from.
//
// A demand that jumps at all VMs at once is bounded too: between two of its
// reports, a VM admits at most its even part of what the bucket held, times
// `skew`. Where relays sum the reports up, the others learn of it later, and an
// even part of a large fleet is less than one request. There, every VM admits
// the same share of the requests by chance once the bucket is empty: what the
// quota allows of the demand, by the rate that the fleet admits.
//
// Error: at most what the peers admit above their estimated rate between two of
// their reports, and the unused share of peers that are gone.
//
// Large and small requests have the same chance: a request is admitted if there
// is room for one of mean size, and may overdraw the bucket. Otherwise small
// requests would always find room before a large one does.
//
// In a small fleet VMs report to each other. In a large one they report to
// relays and hear sums over all VMs from these (see quota_relay); the sums take
// the place of the peers' reports in all that is said above. This VM's own part
// of a sum is what it had admitted at its report that the sum includes.
//
// Designed for one organisation that sends many times its usual load at all
// VMs. Cost: O(peers that report directly) a decision, none in a large fleet;
// memory: organisations times those peers.
#ifndef AMARANTHARCH_CORE_SHARED_QUOTA_HPP
#define AMARANTHARCH_CORE_SHARED_QUOTA_HPP

#include "core/quota_relay.hpp"
#include "core/relayed_sums.hpp"
#include "core/site.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

struct shared_quota_options
{
    // The quota applies to any span of this length.
    duration window = std::chrono::seconds(8);
    // The tolerance in a window: a share of the quota, plus a number of units.
    double overshoot = 0;
    double slack = 0;
    // Share of the tolerance that a full bucket holds; the rest covers what
    // peers admit before they report it.
    double depth_share = 0.4;
    // Factor by which a VM may exceed its even part between two reports, since
    // callers are spread unevenly over the VMs.
    double skew = 2;
    // Through relays: while the admitted share is limited, it is reduced in
    // proportion to the level where a bucket is less full than this.
    double low_level = 0.25;
    // Where a bucket is fuller than this, the admitted share is multiplied by
    // `share_recovery` at each report: units that do not fit are lost.
    double high_level = 0.9;
    double share_recovery = 1.5;
    // Exponent by which the admitted share follows the ratio of the quota's
    // rate to the admitted one, at each report.
    double share_gain = 0.05;
    // Change of the target rate per bucket capacity above half full.
    double level_gain = 0.8;
    double min_admitted_share = 0.02;
    // Initial level of a bucket, as a share of a full one.
    double initial_fill = 0.2;
    // A peer without a report for this long is assumed to use its full share.
    duration silence_timeout = std::chrono::milliseconds(1'500);
    // A peer without a report for this long is taken to have left the fleet.
    duration peer_timeout = std::chrono::seconds(30);
};

struct quota_decision
{
    bool allowed = true;
    duration retry_after{}; // if not allowed: until there is room
    // The inputs of the decision: the bucket's level, the estimated usage of
    // peers since their last reports, and the part of the quota's rate that
    // falls to this VM and the peers that it hears from.
    double level = 0;
    double unheard = 0;
    double share = 1;
};

class shared_quota
{
public:
    explicit shared_quota(shared_quota_options options) : options_(options) {}

    // Sets the quota of an organisation; a rate of 0 means no limit.
    void configure(time_point now, std::string const& organisation,
                   quota_spec const& quota);

    // Decides on a request of `units`, and charges them if it is allowed.
    quota_decision spend(time_point now, std::string const& organisation,
                         double units);

    // Returns units that an allowed request did not use.
    void refund(std::string const& organisation, double units);

    // Number of VMs that the platform lists, this one included.
    void set_fleet_size(std::size_t vms)
    {
        listed_vms_ = vms;
    }

    // A report for all peers; resets the count of unreported units.
    quota_report report(time_point now, std::string vm,
                        std::uint64_t incarnation);
    void merge(time_point now, quota_report const& peer);
    // A sum over all VMs.
    void merge(time_point now, quota_sum const& sum);

private:
    struct bucket
    {
        quota_spec quota;
        double level = 0;
        double spent = 0;          // by this VM since it started
        double unreported = 0;     // part of it since the last report
        double reported_level = 0; // the level at the last report
        double mean_units = 0;     // of requests, a moving average
        // Through relays: chance of a request while there is room.
        double admitted_share = 1;
        time_point filled_at;
    };

    struct peer_spent
    {
        double units = 0;
        double rate = 0; // units a second, between its last two reports
        // Drained from the bucket when the peer became silent; its next report
        // corrects it.
        double assumed = 0;
    };

    struct peer_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at;
        std::map<std::string, peer_spent> spent;
    };

    // What this VM had admitted when it made a report.
    struct own_report
    {
        std::uint64_t sequence = 0;
        std::map<std::string, double> spent;
    };

    // All VMs, by the sums of the relays.
    struct fleet_row
    {
        relayed_sums sums; // of what the other VMs admitted
        std::uint32_t members = 0;
        time_point heard_at;
        time_point rates_at;                  // when the rates were updated
        std::map<std::string, double> recent; // units since then
        std::map<std::string, double> rates;  // units a second
    };

    void fill(time_point now, bucket& b) const;
    void charge_silent_peers(time_point now);
    void charge_silent_fleet(time_point now);
    bool hears_fleet(time_point now) const;
    void update_fleet_rates(time_point now);
    std::optional<relay_version>
    subtract_own(quota_sum const& sum,
                 std::vector<organisation_spent>& totals) const;
    double remaining_until_report(time_point now, bucket const& b) const;
    bool knows_no_usage(time_point now) const;
    bool passes_by_chance(bucket const& b, double level);
    void update_admitted_share(bucket& b, double level,
                               double admitted_rate) const;
    double limit_in_window(quota_spec const& quota) const;
    double fill_rate(quota_spec const& quota) const; // units a second
    double bucket_capacity(quota_spec const& quota) const;
    double own_share(time_point now) const;
    double unheard(time_point now, std::string const& organisation) const;

    shared_quota_options options_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer_row> peers_;
    fleet_row fleet_;
    std::deque<own_report> own_reports_; // the last ones
    std::uint64_t own_key_ = 0;          // quota_member_key of this VM
    std::uint64_t sequence_ = 0;
    std::size_t listed_vms_ = 1;
    std::minstd_rand random_;
    std::optional<time_point> started_at_; // when the first quota was set
    bool heard_any_ = false;               // a report or a sum
    bool has_relays_ = false;              // a sum was heard
};

} // namespace amarantharch

#endif
