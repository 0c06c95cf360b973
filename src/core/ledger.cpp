#include "core/ledger.hpp"

#include <algorithm>
#include <functional>
#include <type_traits>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_body_too_large = 413;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;

constexpr duration retry_soon = std::chrono::seconds(1);
constexpr duration retry_in_outage = std::chrono::seconds(5);
constexpr duration do_not_retry = duration::zero();

// A released request is started again after this time, doubled with each
// generation up to the maximum, so that VMs without an upstream do not pass it
// to each other at the log's full rate.
constexpr duration first_restart_delay = std::chrono::milliseconds(100);
constexpr std::uint32_t max_restart_doublings = 8;

// A record not read back is emitted again at doubling intervals, up to this.
constexpr int max_resend_doublings = 4;

// An unfinished request without a record for window / refreshes_per_window is
// recorded again, at most once per window / checks_per_window.
constexpr int refreshes_per_window = 4;
constexpr int checks_per_window = 16;

constexpr std::int64_t stagger_steps = 1024;

refusal unavailable(char const* reason, duration retry_after)
{
    return {http_unavailable, verdict::not_run, reason, retry_after};
}

refusal in_progress()
{
    return {http_conflict, verdict::may_have_run, ledger_reasons::in_progress,
            retry_soon};
}

// Whether the record states a fact that stays true after its writer's exit:
// that nothing ran, or the outcome. The other kinds claim a right to run for
// the writer.
bool valid_after_writer_exit(ledger_record const& record)
{
    return std::holds_alternative<outcome_record>(record) ||
           std::holds_alternative<release_record>(record);
}

} // namespace

ledger::ledger(ledger_options options, ledger_sink emit)
    : options_(std::move(options)), emit_(std::move(emit)),
      table_(options_.window, options_.max_bytes)
{
}

// Submissions

void ledger::submit(time_point now, submission what)
{
    auto const* row = ready() ? table_.find(what.key) : nullptr;
    if (row != nullptr && blocks(now, *row, what))
    {
        if (row->content != what.content && row->content != 0)
        {
            refuse(what.request, {http_unprocessable, verdict::not_run,
                                  ledger_reasons::key_reused, do_not_retry});
            return;
        }
        reply_from_row(what.request, what.asynchronous, *row);
        return;
    }
    if (undecided_claims_.contains(what.key))
    {
        refuse(what.request, in_progress());
        return;
    }
    if (auto why = refusal_for(what))
    {
        refuse(what.request, *why);
        return;
    }
    auto const request = what.request;
    append(now, record_for(std::move(what), row), request,
           now + options_.decision_timeout);
}

// Whether `row` prevents running the submission.
bool ledger::blocks(time_point now, ledger_row const& row,
                    submission const& what) const
{
    if (row.state == key_state::done)
    {
        return log_now_us(now) - row.done_us <= what.repeat_window.count();
    }
    return row.state != key_state::free;
}

std::optional<refusal> ledger::refusal_for(submission const& what) const
{
    if (stop_deadline_)
    {
        return unavailable(ledger_reasons::stopping, retry_soon);
    }
    if (!reachable_)
    {
        return unavailable(ledger_reasons::log_unreachable, retry_in_outage);
    }
    if (!ready())
    {
        return unavailable(ledger_reasons::not_ready, retry_soon);
    }
    if (what.asynchronous && what.call.body.size() > options_.max_body_bytes)
    {
        return refusal{http_body_too_large, verdict::not_run,
                       ledger_reasons::body_too_large, do_not_retry};
    }
    if (table_.size() >= options_.max_keys ||
        table_.bytes() >= options_.max_bytes ||
        pending_.size() >= options_.max_pending_records)
    {
        return unavailable(ledger_reasons::full, retry_in_outage);
    }
    return std::nullopt;
}

