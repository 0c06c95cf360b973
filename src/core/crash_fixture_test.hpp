// A fleet of nodes before simulated upstreams that some requests crash and from
// which VMs can be partitioned.
//
// An upstream begins its answer `first_byte` after an attempt has reached it.
// An attempt with a fatal request crashes it then: the connections of all its
// attempts are lost, and it refuses connections for `down_time`. Everything is
// simulated and a function of the seed.
#ifndef AMARANTHARCH_CORE_CRASH_FIXTURE_TEST_HPP
#define AMARANTHARCH_CORE_CRASH_FIXTURE_TEST_HPP

#include "core/node.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch::test
{

// What becomes of a partitioned VM's connections to upstreams. The fleet's own
// network is sound.
enum class link_loss : std::uint8_t
{
    silent,      // nothing passes; what is under way passes when it ends
    reset,       // connections are reset, new ones refused
    refuses_new, // connections live on, new ones are refused
};

inline constexpr name_table<link_loss, 3> link_loss_names{{
    {link_loss::silent, "silent"},
    {link_loss::reset, "reset"},
    {link_loss::refuses_new, "refuses_new"},
}};

struct crash_world_options
{
    std::size_t vms = 4;
    std::size_t domains = 0; // of VMs, in turn; 0: one for each VM
    bool idempotent = true;  // requests
    std::size_t upstreams = 4;
    std::size_t upstream_domains = 1; // of upstreams, in turn
    upstream_kind kind = upstream_kind::plain;
    std::uint32_t slots = 6;
    std::uint32_t max_attempts = 2;
    duration first_byte = std::chrono::milliseconds(20);
    duration event_interval = std::chrono::milliseconds(20);
    std::uint32_t events = 1; // of an answer
    duration down_time = std::chrono::seconds(3);
    // Attempts whose answer is lost with its connection, though the upstream
    // lives.
    double lost_answers = 0;
    dialect const* api_dialect = &native_dialect();
    // The headers of an upstream's answers.
    std::function<header_list(std::string const&)> answer_headers =
        [](std::string const&)
    {
        return header_list();
    };
    // How long an upstream stays cold, as its entry in the directory tells.
    std::function<duration(std::string const&)> cold_for =
        [](std::string const&)
    {
        return duration::zero();
    };
    std::vector<warm_up_spec> warm_ups = {}; // of service "desk"
    // Requests that an upstream runs and keeps waiting; 0: any number. Beyond
    // it, it turns them away as not run.
    std::size_t room = 0;
    std::uint64_t seed = 1;
};

// An attempt that reached an upstream.
struct upstream_arrival
{
    time_point at;
    std::size_t vm = 0;
    std::string upstream;
};

// A caller's request and how it ended.
struct caller_attempt
{
    std::size_t vm = 0;
    time_point sent;
    std::optional<time_point> ended; // empty: still waiting
    bool served = false;
    verdict run = verdict::not_run; // if refused
    std::size_t runs = 0;           // upstreams that began to run it
    std::string events;             // the answer's bytes, of event streams
};

class crash_world
{
public:
    // How requests have ended, by the kind that their sender gives.
    struct tally
    {
        std::size_t sent = 0;
        std::size_t answered = 0;
        std::size_t refused = 0;
        std::size_t quarantined = 0; // of those refused
        // Attempts that reached an upstream, and when.
        std::vector<time_point> arrivals;
    };

    crash_world(crash_world_options options,
                std::function<bool(call const&)> fatal)
        : options_(std::move(options)), fatal_(std::move(fatal)),
          random_(options_.seed)
    {
        for (std::size_t i = 0; i < options_.upstreams; ++i)
        {
            upstreams_[fmt::format("desk-{}", i)];
        }
        for (std::size_t i = 0; i < options_.vms; ++i)
        {
            nodes_.push_back(make_node(i, 1));
        }
        for (std::size_t i = 0; i < options_.vms; ++i)
        {
            tell_directory(i);
        }
        run(std::chrono::seconds(5));
    }

    // The failure domain of an upstream, where there are so many.
    static std::string upstream_domain(std::string const& name,
                                       std::size_t domains)
    {
        return fmt::format(
            "zone-{}", std::stoul(name.substr(name.find('-') + 1)) % domains);
    }

    time_point now() const
    {
        return now_;
    }

    tally const& of(std::string const& kind)
    {
        return tallies_[kind];
    }

    // From now on an upstream crashes if it turns away more requests than this
    // in a second; 0: none does. Sets its room.
    void set_brittle(std::size_t refusals, std::size_t room)
    {
        brittle_ = refusals;
        options_.room = room;
    }

    // The requests that upstreams have turned away.
    std::size_t turned_away() const
    {
        return turned_away_;
    }

    // The times at which upstreams crashed.
    std::vector<time_point> const& crashes() const
    {
        return crashes_;
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }

    // Sends a request to a VM. `kind` names its tally.
    void send(std::size_t to, std::string const& kind, call request)
    {
        request.id = fmt::format("r{}", next_request_++);
        kinds_[request.id] = kind;
        ++tallies_[kind].sent;
        callers_[request.id] = {to, now_, {}, false, verdict::not_run, 0, {}};
        nodes_[to]->handle(now_, call_received{std::move(request)});
    }

    // All attempts that reached upstreams.
    std::vector<upstream_arrival> const& arrivals() const
    {
        return arrivals_;
    }

    // The answers that VMs have got, by when they began.
    std::vector<upstream_arrival> const& answers() const
    {
        return answers_;
    }

    // The refusals of a kind of request.
    std::vector<refusal> const& refusals_of(std::string const& kind)
    {
        return refusals_[kind];
    }

    // Drops all messages between a VM and its peers from now on, or ends that.
    void cut_off(std::size_t vm, bool is_cut)
    {
        cut_off_.erase(vm);
        if (is_cut)
        {
            cut_off_.insert(vm);
        }
    }

    // An upstream says nothing to anybody for a time, and then goes on.
    void silence(std::string const& name, duration span)
    {
        upstreams_.at(name).silent_until = now_ + span;
    }

    // Partitions a VM from all upstreams.
    void partition(std::size_t vm, link_loss how)
    {
        links_[vm] = how;
        if (how == link_loss::silent)
        {
            return;
        }
        // Idle ones are closed by the upstreams soon and not made again.
        std::erase_if(kept_, [vm](auto const& each)
                      { return each.first.first == vm; });
        if (how == link_loss::refuses_new)
        {
            return;
        }
        for (auto& [name, row] : upstreams_)
        {
            std::erase_if(row.running,
                          [&](auto const& each)
                          {
                              if (each.first.first == vm)
                              {
                                  lose(each.first.second, each.second);
                              }
                              return each.first.first == vm;
                          });
        }
    }

    // Ends the partition; what was held up passes.
    void heal(std::size_t vm)
    {
        links_.erase(vm);
        for (start_attempt const& each : std::exchange(held_starts_[vm], {}))
        {
            arrive(vm, each);
        }
        for (event& each : std::exchange(held_events_[vm], {}))
        {
            events_.emplace_back(vm, std::move(each));
        }
    }

    // How often a VM concluded that an upstream had crashed.
    std::size_t concluded_crashes() const
    {
        return concluded_crashes_;
    }

    // All callers' requests, by id.
    std::map<request_id, caller_attempt> const& callers() const
    {
        return callers_;
    }

    // The caller of this request leaves.
    void leave(request_id const& request)
    {
        nodes_[callers_.at(request).vm]->handle(now_, call_abandoned{request});
    }

    // Attempts that upstreams are at work on.
    std::size_t running(request_id const& request) const
    {
        std::size_t count = 0;
        for (auto const& [name, row] : upstreams_)
        {
            count += static_cast<std::size_t>(std::ranges::count_if(
                row.running, [&](auto const& each)
                { return each.second.request.id == request; }));
        }
        return count;
    }

    // A VM must stop in this time.
    void stop(std::size_t vm, duration within)
    {
        nodes_[vm]->handle(now_, stop_requested{now_ + within});
    }

    node& vm_at(std::size_t i)
    {
        return *nodes_[i];
    }

    // Replaces a VM by one that knows nothing.
    void restart_vm(std::size_t i)
    {
        for (auto& [name, row] : upstreams_)
        {
            std::erase_if(row.running, [i](auto const& each)
                          { return each.second.vm == i; });
        }
        std::erase_if(events_,
                      [i](auto const& each) { return each.first == i; });
        nodes_[i] = make_node(i, ++incarnation_);
        tell_directory(i);
    }

    // All VMs read the directory's entry of an upstream.
    void tell_entry(std::string const& name)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            nodes_[i]->handle(now_, entry(name, upstreams_.at(name)));
        }
    }

    // Crashes one upstream, whatever it runs.
    void crash_any()
    {
        crash(std::next(upstreams_.begin(),
                        static_cast<std::ptrdiff_t>(pick(upstreams_.size())))
                  ->second);
    }

    // Crashes this many upstreams at the same moment.
    void crash_at_once(std::size_t count)
    {
        std::vector<upstream*> chosen;
        for (auto& [name, row] : upstreams_)
        {
            chosen.push_back(&row);
        }
        std::ranges::shuffle(chosen, random_);
        chosen.resize(std::min(count, chosen.size()));
        std::ranges::for_each(chosen, [this](upstream* row) { crash(*row); });
    }

    void run(duration span)
    {
        for (time_point const end = now_ + span; now_ < end;)
        {
            now_ += tick_interval;
            for (peer_message const& message : std::exchange(messages_, {}))
            {
                deliver(message);
            }
            for (auto due = later_.begin();
                 due != later_.end() && due->first <= now_;
                 due = later_.erase(due))
            {
                events_.push_back(due->second);
            }
            for (auto const& [to, what] : std::exchange(events_, {}))
            {
                nodes_[to]->handle(now_, what);
            }
            run_upstreams();
            for (auto const& each : nodes_)
            {
                each->handle(now_, ticked{});
            }
        }
    }

