// Measures how the control plane's cost grows with the fleet.
//
// Three tables: the fleet (membership, gossip, configuration and log client of
// 8 to 1,200 VMs stepped together), the configuration (40 to 4,300 upstreams)
// and the log client (records a batch). All sizes are stated by the rows.
#include "bench/scale_bench_fleet.hpp"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <string>
#include <vector>

namespace po = boost::program_options;

namespace amarantharch::bench
{

namespace
{

using row_cells = std::vector<std::string>;

// A table printed with aligned columns or as CSV.
struct table
{
    std::string title;
    row_cells header;
    std::vector<row_cells> rows;
};

void print(table const& t, bool csv)
{
    if (csv)
    {
        fmt::print("# {}\n{}\n", t.title, fmt::join(t.header, ","));
        for (auto const& row : t.rows)
        {
            fmt::print("{}\n", fmt::join(row, ","));
        }
        return;
    }
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < t.header.size(); ++i)
    {
        auto width = t.header[i].size();
        for (auto const& row : t.rows)
        {
            width = std::max(width, row[i].size());
        }
        widths.push_back(width);
    }
    auto const line = [&](row_cells const& cells)
    {
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            fmt::print("{:>{}}  ", cells[i], widths[i]);
        }
        fmt::print("\n");
    };
    fmt::print("{}\n", t.title);
    line(t.header);
    for (auto const& row : t.rows)
    {
        line(row);
    }
    fmt::print("\n");
}

double processor_seconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t heap_bytes()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string seconds_text(duration time, duration limit)
{
    return time >= limit
               ? fmt::format(">{}", limit.count() / 1'000'000)
               : fmt::format("{:.2f}", static_cast<double>(time.count()) / 1e6);
}

// ---- The fleet. ----

constexpr duration settle_time = std::chrono::seconds(10);
constexpr duration steady_time = std::chrono::seconds(20);
constexpr duration converge_limit = std::chrono::seconds(120);
constexpr int publishes = 3;

// Whether the share of the VMs alive for which `holds` is at least `share`.
template <typename Holds>
bool share_of(fleet& f, double share, Holds const& holds)
{
    std::size_t alive = 0;
    std::size_t held = 0;
    for (std::size_t i = 0; i < f.size(); ++i)
    {
        if (f.alive(i))
        {
            ++alive;
            held += holds(i) ? 1 : 0;
        }
    }
    return static_cast<double>(held) >= share * static_cast<double>(alive);
}

duration time_to_publish(fleet& f, int number)
{
    auto const at = static_cast<std::size_t>(number) * 7 % f.size();
    auto const before = f.core(at).configurations().in_force();
    f.publish(at, fmt::format("[organisation o]\nweight = {}\n", number + 1));
    return f.run_until(
        [&]
        {
            return share_of(
                f, 1.0,
                [&](std::size_t i)
                { return f.core(i).configurations().in_force() > before; });
        },
        converge_limit);
}

bool all_seen(fleet& f, std::size_t by, std::vector<std::size_t> const& whom,
              member_state state)
{
    return std::ranges::all_of(
        whom,
        [&](std::size_t vm)
        {
            auto const* row = f.core(by).members().find(f.name(vm));
            return by == vm || (row != nullptr && row->state() == state);
        });
}

duration time_to_see(fleet& f, std::vector<std::size_t> const& whom,
                     member_state state, double share)
{
    return f.run_until(
        [&]
        {
            return share_of(f, share,
                            [&](std::size_t by)
                            { return all_seen(f, by, whom, state); });
        },
        converge_limit);
}

std::vector<std::size_t> members_of(fleet const& f, std::size_t domain)
{
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < f.size(); ++i)
    {
        if (f.failure_domain(i) == domain)
        {
            members.push_back(i);
        }
    }
    return members;
}

