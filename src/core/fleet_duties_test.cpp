#include "core/fleet_duties.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

duration const window = seconds(5);
duration const step = milliseconds(50);
time_point const start = from_micros(1'000'000'000);

using process_name = std::pair<std::string, std::uint64_t>;

struct accepted_report
{
    time_point at;
    std::string vm;
    report_usage what;
};

// A fake log, and a fake platform that takes reports.
struct environment
{
    std::vector<std::string> records;
    std::vector<accepted_report> reports;
    std::map<window_number, std::map<process_name, std::uint64_t>> truth;
    time_point now = start;
};

request_path_options path_options()
{
    request_path_options options;
    options.usage_window = window;
    return options;
}

// One process of a VM. Its commands are answered at the next step.
class process
{
public:
    process(environment& shared, std::string vm, std::uint64_t incarnation)
        : name_(std::move(vm), incarnation), environment_(shared),
          requests_(
              path_options(), [](command const&) {}, [](std::string const&) {}),
          duties_(options_of(name_),
                  [this](command const& what) { take(what); })
    {
    }

    void run(bool watches)
    {
        for (auto const& answer : std::exchange(answers_, {}))
        {
            answer();
        }
        requests_.started_usage().on_request_started(environment_.now, "org");
        ++environment_.truth[requests_.started_usage().window_at(
            environment_.now)][name_];
        requests_.demand().on_admitted(environment_.now, "pool", 50);
        requests_.demand().tick(environment_.now);
        duties_.tick(environment_.now, watches, requests_);
    }

    void tell(process& peer)
    {
        for (window_counts const& row : requests_.started_usage().report(
                 environment_.now, name_.first, name_.second))
        {
            peer.requests_.started_usage().merge(environment_.now, row);
        }
        peer.requests_.demand().merge(
            environment_.now,
            requests_.demand().report(name_.first, name_.second));
    }

    bool holds() const
    {
        return duties_.holds();
    }
    process_name const& name() const
    {
        return name_;
    }
    double rate()
    {
        return requests_.demand().rate(environment_.now, "pool").value_or(0);
    }

private:
    static fleet_duties_options options_of(process_name const& name)
    {
        fleet_duties_options options;
        options.enabled = true;
        options.log.vm = name.first;
        options.log.incarnation = name.second;
        return options;
    }

    void take(command const& what)
    {
        if (auto const* read = std::get_if<read_duty_log>(&what))
        {
            auto const& all = environment_.records;
            duty_batch batch{read->from, all.size(), {}, 1};
            batch.records.assign(all.begin() +
                                     static_cast<std::ptrdiff_t>(read->from),
                                 all.end());
            answer(duty_log_read{std::move(batch)});
        }
        if (auto const* append = std::get_if<append_duty_record>(&what))
        {
            bool const fits = append->at == environment_.records.size();
            if (fits)
            {
                environment_.records.push_back(append->record);
            }
            answer(duty_record_appended{
                fits ? absl::StatusOr<duty_offset>(append->at)
                     : absl::FailedPreconditionError("end"),
                1});
        }
        if (auto const* report = std::get_if<report_usage>(&what))
        {
            environment_.reports.push_back(
                {environment_.now, name_.first, *report});
            answer(usage_reported{report->window, absl::OkStatus()});
        }
    }

    template <class result>
    void answer(result what)
    {
        answers_.push_back([this, what = std::move(what)]
                           { duties_.handle(environment_.now, what); });
    }

    process_name name_;
    environment& environment_;
    request_path requests_;
    std::vector<std::function<void()>> answers_;
    fleet_duties duties_;
};

// VMs that tell each other their counts each 300 ms. The first three watch.
struct fleet
{
    explicit fleet(int vms)
    {
        for (int i = 0; i < vms; ++i)
        {
            start_vm(std::to_string(i));
        }
    }

    void start_vm(std::string const& vm)
    {
        processes.push_back(
            std::make_unique<process>(shared, vm, ++incarnation));
    }

    void run(duration span)
    {
        for (time_point const end = shared.now + span; shared.now < end;
             shared.now += step)
        {
            bool const tells =
                (shared.now - start) % milliseconds(300) == duration::zero();
            for (auto const& from : processes)
            {
                from->run(from->name().first < "3");
                for (auto const& to : processes)
                {
                    if (tells && from != to)
                    {
                        from->tell(*to);
                    }
                }
            }
        }
    }

    // All processes end; VM i starts again after `after[i]`, which increases.
    void kill_all(std::vector<duration> const& after)
    {
        std::vector<std::string> names;
        for (auto const& member : processes)
        {
            names.push_back(member->name().first);
        }
        processes.clear();
        time_point const killed = shared.now;
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            run(killed + after[i] - shared.now);
            start_vm(names[i]);
        }
    }

    process* holder()
    {
        auto const found =
            std::find_if(processes.begin(), processes.end(),
                         [](auto const& member) { return member->holds(); });
        return found == processes.end() ? nullptr : found->get();
    }

    environment shared;
    std::vector<std::unique_ptr<process>> processes;
    std::uint64_t incarnation = 0;
};

