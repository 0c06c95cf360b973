#include "net/peer_transport.hpp"

#include "net/certificates.hpp"
#include "net/test_support.hpp"

#include <QFile>
#include <QSslConfiguration>
#include <QSslSocket>
#include <QTemporaryDir>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <vector>

namespace amarantharch
{

BOOST_AUTO_TEST_SUITE(peer_transport_test)

using test::peer_socket;
using test::run_pending;
using test::run_until;

constexpr duration soon = std::chrono::milliseconds(30);

validity_period around_now()
{
    auto const now = std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
    return {now - std::chrono::hours(1), now + std::chrono::hours(1)};
}

certified_key authority(std::string const& name)
{
    auto made = make_authority(name, around_now());
    BOOST_REQUIRE(made.ok());
    return *made;
}

void write_file(QString const& path, std::string const& text)
{
    QFile file(path);
    BOOST_REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(text.data(), static_cast<qint64>(text.size()));
}

// One VM's transport with its files.
struct vm
{
    vm(std::string name, certified_key const& issuer,
       peer_transport_settings options = {})
        : id(std::move(name)), settings(with_files(std::move(options))),
          transport(settings,
                    {[this](peer_message m) { got.push_back(std::move(m)); },
                     [this](std::string const&, peer_message_kind kind,
                            std::size_t count) { dropped[kind] += count; },
                     [this](std::string const&, bool up)
                     {
                         linked = up;
                     }})
    {
        install(issuer, issuer.certificate_pem);
        BOOST_REQUIRE(transport.listen(QHostAddress::LocalHost, 0).ok());
    }

    peer_transport_settings with_files(peer_transport_settings options) const
    {
        options.certificate_file = path("certificate").toStdString();
        options.key_file = path("key").toStdString();
        options.authority_file = path("authority").toStdString();
        return options;
    }

    QString path(char const* name) const
    {
        return files.filePath(name);
    }

    void install(certified_key const& issuer, std::string const& trusted) const
    {
        auto const own = issue_certificate(issuer, id, around_now());
        BOOST_REQUIRE(own.ok());
        write_file(path("certificate"), own->certificate_pem);
        write_file(path("key"), own->key_pem);
        write_file(path("authority"), trusted);
    }

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", transport.port());
    }

    void knows(vm const& other)
    {
        transport.set_peer(other.id, other.address());
    }

    absl::Status send(std::string const& to, std::string payload,
                      peer_message_kind kind = peer_message_kind::request)
    {
        return transport.send({to, kind, std::move(payload)});
    }

    std::string id;
    QTemporaryDir files;
    peer_transport_settings settings;
    std::vector<peer_message> got;
    std::map<peer_message_kind, std::size_t> dropped;
    bool linked = false;
    peer_transport transport;
};

BOOST_AUTO_TEST_SUITE(messages)

BOOST_AUTO_TEST_CASE(arrive_with_the_certified_sender)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca);
    vm b("vm-b", ca);
    a.knows(b);
    b.knows(a);
    BOOST_REQUIRE(a.send("vm-b", "hello").ok());
    BOOST_REQUIRE(run_until([&] { return !b.got.empty(); }));
    BOOST_TEST(b.got[0].vm == "vm-a");
    BOOST_TEST(b.got[0].payload == "hello");
    BOOST_REQUIRE(b.send("vm-a", "back", peer_message_kind::snapshot).ok());
    BOOST_REQUIRE(run_until([&] { return !a.got.empty(); }));
    BOOST_TEST(a.got[0].vm == "vm-b");
    BOOST_TEST((a.got[0].kind == peer_message_kind::snapshot));
    BOOST_TEST(a.linked);
}

BOOST_AUTO_TEST_CASE(of_any_size_and_number_arrive_once)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca);
    vm b("vm-b", ca);
    a.knows(b);
    std::string const large(std::size_t{1} << 20, 'x');
    BOOST_REQUIRE(a.send("vm-b", large).ok());
    for (int i = 0; i < 500; ++i)
    {
        BOOST_REQUIRE(a.send("vm-b", fmt::to_string(i)).ok());
    }
    BOOST_REQUIRE(a.send("vm-b", large).ok());
    BOOST_REQUIRE(run_until([&] { return b.got.size() >= 502; }));
    run_pending();
    std::map<std::string, int> times;
    for (peer_message const& message : b.got)
    {
        ++times[message.payload];
    }
    BOOST_TEST(b.got.size() == 502U);
    BOOST_TEST(times.size() == 501U);
    BOOST_TEST(times[large] == 2);
    BOOST_TEST(a.dropped.empty());
}