row_cells measure_fleet(std::size_t size, std::uint64_t seed)
{
    auto const heap_before = heap_bytes();
    fleet f(size, seed);
    f.run(settle_time);
    f.publish(0, "[organisation o]\nweight = 0.5\n");
    f.run(settle_time);
    f.reset_counts();
    f.run(steady_time);
    auto const steady = f.counts();
    auto const heap = heap_bytes() - heap_before;
    auto const n = static_cast<double>(size);
    auto const per_vm_second =
        n * static_cast<double>(steady_time.count()) / 1e6;

    f.reset_counts();
    duration slowest{};
    for (int i = 0; i < publishes; ++i)
    {
        slowest = std::max(slowest, time_to_publish(f, i));
        f.run(std::chrono::seconds(2));
    }
    auto const published = f.counts();

    std::vector<std::size_t> const one{0}; // in none of the domains below
    f.kill(one[0]);
    auto const one_gone = time_to_see(f, one, member_state::gone, 1.0);
    auto const leaving = members_of(f, 1);
    for (auto const vm : leaving)
    {
        f.leave(vm);
    }
    auto const wave_leaving =
        time_to_see(f, leaving, member_state::leaving, 0.99);
    f.reset_counts();
    auto const wave = members_of(f, 2);
    for (auto const vm : wave)
    {
        f.kill(vm);
    }
    auto const wave_gone = time_to_see(f, wave, member_state::gone, 0.99);
    auto const waved = f.counts();

    return {
        fmt::format("{}", size),
        fmt::format("{:.2f}",
                    static_cast<double>(steady.messages) / per_vm_second),
        fmt::format("{:.0f}",
                    static_cast<double>(steady.bytes) / per_vm_second),
        fmt::format("{:.0f}",
                    static_cast<double>(steady.most_bytes) /
                        (static_cast<double>(steady_time.count()) / 1e6)),
        fmt::format("{:.1f}", steady.processor_seconds * 1e6 / per_vm_second),
        fmt::format("{:.0f}", static_cast<double>(heap) / n / 1024),
        fmt::format("{:.2f}",
                    static_cast<double>(steady.log_reads) /
                        (static_cast<double>(steady_time.count()) / 1e6)),
        seconds_text(slowest, converge_limit),
        fmt::format("{:.0f}",
                    static_cast<double>(published.log_reads) / publishes),
        seconds_text(one_gone, converge_limit),
        fmt::format("{}", wave.size()),
        seconds_text(wave_leaving, converge_limit),
        seconds_text(wave_gone, converge_limit),
        fmt::format("{:.0f}", static_cast<double>(waved.bytes) / n / 1024),
    };
}

table fleet_table(std::vector<std::size_t> const& sizes, std::uint64_t seed)
{
    table t;
    t.title = "fleet: per VM and second in the steady state; times in s of "
              "synthetic time";
    t.header = {
        "vms",           "msgs/s",     "bytes/s",         "most_bytes/s",
        "cpu_us/s",      "heap_KiB",   "log_reads/s_all", "publish_s",
        "reads/publish", "one_gone_s", "wave_vms",        "wave_leaving_s",
        "wave_gone_s",   "wave_KiB/vm"};
    for (auto const size : sizes)
    {
        t.rows.push_back(measure_fleet(size, seed));
        fmt::print(stderr, "{} VMs done\n", size);
    }
    return t;
}

// ---- Soft state. ----

constexpr std::size_t organisations = 5;
constexpr int soft_seconds = 40;
constexpr std::size_t sampled_vms = 16;

// Each VM writes its usage by organisation each second; how old and how
// complete is what others hold of it?
row_cells measure_soft_state(std::size_t size, std::uint64_t seed)
{
    auto const heap_before = heap_bytes();
    fleet f(size, seed);
    f.run(settle_time);
    f.reset_counts();
    for (int second = 1; second <= soft_seconds; ++second)
    {
        for (std::size_t vm = 0; vm < size; ++vm)
        {
            f.write_usage(vm, organisations, second);
        }
        f.run(std::chrono::seconds(1));
    }
    double held = 0;
    double age = 0;
    auto const sampled = std::min(size, sampled_vms);
    for (std::size_t vm = 0; vm < sampled; ++vm)
    {
        for (std::size_t o = 0; o < organisations; ++o)
        {
            f.core(vm).members().state().visit(
                soft_kind::organisation_usage, fleet::organisation(o),
                [&](soft_row const& row)
                {
                    held += 1;
                    age += soft_seconds - static_cast<double>(row.value);
                });
        }
    }
    auto const counts = f.counts();
    auto const n = static_cast<double>(size);
    auto const possible = static_cast<double>(sampled * organisations) * n;
    return {
        fmt::format("{}", size),
        fmt::format("{}", size * organisations),
        fmt::format("{:.0f}",
                    static_cast<double>(counts.bytes) / (n * soft_seconds)),
        fmt::format("{:.0f}",
                    counts.processor_seconds * 1e6 / (n * soft_seconds)),
        fmt::format("{:.1f}", 100 * held / possible),
        fmt::format("{:.1f}", held > 0 ? age / held : 0.0),
        fmt::format("{:.0f}", static_cast<double>(heap_bytes() - heap_before) /
                                  n / 1024)};
}

