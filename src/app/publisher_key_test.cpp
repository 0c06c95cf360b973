#include "app/publisher_key.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

namespace
{

struct publisher_fixture
{
    publisher_key key = *make_publisher_key();
    std::string signature = *sign_as_publisher(key.private_pem, "change");

    publisher_fixture()
    {
        set_publishers({{"ward-office", key.public_key}});
    }
    ~publisher_fixture()
    {
        set_publishers({});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_publishers_signature, publisher_fixture)

BOOST_AUTO_TEST_CASE(verifies_for_its_author_and_bytes)
{
    BOOST_TEST(verify_publisher("ward-office", "change", signature));
}

BOOST_AUTO_TEST_CASE(does_not_verify_for_anything_else)
{
    std::string const others =
        *sign_as_publisher(make_publisher_key()->private_pem, "change");
    std::string flipped = signature;
    flipped[0] = flipped[0] == '0' ? '1' : '0';
    BOOST_TEST(!verify_publisher("ward-office", "Change", signature));
    BOOST_TEST(!verify_publisher("landlord", "change", signature));
    BOOST_TEST(!verify_publisher("ward-office", "change", others));
    BOOST_TEST(!verify_publisher("ward-office", "change", flipped));
    BOOST_TEST(!verify_publisher("ward-office", "change", ""));
    BOOST_TEST(!verify_publisher("ward-office", "change", signature + "00"));
    BOOST_TEST(!verify_publisher("ward-office", "change", "zz"));
}

BOOST_AUTO_TEST_CASE(cannot_be_made_without_a_private_key)
{
    BOOST_TEST(!sign_as_publisher("", "change").ok());
    BOOST_TEST(!sign_as_publisher(key.public_key, "change").ok());
    BOOST_TEST(!verify_with_key("", "change", signature));
}

BOOST_AUTO_TEST_SUITE_END()
