#include "core/recorded_usage.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

constexpr std::size_t max_bytes = std::size_t{64} << 10U;

std::vector<window_counts> large_fleet(std::size_t vms, window_number windows,
                                       std::uint64_t count)
{
    std::vector<window_counts> rows;
    for (window_number w = 0; w < windows; ++w)
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            window_counts row{"edge-bhaktapur-" + std::to_string(1'000 + i),
                              1'800'000'000'000'000 + i,
                              360'000'000 + w,
                              {}};
            for (int k = 0; k < 16; ++k)
            {
                row.counts["organisation-" + std::to_string(100 + k)] = count;
            }
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

std::size_t packed_size(packed_counts const& packed)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, packed);
    return buffer.size();
}

std::uint64_t sum(std::vector<window_counts> const& rows)
{
    std::uint64_t result = 0;
    for (window_counts const& row : rows)
    {
        for (auto const& [organisation, count] : row.counts)
        {
            result += count;
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_recorded_usage)

// Guards against a record that the store refuses for its size.
BOOST_AUTO_TEST_CASE(of_a_large_deployment_fits_into_a_record)
{
    auto const rows = large_fleet(84, 2, 60'000);
    auto const packed = pack(rows, max_bytes);
    BOOST_TEST_MESSAGE("84 VMs, 16 organisations, 2 windows: "
                       << packed_size(packed) << " bytes");
    BOOST_TEST(packed_size(packed) < 32u << 10U);
    BOOST_TEST(sum(unpack(packed)) == sum(rows));
}

// Guards against processes that are never recorded because the record is full.
BOOST_AUTO_TEST_CASE(of_a_larger_one_follows_in_the_next_records)
{
    auto const rows = large_fleet(1'200, 2, 1'000'000);
    recorded_usage held;
    int records = 0;
    for (; !held.missing(rows).empty() && records < 20; ++records)
    {
        auto const packed = pack(held.missing(rows), max_bytes);
        BOOST_TEST(packed_size(packed) <= max_bytes);
        held.merge(unpack(packed));
    }
    BOOST_TEST(records > 1);
    BOOST_TEST(records < 20);
}

// Guards against counts that are lost or counted twice when records are
// repeated, out of order, or overlap with what peers told.
BOOST_AUTO_TEST_CASE(is_the_same_whatever_is_repeated_or_out_of_order)
{
    for (unsigned seed = 0; seed < 200; ++seed)
    {
        std::mt19937 random(seed);
        std::vector<window_counts> truth = large_fleet(3, 2, 0);
        recorded_usage held;
        std::vector<std::vector<window_counts>> records;
        for (int step = 0; step < 20; ++step)
        {
            for (window_counts& row : truth)
            {
                row.counts.begin()->second += random() % 3;
                row.counts.rbegin()->second += random() % 3;
            }
            records.push_back(unpack(pack(held.missing(truth), 400)));
            if (random() % 3 > 0) // else the answer is lost
            {
                held.merge(records.back());
            }
        }
        for (int more = 0; more < 50 && !held.missing(truth).empty(); ++more)
        {
            records.push_back(unpack(pack(held.missing(truth), 400)));
            held.merge(records.back());
        }
        records.push_back(records.front());
        std::shuffle(records.begin(), records.end(), random);
        recorded_usage reader;
        for (auto const& record : records)
        {
            reader.merge(record);
        }
        BOOST_TEST(reader.missing(truth).empty(), seed);
        // Nothing beyond the truth: it lacks nothing of the reader either.
        recorded_usage exact;
        exact.merge(truth);
        for (auto const& record : records)
        {
            BOOST_TEST(exact.missing(record).empty(), seed);
        }
    }
}

// Guards against a record that repeats what the log holds.
BOOST_AUTO_TEST_CASE(lacks_only_what_grew)
{
    recorded_usage held;
    held.merge({{"a", 1, 7, {{"x", 5}, {"y", 2}}}});
    BOOST_TEST(held.missing({{"a", 1, 7, {{"x", 5}, {"y", 2}}}}).empty());
    auto const grown = held.missing({{"a", 1, 7, {{"x", 5}, {"y", 3}}}});
    BOOST_REQUIRE(grown.size() == 1u);
    BOOST_TEST((grown.front().counts == organisation_counts{{"y", 3}}));
    BOOST_TEST(held.missing({{"a", 2, 7, {{"x", 1}}}}).size() == 1u);
    held.forget(7);
    BOOST_TEST(held.missing({{"a", 1, 7, {{"x", 5}}}}).size() == 1u);
}

// Guards against a holder that writes what may soon be reported after what may
// not, and that forgets the processes with the largest gap.
BOOST_AUTO_TEST_CASE(lists_earlier_windows_first_then_the_largest_gaps)
{
    recorded_usage held;
    held.merge({{"a", 1, 8, {{"x", 90}}}});
    auto const rows = held.missing({{"a", 1, 8, {{"x", 100}}},
                                    {"b", 1, 8, {{"x", 20}}},
                                    {"c", 1, 7, {{"x", 1}}}});
    BOOST_REQUIRE(rows.size() == 3u);
    BOOST_TEST(rows[0].vm == "c");
    BOOST_TEST(rows[1].vm == "b");
    BOOST_TEST(rows[2].vm == "a");
}

// Guards against a crash by a foreign or damaged record.
BOOST_AUTO_TEST_CASE(ignores_counts_of_unlisted_organisations)
{
    packed_counts packed;
    packed.organisations = {"x"};
    packed.rows.push_back({"a", 1, 7, {0, 4, 9, 5, 0}});
    auto const rows = unpack(packed);
    BOOST_REQUIRE(rows.size() == 1u);
    BOOST_TEST((rows.front().counts == organisation_counts{{"x", 4}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
