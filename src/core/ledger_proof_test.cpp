// Fault injection tests of requests that must not run twice.
//
// A simulation of three VMs' ledgers, a fake log, a fake upstream and a caller
// that retries advances in rounds of 50 ms. Each round has four points at which
// a fault may be injected. Every fault at every point, and every pair of them,
// is tested with a synchronous and an asynchronous request; longer sessions
// inject faults at random from a printed seed. The oracle is the upstream's
// count of runs and the replies to callers, never the state of the ledgers.
#include "core/ledger.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>

using namespace amarantharch;

namespace
{

constexpr duration round_time = std::chrono::milliseconds(50);
constexpr duration window = std::chrono::seconds(2);
constexpr duration retention = std::chrono::seconds(4);
constexpr std::size_t vm_count = 3;
constexpr int reply_timeout_rounds = 12; // of a caller without a reply
constexpr int retry_rounds = 4;          // until a refused caller tries again
constexpr duration repeat_time =
    window * 3 / 4; // in which a caller repeats a key
constexpr int upstream_rounds = 2;
constexpr int replace_rounds = 10; // until a killed VM is replaced
constexpr int suspect_rounds = 6;  // until other VMs consider a VM gone
constexpr int short_freeze_rounds = 25;
constexpr int long_freeze_rounds = 100; // longer than the retention
constexpr int outage_rounds = 20;
constexpr int short_delay_rounds = 12;
constexpr int long_delay_rounds = 60; // longer than the window
constexpr int stop_rounds = 5;
constexpr int last_round = 190;

enum class fault
{
    kill_entry,
    kill_other,
    freeze_entry,
    freeze_entry_long,
    freeze_other,
    log_down,
    cut_entry_from_log,
    drop_append,
    delay_append,
    delay_append_long,
    repeat_append,
    repeat_append_long,
    concurrent_submission,
    caller_repeats,
    lose_answer,
    upstream_refuses,
    retention_passes,
    log_loses_records,
    restart_all,
    reclaim_entry,
};

constexpr name_table<fault, 20> fault_names{{
    {fault::kill_entry, "entry VM killed"},
    {fault::kill_other, "another VM killed"},
    {fault::freeze_entry, "entry VM frozen, woken"},
    {fault::freeze_entry_long, "entry VM frozen past the retention"},
    {fault::freeze_other, "another VM frozen, woken"},
    {fault::log_down, "log down"},
    {fault::cut_entry_from_log, "entry VM cut from the log"},
    {fault::drop_append, "append lost"},
    {fault::delay_append, "append delayed"},
    {fault::delay_append_long, "append delayed past the window"},
    {fault::repeat_append, "append repeated (its answer lost)"},
    {fault::repeat_append_long, "append repeated past the window"},
    {fault::concurrent_submission, "same key at another VM at once"},
    {fault::caller_repeats, "caller repeats at a third VM"},
    {fault::lose_answer, "upstream's answer lost"},
    {fault::upstream_refuses, "upstream unreachable"},
    {fault::retention_passes, "retention passes"},
    {fault::log_loses_records, "log drops all records before their time"},
    {fault::restart_all, "all VMs restarted"},
    {fault::reclaim_entry, "entry VM reclaimed with notice"},
}};

struct scheduled_fault
{
    int point; // four a round
    fault what;
};

// The reply to a submission.
enum class caller_reply
{
    none,
    not_run,
    may_have_run,
    outcome_unknown,
    accepted,
    answer,
};

struct submission_state
{
    request_key key;
    std::size_t vm;
    int round;
    caller_reply last = caller_reply::none;
    int replies = 0;
    int runs = 0;         // by the upstream, for this submission
    bool vm_lost = false; // its VM was killed or frozen before a reply
    std::string answer = {};
};

struct pending_append
{
    int due;
    std::size_t vm;
    std::string payload;
};

struct pending_answer
{
    int due;
    std::size_t vm;
    std::uint64_t incarnation;
    run_request run;
    run_outcome outcome;
};

struct vm_process
{
    std::unique_ptr<ledger> core;
    std::uint64_t incarnation = 0;
    std::vector<run_request> to_send;
    int frozen_until = -1;
    int cut_until = -1;   // without access to the log
    time_point read_at;   // when it last read the log
    int replaced_at = -1; // when a killed VM starts again
    int killed_at = -1;   // when the notice of a reclaim ends
};

// Who submits: one caller that repeats until answered, or the test itself.
enum class submitter
{
    caller,
    test,
};

// One session with its faults, and what the upstream and the callers saw.
class simulation
{
public:
    simulation(std::vector<scheduled_fault> faults, bool asynchronous,
               submitter from = submitter::caller)
        : faults_(std::move(faults)), asynchronous_(asynchronous),
          submitter_(from)
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            start_vm(vm);
        }
    }

    // Runs the session to its end.
    void run(int rounds = last_round)
    {
        for (; round_ < rounds; ++round_)
        {
            step();
        }
    }

    void step()
    {
        now_ += fast_forward_rounds_ > 0 ? retention / 16 : round_time;
        fast_forward_rounds_ = std::max(0, fast_forward_rounds_ - 1);
        if (log_up())
        {
            append_to_log(encode(clock_record{{"other", 1, 0}}));
        }
        apply_retention();
        update_processes();
        inject_faults_at(0);
        deliver_appends();
        inject_faults_at(1);
        for_each_running([this](std::size_t vm) { read(vm); });
        step_caller();
        inject_faults_at(2);
        for_each_running([this](std::size_t vm) { send_runs(vm); });
        inject_faults_at(3);
        deliver_answers();
        for_each_running([this](std::size_t vm) { vms_[vm].core->tick(now_); });
    }

    void submit(std::size_t vm, request_key const& key)
    {
        auto const id = fmt::format("r{}", submissions_.size());
        submissions_[id] = submission_state{key, vm, round_};
        first_time_.try_emplace(key, now_);
        latest_key_ = key;
        submission what;
        what.request = id;
        what.key = key;
        what.content = key.high;
        what.asynchronous = asynchronous_;
        what.repeat_window = window;
        what.call = stored_call{id, "o", "s", "POST", "/claims", {}, "body"};
        if (!running(vm))
        {
            submissions_[id].vm_lost = true;
            return;
        }
        vms_[vm].core->submit(now_, std::move(what));
    }

    // Submits the latest key again.
    void repeat(std::size_t vm)
    {
        if (within_window(latest_key_))
        {
            submit(vm, latest_key_);
        }
    }

    void inject(fault what, std::size_t entry = 0)
    {
        std::size_t const other = (entry + 1) % vm_count;
        std::size_t const third = (entry + 2) % vm_count;
        switch (what)
        {
        case fault::kill_entry:
            return kill(entry);
        case fault::kill_other:
            return kill(other);
        case fault::freeze_entry:
            return freeze(entry, short_freeze_rounds);
        case fault::freeze_entry_long:
            return freeze(entry, long_freeze_rounds);
        case fault::freeze_other:
            return freeze(other, short_freeze_rounds);
        case fault::log_down:
            log_down_until_ = round_ + outage_rounds;
            return;
        case fault::cut_entry_from_log:
            vms_[entry].cut_until = round_ + outage_rounds;
            return;
        case fault::drop_append:
        case fault::delay_append:
        case fault::delay_append_long:
        case fault::repeat_append:
        case fault::repeat_append_long:
            append_fault_ = what;
            return;
        case fault::concurrent_submission:
            return repeat(other);
        case fault::caller_repeats:
            return repeat(third);
        case fault::lose_answer:
        case fault::upstream_refuses:
            upstream_fault_ = what;
            return;
        case fault::retention_passes:
            fast_forward_rounds_ = 18;
            return;
        case fault::log_loses_records:
            records_.clear();
            // Accepted requests can't survive this. Only that nothing runs
            // twice and that not_run is true must still hold.
            log_lost_records_ = true;
            return;
        case fault::restart_all:
            for (std::size_t vm = 0; vm < vm_count; ++vm)
            {
                kill(vm);
                vms_[vm].replaced_at = round_ + 1;
            }
            return;
        case fault::reclaim_entry:
            return reclaim(entry);
        }
    }

    // Violations of the guarantees, as the upstream and the callers see them.
    struct findings
    {
        bool ran_twice = false;
        bool false_not_run = false;
        bool accepted_lost = false;
        bool wrong_answer = false;
        bool unanswered = false;
        bool refused_though_runnable = false;
        // Accepted, but never run: its VM was killed without notice, and the
        // caller is told that the outcome is unknown.
        bool accepted_unknown = false;
    };

    findings check() const
    {
        findings result;
        std::map<request_key, bool> accepted;
        for (auto const& [id, one] : submissions_)
        {
            bool const refused = one.last == caller_reply::not_run;
            result.false_not_run |= refused && one.runs > 0;
            result.unanswered |= one.replies == 0 && !one.vm_lost;
            result.unanswered |= one.replies > 1;
            result.wrong_answer |=
                !one.answer.empty() && one.answer != to_string(one.key);
            result.refused_though_runnable |= refused;
            accepted[one.key] |= one.last == caller_reply::accepted;
        }
        for (auto const& [key, was_accepted] : accepted)
        {
            auto const found = runs_.find(key);
            int const count = found == runs_.end() ? 0 : found->second;
            result.ran_twice |= count > 1;
            bool const missing =
                was_accepted && count == 0 && !log_lost_records_;
            result.accepted_lost |= missing && !crashed_;
            result.accepted_lost |=
                missing && !started_.contains(key) && !unread_past_retention_;
            result.accepted_lost |= missing && open_somewhere(key);
            result.accepted_unknown |= missing && crashed_;
        }
        return result;
    }

    static constexpr request_key main_key{77, 1};

    std::size_t submissions() const
    {
        return submissions_.size();
    }

    bool within_window(request_key const& key) const
    {
        auto const found = first_time_.find(key);
        return found == first_time_.end() || now_ - found->second < repeat_time;
    }

    bool running(std::size_t vm) const
    {
        return vms_[vm].core != nullptr && vms_[vm].frozen_until < round_;
    }

    void kill(std::size_t vm)
    {
        if (vms_[vm].core == nullptr)
        {
            return;
        }
        crashed_ = true;
        vms_[vm].core.reset();
        vms_[vm].to_send.clear();
        vms_[vm].frozen_until = -1;
        vms_[vm].killed_at = -1;
        vms_[vm].replaced_at = round_ + replace_rounds;
        suspect(vm);
        mark_submissions_lost(vm);
    }

    void freeze(std::size_t vm, int rounds)
    {
        vms_[vm].frozen_until = round_ + rounds;
        suspect(vm);
        mark_submissions_lost(vm);
    }

    void reclaim(std::size_t vm)
    {
        if (!running(vm))
        {
            return;
        }
        vms_[vm].killed_at = round_ + stop_rounds;
        vms_[vm].core->stop(now_, now_ + round_time * (stop_rounds - 1));
        suspect(vm);
    }