std::uint64_t total(std::map<process_name, std::uint64_t> const& counts)
{
    std::uint64_t sum = 0;
    for (auto const& [name, count] : counts)
    {
        sum += count;
    }
    return sum;
}

// The counts of a window that the log's records hold.
std::map<process_name, std::uint64_t>
recorded(std::vector<std::string> const& records, window_number wanted)
{
    std::map<process_name, std::uint64_t> known;
    for (std::string const& bytes : records)
    {
        auto const record =
            msgpack::unpack(bytes.data(), bytes.size()).get().as<duty_record>();
        for (window_counts const& row : unpack(record.known))
        {
            if (row.window == wanted)
            {
                auto& greatest = known[{row.vm, row.incarnation}];
                greatest = std::max(greatest, row.counts.at("org"));
            }
        }
    }
    return known;
}

std::map<window_number, accepted_report>
first_reports(environment const& shared)
{
    std::map<window_number, accepted_report> first;
    for (accepted_report const& report : shared.reports)
    {
        auto const [known, added] = first.emplace(report.what.window, report);
        BOOST_TEST((added || known->second.what.counts == report.what.counts));
    }
    return first;
}

std::vector<duration> restarts(int vms)
{
    std::vector<duration> after;
    after.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i)
    {
        after.emplace_back(seconds(1) + seconds(2) * i / (vms - 1));
    }
    return after;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_duties_after_a_kill_of_all_vms)

// Guards against windows that are reported late, twice with different counts,
// or without what the killed processes had counted.
BOOST_AUTO_TEST_CASE(are_done_in_time_and_with_the_recorded_counts)
{
    constexpr int vms = 6;
    usage_windows const windows(window);
    for (int ms = 0; ms < 5'000; ms += 200)
    {
        BOOST_TEST_CONTEXT("killed at " << ms)
        {
            fleet all(vms);
            all.run(seconds(30) + milliseconds(ms));
            window_number const killed = windows.window_at(all.shared.now);
            std::uint64_t const last = all.incarnation;
            std::vector<std::string> const records = all.shared.records;
            all.kill_all(restarts(vms));
            all.run(seconds(25));
            auto const first = first_reports(all.shared);
            for (window_number w = windows.window_at(start) + 1;
                 windows.end_of(w) + seconds(10) <= all.shared.now; ++w)
            {
                BOOST_TEST_CONTEXT("window " << w - killed)
                {
                    BOOST_REQUIRE(first.contains(w));
                    accepted_report const& report = first.at(w);
                    BOOST_TEST((report.at >= windows.end_of(w)));
                    BOOST_TEST((report.at < windows.end_of(w) + seconds(10)));
                    auto counts = all.shared.truth[w];
                    if (w == killed || w == killed - 1)
                    {
                        // Of the killed processes: what was recorded. The
                        // window before may be reported, and then is whole.
                        for (auto const& [name, count] : recorded(records, w))
                        {
                            counts[name] = count;
                        }
                        std::erase_if(counts,
                                      [&](auto const& entry)
                                      {
                                          return entry.first.second <= last &&
                                                 !recorded(records, w)
                                                      .contains(entry.first);
                                      });
                    }
                    std::uint64_t const reported = report.what.counts.at("org");
                    BOOST_TEST(reported >= total(counts));
                    BOOST_TEST(reported <= total(all.shared.truth[w]));
                    if (w != killed && w != killed - 1)
                    {
                        BOOST_TEST(reported == total(all.shared.truth[w]));
                    }
                    if (w == killed)
                    {
                        BOOST_TEST(reported == total(counts));
                    }
                }
            }
        }
    }
}

// Guards against two holders after the restarts.
BOOST_AUTO_TEST_CASE(stay_with_the_vm_that_had_them)
{
    constexpr int vms = 6;
    for (int ms = 0; ms < 5'000; ms += 500)
    {
        fleet all(vms);
        all.run(seconds(30) + milliseconds(ms));
        std::string const before = all.holder()->name().first;
        all.kill_all(restarts(vms));
        all.run(milliseconds(500));
        BOOST_REQUIRE(all.holder() != nullptr);
        BOOST_TEST(all.holder()->name().first == before, ms);
    }
}

// Guards against a capacity plan without demand until the warm-up is over.
BOOST_AUTO_TEST_CASE(start_from_the_demand_before_it)
{
    constexpr int vms = 6;
    fleet all(vms);
    all.run(seconds(30));
    double const before = all.holder()->rate();
    BOOST_TEST(before == vms * 1'000, boost::test_tools::tolerance(0.1));
    all.kill_all(restarts(vms));
    all.run(milliseconds(200));
    BOOST_REQUIRE(all.holder() != nullptr);
    BOOST_TEST(all.holder()->rate() == before,
               boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
