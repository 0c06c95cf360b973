// Limits what each organisation uses over all VMs, without asking anybody.
//
// A quota allows rate x window + burst in any span of `window`, and a tolerance
// beyond it. Each VM keeps a bucket of the whole fleet for each organisation:
// it fills at what the quota allows on average over a window, holds no more
// than a part of the tolerance, and is emptied by what this VM admits and by
// what the peers say they admitted. So a window never sees more than the quota
// and that part, even if every VM starts anew in it with an empty bucket.
// What a peer admitted since it was last heard is estimated by its rate until
// then, and replaced by the truth when it comes.
//
// The quota holds while VMs cannot hear each other: a peer that was silent for
// `silence` is taken to use its share, so that this VM fills its bucket with
// the part of the rate that falls to it and those it hears.
// A demand that jumps at all VMs at once is bounded too: between two reports a
// VM admits at most its part of what the bucket held, times `skew`.
// Error: at most what the peers admit above their estimate between two of
// their messages, and the unspent share of peers that are gone.
//
// Large and small requests have the same chance: a request is admitted where
// there is room for one of mean size, and may overdraw the bucket. Else small
// ones would always find room before a large one does.
//
// Load it answers: one organisation sends many times its usual at all VMs.
// Cost: O(peers) a decision; memory: organisations times peers.
#ifndef AMARANTHARCH_CORE_SHARED_QUOTA_HPP
#define AMARANTHARCH_CORE_SHARED_QUOTA_HPP

#include "core/site.hpp"
#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

struct shared_quota_options
{
    // The quota is judged over any span of this length.
    duration window = std::chrono::seconds(8);
    // What may be used beyond it in a window: a share of it, and units besides.
    double overshoot = 0;
    double slack = 0;
    // Part of that tolerance that a full bucket holds; the rest is for what
    // peers admit unheard.
    double depth = 0.4;
    // How much more than its even part a VM may admit between two reports:
    // callers are spread unevenly over the VMs.
    double skew = 2;
    // A bucket's content when its VM starts, as a share of a full one.
    double initial_fill = 0.2;
    // A peer that was not heard for so long is counted with its full share.
    duration silence = std::chrono::milliseconds(1'500);
    // A peer that was not heard for so long is gone.
    duration memory = std::chrono::seconds(30);
};

// What one VM has admitted since its start; cumulative.
struct organisation_spent
{
    std::string organisation;
    double units = 0;
    MSGPACK_DEFINE(organisation, units)
};

// Gossiped. Of one VM, the greatest (incarnation, sequence) is the newest.
struct quota_report
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::vector<organisation_spent> spent;
    MSGPACK_DEFINE(vm, incarnation, sequence, spent)
};

struct quota_decision
{
    bool allowed = true;
    duration retry_after{}; // if not allowed: when there is room again
    // What decided: the bucket's level, what peers have probably used since
    // they were heard, and the part of the rate that falls to those heard.
    double level = 0;
    double unheard = 0;
    double share = 1;
};

class shared_quota
{
public:
    explicit shared_quota(shared_quota_options options) : options_(options) {}

    // The quota of an organisation from now on; a rate of 0 is no limit.
    void configure(time_point now, std::string const& organisation,
                   quota_spec const& quota);

    // Decides on a request of `units` and, if it is allowed, counts them.
    quota_decision spend(time_point now, std::string const& organisation,
                         double units);

    // Gives back what an allowed request did not use.
    void refund(std::string const& organisation, double units);

    // VMs of the fleet as the platform lists them, this one included.
    void set_fleet_size(std::size_t vms)
    {
        listed_vms_ = vms;
    }

    // To be sent to all peers; begins a new span for what is admitted unheard.
    quota_report report(time_point now, std::string vm,
                        std::uint64_t incarnation);
    void merge(time_point now, quota_report const& peer);

private:
    struct bucket
    {
        quota_spec quota;
        double level = 0;
        double spent = 0;          // by this VM since its start
        double unreported = 0;     // of it, since the last report
        double reported_level = 0; // the level at the last report
        double mean_units = 0;     // of the requests asked for lately
        time_point filled_at;
    };

    struct peer_spent
    {
        double units = 0;
        double rate = 0; // units a second, between its last two reports
        // Taken from the bucket for the time that it has been silent.
        double assumed = 0;
    };

    struct peer_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at;
        std::map<std::string, peer_spent> spent;
    };

    void fill(time_point now, bucket& b) const;
    void assume_silent(time_point now);
    double part_left(bucket const& b) const;
    double limit_in_window(quota_spec const& quota) const;
    double fill_rate(quota_spec const& quota) const; // units a second
    double full(quota_spec const& quota) const;
    double own_share(time_point now) const;
    double unheard(time_point now, std::string const& organisation) const;

    shared_quota_options options_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer_row> peers_;
    std::uint64_t sequence_ = 0;
    std::size_t listed_vms_ = 1;
};

} // namespace amarantharch

#endif