private:
    // Whether a running VM still reports the request as accepted.
    bool open_somewhere(request_key const& key) const
    {
        bool open = false;
        for (auto const& vm : vms_)
        {
            if (vm.core == nullptr || vm.frozen_until >= round_)
            {
                continue;
            }
            vm.core->inquire(now_, "probe", key);
            open |= probe_ == caller_reply::accepted;
        }
        return open;
    }

    void start_vm(std::size_t vm)
    {
        auto& process = vms_[vm];
        ++process.incarnation;
        process.cut_until = -1;
        process.read_at = now_;
        ledger_options options;
        options.vm = fmt::format("vm-{}", vm);
        options.incarnation = process.incarnation;
        options.window = window;
        options.decision_timeout = round_time * 8;
        options.resend_interval = round_time * 3;
        options.takeover_delay = round_time * 6;
        options.takeover_spread = round_time * 4;
        process.core = std::make_unique<ledger>(
            options, [this, vm](ledger_effect const& effect)
            { std::visit([&](auto const& e) { on(vm, e); }, effect); });
        for (auto const& peer : vms_)
        {
            if (peer.core && &peer != &process && peer.frozen_until < round_ &&
                peer.core->ready() &&
                process.core->restore(now_, peer.core->snapshot()).ok())
            {
                break;
            }
        }
    }

    void update_processes()
    {
        unread_past_retention_ |= log_up() && now_ - last_read_ > retention;
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            // A VM that has not read the log for longer than the retention
            // loses its state like a killed VM.
            bool const frozen = vms_[vm].frozen_until >= round_;
            crashed_ |= vms_[vm].core != nullptr && log_up() &&
                        now_ - vms_[vm].read_at > retention;
            if (vms_[vm].killed_at == round_)
            {
                bool const crashed = crashed_ || frozen;
                kill(vm);
                crashed_ = crashed; // a reclaim with notice is no crash
            }
            if (vms_[vm].replaced_at == round_)
            {
                vms_[vm].replaced_at = -1;
                start_vm(vm);
            }
        }
        for (auto const& [due, gone] : suspicions_)
        {
            for (std::size_t vm = 0; due == round_ && vm < vm_count; ++vm)
            {
                if (vm != gone && running(vm))
                {
                    vms_[vm].core->vm_gone(now_, fmt::format("vm-{}", gone));
                }
            }
        }
    }

    void suspect(std::size_t vm)
    {
        suspicions_.emplace_back(round_ + suspect_rounds, vm);
    }

    void mark_submissions_lost(std::size_t vm)
    {
        for (auto& [id, one] : submissions_)
        {
            one.vm_lost |= one.vm == vm && one.replies == 0;
        }
    }

    template <typename Function>
    void for_each_running(Function const& function)
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            if (running(vm))
            {
                function(vm);
            }
        }
    }

    void inject_faults_at(int sub)
    {
        for (auto const& one : faults_)
        {
            if (one.point == round_ * 4 + sub)
            {
                inject(one.what);
            }
        }
    }

    bool log_up() const
    {
        return round_ > log_down_until_;
    }

    bool reaches_log(std::size_t vm) const
    {
        return log_up() && round_ > vms_[vm].cut_until;
    }

    void append_to_log(std::string payload)
    {
        auto const record = decode_ledger_record(payload);
        if (auto const* start = std::get_if<start_record>(&record.value()))
        {
            started_.insert(start->header.key);
        }
        records_.push_back({{end_, 0}, {}, std::move(payload), now_});
        ++end_;
    }

    void apply_retention()
    {
        while (!records_.empty() && now_ - records_.front().time > retention)
        {
            records_.pop_front();
        }
    }

    void deliver_appends()
    {
        auto const waiting = std::move(appends_);
        appends_.clear();
        for (auto const& append : waiting)
        {
            if (append.due > round_)
            {
                appends_.push_back(append);
            }
            else if (reaches_log(append.vm))
            {
                append_to_log(append.payload);
            }
        }
    }

    void read(std::size_t vm)
    {
        auto& core = *vms_[vm].core;
        core.set_reachable(now_, reaches_log(vm));
        if (!reaches_log(vm))
        {
            return;
        }
        vms_[vm].read_at = now_;
        last_read_ = now_;
        log_batch batch;
        batch.stream = log_stream::requests;
        batch.first_retained = end_ - records_.size();
        batch.next = end_;
        batch.end = end_;
        auto const next = std::max(core.next_offset(), batch.first_retained);
        batch.records.assign(records_.end() -
                                 static_cast<std::ptrdiff_t>(end_ - next),
                             records_.end());
        core.apply(now_, batch);
    }

    // One caller asks for main_key until answered.
    void step_caller()
    {
        if (submitter_ == submitter::test)
        {
            return;
        }
        if (round_ == 1)
        {
            submit(0, main_key);
            caller_round_ = round_;
            return;
        }
        if (round_ < 1 || !within_window(main_key))
        {
            return;
        }
        auto const& mine = submissions_.at(fmt::format("r{}", caller_id_));
        bool const silent = mine.last == caller_reply::none;
        bool const asks = mine.last == caller_reply::not_run ||
                          mine.last == caller_reply::may_have_run;
        int const wait =
            silent && !mine.vm_lost ? reply_timeout_rounds : retry_rounds;
        if ((silent || asks) && round_ - caller_round_ >= wait)
        {
            caller_id_ = submissions_.size();
            caller_round_ = round_;
            caller_vm_ = (caller_vm_ + 1) % vm_count;
            submit(caller_vm_, main_key);
        }
    }

    void send_runs(std::size_t vm)
    {
        auto const runs = std::move(vms_[vm].to_send);
        vms_[vm].to_send.clear();
        for (auto const& run : runs)
        {
            run_outcome outcome{verdict::ran, 200, "text/plain",
                                to_string(run.key)};
            if (upstream_fault_ == fault::upstream_refuses)
            {
                outcome = run_outcome{verdict::not_run, 0, "", ""};
            }
            else
            {
                ++runs_[run.key];
                auto const id =
                    run.request.empty() ? run.call.request : run.request;
                ++submissions_[id].runs;
            }
            if (upstream_fault_ == fault::lose_answer)
            {
                outcome = run_outcome{verdict::may_have_run, 0, "", ""};
            }
            upstream_fault_.reset();
            answers_.push_back({round_ + upstream_rounds, vm,
                                vms_[vm].incarnation, run, outcome});
        }
    }

    void deliver_answers()
    {
        auto const waiting = std::move(answers_);
        answers_.clear();
        for (auto const& one : waiting)
        {
            bool const same = vms_[one.vm].core != nullptr &&
                              vms_[one.vm].incarnation == one.incarnation;
            if (same && (one.due > round_ || !running(one.vm)))
            {
                answers_.push_back(one);
            }
            else if (same)
            {
                vms_[one.vm].core->finish(now_, one.run.run, one.outcome);
                answer_caller(one);
            }
        }
    }

    void answer_caller(pending_answer const& one)
    {
        if (one.run.request.empty())
        {
            return;
        }
        if (one.outcome.run == verdict::ran)
        {
            record_reply(one.run.request, caller_reply::answer).answer =
                one.outcome.answer;
            return;
        }
        record_reply(one.run.request, one.outcome.run == verdict::not_run
                                          ? caller_reply::not_run
                                          : caller_reply::may_have_run);
    }

    submission_state& record_reply(request_id const& id, caller_reply what)
    {
        if (id == "probe")
        {
            probe_ = what;
            return ignored_;
        }
        auto& one = submissions_[id];
        one.last = what;
        ++one.replies;
        return one;
    }

    void on(std::size_t vm, append_record const& effect)
    {
        auto const ordinary = round_ + 1;
        auto const injected = append_fault_;
        append_fault_.reset();
        if (injected != fault::drop_append && injected != fault::delay_append &&
            injected != fault::delay_append_long)
        {
            appends_.push_back({ordinary, vm, effect.payload});
        }
        if (injected == fault::delay_append || injected == fault::repeat_append)
        {
            appends_.push_back(
                {ordinary + short_delay_rounds, vm, effect.payload});
        }
        if (injected == fault::delay_append_long ||
            injected == fault::repeat_append_long)
        {
            appends_.push_back(
                {ordinary + long_delay_rounds, vm, effect.payload});
        }
    }

    void on(std::size_t vm, run_request const& effect)
    {
        vms_[vm].to_send.push_back(effect);
    }

    void on(std::size_t, accepted_reply const& effect)
    {
        record_reply(effect.request, caller_reply::accepted);
    }

    void on(std::size_t vm, handover_message const& effect)
    {
        for (std::size_t peer = 0; peer < vm_count; ++peer)
        {
            if (peer != vm && running(peer))
            {
                BOOST_TEST(vms_[peer].core->adopt(now_, effect.records).ok());
                return;
            }
        }
    }

    void on(std::size_t, stored_outcome_reply const& effect)
    {
        auto const& outcome = effect.outcome;
        record_reply(effect.request, outcome.run == verdict::ran
                                         ? caller_reply::answer
                                         : caller_reply::outcome_unknown)
            .answer = outcome.answer;
    }

    void on(std::size_t, refused_reply const& effect)
    {
        bool const final = effect.why.reason == ledger_reasons::outcome_unknown;
        record_reply(effect.request,
                     effect.why.run == verdict::not_run
                         ? caller_reply::not_run
                         : (final ? caller_reply::outcome_unknown
                                  : caller_reply::may_have_run));
    }

    std::vector<scheduled_fault> faults_;
    bool asynchronous_;
    submitter submitter_;
    int round_ = 0;
    time_point now_ = from_micros(1'000'000'000);
    std::array<vm_process, vm_count> vms_;
    std::deque<log_record> records_;
    log_offset end_ = 1;
    int log_down_until_ = -1;
    int fast_forward_rounds_ = 0;
    bool crashed_ = false;               // a VM lost its state without notice
    bool log_lost_records_ = false;      // before the retention had passed
    bool unread_past_retention_ = false; // no VM read the log for that long
    time_point last_read_ = now_;
    std::vector<pending_append> appends_;
    std::vector<pending_answer> answers_;
    std::vector<std::pair<int, std::size_t>> suspicions_;
    std::optional<fault> append_fault_;
    std::optional<fault> upstream_fault_;
    std::map<request_key, int> runs_;
    std::set<request_key> started_; // keys with a start record in the log
    std::map<request_key, time_point> first_time_;
    std::map<request_id, submission_state> submissions_;
    request_key latest_key_ = main_key;
    std::size_t caller_id_ = 0;
    std::size_t caller_vm_ = 0;
    int caller_round_ = 0;
    mutable caller_reply probe_ = caller_reply::none;
    submission_state ignored_;
};

