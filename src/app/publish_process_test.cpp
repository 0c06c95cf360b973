// A change of the configuration in a fleet of processes: published at one VM,
// in force at all.
#include "app/process_fixture_test.hpp"

#include <QTcpServer>

#include <array>

using namespace amarantharch;
using namespace amarantharch::testing;

namespace
{

std::string free_port()
{
    QTcpServer probe;
    BOOST_REQUIRE(probe.listen(QHostAddress::LocalHost, 0));
    return std::to_string(probe.serverPort());
}

std::string member(std::string const& json, char const* key)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(json))
        .object()
        .value(QLatin1String(key))
        .toVariant()
        .toString()
        .toStdString();
}

// Three VMs that know each other from the platform's list, a log, an upstream
// and one who may publish.
struct publishing_fleet : process_fixture
{
    publishing_fleet()
    {
        log = platform.address("port", "role", "log");
        list = platform.address("port", "role", "platform");
        desk = platform.address("port", "role", "plain");
        make_keys("ca", "fleet");
        BOOST_REQUIRE_EQUAL(make_keys("publisher", "ward-office"), 0);
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            start_member(i);
        }
        for (std::size_t i = 0; i < vms.size(); ++i)
        {
            admins[i] = vms[i]->address("admin_port");
            callers[i] = vms[i]->address();
        }
        // A VM that has not read the log yet refuses to publish.
        BOOST_REQUIRE(all_ready());
    }

    int make_keys(char const* kind, std::string const& name)
    {
        program& made =
            start("amarantharch", {"keys", kind, QString::fromStdString(name),
                                   "--directory", directory.path()});
        int const status = made.exit_status();
        if (name == "ward-office")
        {
            publisher = made.output();
        }
        return status;
    }

    void start_member(std::size_t i)
    {
        std::string const id = fmt::format("entry-{}", i);
        std::string const domain = std::array{"asan", "patan", "bhaktapur"}[i];
        std::string const port = free_port();
        (void)make_keys("vm", id); // fails for a VM that has its keys
        call const entry{
            "",
            "PUT",
            "/v1/vms",
            {},
            fmt::format(R"({{"vm":"{}","kind":"entry","state":"live",)"
                        R"("address":"127.0.0.1:{}","failure_domain":"{}"}})",
                        id, port, domain)};
        BOOST_REQUIRE(fetch(list, entry, patience).ok());
        std::string const files = directory.path().toStdString();
        vms[i] = &start_vm(
            id, domain,
            fmt::format("peer_port = {}\n[log]\naddress = {}\n"
                        "[platform]\naddress = {}\n[tls]\nca = {}/ca.crt\n"
                        "certificate = {}/{}.crt\nkey = {}/{}.key\n{}",
                        port, log, list, files, files, id, files, id,
                        publisher));
    }

    // The exit status of publishing `text` at VM 0 and what it printed.
    std::pair<int, std::string> publish(std::string const& text,
                                        QStringList more = {},
                                        char const* key = "ward-office.key")
    {
        std::string const path = write_file("change.ini", text);
        more += {"publish",   QString::fromStdString(path),
                 "--admin",   QString::fromStdString(admins[0]),
                 "--author",  "ward-office",
                 "--key",     directory.filePath(key),
                 "--wait-ms", "15000"};
        more.prepend(more.takeAt(more.indexOf("publish")));
        program& run = start("amarantharch", more);
        int const status = run.exit_status();
        return {status, run.output()};
    }

    std::string change() const
    {
        return fmt::format("[service desk]\nkind = plain\n"
                           "[upstream desk-1]\naddress = {}\nservice = desk\n"
                           "failure_domain = asan\n"
                           "[route all]\npath = /\nservice = desk\n",
                           desk);
    }

    bool all_ready() const
    {
        return run_until(
            [&]
            {
                for (std::string const& admin : admins)
                {
                    auto const answer =
                        fetch(admin, {"", "GET", "/ready", {}, ""}, patience);
                    if (!answer.ok() || answer->status != 200)
                    {
                        return false;
                    }
                }
                return true;
            });
    }

    std::string revision_at(std::size_t i) const
    {
        auto const answer =
            fetch(admins[i], {"", "GET", "/configuration", {}, ""}, patience);
        return answer.ok() ? member(answer->body, "revision") : "";
    }

    program& platform =
        start("amarantharch-standin", {"--serve", "log", "--serve", "platform",
                                       "--serve", "plain", "--lag-ms", "50"});
    std::string log;
    std::string list;
    std::string desk;
    std::string publisher; // the settings section
    std::array<program*, 3> vms{};
    std::array<std::string, 3> admins;
    std::array<std::string, 3> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_change_that_is_published_at_one_vm, publishing_fleet)

