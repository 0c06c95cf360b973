// The whole path in separate processes: stand-ins, VMs and callers.
#include "app/process_fixture_test.hpp"

#include <QHostAddress>
#include <QTcpSocket>

#include <array>

using namespace amarantharch;
using namespace amarantharch::testing;

namespace
{

// A plain service, an engine, and three VMs in three failure domains.
struct fleet : process_fixture
{
    fleet()
    {
        desk = upstreams.address("port", "role", "plain");
        drafts = upstreams.address("port", "role", "engine");
        std::string const tables = fmt::format(
            "[upstream desk-1]\naddress = {}\nservice = desk\n"
            "[upstream engine-1]\naddress = {}\nservice = drafts\n"
            "kind = engine\n"
            "[route desk]\nprefix = /\nservice = desk\nidempotent = yes\n"
            "[route drafts]\nprefix = /v1/\nservice = drafts\nkind = engine\n"
            "idempotent = yes\n",
            desk, drafts);
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            vms[i] =
                &start_vm(fmt::format("entry-{}", i),
                          std::array{"asan", "patan", "bhaktapur"}[i], tables);
        }
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            addresses[i] = vms[i]->address();
        }
    }

    static call post(std::string target, std::string body,
                     header_list headers = {})
    {
        return {"", "POST", std::move(target), std::move(headers),
                std::move(body)};
    }

    bool serves(std::size_t vm)
    {
        return serves_at(addresses[vm]);
    }

    static bool serves_at(std::string const& address)
    {
        auto const answer =
            fetch(address, post("/listings", "hello"), patience);
        return answer.ok() && answer->status == 200 &&
               answer->body.find(R"("echo":"hello")") != std::string::npos;
    }

    program& upstreams = start("amarantharch-standin",
                               {"--serve", "plain", "--serve", "engine"});
    std::string desk;
    std::string drafts;
    std::array<program*, 3> vms{};
    std::array<std::string, 3> addresses;
};

// The events of a stream but the engine's report of its cache, which differs
// with the cache and is not passed on to callers.
std::string tokens_of(std::string const& body)
{
    if (body.find("\"cached_tokens\"") == std::string::npos)
    {
        return body;
    }
    return body.substr(body.find("\n\n") + 2);
}

} // namespace

BOOST_AUTO_TEST_SUITE(three_vms_in_three_failure_domains)

BOOST_FIXTURE_TEST_CASE(each_answer_a_callers_request_whole, fleet)
{
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        BOOST_TEST(serves(i), vms[i]->output());
    }
}

BOOST_FIXTURE_TEST_CASE(each_pass_an_engines_stream_on_whole, fleet)
{
    call const draft =
        post("/v1/completions", R"({"prompt":"lunch","max_tokens":40,)"
                                R"("stream":true})");
    streamed_request direct(drafts, draft);
    BOOST_REQUIRE(direct.wait_for_end());
    BOOST_TEST(direct.body().find("data: [DONE]") != std::string::npos);
    for (std::string const& address : addresses)
    {
        streamed_request relayed(address, draft);
        BOOST_TEST(relayed.wait_for_end(), relayed.failure());
        BOOST_TEST(tokens_of(relayed.body()) == tokens_of(direct.body()));
    }
}

BOOST_AUTO_TEST_SUITE(of_which_one_is_told_that_its_settings_changed)

