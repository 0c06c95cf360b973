// A fleet of nodes before simulated upstreams that some requests crash.
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

struct crash_world_options
{
    std::size_t vms = 4;
    std::size_t upstreams = 4;
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
    std::uint64_t seed = 1;
};

// An attempt that reached an upstream.
struct upstream_arrival
{
    time_point at;
    std::size_t vm = 0;
    std::string upstream;
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

    time_point now() const
    {
        return now_;
    }

    tally const& of(std::string const& kind)
    {
        return tallies_[kind];
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
        std::map<std::pair<std::size_t, attempt_id>, arrival> running;
    };

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
        listed.upstream.capacity = options_.slots;
        listed.incarnation = row.incarnation;
        return listed;
    }

    // Tells a VM of all VMs and upstreams.
    void tell_directory(std::size_t to)
    {
        members_listed listed;
        for (std::size_t i = 0; i < options_.vms; ++i)
        {
            listed.members.push_back({vm(i), fmt::format("10.0.0.{}:1", i),
                                      fmt::format("domain-{}", i)});
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
        options.control.failure_domain = fmt::format("domain-{}", i);
        options.control.seed = i + 1;
        options.control.uses_log = false;
        options.usage_interval = std::chrono::milliseconds(300);
        route_spec route;
        route.name = "route";
        route.prefix = "/";
        route.service = "desk";
        route.kind = options_.kind;
        route.event_stream = options_.kind == upstream_kind::engine;
        route.resumable = route.event_stream;
        route.max_attempts = options_.max_attempts;
        options.settings_tables.routes.push_back(route);
        return std::make_unique<node>(
            std::move(options), [this, i](command const& what)
            { std::visit([&](auto const& c) { carry_out(i, c); }, what); });
    }

    template <typename Command>
    void carry_out(std::size_t, Command const&)
    {
    }

    void carry_out(std::size_t from, send_to_peer const& what)
    {
        messages_.push_back(what.message);
        messages_.back().vm = vm(from) + ">" + what.message.vm;
    }

    void carry_out(std::size_t from, start_attempt const& what)
    {
        upstream& target = upstreams_.at(what.address);
        if (now_ < target.down_until)
        {
            events_.emplace_back(from,
                                 upstream_failed{what.attempt, verdict::not_run,
                                                 "connect_failed"});
            return;
        }
        tallies_[kinds_[what.request.id]].arrivals.push_back(now_);
        arrivals_.push_back({now_, from, what.address});
        bool const lost =
            std::bernoulli_distribution(options_.lost_answers)(random_);
        target.running[{from, what.attempt}] = {
            from, what.request, now_ + options_.first_byte, 0, lost};
    }

    void carry_out(std::size_t from, check_upstream const& what)
    {
        events_.emplace_back(
            from,
            upstream_checked{what.upstream,
                             now_ < upstreams_.at(what.address).down_until});
    }

    void carry_out(std::size_t from, cancel_attempt const& what)
    {
        for (auto& [name, row] : upstreams_)
        {
            row.running.erase({from, what.attempt});
        }
    }

    void carry_out(std::size_t, answer_end const& what)
    {
        ++tallies_[kinds_[what.request]].answered;
    }

    void carry_out(std::size_t, answer_refusal const& what)
    {
        tally& row = tallies_[kinds_[what.request]];
        ++row.refused;
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
            bool const has_head = each.events > 0 || now_ >= each.next_byte_at;
            events_.emplace_back(
                each.vm,
                upstream_failed{key.second, verdict::may_have_run,
                                has_head ? "answer_cut" : "connection_lost"});
        }
    }

    // Writes the next part of an answer; true if that ends it.
    bool write(std::string const& from, attempt_id attempt, arrival& each)
    {
        if (each.is_lost)
        {
            events_.emplace_back(each.vm,
                                 upstream_failed{attempt, verdict::may_have_run,
                                                 "connection_lost"});
            return true;
        }
        if (each.events == 0)
        {
            events_.emplace_back(
                each.vm,
                upstream_head{attempt, 200, options_.answer_headers(from)});
            answers_.push_back({now_, each.vm, from});
        }
        ++each.events;
        events_.emplace_back(
            each.vm, upstream_piece{attempt, fmt::format("id: {}\ndata: x\n\n",
                                                         each.events)});
        each.next_byte_at = now_ + options_.event_interval;
        if (each.events < options_.events)
        {
            return false;
        }
        events_.emplace_back(each.vm, upstream_end{attempt});
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
    std::uint64_t next_request_ = 1;
    std::uint64_t incarnation_ = 1; // of the VM started last
};

} // namespace amarantharch::test

#endif