BOOST_AUTO_TEST_CASE(is_in_force_at_all)
{
    auto const [status, printed] = publish(change());
    BOOST_REQUIRE_MESSAGE(status == 0, printed);
    BOOST_TEST(printed.find(R"("state":"in_force")") != std::string::npos);
    std::string const revision = revision_at(0);
    BOOST_TEST(revision != "0.0");
    BOOST_TEST(revision_at(1) == revision);
    BOOST_TEST(revision_at(2) == revision);
    BOOST_REQUIRE(all_ready());
    for (std::string const& address : callers)
    {
        auto const answer =
            fetch(address, {"", "GET", "/listings", {}, ""}, patience);
        BOOST_REQUIRE(answer.ok());
        BOOST_TEST(answer->status == 200, answer->body);
    }
}

BOOST_AUTO_TEST_CASE(is_known_to_a_vm_that_restarts_with_nothing)
{
    auto const [status, printed] = publish(change());
    BOOST_REQUIRE_MESSAGE(status == 0, printed);
    vms[2]->kill();
    start_member(2);
    admins[2] = vms[2]->address("admin_port");
    BOOST_REQUIRE(all_ready());
    BOOST_TEST(revision_at(2) == revision_at(0));
}

BOOST_AUTO_TEST_CASE(is_in_force_at_the_others_when_one_was_killed)
{
    vms[2]->kill();
    auto const [status, printed] = publish(change());
    BOOST_TEST(status == 0, printed);
    BOOST_TEST(revision_at(0) != "0.0");
    BOOST_TEST(revision_at(1) == revision_at(0));
}

BOOST_AUTO_TEST_CASE(is_refused_if_somebody_else_signed_it)
{
    BOOST_REQUIRE_EQUAL(make_keys("publisher", "landlord"), 0);
    auto const [status, printed] = publish(change(), {}, "landlord.key");
    BOOST_TEST(status == 1);
    BOOST_TEST(printed.find(R"("state":"refused")") != std::string::npos,
               printed);
    BOOST_TEST(revision_at(0) == "0.0");
}

BOOST_AUTO_TEST_CASE(is_refused_with_its_faults)
{
    auto const [status, printed] =
        publish("[route all]\npath = /\nservice = nowhere\n");
    BOOST_TEST(status == 1);
    BOOST_TEST(printed.find(R"("state":"refused")") != std::string::npos,
               printed);
    BOOST_TEST(printed.find("nowhere") != std::string::npos, printed);
    BOOST_TEST(revision_at(0) == "0.0");
}

BOOST_AUTO_TEST_CASE(is_refused_if_it_was_written_against_another_revision)
{
    auto const [status, printed] = publish(change());
    BOOST_REQUIRE_MESSAGE(status == 0, printed);
    auto const [late_status, late] = publish(change(), {"--base", "0.0"});
    BOOST_TEST(late_status == 1);
    BOOST_TEST(late.find(R"("state":"refused")") != std::string::npos, late);
}

BOOST_AUTO_TEST_SUITE_END()
