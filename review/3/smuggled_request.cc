// A client sends requests whose bodies are the text of another request, with
// transfer codings that do not end in "chunked". UNASKED: a server runs the
// request inside.
#include "../deployment.h"

using namespace rig;

namespace
{

constexpr int rounds = 5;

// The length of such a body cannot be known (RFC 9112, 6.3): the request has
// to be refused and the connection closed.
std::vector<std::string> const codings = {"xchunked", "chunked, identity",
                                          "identity", "\"chunked\"", ""};

struct run_list
{
    std::mutex mutex;
    std::map<std::string, int> runs; // by Request-Id
};

int play(record_file& record)
{
    temporary_folder folder;
    auto& platform = *new store("127.0.0.1");
    auto& duties = *new cloud("127.0.0.1");
    static run_list seen;
    // Never destroyed: their threads run until the process ends.
    auto& servers = *new std::vector<std::unique_ptr<server>>;
    for (int i = 0; i < 2; ++i)
    {
        std::string const id = "desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(
            id, "127.0.0.1", plain_service, false, platform,
            [id, &record](stream& to, request const& what)
            {
                std::string const name = what.header("request-id");
                {
                    std::lock_guard const lock(seen.mutex);
                    ++seen.runs[name];
                }
                record.line("server %s: runs %s, %s %s, a body of %zu bytes",
                            id.c_str(), name.c_str(), what.method.c_str(),
                            what.target.c_str(), what.body.size());
                sleep_ms(15);
                return to.write(
                    whole_answer(what, "Server-Stamp: " + id + "\r\n", "done"));
            }));
    }
    platform.put("keyed.op", "config", configuration(1));
    std::vector<std::unique_ptr<machine>> machines;
    for (int i = 0; i < 2; ++i)
    {
        machines.push_back(std::make_unique<machine>(
            machine_spec{"edge-" + std::to_string(i + 1),
                         "127.0.1." + std::to_string(i + 1), "asan",
                         platform.address(), duties.address()},
            folder.path()));
        machines.back()->start();
    }
    wait_ready(machines);
    record.line("2 machines are ready; trouble=%s",
                with_trouble() ? "yes" : "no");

    std::set<std::string> sent;
    int number = 0;
    int answered = 0;
    for (int round = 0; round < rounds; ++round)
    {
        for (std::string const& coding : codings)
        {
            ++number;
            std::string const outer = "outer-" + std::to_string(number);
            std::string const inner = "inner-" + std::to_string(number);
            std::string const body =
                request_text("POST", "/claim/inner", plain_fields(inner, 1000),
                             "a claim that nobody sent");
            fields headers = plain_fields(outer, 1000);
            std::string text;
            if (with_trouble())
            {
                headers["Transfer-Encoding"] = coding;
                // No Content-Length stands beside a transfer coding.
                text = request_text("GET", "/claim/outer", headers, "");
                text.replace(0, 3, "POST");
                text += body;
            }
            else
            {
                text = request_text("POST", "/claim/outer", headers, body);
            }
            sent.insert(outer);
            machine const& at = *machines[number % machines.size()];
            int const fd = connect_to(at.ip(), at.front());
            if (fd < 0)
            {
                throw unable("no connection to " + at.name());
            }
            stream connection(fd);
            connection.write(text);
            answer const first =
                read_answer(connection, clock::now() + milliseconds(1500));
            answer const second =
                read_answer(connection, clock::now() + milliseconds(300));
            answered += first.status != 0 ? 1 : 0;
            record.line("client: %s with transfer coding \"%s\": answer %d, "
                        "then %d",
                        outer.c_str(),
                        with_trouble() ? coding.c_str() : "(none)",
                        first.status, second.status);
        }
    }
    if (answered == 0)
    {
        throw unable("nothing was answered");
    }
    int unasked = 0;
    std::lock_guard const lock(seen.mutex);
    for (auto const& [id, runs] : seen.runs)
    {
        unasked += sent.contains(id) ? 0 : 1;
    }
    record.line("%d requests sent, %d answered; %d runs of requests that no "
                "client sent",
                number, answered, unasked);
    record.line("%s", unasked > 0 ? "BROKEN: UNASKED" : "HELD");
    return unasked > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    run_case(play, argc, argv);
}
