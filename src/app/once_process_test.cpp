// At most once, in separate processes with real kills, freezes and outages.
// The oracle is the stand-in's count of runs and what each caller was told.
#include "app/process_fixture_test.hpp"
#include "core/site.hpp"

#include <array>

using namespace amarantharch;
using namespace amarantharch::testing;

namespace
{

// A log, a plain service in a process of its own, and three VMs. Claims may
// not be repeated, lookups may.
struct claims_fleet : process_fixture
{
    claims_fleet()
    {
        desk = service.address("port", "role", "plain");
        log = platform.address("port", "role", "log");
        std::string const tables =
            fmt::format("[log]\naddress = {}\n"
                        "[upstream desk-1]\naddress = {}\nservice = desk\n"
                        "[route claims]\nprefix = /claims\nservice = desk\n"
                        "idempotent = no\n"
                        "[route lookups]\nprefix = /lookups\nservice = desk\n"
                        "idempotent = yes\n",
                        log, desk);
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            vms[i] =
                &start_vm(fmt::format("entry-{}", i),
                          std::array{"asan", "patan", "bhaktapur"}[i], tables);
        }
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            callers[i] = vms[i]->address();
            admins[i] = vms[i]->address("admin_port");
        }
        BOOST_REQUIRE(run_until([&] { return all_ledgers_ready(); }));
    }

    bool all_ledgers_ready() const
    {
        for (std::string const& admin : admins)
        {
            auto const status =
                fetch(admin, {"", "GET", "/status", {}, ""}, patience);
            bool const ready =
                status.ok() &&
                status->body.find("\"ledger_ready\":true") != std::string::npos;
            if (!ready)
            {
                return false;
            }
        }
        return true;
    }

    static call claim(std::string const& key, int run_ms = 0)
    {
        return {
            "",
            "POST",
            "/claims",
            {{"Idempotency-Key", key}, {"X-Run-Ms", std::to_string(run_ms)}},
            "stall " + key};
    }

    fetched ask(std::size_t vm, call const& request) const
    {
        auto const answer = fetch(callers[vm], request, patience);
        BOOST_REQUIRE_MESSAGE(answer.ok(), answer.status().ToString());
        return *answer;
    }

    static std::string verdict_of(fetched const& answer)
    {
        return std::string(header_value(answer.headers, "X-Verdict"));
    }

    int runs_of(std::string const& key) const
    {
        auto const runs = fetch(desk, {"", "GET", "/runs", {}, ""}, patience);
        BOOST_REQUIRE(runs.ok());
        return QJsonDocument::fromJson(QByteArray::fromStdString(runs->body))
            .object()
            .value("by_key")
            .toObject()
            .value(QString::fromStdString(key))
            .toInt();
    }

    void fault(std::string const& address, std::string const& what) const
    {
        auto const set =
            fetch(address, {"", "POST", "/fault", {}, what}, patience);
        BOOST_REQUIRE(set.ok());
        BOOST_REQUIRE_EQUAL(set->status, 200);
    }

    // Repeats the claim, as its caller would, until it is not told any more
    // to come back.
    fetched settle(std::size_t vm, std::string const& key) const
    {
        fetched answer;
        bool final = false;
        (void)run_until(
            [&]
            {
                if (!final)
                {
                    answer = ask(vm, claim(key));
                    final = header_value(answer.headers, "Retry-After").empty();
                }
                return final;
            });
        return answer;
    }

    program& platform = start("amarantharch-standin", {"--serve", "log"});
    program& service = start("amarantharch-standin", {"--serve", "plain"});
    std::string log;
    std::string desk;
    std::array<program*, 3> vms{};
    std::array<std::string, 3> callers;
    std::array<std::string, 3> admins;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_claim_that_may_not_be_repeated, claims_fleet)

BOOST_AUTO_TEST_CASE(runs_once_though_sent_to_all_vms_at_once)
{
    for (int round = 0; round < 10; ++round)
    {
        std::string const key = fmt::format("all-{}", round);
        std::vector<std::unique_ptr<streamed_request>> asked;
        for (std::string const& address : callers)
        {
            asked.push_back(
                std::make_unique<streamed_request>(address, claim(key, 20)));
        }
        for (auto const& request : asked)
        {
            BOOST_TEST(request->wait_for_end(), request->failure());
        }
        BOOST_TEST(runs_of(key) == 1);
        BOOST_TEST(verdict_of(settle(1, key)) == "ran");
        BOOST_TEST(runs_of(key) == 1);
    }
}

BOOST_AUTO_TEST_SUITE(whose_vm)

BOOST_AUTO_TEST_CASE(is_killed_while_it_runs_is_not_run_again)
{
    streamed_request const lost(callers[0], claim("killed", 500));
    BOOST_REQUIRE(run_until([&] { return runs_of("killed") == 1; }));
    vms[0]->kill();
    fetched const answer = ask(1, claim("killed"));
    BOOST_TEST(verdict_of(answer) == "may_have_run");
    BOOST_TEST(runs_of("killed") == 1);
}