// Violations of each guarantee, summed over the cases of one test.
struct tally
{
    std::string name;
    int cases = 0;
    int ran_twice = 0;
    int false_not_run = 0;
    int accepted_lost = 0;
    int wrong_answer = 0;
    int unanswered = 0;
    int refused_though_runnable = 0;
    int accepted_unknown = 0;
    std::map<std::string, std::string> first_violations = {};

    void count(simulation const& session, std::string const& description)
    {
        auto const seen = session.check();
        ++cases;
        ran_twice += seen.ran_twice;
        false_not_run += seen.false_not_run;
        accepted_lost += seen.accepted_lost;
        wrong_answer += seen.wrong_answer;
        unanswered += seen.unanswered;
        refused_though_runnable += seen.refused_though_runnable;
        accepted_unknown += seen.accepted_unknown;
        note("ran twice", seen.ran_twice, description);
        note("not_run untrue", seen.false_not_run, description);
        note("accepted lost", seen.accepted_lost, description);
        note("wrong answer", seen.wrong_answer, description);
        note("unanswered or answered twice", seen.unanswered, description);
    }

    void note(std::string const& kind, bool violated,
              std::string const& description)
    {
        if (violated)
        {
            first_violations.try_emplace(kind, description);
        }
    }

    int violations() const
    {
        return ran_twice + false_not_run + accepted_lost + wrong_answer +
               unanswered;
    }