ledger_record ledger::record_for(submission what, ledger_row const* row)
{
    std::uint32_t generation = 0;
    if (row != nullptr)
    {
        bool const runs_anew = row->state == key_state::done;
        generation = row->generation + (runs_anew ? 1 : 0);
    }
    auto header = header_for(what.key, generation);
    if (what.asynchronous)
    {
        return acceptance_record{std::move(header), what.content, false,
                                 std::move(what.call)};
    }
    return intent_record{std::move(header), what.content};
}

void ledger::inquire(time_point now, request_id const& request,
                     request_key const& key)
{
    static_cast<void>(now);
    if (!ready())
    {
        refuse(request, {http_unavailable, verdict::may_have_run,
                         ledger_reasons::not_ready, retry_soon});
        return;
    }
    auto const* row = table_.find(key);
    if (row == nullptr || row->state == key_state::free)
    {
        refuse(request, {http_not_found, verdict::may_have_run,
                         ledger_reasons::unknown_key, do_not_retry});
        return;
    }
    reply_from_row(request, true, *row);
}

void ledger::reply_from_row(request_id const& request, bool asynchronous,
                            ledger_row const& row)
{
    if (row.state == key_state::done)
    {
        emit_(stored_outcome_reply{request, row.outcome});
        return;
    }
    bool const runner_gone =
        row.state == key_state::started && gone_since(row.run).has_value();
    if (runner_gone)
    {
        refuse(request, {http_conflict, verdict::may_have_run,
                         ledger_reasons::outcome_unknown, do_not_retry});
        return;
    }
    if (asynchronous && row.asynchronous && row.state != key_state::uncertain)
    {
        emit_(accepted_reply{request});
        return;
    }
    refuse(request, in_progress());
}

void ledger::refuse(request_id const& request, refusal why)
{
    emit_(refused_reply{request, std::move(why)});
}

void ledger::abandon(time_point now, request_id const& request)
{
    static_cast<void>(now);
    for (auto own = pending_.begin(); own != pending_.end(); ++own)
    {
        if (own->second.request != request)
        {
            continue;
        }
        if (std::holds_alternative<intent_record>(own->second.record))
        {
            forget(own);
        }
        else
        {
            own->second.request.clear();
            own->second.deadline = time_point::max();
        }
        return;
    }
}

void ledger::refuse_waiting_caller(pending_record const& own)
{
    if (own.request.empty())
    {
        return;
    }
    if (std::holds_alternative<intent_record>(own.record))
    {
        refuse(own.request, unavailable(ledger_reasons::undecided, retry_soon));
        return;
    }
    refuse(own.request, {http_unavailable, verdict::may_have_run,
                         ledger_reasons::acceptance_unknown, retry_soon});
}

void ledger::forget(pending_table::iterator own)
{
    auto const* header = header_of(own->second.record);
    auto const deciding = undecided_claims_.find(header->key);
    if (deciding != undecided_claims_.end() &&
        deciding->second == own->first.sequence)
    {
        undecided_claims_.erase(deciding);
    }
    pending_.erase(own);
}

// Reading

void ledger::apply(time_point now, log_batch const& batch)
{
    if (batch.stream != log_stream::requests)
    {
        return;
    }
    if (batch.first_retained > table_.next())
    {
        reset_after_gap(now, batch.first_retained);
    }
    initialized_ = true;
    auto const time_before_us = table_.basis().time_us;
    auto const from = table_.next();
    for (auto const& record : batch.records)
    {
        auto const value = decode_ledger_record(record.payload);
        if (record.position.offset < from || !value.ok())
        {
            continue;
        }
        auto const effect =
            table_.apply(record.position.offset, record.time, *value);
        auto const* header = header_of(*value);
        if (header == nullptr)
        {
            continue;
        }
        track_incarnation(now, header->run);
        update_unstarted(now, header->key);
        if (is_own_run(header->run))
        {
            handle_read_back(now, *value, effect);
        }
        else if (effect == record_effect::won)
        {
            drop_losing_claim(header->key);
        }
        handle_adopted_read_back(*value, effect);
    }
    table_.advance(batch.next);
    if (table_.basis().time_us != time_before_us)
    {
        applied_at_ = now;
    }
}