table soft_state_table(std::vector<std::size_t> const& sizes,
                       std::uint64_t seed)
{
    table t;
    t.title = "soft state: each VM writes 5 rows a second for 40 s";
    t.header = {"vms",    "rows_written/s", "bytes/s", "cpu_us/s",
                "held_%", "mean_age_s",     "heap_KiB"};
    for (auto const size : sizes)
    {
        t.rows.push_back(measure_soft_state(size, seed));
    }
    return t;
}

// ---- The configuration. ----

std::string text_of(std::size_t upstreams)
{
    std::string text = "[service drafts]\nkind = engine\n"
                       "[route drafts]\npath = /v1\nservice = drafts\n";
    for (std::size_t i = 0; i < upstreams; ++i)
    {
        text += fmt::format("[upstream server-{:04}]\naddress = "
                            "10.{}.{}.{}:8000\nservice = drafts\nversion = "
                            "v{}\nfailure_domain = domain-{:02}\nclass = c8\n",
                            i, i >> 16, (i >> 8) & 255, i & 255, i % 3,
                            i % failure_domains);
    }
    return text + "[move drafts-v2]\nselect = service=drafts and zone in "
                  "(domain-01, domain-02)\nfrom = v1\nto = v2\ndeadline_us = "
                  "1800000000000000\n";
}

bool accept_all(std::string_view, std::string_view, std::string_view)
{
    return true;
}

// Applies one record and returns the processor time it took, in ms.
double apply_record(configuration_store& store, std::string payload)
{
    log_batch batch;
    batch.first_retained = 1;
    batch.records.emplace_back();
    batch.records[0].position = {store.next_offset(), 0};
    batch.records[0].payload = std::move(payload);
    batch.next = store.next_offset() + 1;
    batch.end = batch.next;
    auto const before = processor_seconds();
    store.apply(from_micros(1), batch);
    return (processor_seconds() - before) * 1e3;
}

row_cells measure_configuration(std::size_t upstreams)
{
    constexpr int changes = 5;
    auto const heap_before = heap_bytes();
    configuration_store store({"vm-1", &accept_all});
    configuration_change change;
    change.text = text_of(upstreams);
    change.publish_id = "first";
    auto const first_ms = apply_record(store, encode(change));
    auto const heap = heap_bytes() - heap_before;
    double change_ms = 0;
    std::size_t change_bytes = 0;
    for (int i = 0; i < changes; ++i)
    {
        configuration_change next;
        next.publish_id = fmt::format("change-{}", i);
        next.base = store.in_force();
        next.text = fmt::format("[upstream server-0000]\naddress = "
                                "10.0.0.0:8000\nservice = drafts\nversion = "
                                "v{}\nfailure_domain = domain-00\n",
                                i);
        auto const payload = encode(next);
        change_bytes = payload.size();
        change_ms += apply_record(store, payload) / changes;
    }
    auto const snapshot = encode(store.snapshot());
    return {fmt::format("{}", upstreams),
            fmt::format("{}", snapshot.size()),
            fmt::format("{}", change_bytes),
            fmt::format("{:.2f}", first_ms),
            fmt::format("{:.2f}", change_ms),
            fmt::format("{:.0f}", static_cast<double>(heap) / 1024)};
}

table configuration_table()
{
    table t;
    t.title = "configuration: one VM";
    t.header = {"upstreams", "snapshot_bytes", "change_bytes",
                "first_ms",  "change_ms",      "heap_KiB"};
    for (auto const upstreams :
         std::vector<std::size_t>{40, 400, 1000, 2000, 4300})
    {
        t.rows.push_back(measure_configuration(upstreams));
    }
    return t;
}

// ---- The log client. ----

