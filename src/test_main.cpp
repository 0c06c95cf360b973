// Entry point of every test program: Boost.Test's own main.
#define BOOST_TEST_MODULE amarantharch
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
