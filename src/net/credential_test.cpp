#include "net/credential.hpp"

#include "core/call_fields.hpp"

#include <boost/test/unit_test.hpp>

using namespace amarantharch;

BOOST_AUTO_TEST_SUITE(a_callers_credential)

BOOST_AUTO_TEST_CASE(is_known_by_the_digest_of_its_token)
{
    // FIPS 180-2's example for "abc".
    BOOST_TEST(token_digest(bearer_token("Bearer abc")) ==
               "ba7816bf8f01cfea414140de5dae2223"
               "b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(that_is_no_bearer_token_has_no_digest)
{
    BOOST_TEST(token_digest(bearer_token("")).empty());
    BOOST_TEST(token_digest(bearer_token("Basic abc")).empty());
}

BOOST_AUTO_TEST_SUITE_END()