BOOST_AUTO_TEST_CASE(that_cannot_be_sent_are_refused)
{
    vm a("vm-a", authority("cluster"), {.message_bytes = 10});
    BOOST_TEST((a.send("vm-x", "p").code() == absl::StatusCode::kNotFound));
    a.transport.set_peer("vm-b", "127.0.0.1:1");
    BOOST_TEST((a.send("vm-b", std::string(11, 'x')).code() ==
                absl::StatusCode::kInvalidArgument));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(strangers)

BOOST_AUTO_TEST_CASE(of_another_authority_are_not_heard)
{
    certified_key const ca = authority("cluster");
    vm b("vm-b", ca);
    vm c("vm-c", ca);
    vm stranger("vm-a", authority("cluster"),
                {.backoff_min = soon, .queue_timeout = soon * 4});
    stranger.knows(b);
    BOOST_REQUIRE(stranger.send("vm-b", "forged").ok());
    BOOST_TEST(run_until([&] { return !stranger.dropped.empty(); }));
    c.knows(b);
    BOOST_REQUIRE(c.send("vm-b", "real").ok());
    BOOST_REQUIRE(run_until([&] { return !b.got.empty(); }));
    BOOST_TEST(b.got.size() == 1U);
    BOOST_TEST(b.got[0].payload == "real");
}

BOOST_AUTO_TEST_CASE(without_a_certificate_or_tls_are_cut)
{
    vm b("vm-b", authority("cluster"), {.connect_timeout = soon});
    QSslSocket nameless;
    nameless.setPeerVerifyMode(QSslSocket::VerifyNone);
    nameless.connectToHostEncrypted("127.0.0.1", b.transport.port());
    BOOST_TEST(run_until(
        [&] { return nameless.state() == QAbstractSocket::ConnectedState; }));
    BOOST_TEST(run_until(
        [&] { return nameless.state() == QAbstractSocket::UnconnectedState; }));
    peer_socket plain(b.transport.port());
    plain.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    BOOST_TEST(run_until([&] { return plain.closed; }));
    peer_socket silent(b.transport.port());
    BOOST_TEST(run_until([&] { return silent.closed; }));
    BOOST_TEST(b.got.empty());
}

BOOST_AUTO_TEST_CASE(at_a_peers_address_get_no_message)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca, {.queue_timeout = soon * 4});
    vm c("vm-c", ca);
    a.transport.set_peer("vm-b", c.address());
    BOOST_REQUIRE(a.send("vm-b", "secret").ok());
    BOOST_TEST(run_until([&] { return !a.dropped.empty(); }));
    BOOST_TEST(c.got.empty());
    BOOST_TEST(!a.linked);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(queues)

BOOST_AUTO_TEST_CASE(drop_membership_first_and_then_refuse)
{
    constexpr auto membership = peer_message_kind::membership;
    vm a("vm-a", authority("cluster"), {.queue_messages = 3});
    a.transport.set_peer("vm-b", "127.0.0.1:1");
    BOOST_TEST(a.send("vm-b", "r1").ok());
    BOOST_TEST(a.send("vm-b", "m1", membership).ok());
    BOOST_TEST(a.send("vm-b", "m2", membership).ok());
    BOOST_TEST(a.send("vm-b", "r2").ok());
    BOOST_TEST(a.send("vm-b", "r3").ok());
    BOOST_TEST(
        (a.send("vm-b", "r4").code() == absl::StatusCode::kResourceExhausted));
    BOOST_TEST((a.send("vm-b", "m3", membership).code() ==
                absl::StatusCode::kResourceExhausted));
    BOOST_TEST(a.dropped.empty()); // not from inside send
    BOOST_TEST(run_until([&] { return a.dropped[membership] == 2; }));
}

