// Limits what each organisation uses over all VMs, without asking anybody.
//
// A quota allows rate x window + burst in any span of `window`. Each VM keeps
// the fleet's use of the last window for each organisation, in short slots:
// what it admitted itself, and what the peers say they admitted, counted when
// it is heard. What a peer admitted since it was last heard is estimated by its
// rate until then, and replaced by the truth when it comes.
//
// The quota holds while VMs cannot hear each other: a peer that was silent for
// `silence` is taken to use its share, so that this VM and those it hears use
// their own part only. A VM that starts takes the quota for used evenly in the
// window before, so that room comes at the quota's own rate.
// Error: at most what the peers admit above their estimate between two of
// their messages, and the unspent share of peers that are gone.
//
// Load it answers: one organisation sends many times its usual at all VMs.
// Cost: O(peers) a decision; memory: organisations times (slots and peers).
#ifndef AMARANTHARCH_CORE_SHARED_QUOTA_HPP
#define AMARANTHARCH_CORE_SHARED_QUOTA_HPP

#include "core/site.hpp"
#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <deque>
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
    // Part of that tolerance that VMs use; the rest is for what peers admit
    // unheard.
    double overdraft = 0.2;
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
    // What decided: the use of the last window, what peers have probably used
    // since they were heard, and the limit for this VM and those it hears.
    double used = 0;
    double unheard = 0;
    double limit = 0;
};

class shared_quota
{
public:
    static constexpr duration slot_length = std::chrono::milliseconds(100);

    explicit shared_quota(shared_quota_options options) : options_(options) {}

    // The quota of an organisation from now on; a rate of 0 is no limit.
    void configure(time_point now, std::string const& organisation,
                   quota_spec const& quota);

    // Decides on a request of `units` and, if it is allowed, counts them.
    quota_decision spend(time_point now, std::string const& organisation,
                         double units);

    // Gives back what an allowed request did not use.
    void refund(time_point now, std::string const& organisation, double units);

    quota_report report(std::string vm, std::uint64_t incarnation);
    void merge(time_point now, quota_report const& peer);

private:
    // Use within slot_length from `start` on.
    struct slot
    {
        time_point start;
        double units = 0;
    };

    struct account
    {
        quota_spec quota;
        std::deque<slot> slots; // of the last window, in order
        double used = 0;        // the sum of their units
        double spent = 0;       // by this VM since its start
    };

    struct peer_spent
    {
        double units = 0;
        double rate = 0; // units a second, between its last two reports
    };

    struct peer_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard_at;
        std::map<std::string, peer_spent> spent;
    };

    void forget_old(time_point now, account& a) const;
    static void add(time_point now, account& a, double units);
    void assume_used(time_point now, account& a) const;
    duration room_after(time_point now, account const& a, double excess) const;
    double limit_in_window(quota_spec const& quota) const;
    double own_share(time_point now) const;
    double unheard(time_point now, std::string const& organisation) const;
    double tolerance(quota_spec const& quota) const;

    shared_quota_options options_;
    std::map<std::string, account> accounts_;
    std::map<std::string, peer_row> peers_;
    std::uint64_t sequence_ = 0;
};

} // namespace amarantharch

#endif
