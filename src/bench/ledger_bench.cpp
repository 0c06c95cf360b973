// Measures the ledger: processor time and bytes a decided request, memory a
// key, and the size of the records that the log carries.
#include "core/ledger.hpp"

#include <fmt/format.h>

#include <chrono>
#include <deque>
#include <fstream>
#include <string>

using namespace amarantharch;

namespace
{

constexpr std::uint64_t keys_each = 100'000;

struct costs
{
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;
};

// One VM that reads what it appends, many requests a batch.
class single_vm
{
public:
    single_vm() : core_(options(), [this](ledger_effect const& e) { take(e); })
    {
        flush(from_micros(1'000'000));
    }

    void decide(std::uint64_t first, std::uint64_t count, bool asynchronous)
    {
        auto const now = from_micros(1'000'000 + static_cast<int>(first));
        for (std::uint64_t i = first; i < first + count; ++i)
        {
            submission what;
            what.request = "request";
            what.key = key_from_header("organisation", std::to_string(i));
            what.asynchronous = asynchronous;
            what.call = {
                "request", "organisation",       "desk", "POST", "/claims",
                {},        std::string(200, 'x')};
            core_.submit(now, std::move(what));
        }
        while (!appends_.empty())
        {
            flush(now);
            for (auto const& run : std::exchange(runs_, {}))
            {
                core_.finish(now, run,
                             {verdict::ran, 201, "application/json",
                              std::string(100, 'y')});
            }
        }
    }

    costs const& spent() const
    {
        return costs_;
    }

    ledger const& core() const
    {
        return core_;
    }

private:
    static ledger_options options()
    {
        ledger_options result;
        result.vm = "ch-nord-a-entry-1";
        result.incarnation = 1'700'000'000'000'000;
        result.max_keys = 10 * keys_each;
        result.max_bytes = std::size_t{1} << 30;
        result.max_pending_records = keys_each;
        return result;
    }

    void take(ledger_effect const& effect)
    {
        if (auto const* append = std::get_if<append_record>(&effect))
        {
            ++costs_.records;
            costs_.bytes += append->payload.size();
            appends_.push_back(append->payload);
        }
        else if (auto const* run = std::get_if<run_request>(&effect))
        {
            runs_.push_back(run->run);
        }
    }

    void flush(time_point now)
    {
        log_batch batch;
        batch.stream = log_stream::requests;
        batch.first_retained = 1;
        for (auto& payload : std::exchange(appends_, {}))
        {
            batch.records.push_back({{end_, 0}, {}, std::move(payload), now});
            ++end_;
        }
        batch.next = end_;
        batch.end = end_;
        core_.apply(now, batch);
    }

    costs costs_;
    std::deque<std::string> appends_;
    std::deque<run_id> runs_;
    log_offset end_ = 1;
    ledger core_;
};

std::size_t resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * 4096;
}

void measure(char const* name, bool asynchronous)
{
    constexpr std::uint64_t batch = 100;
    auto const memory = resident_bytes();
    single_vm vm;
    auto const start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < keys_each; i += batch)
    {
        vm.decide(i, batch, asynchronous);
    }
    auto const spent = std::chrono::steady_clock::now() - start;
    auto const micros =
        std::chrono::duration<double, std::micro>(spent).count();
    auto const count = static_cast<double>(keys_each);
    fmt::print("{}: {:.2f} us, {:.2f} records, {:.0f} bytes of log, {:.0f} "
               "bytes of memory a request; snapshot {:.0f} bytes a key\n",
               name, micros / count,
               static_cast<double>(vm.spent().records) / count,
               static_cast<double>(vm.spent().bytes) / count,
               static_cast<double>(resident_bytes() - memory) / count,
               static_cast<double>(vm.core().snapshot().size()) / count);
}

} // namespace

int main()
{
    measure("synchronous", false);
    measure("asynchronous", true);
    return 0;
}
