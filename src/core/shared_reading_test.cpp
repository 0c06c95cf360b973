#include "core/shared_reading.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace amarantharch
{

namespace
{

time_point const start = from_micros(1'000'000'000);
constexpr std::size_t first_port = 1'000;

// VMs that all see each other as live.
struct fleet
{
    explicit fleet(std::size_t size)
    {
        std::vector<member_update> updates;
        for (std::size_t i = 0; i < size; ++i)
        {
            member_update update;
            update.vm = fmt::format("vm{}", i);
            update.address = fmt::format("10.0.0.1:{}", first_port + i);
            update.failure_domain = "asan";
            update.incarnation = 1;
            updates.push_back(update);
        }
        for (member_update const& own : updates)
        {
            membership_options options;
            options.vm = own.vm;
            options.address = own.address;
            options.failure_domain = own.failure_domain;
            auto members = std::make_unique<membership>(options);
            auto others = updates;
            std::erase_if(others, [&](member_update const& other)
                          { return other.vm == own.vm; });
            members->merge(start, others);
            views.emplace(own.vm, std::move(members));
        }
    }

    // The number of readers for each VM, by the recipients of all readers.
    std::map<std::string, std::size_t> readers_of_each() const
    {
        std::map<std::string, std::size_t> counts;
        for (auto const& [vm, view] : views)
        {
            shared_reading const sharing(vm);
            counts[vm] += sharing.is_reader(*view) ? 1 : 0;
            for (std::string const& other : sharing.recipients(*view))
            {
                ++counts[other];
            }
        }
        return counts;
    }

    std::size_t readers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            views, [](auto const& entry)
            { return shared_reading(entry.first).is_reader(*entry.second); }));
    }

    std::map<std::string, std::unique_ptr<membership>> views;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reading_for_others)

BOOST_AUTO_TEST_CASE(falls_to_a_vm_that_is_alone)
{
    fleet const one(1);
    BOOST_TEST(one.readers() == 1u);
}

BOOST_AUTO_TEST_CASE(falls_to_two_vms_of_a_small_fleet)
{
    fleet const small(9);
    BOOST_TEST(small.readers() == 2u);
    for (auto const& [vm, readers] : small.readers_of_each())
    {
        BOOST_TEST(readers >= 1u);
    }
}

BOOST_AUTO_TEST_CASE(falls_to_two_vms_for_each_cell_of_a_large_fleet)
{
    fleet const large(250);
    BOOST_TEST(large.readers() <= 6u);
    for (auto const& [vm, readers] : large.readers_of_each())
    {
        BOOST_TEST(readers >= 1u);
    }
}

BOOST_AUTO_TEST_CASE(tells_records_in_messages_that_fit_a_datagram)
{
    reading_report report;
    report.states.push_back({1, 7, 0, 0});
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        report.records.push_back({2, i, "key", true, std::string(300, 'x')});
    }
    auto const parts = shared_reading("vm").split(report);
    std::size_t records = 0;
    for (reading_report const& part : parts)
    {
        std::size_t bytes = 0;
        for (shared_record const& record : part.records)
        {
            bytes += record.key.size() + record.value.size();
        }
        BOOST_TEST(bytes <= shared_reading_options().message_bytes);
        records += part.records.size();
    }
    BOOST_TEST(records == 100u);
    BOOST_TEST(parts.front().states.size() == 1u);
    BOOST_TEST(parts.back().states.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
