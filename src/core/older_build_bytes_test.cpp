// Messages and records as the build in production wrote them, byte for byte.
// Builds run side by side while VMs are replaced, so these must stay readable.
#include "core/duty_log.hpp"
#include "core/peer_update.hpp"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <string>

namespace amarantharch
{

namespace
{

// Written by eee5bdf: `leaving`, `loads`, `cell`, `duty_holder`,
// `configuration_version`, `limits` and `refusals` are set.
constexpr char const* peer_update_bytes =
    "dc00189092909091a8656e67696e652d3190909090909090c29194a8656e67696e652d3203"
    "01ce0003d0909090a663656c6c2d3090a4766d2d6107c2909290909194a8656e67696e652d"
    "332acb4023000000000000cd03e8c29195a8656e67696e652d342b0a1405";
constexpr char const* duty_record_bytes =
    "9502a4766d2d6105ce1511250082a56f72672d61cd019ca56f72672d6203";

} // namespace

BOOST_AUTO_TEST_SUITE(bytes_that_the_older_build_wrote)

// Guards against a changed order or type of the fields, which a copy of the
// older structure in a test would follow unnoticed.
BOOST_AUTO_TEST_CASE(are_read_as_a_message_between_vms)
{
    auto const read =
        decode_peer_update(absl::HexStringToBytes(peer_update_bytes));
    BOOST_REQUIRE(read.ok());
    BOOST_REQUIRE(read->leaving.size() == 1u);
    BOOST_TEST(read->leaving.front() == "engine-1");
    BOOST_REQUIRE(read->loads.size() == 1u);
    upstream_load const& load = read->loads.front();
    BOOST_TEST(load.upstream == "engine-2");
    BOOST_TEST(load.running == 3u);
    BOOST_TEST(load.waiting == 1u);
    BOOST_TEST(load.age_us == 250'000);
    BOOST_TEST(load.work_values == 0u);
    BOOST_TEST(load.memory_total == 0u);
    BOOST_TEST(read->cell == "cell-0");
    BOOST_TEST(read->duty_holder == "vm-a");
    BOOST_TEST(read->configuration_version == 7u);
    BOOST_REQUIRE(read->limits.size() == 1u);
    BOOST_TEST(read->limits.front().per_second == 9.5);
    BOOST_REQUIRE(read->refusals.size() == 1u);
    BOOST_TEST(read->refusals.front().refusal_limit == 5u);
    BOOST_TEST(read->evacuations.empty());
}

// Guards against a holder that cannot follow the log of its predecessor.
BOOST_AUTO_TEST_CASE(are_read_as_a_record_of_the_duty_log)
{
    std::string const bytes = absl::HexStringToBytes(duty_record_bytes);
    auto const object = msgpack::unpack(bytes.data(), bytes.size());
    auto const record = object.get().as<duty_record>();
    BOOST_TEST(record.kind ==
               static_cast<std::uint8_t>(duty_record_kind::usage));
    BOOST_TEST(record.vm == "vm-a");
    BOOST_TEST(record.incarnation == 5u);
    BOOST_TEST(record.window == 353'445'120);
    BOOST_TEST(record.counts.at("org-a") == 412u);
    BOOST_TEST(record.era == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
