// A server as PROTOCOL.md describes it: registers itself in the store, runs
// `slots` requests at once, lets a few more wait and turns the others away with
// 503 and Not-Executed.
//
//     server NAME=VALUE...
//
// Names: store, ip, port, id, service, zone, version, kind (plain, engine),
// slots, waiting, work_ms, log; and of bad servers:
//     deadly       the process ends where it would begin the answer to a
//                  request whose Prefix-Hash holds this part, other than as
//                  its last one
//     deadly_path  the same for a request to this path
//     slow_share   this part of the answers takes slow_factor times as long
//     cut_share    this part of the answers is broken off: the connection is
//                  reset in the middle of the body
//
// A plain answer comes after work_ms. An engine answers with a stream whose
// head and first event come after work_ms.
//
// The log has a line for each request: "arrive ID", then "reject ID",
// "begin ID", "crash ID", "end ID" or "drop ID".
#include "rig-2.h"

namespace
{

struct options
{
    std::string store;
    std::string ip;
    int port = 0;
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    bool engine = false;
    int slots = 0;
    int waiting = 0;
    double work_ms = 0;
    std::string deadly;
    std::string deadly_path;
    double slow_share = 0;
    double slow_factor = 1;
    double cut_share = 0;
};

class server
{
public:
    server(options what, rig::line_file& log)
        : what_(std::move(what)), log_(log),
          born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
    {
    }

    void beat()
    {
        auto const colon = what_.store.find(':');
        std::optional<rig::connection> c;
        for (int sequence = 1;; ++sequence)
        {
            std::string const value = rig::format(
                "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\","
                "\"Version\":\"%s\",\"Slots\":%d,\"State\":\"ready\","
                "\"ColdRemainingMs\":0,%s\"Sequence\":%d,\"born\":%lld}",
                what_.service.c_str(), what_.ip.c_str(), what_.port,
                what_.zone.c_str(), what_.version.c_str(), what_.slots,
                what_.engine ? "\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\","
                               "\"Version\":1,\"Adapters\":[]}],"
                             : "",
                sequence, static_cast<long long>(born_));
            std::string const content =
                static_cast<char>(what_.id.size()) + what_.id + value;
            std::string const body =
                rig::number_text(content.size(), 4) + content;
            if (!c)
            {
                int const fd =
                    rig::connect_to(what_.store.substr(0, colon),
                                    std::stoi(what_.store.substr(colon + 1)));
                if (fd >= 0)
                {
                    c.emplace(fd);
                }
            }
            rig::message answer;
            bool const stored =
                c &&
                c->write(rig::format("POST /log-append?Topic=keyed.servers&"
                                     "part=0 HTTP/1.1\r\nContent-Length: "
                                     "%zu\r\n\r\n",
                                     body.size()) +
                         body) &&
                rig::read_head(*c, answer, rig::now_ms() + 1000);
            if (stored)
            {
                rig::read_body(*c, answer, rig::now_ms() + 1000);
            }
            else
            {
                c.reset();
            }
            rig::sleep_ms(1200);
        }
    }

