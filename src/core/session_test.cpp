// Golden-file test of whole sessions: the events from callers, upstreams and
// the log at one VM, or at several that share a log, and the commands they
// emit.
//
// A line that begins with '>' is input; the lines below it are the resulting
// commands. The test replays the input and compares the whole file. With
// AMARANTHARCH_GOLDEN=update in the environment it rewrites the files instead.
//
// In addition to the events of session_text, the input has `route`, `upstream`
// and `vm` for setup; `on vm=NAME` selects the VM; `at ms=N` advances the time
// of all VMs in ticks; `log is=up|down|lose_answers` sets the state of the log.
#include "core/node.hpp"
#include "core/session_text.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

using namespace amarantharch;

namespace
{

enum class log_mode : std::uint8_t
{
    up,
    down,
    lose_answers, // appends take effect, but their results are lost
};

// An in-memory log of three streams that answers immediately.
class fake_log
{
public:
    log_mode mode = log_mode::up;

    log_result append(time_point now, send_append const& what)
    {
        if (mode == log_mode::down)
        {
            return append_not_sent{what.token};
        }
        auto& records = streams_[what.stream];
        records.push_back({records.size() + 1, now, what.bytes});
        if (mode == log_mode::lose_answers)
        {
            return append_unknown{what.token};
        }
        return append_stored{what.token, records.size()};
    }

    // Returns nothing while the read has to wait for new records.
    std::optional<log_result> read(send_read const& what)
    {
        if (mode == log_mode::down)
        {
            return read_failed{what.token, duration::zero()};
        }
        auto const& records = streams_[what.stream];
        bool const first = asked_.insert({what.token, what.stream}).second;
        if (what.from > records.size() && !first)
        {
            return std::nullopt;
        }
        read_done done{what.token, 1, records.size() + 1, {}};
        for (std::size_t i = what.from; i <= records.size(); ++i)
        {
            done.payloads.push_back(records[i - 1]);
        }
        return done;
    }

private:
    std::map<log_stream, std::vector<stored_payload>> streams_;
    std::set<std::pair<log_token, log_stream>> asked_;
};

struct vm_under_test
{
    std::unique_ptr<node> subject;
    std::deque<log_result> results; // not delivered yet
    std::vector<send_read> reads;   // not answered yet
};

class session
{
public:
    std::string replay(std::string const& text)
    {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
        {
            if (line.starts_with("#") || line.empty())
            {
                output_ += line + "\n";
            }
            else if (line.starts_with(">"))
            {
                output_ += line + "\n";
                handle_input(line.substr(1));
            }
        }
        return output_;
    }

private:
    void handle_input(std::string const& text)
    {
        auto const line = parse_text_line(text);
        BOOST_REQUIRE_MESSAGE(line.ok(), text);
        if (handle_setup(*line) || handle_control(*line))
        {
            return;
        }
        auto const what = parse_event(*line);
        BOOST_REQUIRE_MESSAGE(what.ok(), text);
        vms_.at(selected_vm_).subject->handle(now_, *what);
    }

    bool handle_setup(text_line const& line)
    {
        if (line.word == "route")
        {
            route_spec route;
            route.name = line.value("name");
            route.prefix = line.value("prefix");
            route.service = line.value("service");
            route.idempotent = line.value("idempotent") == "yes";
            route.kind =
                *value_in(upstream_kind_names, line.value("kind", "plain"));
            tables_.routes.push_back(route);
            return true;
        }
        if (line.word == "upstream")
        {
            upstream_spec upstream;
            upstream.name = line.value("name");
            upstream.service = line.value("service");
            upstream.address = "127.0.0.1:1";
            tables_.upstreams.push_back(upstream);
            return true;
        }
        if (line.word == "vm")
        {
            start(line.value("name"));
            return true;
        }
        return false;
    }

    bool handle_control(text_line const& line)
    {
        if (line.word == "on")
        {
            selected_vm_ = line.value("vm");
            return true;
        }
        if (line.word == "log")
        {
            std::string const mode = line.value("is");
            log_.mode = mode == "up"     ? log_mode::up
                        : mode == "down" ? log_mode::down
                                         : log_mode::lose_answers;
            return true;
        }
        if (line.word == "at")
        {
            step_to(time_point(
                std::chrono::milliseconds(std::stoll(line.value("ms")))));
            return true;
        }
        return false;
    }

    void start(std::string const& name)
    {
        node_options options;
        options.requests.vm = name;
        options.requests.incarnation = 1;
        options.control.vm = name;
        options.control.incarnation = 1;
        options.settings_tables = tables_;
        vm_under_test& vm = vms_[name];
        vm.subject = std::make_unique<node>(std::move(options),
                                            [this, name](command const& what)
                                            { handle_command(name, what); });
        selected_vm_ = name;
    }

    void handle_command(std::string const& name, command const& what)
    {
        vm_under_test& vm = vms_.at(name);
        if (auto const* append = std::get_if<send_append>(&what))
        {
            vm.results.push_back(log_.append(now_, *append));
        }
        else if (auto const* read = std::get_if<send_read>(&what))
        {
            vm.reads.push_back(*read);
        }
        else if (!std::holds_alternative<record_timeline>(what) &&
                 !std::holds_alternative<send_to_peer>(what))
        {
            output_ += "  " + name + ": " + to_text(what) + "\n";
        }
    }

    void step_to(time_point target)
    {
        while (now_ < target)
        {
            now_ += tick_interval;
            for (auto& [name, vm] : vms_)
            {
                answer_reads(vm);
                deliver_results(vm);
                vm.subject->handle(now_, ticked{});
            }
        }
    }

    void answer_reads(vm_under_test& vm)
    {
        std::vector<send_read> const asked = std::exchange(vm.reads, {});
        for (send_read const& read : asked)
        {
            if (auto result = log_.read(read))
            {
                vm.results.push_back(*std::move(result));
            }
            else
            {
                vm.reads.push_back(read);
            }
        }
    }

    void deliver_results(vm_under_test& vm)
    {
        while (!vm.results.empty())
        {
            log_result const result = vm.results.front();
            vm.results.pop_front();
            vm.subject->handle(now_, result);
        }
    }

    routing_tables tables_;
    fake_log log_;
    std::map<std::string, vm_under_test> vms_;
    std::string selected_vm_;
    time_point now_{};
    std::string output_;
};

std::string file_text(std::filesystem::path const& path)
{
    std::ifstream input(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
}

bool update_requested()
{
    char const* const mode = std::getenv("AMARANTHARCH_GOLDEN");
    return mode != nullptr && std::string_view(mode) == "update";
}

} // namespace

BOOST_AUTO_TEST_SUITE(whole_sessions)

BOOST_AUTO_TEST_CASE(are_as_recorded)
{
    std::size_t count = 0;
    for (auto const& entry : std::filesystem::directory_iterator(
             AMARANTHARCH_SOURCE_DIR "/src/core/sessions"))
    {
        std::string const recorded = file_text(entry.path());
        std::string const replayed = session().replay(recorded);
        if (update_requested())
        {
            std::ofstream(entry.path(), std::ios::binary) << replayed;
        }
        BOOST_TEST_CONTEXT(entry.path().filename())
        {
            BOOST_TEST((update_requested() || replayed == recorded), replayed);
        }
        ++count;
    }
    BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