row_cells measure_log(std::size_t records_per_batch)
{
    constexpr std::size_t batches = 400;
    constexpr std::size_t record_bytes = 100;
    log_client_options options;
    options.vm = "entry-0001";
    options.appends_per_second = 1e6;
    options.append_burst = 1e6;
    log_client client(options);
    client.subscribe(log_stream::requests, 1);
    std::vector<std::string> log;
    std::vector<log_client_output> todo;
    std::size_t read = 0;
    auto const collect = [&](log_client_output output)
    {
        todo.push_back(std::move(output));
    };
    auto now = from_micros(1'000'000);
    double seconds = 0;
    auto const timed = [&](auto&& call)
    {
        auto const before = processor_seconds();
        call();
        seconds += processor_seconds() - before;
    };
    std::size_t bytes = 0;
    for (std::size_t step = 0; read < batches * records_per_batch; ++step)
    {
        if (step > 0 && log.size() < batches && client.queued_bytes() == 0)
        {
            timed(
                [&]
                {
                    for (std::size_t i = 0; i < records_per_batch; ++i)
                    {
                        client
                            .append(now, log_stream::requests,
                                    std::string(record_bytes, 'x'))
                            .IgnoreError();
                    }
                });
        }
        now += std::chrono::milliseconds(10);
        timed([&] { client.tick(now, collect); });
        for (std::size_t i = 0; i < todo.size(); ++i)
        {
            auto const output = todo[i];
            if (auto const* append = std::get_if<send_append>(&output))
            {
                log.push_back(append->bytes);
                bytes += append->bytes.size();
                append_stored const stored{append->token, log.size()};
                timed([&] { client.handle(now, stored, collect); });
            }
            else if (auto const* wanted = std::get_if<send_read>(&output))
            {
                read_done done{wanted->token, 1, log.size() + 1, {}};
                for (auto offset = wanted->from; offset <= log.size(); ++offset)
                {
                    done.payloads.push_back({offset, now, log[offset - 1]});
                }
                timed([&] { client.handle(now, done, collect); });
            }
            else if (auto const* got = std::get_if<log_read>(&output))
            {
                read += got->batch.records.size();
            }
        }
        todo.clear();
    }
    auto const records = static_cast<double>(batches * records_per_batch);
    return {fmt::format("{}", records_per_batch),
            fmt::format("{:.1f}", static_cast<double>(bytes) / records),
            fmt::format("{:.2f}", seconds * 1e6 / records),
            fmt::format("{:.1f}", seconds * 1e6 / batches)};
}

table log_table()
{
    table t;
    t.title = "log client: one writer that reads its own stream, records of "
              "100 bytes";
    t.header = {"records/append", "bytes/record", "cpu_us/record",
                "cpu_us/append"};
    for (auto const records : std::vector<std::size_t>{1, 10, 100, 1000})
    {
        t.rows.push_back(measure_log(records));
    }
    return t;
}

} // namespace

int run(int argc, char** argv)
{
    po::options_description options(
        "Measures the control plane's cost against the fleet's size");
    std::uint64_t seed = 1;
    std::vector<std::size_t> sizes{8, 32, 128};
    // clang-format off
    options.add_options()
        ("help", "show this text")
        ("seed", po::value(&seed), "seed of all randomness")
        ("vms", po::value(&sizes)->multitoken(), "sizes of the fleet")
        ("full", "also 512 and 1,200 VMs: takes minutes")
        ("csv", "print CSV");
    // clang-format on
    po::variables_map given;
    try
    {
        po::store(po::parse_command_line(argc, argv, options), given);
        po::notify(given);
    }
    catch (po::error const& e)
    {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    }
    if (given.contains("help"))
    {
        fmt::print("{}", (std::stringstream() << options).str());
        return 0;
    }
    if (given.contains("full"))
    {
        sizes = {8, 32, 128, 512, 1200};
    }
    bool const csv = given.contains("csv");
    print(configuration_table(), csv);
    print(log_table(), csv);
    print(fleet_table(sizes, seed), csv);
    print(soft_state_table(sizes, seed), csv);
    return 0;
}

} // namespace amarantharch::bench

int main(int argc, char** argv)
{
    return amarantharch::bench::run(argc, argv);
}
