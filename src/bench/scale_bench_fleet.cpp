#include "bench/scale_bench_fleet.hpp"

#include "core/node.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace amarantharch::bench
{

namespace
{

constexpr duration tick_period = tick_interval;
constexpr duration log_delay = std::chrono::milliseconds(5); // one way
constexpr duration domain_delay = std::chrono::milliseconds(1);
constexpr duration region_delay = std::chrono::milliseconds(40);
constexpr std::size_t domains_per_region = 6;

bool accept_all(std::string_view, std::string_view, std::string_view)
{
    return true;
}

double processor_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string address_of(std::size_t vm)
{
    return fmt::format("10.{}.{}.{}:7000", vm >> 16, (vm >> 8) & 255, vm & 255);
}

} // namespace

fleet::fleet(std::size_t size, std::uint64_t seed) : random_(seed)
{
    vms_.resize(size);
    std::vector<member_update> all;
    for (std::size_t i = 0; i < size; ++i)
    {
        auto& row = vms_[i];
        row.name = fmt::format("entry-{:04}", i);
        index_[row.name] = i;
        control_plane_options options;
        options.vm = row.name;
        options.address = address_of(i);
        options.failure_domain = fmt::format("domain-{:02}", failure_domain(i));
        options.incarnation = static_cast<std::uint64_t>(to_micros(now_)) + i;
        options.seed = random_();
        options.verify = &accept_all;
        control_plane_handlers handlers;
        handlers.requests_read = [](time_point, log_batch const&) {
        };
        handlers.log_reachable = [](time_point, bool) {
        };
        handlers.configured = [](time_point, configuration const&) {
        };
        handlers.member_changed = [](time_point, member_change const&) {
        };
        row.core = std::make_unique<control_plane>(
            options, [this, i](command const& what) { take(i, what); },
            handlers);
        all.push_back({row.name, options.incarnation, member_health::live,
                       false, options.address, options.failure_domain});
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        vms_[i].core->members().merge(now_, all);
        auto const phase =
            random_() % static_cast<std::uint64_t>(tick_period.count());
        schedule(duration(static_cast<duration::rep>(phase)),
                 [this, i] { tick(i); });
    }
}

template <typename Call>
void fleet::timed(Call&& call)
{
    auto const before = processor_seconds();
    call();
    counts_.processor_seconds += processor_seconds() - before;
}

void fleet::schedule(duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, next_order_++, std::move(action)});
}

void fleet::run(duration time)
{
    auto const end = now_ + time;
    while (!events_.empty() && events_.top().at <= end)
    {
        auto const next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    now_ = end;
}

duration fleet::run_until(std::function<bool()> const& done, duration limit)
{
    constexpr duration check = std::chrono::milliseconds(10);
    auto const start = now_;
    while (!done() && now_ - start < limit)
    {
        run(check);
    }
    return now_ - start;
}

void fleet::tick(std::size_t vm)
{
    if (!vms_[vm].alive)
    {
        return;
    }
    timed([&] { vms_[vm].core->tick(now_); });
    schedule(tick_period, [this, vm] { tick(vm); });
}

void fleet::take(std::size_t vm, command const& what)
{
    if (auto const* message = std::get_if<send_to_peer>(&what))
    {
        send(vm, message->message);
    }
    else if (auto const* appended = std::get_if<send_append>(&what))
    {
        ++counts_.log_appends;
        schedule(log_delay,
                 [this, vm, request = *appended] { append(vm, request); });
    }
    else if (auto const* wanted = std::get_if<send_read>(&what))
    {
        ++counts_.log_reads;
        schedule(log_delay,
                 [this, vm, request = *wanted] { read(vm, request); });
    }
}

duration fleet::delay_between(std::size_t a, std::size_t b) const
{
    auto const region = [this](std::size_t vm)
    {
        return failure_domain(vm) / domains_per_region;
    };
    return region(a) == region(b) ? domain_delay : region_delay;
}

void fleet::send(std::size_t vm, peer_message message)
{
    auto const found = index_.find(message.vm);
    ++counts_.messages;
    counts_.bytes += message.payload.size();
    vms_[vm].bytes += message.payload.size();
    if (found == index_.end())
    {
        return;
    }
    auto const to = found->second;
    message.vm = vms_[vm].name;
    schedule(delay_between(vm, to),
             [this, to, message = std::move(message)]
             {
                 if (vms_[to].alive)
                 {
                     timed([&] { vms_[to].core->handle(now_, message); });
                 }
             });
}

void fleet::append(std::size_t vm, send_append const& request)
{
    log_offset offset = 0;
    if (request.stream == log_stream::configuration)
    {
        log_.push_back(request.bytes);
        offset = log_.size();
    }
    answer(vm, append_stored{request.token, offset});
    wake_readers();
}

void fleet::wake_readers()
{
    auto const waiting = std::exchange(waiting_, {});
    for (auto const& row : waiting)
    {
        read(row.vm, row.request);
    }
}

void fleet::read(std::size_t vm, send_read const& request)
{
    bool const there = request.stream == log_stream::configuration &&
                       request.from <= log_.size();
    if (there || request.wait == duration{})
    {
        answer_read(vm, request);
        return;
    }
    waiting_.push_back({vm, request});
    schedule(request.wait,
             [this, vm, token = request.token]
             {
                 auto const found = std::ranges::find_if(
                     waiting_, [&](waiting_read const& row)
                     { return row.vm == vm && row.request.token == token; });
                 if (found != waiting_.end())
                 {
                     auto const timed_out = *found;
                     waiting_.erase(found);
                     answer_read(timed_out.vm, timed_out.request);
                 }
             });
}

void fleet::answer_read(std::size_t vm, send_read const& request)
{
    read_done result{request.token, 1, 1, {}};
    if (request.stream == log_stream::configuration)
    {
        result.end = log_.size() + 1;
        for (auto offset = request.from; offset <= log_.size(); ++offset)
        {
            result.payloads.push_back({offset, now_, log_[offset - 1]});
        }
    }
    answer(vm, std::move(result));
}

void fleet::answer(std::size_t vm, log_result result)
{
    schedule(log_delay,
             [this, vm, result = std::move(result)]
             {
                 if (vms_[vm].alive)
                 {
                     timed([&] { vms_[vm].core->handle(now_, result); });
                 }
             });
}

void fleet::publish(std::size_t at, std::string const& text)
{
    configuration_change change;
    change.publish_id = fmt::format("publish-{}", next_order_);
    change.base = vms_[at].core->configurations().in_force();
    change.author = "operator";
    change.written = now_;
    change.text = text;
    timed([&] { vms_[at].core->publish(now_, change); });
}

std::string fleet::organisation(std::size_t number)
{
    return fmt::format("organisation-{}", number);
}

void fleet::write_usage(std::size_t vm, std::size_t count, std::int64_t value)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        vms_[vm].core->members().state().set(
            now_, soft_kind::organisation_usage, organisation(i), value);
    }
}

void fleet::kill(std::size_t vm)
{
    vms_[vm].alive = false;
}

void fleet::leave(std::size_t vm)
{
    timed([&] { vms_[vm].core->leave(); });
}

void fleet::reset_counts()
{
    counts_ = {};
    for (auto& row : vms_)
    {
        row.bytes = 0;
    }
}

fleet_counts fleet::counts() const
{
    auto result = counts_;
    for (auto const& row : vms_)
    {
        result.most_bytes = std::max(result.most_bytes, row.bytes);
    }
    return result;
}

} // namespace amarantharch::bench