// Discards the decisions before `origin`, some of which this VM can no longer
// read. Runs in progress continue. A right that this VM may have obtained in
// the unread part is never used, but released.
void ledger::reset_after_gap(time_point now, log_offset origin)
{
    table_.begin(origin);
    unstarted_.clear();
    std::vector<std::pair<record_header, bool>> dropped_claims;
    for (auto own = pending_.begin(); own != pending_.end();)
    {
        auto const next = std::next(own);
        auto const& record = own->second.record;
        if (!valid_after_writer_exit(record))
        {
            refuse_waiting_caller(own->second);
            bool const asynchronous =
                !std::holds_alternative<intent_record>(record);
            dropped_claims.emplace_back(*header_of(record), asynchronous);
            forget(own);
        }
        own = next;
    }
    for (auto& [header, asynchronous] : dropped_claims)
    {
        release(now, std::move(header), asynchronous);
    }
}

void ledger::track_incarnation(time_point now, run_id const& run)
{
    auto& entry = vms_[run.vm];
    if (run.incarnation > entry.incarnation)
    {
        entry = vm_entry{run.incarnation, false, now};
    }
}

void ledger::update_unstarted(time_point now, request_key const& key)
{
    auto const* row = table_.find(key);
    if (row == nullptr || row->state != key_state::accepted)
    {
        unstarted_.erase(key);
        return;
    }
    auto const [entry, added] = unstarted_.try_emplace(
        key, unstarted_request{row->generation, now, now});
    if (!added && entry->second.generation != row->generation)
    {
        entry->second = unstarted_request{row->generation, now, now};
    }
}

// Handles a record of this VM that was read back from the log.
void ledger::handle_read_back(time_point now, ledger_record const& record,
                              record_effect effect)
{
    auto const& header = *header_of(record);
    auto const found = pending_.find({header.run.sequence, record.index()});
    if (found == pending_.end())
    {
        bool const unwanted_right =
            effect == record_effect::won && !runs_.contains(header.run) &&
            (std::holds_alternative<intent_record>(record) ||
             std::holds_alternative<start_record>(record));
        if (unwanted_right && ready())
        {
            release(now, header, std::holds_alternative<start_record>(record));
        }
        return;
    }
    if (effect == record_effect::voided)
    {
        emit_pending(now, found->second);
        return;
    }
    auto const own = found->second;
    forget(found);
    auto const* row = table_.find(header.key);
    bool const obtained = row != nullptr && row->run == header.run;
    obtained ? won(now, own) : lost(own);
}

// Another VM obtained the key, so this VM's claim can no longer win. It must
// not be emitted again with a newer basis, since the key's row may have expired
// by then and the claim would win.
void ledger::drop_losing_claim(request_key const& key)
{
    auto const deciding = undecided_claims_.find(key);
    if (deciding == undecided_claims_.end())
    {
        return;
    }
    auto found = pending_.lower_bound({deciding->second, 0});
    while (valid_after_writer_exit(found->second.record))
    {
        ++found;
    }
    auto const own = found->second;
    forget(found);
    lost(own);
}

void ledger::handle_adopted_read_back(ledger_record const& record,
                                      record_effect effect)
{
    auto const found = adopted_.find({header_of(record)->run, record.index()});
    bool const recorded = effect == record_effect::won ||
                          effect == record_effect::repeated ||
                          (effect == record_effect::lost &&
                           std::holds_alternative<outcome_record>(record));
    if (found != adopted_.end() && recorded)
    {
        adopted_.erase(found);
    }
}

