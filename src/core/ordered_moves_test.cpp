#include "core/ordered_moves.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <cstdint>
#include <random>
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

// Nine VMs whose engines answer 100 requests a second on three routes. The time
// to the first byte varies as prompts do: by a factor of 2.5 up or down in a
// third of the answers.
class fleet
{
public:
    // `slowness`: of the new version's answers against the old version's, on
    // the routes from `first_slow_route` on, once `slow_after` has passed.
    fleet(std::uint64_t seed, double slowness, std::size_t first_slow_route,
          duration slow_after)
        : random_(seed), slowness_(slowness),
          first_slow_route_(first_slow_route), slow_since_(start + slow_after)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            ordered_.emplace_back([](command const&) {});
        }
    }

    // The state of the move after its deadline.
    move_state run()
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            ordered_[i].handle(now_, {"r1", "pool", "v2", deadline}, moves_[i]);
        }
        for (int step = 0; now_ < start + deadline + seconds(1); ++step)
        {
            answer_one(step);
            for (std::size_t i = 0; i < vm_count; ++i)
            {
                spread(moves_[i].tick(now_, i == 0));
            }
            if (step % 30 == 0)
            {
                exchange();
            }
            now_ += milliseconds(10);
        }
        return moves_[0].reports(now_).at("pool").state;
    }

    // The share of the requests before the deadline that went to the new
    // version.
    double exposed() const
    {
        return static_cast<double>(to_new_) / static_cast<double>(asked_);
    }

private:
    static constexpr std::size_t vm_count = 9;
    static constexpr std::size_t route_count = 3;
    static constexpr seconds deadline{15};

    void answer_one(int step)
    {
        constexpr double medians_ms[route_count] = {250, 60, 120};
        std::size_t const vm = random_() % vm_count;
        std::size_t const route = random_() % route_count;
        version_choice const choice =
            moves_[vm].choose(now_, "pool", std::to_string(step));
        bool const is_new = choice.version == "v2";
        ++asked_;
        to_new_ += is_new ? 1 : 0;
        std::lognormal_distribution<double> spread(std::log(medians_ms[route]),
                                                   0.9);
        bool const is_slow =
            is_new && route >= first_slow_route_ && now_ >= slow_since_;
        double const took = spread(random_) * (is_slow ? slowness_ : 1);
        moves_[vm].on_answer(now_, std::to_string(route), choice,
                             duration(static_cast<std::int64_t>(took * 1'000)));
    }

    void spread(std::vector<std::string> const& records)
    {
        for (std::size_t i = 0; !records.empty() && i < vm_count; ++i)
        {
            moves_[i].apply(now_, records);
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < vm_count; ++from)
        {
            for (move_evidence const& row :
                 moves_[from].evidence(std::to_string(from), 1))
            {
                for (std::size_t to = 0; to < vm_count; ++to)
                {
                    if (to != from)
                    {
                        moves_[to].merge(now_, row);
                    }
                }
            }
        }
    }

    std::mt19937_64 random_;
    double slowness_;
    std::size_t first_slow_route_;
    time_point slow_since_;
    time_point now_ = start;
    std::vector<ordered_moves> ordered_;
    std::array<move_table, vm_count> moves_;
    int asked_ = 0;
    int to_new_ = 0;
};

constexpr std::uint64_t fleets = 40;

// How many of the fleets keep the new version.
int kept(double slowness, std::size_t first_slow_route = 0,
         duration slow_after = duration::zero())
{
    int result = 0;
    for (std::uint64_t seed = 1; seed <= fleets; ++seed)
    {
        fleet subject(seed, slowness, first_slow_route, slow_after);
        bool const is_kept = subject.run() == move_state::done;
        result += is_kept ? 1 : 0;
        BOOST_TEST((is_kept || subject.exposed() < 0.1), "seed " << seed);
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_version_on_trial)

BOOST_AUTO_TEST_CASE(that_answers_several_times_slower_is_never_kept)
{
    for (double const slowness : {3.0, 4.0, 6.0})
    {
        BOOST_TEST(kept(slowness) == 0, "slower by " << slowness);
    }
}

BOOST_AUTO_TEST_CASE(that_is_slower_on_one_route_only_is_never_kept)
{
    BOOST_TEST(kept(6, 2) == 0);
}

BOOST_AUTO_TEST_CASE(that_becomes_slow_after_some_seconds_is_never_kept)
{
    BOOST_TEST(kept(8, 0, seconds(9)) == 0);
}

// Its caches are empty at first, so it answers somewhat slower.
BOOST_AUTO_TEST_CASE(that_is_good_is_kept_though_its_caches_are_empty)
{
    BOOST_TEST(kept(1) >= 36);
    BOOST_TEST(kept(1.3) >= 36);
}

BOOST_AUTO_TEST_SUITE_END()

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
