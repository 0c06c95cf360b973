#include "core/snapshot.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace amarantharch;

namespace
{

vm_snapshot large_snapshot()
{
    vm_snapshot snapshot;
    snapshot.configuration.in_force = {7, 1};
    snapshot.configuration.as_of = 9;
    snapshot.configuration.author = "operator";
    snapshot.configuration.text = std::string(200000, '#');
    snapshot.configuration.recent.push_back({"p", {7, 1}});
    snapshot.members.push_back(
        {"vm-2", 5, member_health::suspect, true, "10.0.0.2:1", "zone"});
    snapshot.rows.push_back({{soft_kind::quarantine, "f", ""}, 1, 2});
    return snapshot;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_snapshot)

BOOST_AUTO_TEST_CASE(is_whole_again_from_pieces_in_any_order)
{
    auto pieces = cut(large_snapshot(), 3);
    BOOST_REQUIRE_EQUAL(pieces.size(), 4U);
    std::vector<std::size_t> order{0, 1, 2, 3};
    do
    {
        snapshot_assembler assembly(3);
        for (std::size_t i = 0; i < order.size(); ++i)
        {
            auto const bytes = encode(pieces[order[i]]);
            auto const piece = decode_snapshot_message(bytes);
            BOOST_REQUIRE(piece.ok());
            auto const whole = assembly.take(*piece);
            BOOST_REQUIRE(whole.ok());
            BOOST_CHECK_EQUAL(whole->has_value(), i == 3);
            if (*whole)
            {
                auto const& got = **whole;
                BOOST_CHECK((got.configuration.in_force == revision{7, 1}));
                BOOST_CHECK_EQUAL(got.configuration.text.size(), 200000U);
                BOOST_CHECK_EQUAL(got.configuration.recent[0].publish_id, "p");
                BOOST_CHECK(got.members[0].leaving);
                BOOST_CHECK_EQUAL(got.rows[0].value, 2);
            }
            else
            {
                BOOST_CHECK(!assembly.take(*piece)->has_value()); // duplicate
            }
        }
    } while (std::ranges::next_permutation(order).found);
}

BOOST_AUTO_TEST_CASE(is_refused_if_a_piece_is_wrong)
{
    auto const pieces = cut(large_snapshot(), 3);
    auto const assemble_with = [&](auto&& edit)
    {
        snapshot_assembler assembly(3);
        absl::StatusOr<std::optional<vm_snapshot>> result = std::nullopt;
        for (auto piece : pieces)
        {
            if (piece.piece == 1)
            {
                edit(piece);
            }
            result = assembly.take(piece);
            if (!result.ok())
            {
                break;
            }
        }
        return result;
    };
    BOOST_CHECK(assemble_with([](auto&) {}).ok());
    BOOST_CHECK(!assemble_with([](auto& p) { p.bytes[5] ^= 1; }).ok());
    BOOST_CHECK(!assemble_with([](auto& p) { p.digest ^= 1; }).ok());
    BOOST_CHECK(!assemble_with([](auto& p) { p.piece = 9; }).ok());
    BOOST_CHECK(!assemble_with([](auto& p) { p.pieces = 9; }).ok());
    auto const ignored = assemble_with([](auto& p) { p.transfer = 4; });
    BOOST_CHECK(ignored.ok() && !ignored->has_value());
}

BOOST_AUTO_TEST_CASE(cannot_claim_more_than_the_limit)
{
    snapshot_assembler assembly(1);
    snapshot_message huge;
    huge.kind = snapshot_message_kind::piece;
    huge.transfer = 1;
    huge.pieces = 0xffffffff;
    BOOST_CHECK(!assembly.take(huge).ok());
}

BOOST_AUTO_TEST_SUITE_END()