BOOST_AUTO_TEST_CASE(are_bounded_in_bytes_for_one_peer_and_for_all)
{
    vm a("vm-a", authority("cluster"),
         {.queue_bytes = 1000, .total_queue_bytes = 1500});
    a.transport.set_peer("vm-b", "127.0.0.1:1");
    a.transport.set_peer("vm-c", "127.0.0.1:1");
    std::string const payload(800, 'x');
    BOOST_TEST(a.send("vm-b", payload).ok());
    BOOST_TEST(!a.send("vm-b", payload).ok());
    BOOST_TEST(!a.send("vm-c", payload).ok());
    a.transport.forget_peer("vm-b");
    BOOST_TEST(a.send("vm-c", payload).ok());
}

BOOST_AUTO_TEST_CASE(of_an_unreachable_peer_expire)
{
    vm a("vm-a", authority("cluster"), {.queue_timeout = soon});
    a.transport.set_peer("vm-b", "127.0.0.1:1");
    BOOST_REQUIRE(a.send("vm-b", "p").ok());
    BOOST_TEST(
        run_until([&] { return a.dropped[peer_message_kind::request] == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(are_made_again_after_a_restart)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca, {.backoff_min = soon});
    auto b = std::make_unique<vm>("vm-b", ca);
    a.knows(*b);
    BOOST_REQUIRE(a.send("vm-b", "one").ok());
    BOOST_REQUIRE(run_until([&] { return !b->got.empty() && a.linked; }));
    b.reset();
    BOOST_REQUIRE(run_until([&] { return !a.linked; }));
    BOOST_REQUIRE(a.send("vm-b", "two").ok());
    b = std::make_unique<vm>("vm-b", ca);
    a.knows(*b); // at its new address
    BOOST_REQUIRE(run_until([&] { return !b->got.empty(); }));
    BOOST_TEST(b->got[0].payload == "two");
}

BOOST_AUTO_TEST_CASE(without_messages_are_closed)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca, {.idle_timeout = soon});
    vm b("vm-b", ca);
    a.knows(b);
    BOOST_REQUIRE(a.send("vm-b", "one").ok());
    BOOST_REQUIRE(run_until([&] { return a.linked; }));
    BOOST_REQUIRE(run_until([&] { return !a.linked; }));
    BOOST_TEST(b.got.size() == 1U);
    BOOST_TEST(a.dropped.empty());
}

BOOST_AUTO_TEST_CASE(follow_a_rotation_of_the_authority)
{
    certified_key const old_ca = authority("old");
    certified_key const new_ca = authority("new");
    std::string const both = old_ca.certificate_pem + new_ca.certificate_pem;
    vm a("vm-a", old_ca, {.backoff_min = soon});
    vm b("vm-b", old_ca);
    a.knows(b);
    auto const step =
        [&](vm& which, certified_key const& issuer, std::string const& trusted)
    {
        which.install(issuer, trusted);
        BOOST_REQUIRE(which.transport.reload_certificates().ok());
        run_pending();
        std::size_t const before = b.got.size();
        BOOST_REQUIRE(a.send("vm-b", "p").ok());
        BOOST_TEST(run_until([&] { return b.got.size() > before; }));
    };
    step(a, old_ca, both);
    step(b, old_ca, both);
    step(a, new_ca, both);
    step(b, new_ca, both);
    step(a, new_ca, new_ca.certificate_pem);
    step(b, new_ca, new_ca.certificate_pem);
}

BOOST_AUTO_TEST_CASE(keep_the_old_files_when_new_ones_are_bad)
{
    certified_key const ca = authority("cluster");
    vm a("vm-a", ca);
    vm b("vm-b", ca);
    a.knows(b);
    write_file(a.path("key"), "no key");
    BOOST_TEST(!a.transport.reload_certificates().ok());
    QFile::remove(a.path("key"));
    BOOST_TEST(!a.transport.reload_certificates().ok());
    BOOST_REQUIRE(a.send("vm-b", "p").ok());
    BOOST_TEST(run_until([&] { return !b.got.empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace amarantharch