    void report() const
    {
        fmt::print("proof: {}: {} cases; violations: runs at most once {}, "
                   "not_run is true {}, accepted is kept {}, own answer {}, "
                   "one reply each {}; refused not_run at least once {}; "
                   "accepted, then told outcome unknown {}\n",
                   name, cases, ran_twice, false_not_run, accepted_lost,
                   wrong_answer, unanswered, refused_though_runnable,
                   accepted_unknown);
        for (auto const& [kind, description] : first_violations)
        {
            fmt::print("proof: first case {}: {}\n", kind, description);
        }
        std::fflush(stdout);
    }
};

std::string describe(std::vector<scheduled_fault> const& faults,
                     bool asynchronous)
{
    std::string text = asynchronous ? "asynchronous" : "synchronous";
    for (auto const& one : faults)
    {
        text += fmt::format("; {} at round {} point {}",
                            name_in(fault_names, one.what), one.point / 4,
                            one.point % 4);
    }
    return text;
}

void run_case(tally& result, std::vector<scheduled_fault> const& faults,
              bool asynchronous)
{
    simulation session(faults, asynchronous);
    session.run();
    result.count(session, describe(faults, asynchronous));
}

constexpr int first_point = 4; // the submission comes in round 1
constexpr int last_single_point = 48;
constexpr int last_pair_point = 20;