void ledger::won(time_point now, pending_record const& own)
{
    auto const& header = *header_of(own.record);
    bool const late = stop_deadline_ && now >= *stop_deadline_;
    if (std::holds_alternative<intent_record>(own.record))
    {
        if (late)
        {
            release(now, header, false);
            refuse(own.request,
                   unavailable(ledger_reasons::stopping, retry_soon));
            return;
        }
        begin_run(now, own);
    }
    else if (std::holds_alternative<start_record>(own.record))
    {
        stop_deadline_ ? release(now, header, true) : begin_run(now, own);
    }
    else if (std::holds_alternative<acceptance_record>(own.record))
    {
        if (!own.request.empty())
        {
            emit_(accepted_reply{own.request});
        }
        if (stop_deadline_)
        {
            release(now, header, true);
            return;
        }
        start(now, header.key, *table_.find(header.key));
    }
}

void ledger::lost(pending_record const& own)
{
    bool const asynchronous =
        std::holds_alternative<acceptance_record>(own.record);
    if (own.request.empty())
    {
        return;
    }
    auto const* row = table_.find(header_of(own.record)->key);
    if (row == nullptr)
    {
        refuse(own.request, in_progress());
        return;
    }
    reply_from_row(own.request, asynchronous, *row);
}

// Running

void ledger::begin_run(time_point now, pending_record const& own)
{
    auto const& header = *header_of(own.record);
    auto const& row = *table_.find(header.key);
    runs_[header.run] =
        active_run{own.record, row.content, row.asynchronous, now};
    emit_(run_request{header.run, header.key, own.request, row.call});
}

void ledger::start(time_point now, request_key const& key,
                   ledger_row const& row)
{
    append(now, start_record{header_for(key, row.generation)}, {},
           time_point::max());
}

void ledger::release(time_point now, record_header header, bool asynchronous)
{
    append(now, release_record{std::move(header), asynchronous}, {},
           time_point::max());
}

void ledger::finish(time_point now, run_id const& run, run_outcome outcome)
{
    auto const found = runs_.find(run);
    if (found == runs_.end())
    {
        return;
    }
    auto const active = std::move(found->second);
    runs_.erase(found);
    auto const& header = *header_of(active.right);
    if (outcome.run == verdict::not_run)
    {
        release(now, header, active.asynchronous);
        return;
    }
    outcome_record record;
    record.header = header;
    record.content = active.content;
    record.run = static_cast<std::uint8_t>(outcome.run);
    record.status = outcome.status;
    record.answer_kept = outcome.answer.size() <= options_.max_answer_bytes;
    record.content_type = std::move(outcome.content_type);
    if (record.answer_kept)
    {
        record.answer = std::move(outcome.answer);
    }
    append(now, std::move(record), {}, time_point::max());
}

// Emission

record_header ledger::header_for(request_key const& key,
                                 std::uint32_t generation)
{
    run_id run{options_.vm, options_.incarnation, next_sequence_++};
    return {key, generation, std::move(run), table_.basis()};
}

void ledger::append(time_point now, ledger_record record, request_id request,
                    time_point deadline)
{
    auto const& header = *header_of(record);
    pending_key const key{header.run.sequence, record.index()};
    if (!valid_after_writer_exit(record))
    {
        undecided_claims_[header.key] = key.sequence;
    }
    auto& own = pending_[key];
    own =
        pending_record{std::move(record), std::move(request), deadline, now, 0};
    if (reachable_)
    {
        emit_pending(now, own);
    }
}

void ledger::emit_pending(time_point now, pending_record& own)
{
    own.last_emitted = now;
    ++own.emissions;
    emit_record(own.record);
}

void ledger::emit_record(ledger_record record)
{
    set_basis(record, table_.basis());
    emit_(append_record{encode(record)});
}

// Time

void ledger::set_reachable(time_point now, bool reachable)
{
    static_cast<void>(now);
    reachable_ = reachable;
}

void ledger::vm_gone(time_point now, std::string const& vm)
{
    auto& entry = vms_[vm];
    if (!entry.gone)
    {
        entry.gone = true;
        entry.since = now;
    }
}

void ledger::tick(time_point now)
{
    refuse_undecided(now);
    if (reachable_)
    {
        request_log_time(now);
        resend(now);
    }
    if (stop_deadline_)
    {
        hand_over_pending(now);
    }
    if (reachable_ && ready())
    {
        refresh_runs(now);
        refresh_unstarted(now);
        take_over(now);
    }
    table_.expire();
}

