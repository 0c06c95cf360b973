#include "core/ordered_moves.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace amarantharch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start = from_micros(1'000'000'000);

// One VM and a service with two versions; a request arrives every 10 ms.
struct vm
{
    vm()
        : ordered(
              [this](command const& c)
              {
                  if (auto const* report = std::get_if<report_version_move>(&c))
                  {
                      reports.push_back(*report);
                  }
              })
    {
    }

    void order(std::string const& revision = "r1")
    {
        ordered.handle(now, {revision, "pool", "v2", seconds(12)}, moves);
    }

    void run(duration span, double new_failure_ratio)
    {
        for (time_point const end = now + span; now < end;
             now += milliseconds(10))
        {
            version_choice const choice =
                moves.choose(now, "pool", std::to_string(next++));
            bool const is_new = choice.version == "v2";
            ++asked;
            to_new += is_new ? 1 : 0;
            to_old += choice.avoided_version == "v2" ? 1 : 0;
            bool const fails = is_new && static_cast<double>(to_new % 10) <
                                             new_failure_ratio * 10;
            fails ? moves.on_failure("route", choice)
                  : moves.on_answer(now, "route", choice, milliseconds(50));
            for (std::string const& record : moves.tick(now, true))
            {
                moves.apply(now, std::vector<std::string>{record});
            }
            ordered.tick(now, true, moves);
        }
    }

    ordered_moves ordered;
    move_table moves;
    std::vector<report_version_move> reports;
    time_point now = start;
    int next = 0;
    int asked = 0;
    int to_new = 0;
    int to_old = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_move_ordered_by_the_operator)

BOOST_AUTO_TEST_CASE(succeeds_before_its_deadline_if_the_version_is_good)
{
    vm one;
    one.order();
    one.run(seconds(12), 0);
    BOOST_REQUIRE(!one.reports.empty());
    BOOST_TEST((one.reports.front().state == move_state::running));
    BOOST_TEST((one.reports.back().state == move_state::done));
}

BOOST_AUTO_TEST_CASE(is_taken_back_if_the_version_is_bad)
{
    vm one;
    one.order();
    one.run(seconds(12), 0.5);
    BOOST_TEST((one.reports.back().state == move_state::rolled_back));
    // At most a tenth of the requests may go to a bad version.
    BOOST_TEST(one.to_new < 0.1 * one.asked);
    int const before = one.to_new;
    one.run(seconds(12), 0.5);
    BOOST_TEST(one.to_new == before);
}

BOOST_AUTO_TEST_CASE(keeps_all_other_requests_off_the_new_version)
{
    vm one;
    one.order();
    one.run(seconds(3), 0);
    BOOST_TEST(one.to_new + one.to_old == one.asked);
}

BOOST_AUTO_TEST_CASE(is_not_tried_again_where_the_store_says_that_it_ended)
{
    vm one;
    one.ordered.handle(one.now, version_move_ended{"pool", "v2", false},
                       one.moves);
    one.order();
    one.run(seconds(3), 0);
    BOOST_TEST(one.to_new == 0);
    BOOST_TEST((one.reports.back().state == move_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(is_the_same_order_however_often_it_is_read)
{
    vm one;
    one.order();
    one.run(seconds(12), 0.5);
    one.order();
    one.run(seconds(2), 0);
    BOOST_TEST((one.reports.back().state == move_state::rolled_back));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