// A plain build tries every pair. A sanitizer build, many times slower, tries
// every eleventh.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t pair_step = 11;
#else
constexpr std::size_t pair_step = 1;
#endif

std::vector<scheduled_fault> faults_until(int last, int step)
{
    std::vector<scheduled_fault> result;
    for (auto const& row : fault_names)
    {
        for (int point = first_point; point < last; point += step)
        {
            result.push_back({point, row.value});
        }
    }
    return result;
}

constexpr std::uint64_t random_sessions = 400;
constexpr int random_rounds = 600;
constexpr int recovery_rounds = 250;
constexpr unsigned percent_submits = 30;
constexpr unsigned percent_faults = 4;

// Submits several keys, each repeatedly within its window at any VM, under
// random faults, then runs on without faults so that all can recover.
void random_session(simulation& session, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::array<request_key, 4> keys{};
    std::uint64_t next_key = 100;
    for (int round = 0; round < random_rounds; ++round)
    {
        if (random() % 100 < percent_submits)
        {
            auto& key = keys[random() % keys.size()];
            if (key.high == 0 || !session.within_window(key))
            {
                key = request_key{next_key++, next_key * 7919};
            }
            session.submit(random() % vm_count, key);
        }
        if (random() % 100 < percent_faults)
        {
            auto const& row = fault_names[random() % fault_names.size()];
            session.inject(row.value, random() % vm_count);
        }
        session.run(round + 1);
    }
    session.run(random_rounds + recovery_rounds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_that_must_not_run_twice)
BOOST_AUTO_TEST_SUITE(under_faults)

BOOST_AUTO_TEST_CASE(holds_without_any)
{
    for (bool const asynchronous : {false, true})
    {
        tally result{asynchronous ? "no fault, asynchronous"
                                  : "no fault, synchronous"};
        run_case(result, {}, asynchronous);
        result.report();
        BOOST_TEST(result.violations() == 0);
        BOOST_TEST(result.refused_though_runnable == 0);
    }
}

BOOST_AUTO_TEST_CASE(holds_under_every_single_fault_at_every_point)
{
    for (bool const asynchronous : {false, true})
    {
        tally result{asynchronous ? "one fault, asynchronous"
                                  : "one fault, synchronous"};
        for (auto const& one : faults_until(last_single_point, 1))
        {
            run_case(result, {one}, asynchronous);
        }
        result.report();
        BOOST_TEST(result.violations() == 0);
    }
}

BOOST_AUTO_TEST_CASE(holds_under_every_pair_of_faults)
{
    auto const faults = faults_until(last_pair_point, 1);
    for (bool const asynchronous : {false, true})
    {
        tally result{asynchronous ? "two faults, asynchronous"
                                  : "two faults, synchronous"};
        for (std::size_t a = 0; a < faults.size(); ++a)
        {
            for (std::size_t b = a + 1; b < faults.size(); b += pair_step)
            {
                run_case(result, {faults[a], faults[b]}, asynchronous);
            }
        }
        result.report();
        BOOST_TEST(result.violations() == 0);
    }
}

BOOST_AUTO_TEST_CASE(holds_in_long_random_sessions)
{
    for (std::uint64_t seed = 1; seed <= random_sessions; ++seed)
    {
        bool const asynchronous = seed % 2 == 0;
        simulation session({}, asynchronous, submitter::test);
        random_session(session, seed);
        tally result{fmt::format("random session, seed {}", seed)};
        result.count(session, result.name);
        if (result.violations() > 0)
        {
            result.report();
        }
        BOOST_TEST(result.violations() == 0);
    }
    fmt::print("proof: random sessions with seeds 1 to {}\n", random_sessions);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