void ledger::stop(time_point now, time_point deadline)
{
    stop_deadline_ = deadline;
    std::vector<record_header> starts;
    for (auto own = pending_.begin(); own != pending_.end();)
    {
        auto const next = std::next(own);
        if (std::holds_alternative<start_record>(own->second.record))
        {
            starts.push_back(*header_of(own->second.record));
            forget(own);
        }
        own = next;
    }
    for (auto& header : starts)
    {
        release(now, std::move(header), true);
    }
    for (auto const& [key, open] : unstarted_)
    {
        auto const* row = table_.find(key);
        if (is_own_run(row->run) && !row->orphaned)
        {
            release(now, {key, open.generation, row->run, table_.basis()},
                    true);
        }
    }
    hand_over_pending(now);
}

absl::Status ledger::adopt(time_point now,
                           std::vector<std::string> const& records)
{
    if (adopted_.size() + records.size() > options_.max_pending_records)
    {
        return absl::ResourceExhaustedError("too many adopted records");
    }
    std::vector<ledger_record> values;
    for (auto const& record : records)
    {
        auto value = decode_ledger_record(record);
        if (!value.ok())
        {
            return value.status();
        }
        if (!valid_after_writer_exit(*value))
        {
            return absl::InvalidArgumentError(
                "records of this kind are not handed over");
        }
        values.push_back(*std::move(value));
    }
    for (auto& value : values)
    {
        auto const key = std::pair(header_of(value)->run, value.index());
        adopted_.try_emplace(key, pending_record{std::move(value),
                                                 {},
                                                 now + options_.window,
                                                 time_point::min(),
                                                 0});
    }
    return absl::OkStatus();
}

bool ledger::ready() const
{
    return initialized_ && table_.complete();
}

bool ledger::idle() const
{
    return pending_.empty() && runs_.empty();
}

bool ledger::resend_due(time_point now, pending_record const& own) const
{
    auto const doublings =
        std::clamp(own.emissions - 1, 0, max_resend_doublings);
    return own.emissions == 0 ||
           now - own.last_emitted >=
               options_.resend_interval * (1 << doublings);
}

void ledger::resend(time_point now)
{
    for (auto& [key, own] : pending_)
    {
        if (resend_due(now, own))
        {
            emit_pending(now, own);
        }
    }
    for (auto& [key, own] : adopted_)
    {
        if (ready() && resend_due(now, own))
        {
            emit_pending(now, own);
        }
    }
}

void ledger::hand_over_pending(time_point now)
{
    if (handed_over_at_ && now - *handed_over_at_ < options_.resend_interval)
    {
        return;
    }
    handover_message message;
    for (auto const& [key, own] : pending_)
    {
        if (valid_after_writer_exit(own.record))
        {
            message.records.push_back(encode(own.record));
        }
    }
    if (!message.records.empty())
    {
        handed_over_at_ = now;
        emit_(std::move(message));
    }
}

void ledger::refuse_undecided(time_point now)
{
    for (auto own = pending_.begin(); own != pending_.end();)
    {
        auto const next = std::next(own);
        if (own->second.deadline <= now)
        {
            refuse_waiting_caller(own->second);
            forget(own);
        }
        own = next;
    }
    std::erase_if(adopted_, [now](auto const& entry)
                  { return entry.second.deadline <= now; });
}

void ledger::refresh_runs(time_point now)
{
    for (auto& [run, active] : runs_)
    {
        auto const* row = table_.find(header_of(active.right)->key);
        if (time_since_last_record(now, row) >
                options_.window / refreshes_per_window &&
            now - active.recorded > options_.window / checks_per_window)
        {
            active.recorded = now;
            emit_record(active.right);
        }
    }
}