    void serve(rig::connection& c)
    {
        for (;;)
        {
            rig::message request;
            if (!rig::read_head(c, request, rig::now_ms() + 60'000))
            {
                return;
            }
            rig::read_body(c, request, rig::now_ms() + 10'000);
            if (!request.complete || !answer(c, request))
            {
                return;
            }
        }
    }

private:
    bool answer(rig::connection& c, rig::message const& request)
    {
        if (request.path() == "/health" || request.path() == "/report")
        {
            return c.write(state_answer(request.path()));
        }
        std::string const id = request.field("request-id");
        double const arrived = rig::now_ms();
        log_.line(arrived, "arrive " + id);
        std::string const head = "Request-Id: " + id + "\r\n" + load_field();
        std::string const expected = request.field("expect-instance");
        if (!expected.empty() && expected != what_.id)
        {
            return c.write(rig::answer_text(
                421, head + "Instance-Id: " + what_.id + "\r\n", ""));
        }
        if (!enter())
        {
            log_.line(rig::now_ms(), "reject " + id);
            return c.write(
                rig::answer_text(503, head + "Not-Executed: 1\r\n", ""));
        }
        double const deadline =
            arrived +
            std::strtod(request.field("deadline-ms").c_str(), nullptr);
        if (!wait_for_slot(c, deadline))
        {
            bool const closed = c.is_closed();
            log_.line(rig::now_ms(), (closed ? "drop " : "reject ") + id);
            return !closed && c.write(rig::answer_text(
                                  503, head + "Not-Executed: 1\r\n", ""));
        }
        log_.line(rig::now_ms(), "begin " + id);
        if (is_deadly(request) && work(c, work_ms_of(id)))
        {
            log_.line(rig::now_ms(), "crash " + id);
            _exit(1);
        }
        bool const sent = what_.engine ? stream_answer(c, head, work_ms_of(id))
                                       : plain_answer(c, head, id);
        leave();
        log_.line(rig::now_ms(), (sent ? "end " : "drop ") + id);
        return sent;
    }

    // Whether a request is among `share` of all: the digits of an id are as
    // good as random.
    static bool is_among(double share, std::string const& id)
    {
        return std::strtoul(id.substr(0, 4).c_str(), nullptr, 16) <
               share * 65536;
    }

    double work_ms_of(std::string const& id) const
    {
        return what_.work_ms *
               (is_among(what_.slow_share, id) ? what_.slow_factor : 1);
    }

    // False if the connection closes meanwhile.
    static bool work(rig::connection const& c, double for_ms)
    {
        double const until = rig::now_ms() + for_ms;
        while (rig::now_ms() < until)
        {
            rig::sleep_ms(std::min(20.0, until - rig::now_ms()));
            if (c.is_closed())
            {
                return false;
            }
        }
        return true;
    }

    bool plain_answer(rig::connection& c, std::string const& head,
                      std::string const& id) const
    {
        if (!work(c, work_ms_of(id)))
        {
            return false;
        }
        std::string const answer =
            rig::answer_text(200, head + "Server-Stamp: " + what_.id + ".0\r\n",
                             std::string(800, 'x'));
        if (is_among(what_.cut_share, id))
        {
            // The head and the first half of the body arrive before the reset.
            c.write(std::string_view(answer).substr(0, answer.size() - 400));
            rig::sleep_ms(10);
            c.reset_on_close();
            return false;
        }
        return c.write(answer);
    }

    bool stream_answer(rig::connection& c, std::string const& head,
                       double work_ms) const
    {
        constexpr int events = 4;
        constexpr double gap_ms = 30;
        if (!work(c, work_ms) ||
            !c.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     head + "Server-Stamp: " + what_.id +
                     ".0\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return false;
        }
        for (int i = 1; i <= events; ++i)
        {
            std::string const event = rig::format("id: %d\ndata: piece\n\n", i);
            if (!c.write(rig::format("%zx\r\n", event.size()) + event +
                         "\r\n") ||
                !work(c, gap_ms))
            {
                return false;
            }
        }
        return c.write("0\r\n\r\n");
    }

    std::string load_field()
    {
        std::lock_guard const lock(mutex_);
        return rig::format("Server-Load: %d,%d,%d\r\n", running_, waiting_,
                           what_.slots);
    }

    std::string state_answer(std::string const& path)
    {
        std::lock_guard const lock(mutex_);
        if (path == "/health")
        {
            return rig::answer_text(200, "Instance-Id: " + what_.id + "\r\n",
                                    "");
        }
        return rig::answer_text(
            200, "Content-Type: application/json\r\n",
            rig::format("{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m\","
                        "\"Version\":1,\"Adapters\":[]}],\"Busy\":false,"
                        "\"Sequence\":2,\"Waiting\":%d,\"Running\":%d,"
                        "\"KvUsed\":1000,\"KvTotal\":550090,\"Handles\":0}",
                        waiting_, running_));
    }

    // False if there is no room.
    bool enter()
    {
        std::lock_guard const lock(mutex_);
        if (running_ + waiting_ >= what_.slots + what_.waiting)
        {
            return false;
        }
        ++waiting_;
        return true;
    }

    // False if the connection or the time ended first.
    bool wait_for_slot(rig::connection const& c, double deadline)
    {
        std::unique_lock lock(mutex_);
        while (running_ >= what_.slots)
        {
            free_.wait_for(lock, std::chrono::milliseconds(5));
            if (c.is_closed() || rig::now_ms() > deadline)
            {
                --waiting_;
                return false;
            }
        }
        --waiting_;
        ++running_;
        return true;
    }

    void leave()
    {
        std::lock_guard const lock(mutex_);
        --running_;
        free_.notify_one();
    }

    bool is_deadly(rig::message const& request) const
    {
        if (!what_.deadly_path.empty() && request.path() == what_.deadly_path)
        {
            return true;
        }
        std::string const prefix = request.field("prefix-hash");
        auto const at = what_.deadly.empty() ? std::string::npos
                                             : prefix.find(what_.deadly + ":");
        return at != std::string::npos &&
               prefix.find(',', at) != std::string::npos;
    }

    options what_;
    rig::line_file& log_;
    long long born_;
    std::mutex mutex_;
    std::condition_variable free_;
    int running_ = 0;
    int waiting_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::map<std::string, std::string> given;
    for (int i = 1; i < argc; ++i)
    {
        std::string const word = argv[i];
        auto const equals = word.find('=');
        given[word.substr(0, equals)] =
            equals == std::string::npos ? "" : word.substr(equals + 1);
    }
    auto const number = [&](char const* name)
    {
        return std::atof(given[name].c_str());
    };
    options what;
    what.store = given["store"];
    what.ip = given["ip"];
    what.port = static_cast<int>(number("port"));
    what.id = given["id"];
    what.service = given["service"];
    what.zone = given["zone"];
    what.version = given["version"];
    what.engine = given["kind"] == "engine";
    what.slots = static_cast<int>(number("slots"));
    what.waiting = static_cast<int>(number("waiting"));
    what.work_ms = number("work_ms");
    what.deadly = given["deadly"];
    what.deadly_path = given["deadly_path"];
    what.slow_share = number("slow_share");
    what.slow_factor = number("slow_factor");
    what.cut_share = number("cut_share");
    if (what.store.find(':') == std::string::npos || what.id.empty() ||
        what.slots <= 0 || given["log"].empty())
    {
        std::fprintf(stderr, "usage: see the head of server-2.cc\n");
        return 2;
    }
    try
    {
        rig::line_file log(given["log"]);
        server served(what, log);
        rig::listener const listening(
            what.ip, what.port, [&](rig::connection& c) { served.serve(c); });
        served.beat();
    }
    catch (rig::unable const& why)
    {
        std::fprintf(stderr, "server: %s\n", why.what());
        return 2;
    }
}