private:
    struct arrival
    {
        std::size_t vm = 0;
        call request;
        time_point next_byte_at;
        std::uint32_t events = 0; // written so far
        bool is_lost = false;
    };

    struct upstream
    {
        std::uint64_t incarnation = 1;
        time_point down_until;
        time_point silent_until;
        std::map<std::pair<std::size_t, attempt_id>, arrival> running;
        std::vector<time_point> refusals; // of the last second
    };

    static constexpr duration connect_timeout = std::chrono::milliseconds(300);

    // The domain of a VM.
    std::string domain(std::size_t i) const
    {
        return fmt::format("domain-{}",
                           options_.domains > 0 ? i % options_.domains : i);
    }

    std::optional<link_loss> link_of(std::size_t i) const
    {
        auto const found = links_.find(i);
        return found == links_.end() ? std::nullopt
                                     : std::optional(found->second);
    }

    // Tells a VM what an upstream's connection shows, if it passes.
    void tell(std::size_t to, event what)
    {
        link_of(to) == link_loss::silent
            ? held_events_[to].push_back(std::move(what))
            : static_cast<void>(events_.emplace_back(to, std::move(what)));
    }

    // The connection of a running attempt is lost.
    void lose(attempt_id attempt, arrival const& each)
    {
        bool const has_head = each.events > 0 || now_ >= each.next_byte_at;
        tell(each.vm,
             upstream_failed{attempt, verdict::may_have_run,
                             has_head ? "answer_cut" : "connection_lost"});
    }

    static std::string vm(std::size_t i)
    {
        return fmt::format("vm-{}", i);
    }

    upstream_listed entry(std::string const& name, upstream const& row) const
    {
        upstream_listed listed;
        listed.upstream.name = name;
        listed.upstream.address = name;
        listed.upstream.service = "desk";
        listed.upstream.kind = options_.kind;
        listed.upstream.failure_domain =
            upstream_domain(name, options_.upstream_domains);
        listed.upstream.capacity = options_.slots;
        listed.incarnation = row.incarnation;
        listed.cold_for = options_.cold_for(name);
        return listed;
    }

    // Tells a VM of all VMs and upstreams.
    void tell_directory(std::size_t to)
    {
        members_listed listed;
        for (std::size_t i = 0; i < options_.vms; ++i)
        {
            listed.members.push_back(
                {vm(i), fmt::format("10.0.0.{}:1", i), domain(i)});
        }
        nodes_[to]->handle(now_, listed);
        for (auto const& [name, row] : upstreams_)
        {
            nodes_[to]->handle(now_, entry(name, row));
        }
    }

    std::unique_ptr<node> make_node(std::size_t i, std::uint64_t incarnation)
    {
        node_options options;
        options.requests.vm = vm(i);
        options.requests.incarnation = incarnation;
        options.requests.seed = options_.seed * 100 + i;
        options.requests.records_requests = false;
        options.requests.held_answer_bytes = 1'000;
        options.requests.crashes.quorum = 3; // as on the users' platform
        options.requests.quarantined_status = 503;
        options.requests.retries.initial = 20;
        options.requests.api_dialect = options_.api_dialect;
        options.control.vm = vm(i);
        options.control.incarnation = incarnation;
        options.control.address = fmt::format("10.0.0.{}:1", i);
        options.control.failure_domain = domain(i);
        options.control.seed = i + 1;
        options.control.uses_log = false;
        options.usage_interval = std::chrono::milliseconds(300);
        options.relays_attempts = true;
        route_spec route;
        route.name = "route";
        route.prefix = "/";
        route.service = "desk";
        route.kind = options_.kind;
        route.event_stream = options_.kind == upstream_kind::engine;
        route.resumable = route.event_stream;
        route.max_attempts = options_.max_attempts;
        route.idempotent = options_.idempotent;
        options.settings_tables.routes.push_back(route);
        options.settings_tables.warm_ups = options_.warm_ups;
        return std::make_unique<node>(
            std::move(options), [this, i](command const& what)
            { std::visit([&](auto const& c) { carry_out(i, c); }, what); });
    }

    template <typename Command>
    void carry_out(std::size_t, Command const&)
    {
    }

    void carry_out(std::size_t, record_timeline const& what)
    {
        concluded_crashes_ += what.kind == "upstream_crashed" ? 1 : 0;
    }

    void carry_out(std::size_t from, send_to_peer const& what)
    {
        messages_.push_back(what.message);
        messages_.back().vm = fmt::format("{}>{}", vm(from), what.message.vm);
    }

    // The network between VMs is sound: a relayed attempt reaches its VM.
    void relay(std::size_t from, start_attempt const& what)
    {
        std::size_t to = 0;
        while (vm(to) != what.relay)
        {
            ++to;
        }
        relay_id const relay = next_relay_++;
        relays_[relay] = {from, to, what.attempt};
        events_.emplace_back(to,
                             relay_requested{relay,
                                             fmt::format("10.0.0.{}", from),
                                             {what.upstream, what.incarnation},
                                             what.request});
    }

    void carry_out(std::size_t, relay_answer_head const& what)
    {
        relay_row const& row = relays_.at(what.relay);
        events_.emplace_back(
            row.from, upstream_head{row.attempt, what.status, what.headers});
    }

    void carry_out(std::size_t, relay_answer_piece const& what)
    {
        relay_row const& row = relays_.at(what.relay);
        events_.emplace_back(row.from, upstream_piece{row.attempt, what.bytes});
    }

    void carry_out(std::size_t, relay_answer_end const& what)
    {
        relay_row const& row = relays_.at(what.relay);
        events_.emplace_back(row.from, upstream_end{row.attempt});
        relays_.erase(what.relay);
    }

    void carry_out(std::size_t, relay_answer_failed const& what)
    {
        relay_row const& row = relays_.at(what.relay);
        events_.emplace_back(row.from,
                             upstream_failed{row.attempt, what.why.run,
                                             what.why.reason, what.why.place});
        relays_.erase(what.relay);
    }

    void carry_out(std::size_t from, start_attempt const& what)
    {
        if (!what.relay.empty())
        {
            relay(from, what);
            return;
        }
        std::size_t& kept = kept_[{from, what.address}];
        bool const reused = kept > 0;
        kept -= reused ? 1 : 0;
        auto const link = link_of(from);
        bool const silent = now_ < upstreams_.at(what.address).silent_until;
        if (link == link_loss::silent || (silent && !reused))
        {
            reused ? held_starts_[from].push_back(what)
                   : static_cast<void>(later_.emplace(
                         now_ + connect_timeout,
                         std::pair(from, upstream_failed{what.attempt,
                                                         verdict::not_run,
                                                         "connect_timeout"})));
            return;
        }
        bool const refused =
            now_ < upstreams_.at(what.address).down_until || (link && !reused);
        if (refused)
        {
            events_.emplace_back(from,
                                 upstream_failed{what.attempt, verdict::not_run,
                                                 "connect_failed"});
            return;
        }
        arrive(from, what);
    }

    void arrive(std::size_t from, start_attempt const& what)
    {
        tallies_[kinds_[what.request.id]].arrivals.push_back(now_);
        arrivals_.push_back({now_, from, what.address});
        upstream& row = upstreams_.at(what.address);
        if (options_.room > 0 && row.running.size() >= options_.room)
        {
            turn_away(from, what, row);
            return;
        }
        ++callers_[what.request.id].runs;
        bool const lost =
            std::bernoulli_distribution(options_.lost_answers)(random_);
        row.running[{from, what.attempt}] = {
            from, what.request, now_ + options_.first_byte, 0, lost};
    }

    // Those of the options, and the load: running, waiting, slots.
    header_list answer_headers(std::string const& of, upstream const& row) const
    {
        header_list headers = options_.answer_headers(of);
        std::size_t const running =
            std::min<std::size_t>(row.running.size(), options_.slots);
        headers.push_back({"Load", fmt::format("{},{},{}", running,
                                               row.running.size() - running,
                                               options_.slots)});
        return headers;
    }

    void turn_away(std::size_t from, start_attempt const& what, upstream& row)
    {
        ++turned_away_;
        std::erase_if(row.refusals, [this](time_point each)
                      { return now_ - each >= std::chrono::seconds(1); });
        row.refusals.push_back(now_);
        header_list headers = answer_headers(what.address, row);
        headers.push_back({"Not-Run", "1"});
        tell(from, upstream_head{what.attempt, 503, std::move(headers)});
        if (brittle_ > 0 && row.refusals.size() > brittle_)
        {
            crash(row);
        }
    }

    void carry_out(std::size_t from, check_upstream const& what)
    {
        auto const link = link_of(from);
        bool const refused =
            link || now_ < upstreams_.at(what.address).down_until;
        if (link == link_loss::silent ||
            now_ < upstreams_.at(what.address).silent_until)
        {
            later_.emplace(
                now_ + connect_timeout,
                std::pair(from, upstream_checked{what.upstream, false}));
            return;
        }
        events_.emplace_back(
            from, upstream_checked{what.upstream, refused, !refused});
    }

    void carry_out(std::size_t from, cancel_attempt const& what)
    {
        for (auto const& [id, row] : relays_)
        {
            if (row.from == from && row.attempt == what.attempt)
            {
                events_.emplace_back(row.to, relay_abandoned{id});
            }
        }
        std::erase_if(held_starts_[from], [&](start_attempt const& each)
                      { return each.attempt == what.attempt; });
        for (auto& [name, row] : upstreams_)
        {
            row.running.erase({from, what.attempt});
        }
    }

    void carry_out(std::size_t, answer_piece const& what)
    {
        callers_[what.request].events += what.bytes;
    }

    void carry_out(std::size_t, answer_end const& what)
    {
        ++tallies_[kinds_[what.request]].answered;
        callers_[what.request].ended = now_;
        callers_[what.request].served = true;
    }

    void carry_out(std::size_t, answer_refusal const& what)
    {
        tally& row = tallies_[kinds_[what.request]];
        ++row.refused;
        callers_[what.request].ended = now_;
        callers_[what.request].run = what.why.run;
        refusals_[kinds_[what.request]].push_back(what.why);
        row.quarantined += what.why.reason == "quarantined" ||
                                   what.why.reason == "crash_suspected" ||
                                   what.why.reason == "prompt_part_quarantined"
                               ? 1
                               : 0;
    }

    // A queued message's `vm` is "sender>target".
    void deliver(peer_message message)
    {
        std::size_t const separator = message.vm.find('>');
        std::string const target = message.vm.substr(separator + 1);
        message.vm = message.vm.substr(0, separator);
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            bool const is_cut =
                cut_off_.contains(i) ||
                std::ranges::any_of(cut_off_, [&](std::size_t each)
                                    { return vm(each) == message.vm; });
            if (vm(i) == target && !is_cut)
            {
                nodes_[i]->handle(now_, peer_message_received{message});
            }
        }
    }

    void run_upstreams()
    {
        for (auto& [name, row] : upstreams_)
        {
            if (row.down_until != time_point() && now_ >= row.down_until)
            {
                row.down_until = {};
                ++row.incarnation;
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                {
                    events_.emplace_back(i, entry(name, row));
                }
            }
            if (now_ < row.silent_until)
            {
                continue;
            }
            if (std::ranges::any_of(row.running,
                                    [&](auto const& each) {
                                        return now_ >=
                                                   each.second.next_byte_at &&
                                               fatal_(each.second.request);
                                    }))
            {
                crash(row);
                continue;
            }
            for (auto each = row.running.begin(); each != row.running.end();)
            {
                bool const ended =
                    now_ >= each->second.next_byte_at &&
                    write(name, each->first.second, each->second);
                each = ended ? row.running.erase(each) : std::next(each);
            }
        }
    }

    void crash(upstream& row)
    {
        crashes_.push_back(now_);
        row.down_until = now_ + options_.down_time;
        for (auto const& [key, each] : std::exchange(row.running, {}))
        {
            lose(key.second, each);
        }
    }

    // Writes the next part of an answer; true if that ends it.
    bool write(std::string const& from, attempt_id attempt, arrival& each)
    {
        if (each.is_lost)
        {
            tell(each.vm, upstream_failed{attempt, verdict::may_have_run,
                                          "connection_lost"});
            return true;
        }
        if (each.events == 0)
        {
            tell(each.vm,
                 upstream_head{attempt, 200,
                               answer_headers(from, upstreams_.at(from))});
            answers_.push_back({now_, each.vm, from});
        }
        ++each.events;
        tell(each.vm, upstream_piece{attempt, fmt::format("id: {}\ndata: x\n\n",
                                                          each.events)});
        each.next_byte_at = now_ + options_.event_interval;
        if (each.events < options_.events)
        {
            return false;
        }
        tell(each.vm, upstream_end{attempt});
        ++kept_[{each.vm, from}];
        return true;
    }

    crash_world_options options_;
    std::function<bool(call const&)> fatal_;
    std::mt19937_64 random_;
    time_point now_ = from_micros(1'000'000'000);
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<std::string, upstream> upstreams_; // by name and address
    std::deque<peer_message> messages_;
    std::deque<std::pair<std::size_t, event>> events_;
    std::map<request_id, std::string> kinds_;
    std::map<std::string, tally> tallies_;
    std::vector<time_point> crashes_;
    std::vector<upstream_arrival> arrivals_;
    std::vector<upstream_arrival> answers_;
    std::map<std::string, std::vector<refusal>> refusals_;
    std::set<std::size_t> cut_off_;
    // Relayed attempts, by the id at the VM that runs them.
    struct relay_row
    {
        std::size_t from = 0;
        std::size_t to = 0;
        attempt_id attempt = 0; // at the VM that asked
    };
    std::map<relay_id, relay_row> relays_;
    relay_id next_relay_ = 1;
    std::map<request_id, caller_attempt> callers_;
    std::size_t concluded_crashes_ = 0;
    std::size_t brittle_ = 0;
    std::size_t turned_away_ = 0;
    std::multimap<time_point, std::pair<std::size_t, event>> later_;
    // The links of partitioned VMs, and what silent ones hold up.
    std::map<std::size_t, link_loss> links_;
    std::map<std::size_t, std::vector<start_attempt>> held_starts_;
    std::map<std::size_t, std::vector<event>> held_events_;
    // Idle connections, by VM and upstream.
    std::map<std::pair<std::size_t, std::string>, std::size_t> kept_;
    std::uint64_t next_request_ = 1;
    std::uint64_t incarnation_ = 1; // of the VM started last
};

} // namespace amarantharch::test

#endif