void ledger::refresh_unstarted(time_point now)
{
    auto const due = options_.window / refreshes_per_window;
    for (auto& [key, open] : unstarted_)
    {
        auto const* row = table_.find(key);
        if (time_since_last_record(now, row) > due + share(key, due) &&
            now - open.recorded > options_.window / checks_per_window)
        {
            open.recorded = now;
            emit_record(acceptance_record{
                {key, row->generation, row->run, table_.basis()},
                row->content,
                row->orphaned,
                row->call});
        }
    }
}

void ledger::take_over(time_point now)
{
    if (stop_deadline_)
    {
        return;
    }
    for (auto const& [key, open] : unstarted_)
    {
        auto const* row = table_.find(key);
        if (!undecided_claims_.contains(key) &&
            now >= start_due(key, *row, open))
        {
            start(now, key, *row);
        }
    }
}

void ledger::request_log_time(time_point now)
{
    bool const known = ready() && table_.basis().time_us != 0;
    auto const interval = options_.window / checks_per_window;
    if (known ||
        (log_time_requested_at_ && now - *log_time_requested_at_ < interval))
    {
        return;
    }
    log_time_requested_at_ = now;
    emit_record(clock_record{{options_.vm, options_.incarnation, 0}});
}

time_point ledger::start_due(request_key const& key, ledger_row const& row,
                             unstarted_request const& open) const
{
    if (row.orphaned)
    {
        auto const doublings = std::min(row.generation, max_restart_doublings);
        auto const delay = first_restart_delay * (1 << doublings);
        return open.seen + delay + share(key, delay);
    }
    if (is_own_run(row.run))
    {
        return open.seen;
    }
    auto const spread = share(key, options_.takeover_spread);
    if (auto const since = gone_since(row.run))
    {
        return std::max(open.seen, *since) + spread;
    }
    return open.seen + options_.takeover_delay + spread;
}

// Queries

bool ledger::is_own_run(run_id const& run) const
{
    return run.vm == options_.vm && run.incarnation == options_.incarnation;
}

// Since when the process that wrote `run` is known to be gone.
std::optional<time_point> ledger::gone_since(run_id const& run) const
{
    auto const found = vms_.find(run.vm);
    if (found == vms_.end())
    {
        return std::nullopt;
    }
    bool const replaced = run.incarnation < found->second.incarnation;
    if (replaced || found->second.gone)
    {
        return found->second.since;
    }
    return std::nullopt;
}

// This VM's delay for `key`, below `whole`: it differs between VMs, so that
// they do not all act on the key at the same time.
duration ledger::share(request_key const& key, duration whole) const
{
    auto const mixed = std::hash<std::string>()(options_.vm) ^ key.high;
    auto const step = static_cast<std::int64_t>(mixed % stagger_steps);
    return whole * step / stagger_steps;
}

// The log's time, extrapolated by this VM's clock since the last batch.
std::int64_t ledger::log_now_us(time_point now) const
{
    auto const since = std::max(duration::zero(), now - applied_at_);
    return table_.basis().time_us + since.count();
}

duration ledger::time_since_last_record(time_point now,
                                        ledger_row const* row) const
{
    return row == nullptr ? duration::max()
                          : duration(log_now_us(now) - row->touched_us);
}

// Snapshots

std::string ledger::snapshot() const
{
    return ready() ? table_.snapshot() : std::string();
}

absl::Status ledger::restore(time_point now, std::string const& snapshot)
{
    if (ready())
    {
        return absl::FailedPreconditionError("ledger is already ready");
    }
    ledger_table table(options_.window, options_.max_bytes);
    if (auto status = table.restore(snapshot); !status.ok())
    {
        return status;
    }
    if (!table.complete() || table.next() < table_.next())
    {
        return absl::FailedPreconditionError(
            "snapshot is older than this ledger, or incomplete");
    }
    table_ = std::move(table);
    initialized_ = true;
    applied_at_ = now;
    unstarted_.clear();
    table_.for_each([this, now](request_key const& key, ledger_row const&)
                    { update_unstarted(now, key); });
    return absl::OkStatus();
}

} // namespace amarantharch
