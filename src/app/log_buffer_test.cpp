#include "app/log_buffer.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(a_log_buffer)

BOOST_AUTO_TEST_CASE(gives_lines_in_order_wherever_writes_are_cut)
{
    log_buffer buffer;
    std::string written;
    std::string expected;
    for (int i = 0; i < 1'000; ++i)
    {
        std::string const line = "line " + std::to_string(i) + "\n";
        expected += line;
        buffer.add(line, false);
        std::size_t const part = buffer.pending().size() / 3;
        written += buffer.pending().substr(0, part);
        buffer.consume(part);
    }
    written += buffer.pending();
    BOOST_TEST(written == expected);
    BOOST_TEST(buffer.take_dropped() == 0u);
}

BOOST_AUTO_TEST_CASE(drops_lines_of_decisions_before_those_of_failures)
{
    log_buffer buffer;
    std::string const line(1'024, 'x');
    for (int i = 0; i < 1'000; ++i)
    {
        buffer.add(line, false);
    }
    BOOST_TEST(buffer.pending().size() <= log_buffer::line_limit);
    std::uint64_t const dropped = buffer.take_dropped();
    BOOST_TEST(dropped > 0u);
    buffer.add("the failure\n", true);
    BOOST_TEST(buffer.pending().ends_with("the failure\n"));
    BOOST_TEST(buffer.take_dropped() == 0u);
    for (int i = 0; i < 1'000; ++i)
    {
        buffer.add(line, true);
    }
    BOOST_TEST(buffer.pending().size() <= log_buffer::failure_limit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