BOOST_AUTO_TEST_CASE(is_frozen_before_it_runs_runs_at_most_once)
{
    for (int round = 0; round < 5; ++round)
    {
        std::string const key = fmt::format("frozen-{}", round);
        streamed_request const held(callers[0], claim(key));
        vms[0]->freeze();
        fetched const first = ask(1, claim(key));
        vms[0]->thaw();
        fetched const last = settle(2, key);
        BOOST_TEST(runs_of(key) <= 1);
        bool const told_ran =
            verdict_of(first) == "ran" || verdict_of(last) == "ran";
        BOOST_TEST((!told_ran || runs_of(key) == 1));
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(while_the_log)

BOOST_AUTO_TEST_CASE(loses_its_answers_runs_once)
{
    fault(log, R"({"kind":"answer_lost","count":3})");
    fetched const answer = settle(0, "lost-answer");
    BOOST_TEST(verdict_of(answer) == "ran", answer.body);
    BOOST_TEST(runs_of("lost-answer") == 1);
}

BOOST_AUTO_TEST_CASE(is_out_is_refused_as_not_run_and_lookups_go_on)
{
    fault(log, R"({"kind":"outage","ms":60000})");
    fetched answer;
    BOOST_REQUIRE(run_until(
        [&]
        {
            answer = ask(0, claim("outage"));
            return answer.status == 503;
        }));
    BOOST_TEST(verdict_of(answer) == "not_run");
    BOOST_TEST(!header_value(answer.headers, "Retry-After").empty());
    BOOST_TEST(runs_of("outage") == 0);
    BOOST_TEST(ask(0, {"", "GET", "/lookups", {}, ""}).status == 200);
    fault(log, R"({"kind":"outage","count":-1})");
    fetched const last = settle(0, "outage");
    BOOST_TEST(verdict_of(last) == "ran", last.body);
    BOOST_TEST(runs_of("outage") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(whose_upstream)

BOOST_AUTO_TEST_CASE(loses_its_answer_is_not_sent_again)
{
    fault(desk, R"({"kind":"answer_lost","count":1})");
    fetched const answer = ask(0, claim("unanswered"));
    BOOST_TEST(verdict_of(answer) == "may_have_run");
    fetched const repeat = ask(1, claim("unanswered"));
    BOOST_TEST(verdict_of(repeat) == "may_have_run");
    BOOST_TEST(runs_of("unanswered") == 1);
}

BOOST_AUTO_TEST_CASE(is_gone_is_told_that_it_was_not_run)
{
    service.kill();
    fetched const answer = ask(0, claim("no-desk"));
    BOOST_TEST(verdict_of(answer) == "not_run");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(that_is_accepted_to_run_later)

BOOST_AUTO_TEST_CASE(survives_the_drain_of_its_vm)
{
    // The desk is slow, so that accepted claims wait while their VM leaves.
    for (int i = 0; i < 5; ++i)
    {
        call later = claim(fmt::format("later-{}", i));
        later.headers.push_back({"Prefer", "respond-async"});
        BOOST_TEST(ask(0, later).status == 202);
    }
    vms[0]->terminate();
    BOOST_TEST(vms[0]->exit_status() == 0);
    for (int i = 0; i < 5; ++i)
    {
        std::string const key = fmt::format("later-{}", i);
        BOOST_TEST(run_until([&] { return runs_of(key) > 0; }), key);
        BOOST_TEST(runs_of(key) == 1);
    }
}

BOOST_AUTO_TEST_CASE(survives_the_death_of_its_vm_after_it_was_accepted)
{
    service.freeze(); // nothing runs before the VM dies
    call later = claim("accepted");
    later.headers.push_back({"Prefer", "respond-async"});
    fetched const answer = ask(0, later);
    BOOST_TEST(answer.status == 202);
    BOOST_TEST(header_value(answer.headers, "Location") ==
               "/v1/requests/accepted");
    vms[0]->kill();
    service.thaw();
    BOOST_TEST(run_until(
        [&]
        {
            fetched const asked =
                ask(1, {"", "GET", "/v1/requests/accepted", {}, ""});
            return header_value(asked.headers, "Retry-After").empty() &&
                   (verdict_of(asked) == "ran" ||
                    verdict_of(asked) == "may_have_run");
        }));
    BOOST_TEST(runs_of("accepted") <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

namespace
{

// One VM before three processes of one service, each of which dies on a
// request that holds "poison".
struct fragile_service : process_fixture
{
    fragile_service()
    {
        std::string tables = "[route lookups]\nprefix = /lookups\n"
                             "service = desk\nidempotent = yes\n";
        for (std::size_t i = 0; i < desks.size(); ++i)
        {
            desks[i] = &start("amarantharch-standin", {"--serve", "plain"});
            std::string const address =
                desks[i]->address("port", "role", "plain");
            auto const set =
                fetch(address,
                      {"",
                       "POST",
                       "/fault",
                       {},
                       R"({"kind":"crash","count":9,"text":"poison"})"},
                      patience);
            BOOST_REQUIRE(set.ok() && set->status == 200);
            tables += fmt::format(
                "[upstream desk-{}]\naddress = {}\nservice = desk\n", i,
                address);
        }
        vm = &start_vm("entry-0", "asan", tables);
        caller = vm->address();
    }

    fetched look_up(std::string const& body, std::string const& key) const
    {
        auto const answer = fetch(
            caller, {"", "POST", "/lookups", {{"Idempotency-Key", key}}, body},
            patience);
        BOOST_REQUIRE_MESSAGE(answer.ok(), answer.status().ToString());
        return *answer;
    }

    int desks_running() const
    {
        int running = 0;
        for (program const* desk : desks)
        {
            running += desk->running() ? 1 : 0;
        }
        return running;
    }

    std::array<program*, 3> desks{};
    program* vm = nullptr;
    std::string caller;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_that_crashes_upstreams, fragile_service)

BOOST_AUTO_TEST_CASE(is_stopped_after_the_second_crash)
{
    fetched answer = look_up("poison", "first");
    BOOST_TEST(answer.body.find("quarantined") != std::string::npos,
               answer.body);
    BOOST_TEST(run_until([&] { return desks_running() == 1; }));
    answer = look_up("poison", "sent again with another key");
    BOOST_TEST(answer.status == 422);
    BOOST_TEST(header_value(answer.headers, "X-Verdict") == "not_run");
    BOOST_TEST(look_up("harmless", "other").status == 200);
    BOOST_TEST(desks_running() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
