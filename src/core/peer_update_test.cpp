#include "core/peer_update.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

// The message as the build before evacuations and cold upstreams has it.
struct older_peer_update
{
    std::vector<service_usage> usage;
    quarantine_delta quarantined;
    std::vector<std::string> leaving;
    std::vector<std::string> handed_over;
    std::vector<move_evidence> evidence;
    std::vector<quota_report> quota_reports;
    std::vector<window_counts> request_counts;
    std::vector<std::string> move_states;
    std::vector<demand_report> demand;
    std::vector<reading_report> reading_reports;
    bool holds_duties = false;
    std::vector<upstream_load> loads;
    std::vector<leaving_upstream> leaving_upstreams;
    std::vector<quota_report> relayed_quotas;
    std::string cell;
    std::vector<quota_sum> quota_sums;
    std::string duty_holder;
    std::uint64_t configuration_version = 0;
    bool wants_configuration = false;
    std::vector<configuration_piece> configuration_pieces;
    prompt_part_delta quarantined_parts;
    std::vector<upstream_limit> limits;
    bool partitioned = false;
    std::vector<upstream_refusal> refusals;
    MSGPACK_DEFINE(usage, quarantined, leaving, handed_over, evidence,
                   quota_reports, request_counts, move_states, demand,
                   reading_reports, holds_duties, loads, leaving_upstreams,
                   relayed_quotas, cell, quota_sums, duty_holder,
                   configuration_version, wants_configuration,
                   configuration_pieces, quarantined_parts, limits, partitioned,
                   refusals)
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_message_between_builds)

// Guards against a VM that drops the messages of VMs not yet updated.
BOOST_AUTO_TEST_CASE(of_the_older_one_is_read_without_the_new_fields)
{
    older_peer_update sent;
    sent.cell = "1/2";
    sent.limits = {{"desk-1", 7, 2.5, 1'000}};
    sent.refusals = {{"desk-2", 8, 5, 6, 7}};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, sent);
    auto const read = decode_peer_update({buffer.data(), buffer.size()});
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read->cell == "1/2");
    BOOST_REQUIRE(read->limits.size() == 1u);
    BOOST_TEST(read->limits.front().per_second == 2.5);
    BOOST_REQUIRE(read->refusals.size() == 1u);
    BOOST_TEST(read->refusals.front().refusal_limit == 7u);
    BOOST_TEST(read->evacuations.empty());
}

// Guards against a new field that hides the known ones from an older build.
BOOST_AUTO_TEST_CASE(of_the_newer_one_is_read_by_the_older_field_list)
{
    peer_update sent;
    sent.cell = "1/2";
    sent.refusals = {{"desk-2", 8, 5, 6, 7}};
    sent.evacuations = {{"asan", true, 1, 6}};
    std::string const bytes = encode(sent);
    auto const object = msgpack::unpack(bytes.data(), bytes.size());
    auto const read = object.get().as<older_peer_update>();
    BOOST_TEST(read.cell == "1/2");
    BOOST_REQUIRE(read.refusals.size() == 1u);
    BOOST_TEST(read.refusals.front().upstream == "desk-2");
}

// Guards against fields that are lost on the way.
BOOST_AUTO_TEST_CASE(of_this_one_is_read_whole)
{
    peer_update sent;
    sent.evacuations = {{"asan", true, 1, 6}, {"patan", false, 2, 9}};
    auto const read = decode_peer_update(encode(sent));
    BOOST_REQUIRE(read.ok());
    BOOST_REQUIRE(read->evacuations.size() == 2u);
    BOOST_TEST(read->evacuations[0].failure_domain == "asan");
    BOOST_TEST(read->evacuations[0].evacuated);
    BOOST_TEST((read->evacuations[1].position() == operator_position{2, 9}));
    BOOST_TEST(!read->evacuations[1].evacuated);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