BOOST_FIXTURE_TEST_CASE(go_on_serving_at_all, fleet)
{
    vms[0]->reload();
    BOOST_REQUIRE(!vms[0]->wait_for("settings_changed").isEmpty());
    BOOST_TEST(serves(0));
    BOOST_TEST(serves(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_which_one_is_killed)

BOOST_FIXTURE_TEST_CASE(go_on_serving_at_the_others, fleet)
{
    vms[0]->kill();
    BOOST_TEST(!serves(0));
    BOOST_TEST(serves(1));
    BOOST_TEST(serves(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_which_one_is_told_to_stop)

BOOST_FIXTURE_TEST_CASE(do_not_cut_a_stream_in_progress, fleet)
{
    streamed_request stream(
        addresses[0],
        post("/reports", "", {{"X-Stream-Pieces", "30"}, {"X-Run-Ms", "30"}}));
    BOOST_REQUIRE(stream.wait_for("piece 0\n"));
    vms[0]->terminate();
    BOOST_TEST(stream.wait_for_end(), stream.failure());
    BOOST_TEST(stream.body().find("piece 29\n") != std::string::npos);
    BOOST_TEST(vms[0]->exit_status() == 0, vms[0]->output());
    BOOST_TEST(!serves(0));
    BOOST_TEST(serves(1));
}

BOOST_FIXTURE_TEST_CASE(end_before_they_are_killed_at_the_end_of_the_grace,
                        fleet)
{
    constexpr double grace_us = 4e6;
    program& stopping =
        start_vm("entry-3", "patan",
                 fmt::format("[limits]\ndrain_timeout = 4000\n"
                             "[upstream desk-1]\naddress = {}\nservice = desk\n"
                             "[route desk]\nprefix = /\nservice = desk\n"
                             "idempotent = yes\n",
                             desk));
    std::string const address = stopping.address();
    QTcpSocket caller;
    caller.connectToHost(
        QHostAddress::LocalHost,
        QString::fromStdString(address.substr(address.find(':') + 1))
            .toUShort());
    BOOST_REQUIRE(caller.waitForConnected());
    caller.write("POST /reports HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
    caller.flush();
    BOOST_REQUIRE(serves_at(address));
    stopping.terminate();
    auto const time_of = [&](char const* event)
    {
        return stopping.wait_for(event).value("time_us").toDouble();
    };
    BOOST_TEST(time_of("stopped") - time_of("draining") < grace_us);
    BOOST_TEST(stopping.exit_status() == 0, stopping.output());
    BOOST_TEST(caller.readAll().startsWith("HTTP/1.1 503"));
}

BOOST_FIXTURE_TEST_CASE(stop_at_once_where_nothing_is_in_progress, fleet)
{
    BOOST_TEST(serves(0));
    vms[0]->terminate();
    BOOST_TEST(vms[0]->exit_status() == 0, vms[0]->output());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_commands_for_running_vms, fleet)

namespace
{

// Every VM's admin port as options of a command.
QStringList with_admins(QStringList arguments, fleet& of)
{
    for (program* vm : of.vms)
    {
        arguments +=
            {"--admin", QString::fromStdString(vm->address("admin_port"))};
    }
    return arguments;
}

} // namespace

BOOST_AUTO_TEST_CASE(show_the_state_of_each)
{
    program& run =
        start("amarantharch", with_admins({"status", "--json"}, *this));
    BOOST_TEST(run.exit_status() == 0, run.output());
    for (char const* vm : {"entry-0", "entry-1", "entry-2"})
    {
        BOOST_TEST(run.output().find(vm) != std::string::npos, run.output());
    }
}

BOOST_AUTO_TEST_CASE(show_the_way_of_one_request)
{
    call request = post("/listings", "hello");
    request.headers.push_back({"X-Request-Id", "claim-77"});
    BOOST_REQUIRE(fetch(addresses[1], request, patience).ok());
    program& run =
        start("amarantharch",
              with_admins({"timeline", "--request", "claim-77"}, *this));
    BOOST_TEST(run.exit_status() == 0, run.output());
    std::string const shown = run.output();
    std::size_t const received = shown.find("request_received");
    std::size_t const answered = shown.find("request_answered");
    BOOST_TEST(received != std::string::npos, shown);
    BOOST_TEST(answered != std::string::npos, shown);
    BOOST_TEST(received < answered, shown);
}

BOOST_AUTO_TEST_CASE(make_a_trace_of_all)
{
    BOOST_REQUIRE(serves(0));
    program& run = start("amarantharch",
                         with_admins({"timeline", "--format", "trace"}, *this));
    BOOST_TEST(run.exit_status() == 0);
    auto const trace =
        QJsonDocument::fromJson(QByteArray::fromStdString(run.output()));
    BOOST_TEST(trace.object().value("traceEvents").isArray(), run.output());
}

BOOST_AUTO_TEST_CASE(drain_and_see_the_vms_gone)
{
    program& run = start("amarantharch",
                         with_admins({"drain", "--wait-ms", "15000"}, *this));
    BOOST_TEST(run.exit_status() == 0, run.output());
    for (program* vm : vms)
    {
        BOOST_TEST(vm->exit_status() == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_command_line, process_fixture)

namespace
{

struct command_case
{
    std::vector<char const*> arguments;
    int exit_status;
    char const* printed; // part of what it prints
};

std::vector<command_case> const command_cases{
    {{}, 2, "usage: amarantharch COMMAND"},
    {{"--help"}, 0, "timeline"},
    {{"fly"}, 2, "no command \"fly\""},
    {{"version"}, 0, "amarantharch 0.1.0"},
    {{"version", "--json"}, 0, "{\"version\":\"0.1.0\"}"},
    {{"version", "--jsno"}, 2, "unrecognised option"},
    {{"version", "more"}, 2, "usage: amarantharch version"},
    {{"serve", "--help"}, 0, "SIGTERM"},
    {{"serve"}, 2, "--settings"},
    {{"serve", "--settings", "/nonexistent"}, 1, "can be read"},
    {{"check"}, 2, "expected a FILE"},
    {{"check", "/nonexistent"}, 1, "can be read"},
    {{"check", "--json", "/nonexistent"}, 1, "\"faults\":[{\"file\""},
    {{"status"}, 2, "--admin"},
    {{"status", "--admin", "127.0.0.1:1"}, 1, "connect_failed"},
    {{"status", "--admin", "127.0.0.1:1", "--json"}, 1, "\"error\""},
    {{"timeline", "--admin", "127.0.0.1:1", "--format", "pdf"},
     2,
     "text, json"},
    {{"drain", "--admin", "127.0.0.1:1"}, 1, "connect_failed"},
    {{"publish", "--admin", "127.0.0.1:1"}, 2, "--author"},
    {{"publish", "--admin", "127.0.0.1:1", "--author", "a", "--key", "k"},
     2,
     "expected one FILE"},
    {{"publish", "--admin", "127.0.0.1:1", "--author", "a", "--key", "k", "f"},
     1,
     "connect_failed"},
    {{"keys"}, 2, "expected ca, vm or publisher"},
    {{"keys", "vm", "a/b"}, 2, "NAME without /"},
    {{"keys", "vm", "a", "--directory", "/nonexistent"}, 1, ""},
    {{"--help-settings"}, 0, "[organisation NAME]"},
    {{"--help-settings", "--markdown"}, 0, "# Settings"},
    {{"--help-settings", "--html"}, 2, "--markdown"},
};

} // namespace

BOOST_AUTO_TEST_CASE(exits_with_0_for_done_1_for_faults_2_for_usage)
{
    for (command_case const& row : command_cases)
    {
        QStringList arguments;
        for (char const* argument : row.arguments)
        {
            arguments.append(argument);
        }
        program& run = start("amarantharch", arguments);
        std::string const shown = arguments.join(' ').toStdString();
        BOOST_TEST(run.exit_status() == row.exit_status, shown);
        BOOST_TEST(run.output().find(row.printed) != std::string::npos,
                   shown << ": " << run.output());
    }
}

BOOST_AUTO_TEST_CASE(checks_a_configuration_for_every_fault)
{
    std::string const path =
        write_file("change.ini", "[service desk]\nidempotent = maybe\n"
                                 "[route r]\npath = claims\n");
    QString const file = QString::fromStdString(path);
    program& faulty = start("amarantharch", {"check", "--configuration", file});
    BOOST_TEST(faulty.exit_status() == 1);
    BOOST_TEST(faulty.output().find("yes or no") != std::string::npos);
    BOOST_TEST(faulty.output().find("begins with \"/\"") != std::string::npos,
               faulty.output());
    (void)write_file("change.ini", "[service desk]\nidempotent = no\n");
    program& sound = start("amarantharch", {"check", "--configuration", file});
    BOOST_TEST(sound.exit_status() == 0, sound.output());
}

BOOST_AUTO_TEST_CASE(accepts_a_file_without_faults)
{
    std::string const path =
        write_file("good.ini", "[vm]\nid = vm-1\nfailure_domain = asan\n");
    program& run =
        start("amarantharch", {"check", QString::fromStdString(path)});
    BOOST_TEST(run.exit_status() == 0, run.output());
}

BOOST_AUTO_TEST_SUITE_END()
