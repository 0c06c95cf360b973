#include "core/configuration_store.hpp"

#include "core/bounded_unpack.hpp"

#include <fmt/format.h>
#include <msgpack.hpp>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace amarantharch
{

namespace
{

// The first field of each payload of the stream. Values must not be reused.
enum class record_kind : std::uint8_t
{
    change = 1,
    checkpoint = 2,
};

constexpr int first_format_version = 1;
constexpr std::size_t max_remembered_changes = 256;
// If the log retains no copy of the revision, a VM appends one within this
// time after noticing.
constexpr duration max_lost_copy_delay = std::chrono::seconds(10);

struct wire_change
{
    std::uint8_t kind = static_cast<std::uint8_t>(record_kind::change);
    int version = first_format_version;
    std::string publish_id;
    log_offset base_offset = 0;
    std::uint32_t base_index = 0;
    bool replaces_all = false;
    std::string author;
    std::int64_t written_us = 0;
    std::string text;
    std::string signature;
    MSGPACK_DEFINE(kind, version, publish_id, base_offset, base_index,
                   replaces_all, author, written_us, text, signature)
};

struct wire_publish
{
    std::string publish_id;
    log_offset offset = 0;
    std::uint32_t index = 0;
    MSGPACK_DEFINE(publish_id, offset, index)
};

struct wire_checkpoint
{
    std::uint8_t kind = static_cast<std::uint8_t>(record_kind::checkpoint);
    int version = first_format_version;
    log_offset offset = 0;
    std::uint32_t index = 0;
    log_offset as_of = 0;
    std::string author;
    std::int64_t written_us = 0;
    std::string text;
    std::vector<wire_publish> recent;
    MSGPACK_DEFINE(kind, version, offset, index, as_of, author, written_us,
                   text, recent)
};

template <typename Wire>
std::string pack(Wire const& wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

// Unpacks a payload; an error if it is malformed or of another kind.
template <typename Wire>
absl::StatusOr<Wire> unpack(std::string_view bytes)
{
    Wire wire;
    auto const kind = wire.kind;
    try
    {
        auto const handle = bounded_unpack(bytes);
        handle.get().convert(wire);
    }
    catch (std::exception const& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
    if (wire.kind != kind || wire.version < first_format_version)
    {
        return absl::InvalidArgumentError("another kind of record");
    }
    return wire;
}

wire_change to_wire(configuration_change const& change)
{
    wire_change wire;
    wire.publish_id = change.publish_id;
    wire.base_offset = change.base.offset;
    wire.base_index = change.base.index;
    wire.replaces_all = change.replaces_all;
    wire.author = change.author;
    wire.written_us = to_micros(change.written);
    wire.text = change.text;
    wire.signature = change.signature;
    return wire;
}

std::string format_revision(revision r)
{
    return fmt::format("{}.{}", r.offset, r.index);
}

std::string section_title(section_id const& id)
{
    return fmt::format("{} {}", name_in(section_kind_names, id.kind), id.name);
}

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::string summarise_faults(std::vector<configuration_fault> const& faults)
{
    constexpr std::size_t shown = 5;
    std::string text = fmt::format("{} faults", faults.size());
    for (std::size_t i = 0; i < std::min(faults.size(), shown); ++i)
    {
        text += "; " + to_string(faults[i]);
    }
    return text;
}

} // namespace

std::string signed_bytes(configuration_change const& change)
{
    auto wire = to_wire(change);
    wire.signature.clear();
    return pack(wire);
}

std::string encode(configuration_change const& change)
{
    return pack(to_wire(change));
}

std::string encode(configuration_snapshot const& checkpoint)
{
    wire_checkpoint wire;
    wire.offset = checkpoint.in_force.offset;
    wire.index = checkpoint.in_force.index;
    wire.as_of = checkpoint.as_of;
    wire.author = checkpoint.author;
    wire.written_us = to_micros(checkpoint.written);
    wire.text = checkpoint.text;
    for (auto const& row : checkpoint.recent)
    {
        wire.recent.push_back(
            {row.publish_id, row.position.offset, row.position.index});
    }
    return pack(wire);
}

absl::StatusOr<configuration_change>
decode_configuration_change(std::string_view bytes)
{
    auto wire = unpack<wire_change>(bytes);
    if (!wire.ok())
    {
        return wire.status();
    }
    configuration_change change;
    change.publish_id = std::move(wire->publish_id);
    change.base = {wire->base_offset, wire->base_index};
    change.replaces_all = wire->replaces_all;
    change.author = std::move(wire->author);
    change.written = from_micros(wire->written_us);
    change.text = std::move(wire->text);
    change.signature = std::move(wire->signature);
    return change;
}

absl::StatusOr<configuration_snapshot>
decode_configuration_snapshot(std::string_view bytes)
{
    auto wire = unpack<wire_checkpoint>(bytes);
    if (!wire.ok())
    {
        return wire.status();
    }
    configuration_snapshot snapshot;
    snapshot.in_force = {wire->offset, wire->index};
    snapshot.as_of = wire->as_of;
    snapshot.author = std::move(wire->author);
    snapshot.written = from_micros(wire->written_us);
    snapshot.text = std::move(wire->text);
    for (auto& row : wire->recent)
    {
        snapshot.recent.push_back(
            {std::move(row.publish_id), {row.offset, row.index}});
    }
    return snapshot;
}

configuration_store::configuration_store(configuration_store_options options)
    : options_(std::move(options)),
      tables_(std::make_shared<configuration const>())
{
}

// Handles the loss of the records between next_ and first_retained: the
// revision in force can no longer be derived from the local state.
void configuration_store::note_gap(log_offset first_retained)
{
    if (next_ >= first_retained)
    {
        return;
    }
    in_force_known_ = false;
    start_ = first_retained;
    next_ = first_retained;
    pending_.clear();
    pending_bytes_ = 0;
}

std::vector<change_decision> configuration_store::apply(time_point,
                                                        log_batch const& batch)
{
    std::vector<change_decision> decisions;
    if (end_ == 0 && next_ == 1 && batch.first_retained <= 1)
    {
        in_force_known_ =
            true; // no record was trimmed: no revision is in force
    }
    note_gap(batch.first_retained);
    auto const before = next_;
    for (auto const& record : batch.records)
    {
        if (record.position.offset >= before)
        {
            next_ = record.position.offset;
            apply_record(record, decisions);
        }
    }
    next_ = std::max(before, batch.next);
    end_ = std::max(batch.end, next_);
    copy_lost_ = in_force_known_ && in_force_ != revision{} &&
                 newest_copy_offset_ < batch.first_retained;
    update_readiness();
    return decisions;
}

void configuration_store::apply_record(log_record const& record,
                                       std::vector<change_decision>& decisions)
{
    if (auto change = decode_configuration_change(record.payload); change.ok())
    {
        if (in_force_known_)
        {
            decisions.push_back(decide(record.time, record.position, *change));
        }
        else
        {
            keep_pending(record.time, record.position, *std::move(change));
        }
        return;
    }
    auto checkpoint = decode_configuration_snapshot(record.payload);
    if (checkpoint.ok())
    {
        checkpoint->written = record.time;
        on_checkpoint(record.position, *checkpoint, decisions);
    }
}

change_decision configuration_store::decide(time_point stored,
                                            revision position,
                                            configuration_change const& change)
{
    change_decision decision;
    decision.publish_id = change.publish_id;
    decision.position = position;
    decision.author = change.author;
    if (change.base != in_force_)
    {
        decision.outcome = change_outcome::superseded;
        decision.changed = changed_since(change.base);
        decision.reason = fmt::format(
            "written against revision {}, but {} by {} is in force",
            format_revision(change.base), format_revision(in_force_), author_);
    }
    else if (options_.verify == nullptr ||
             !options_.verify(change.author, signed_bytes(change),
                              change.signature))
    {
        decision.outcome = change_outcome::not_signed;
        decision.reason =
            fmt::format("no valid signature of {}", change.author);
    }
    else
    {
        apply_content(stored, change, decision);
    }
    decision.in_force = in_force_;
    decision.in_force_author = author_;
    remember(decision);
    return decision;
}

void configuration_store::apply_content(time_point stored,
                                        configuration_change const& change,
                                        change_decision& decision)
{
    auto parsed = parse_configuration(change.text);
    auto merged = merge(change.replaces_all ? section_table{} : sections_,
                        parsed.sections);
    auto compiled = compile(merged);
    auto faults = std::move(parsed.faults);
    faults.insert(faults.end(), compiled.faults.begin(), compiled.faults.end());
    auto const size = to_text(merged).size();
    if (size > options_.max_text_bytes)
    {
        faults.push_back({0, 0, "", "",
                          fmt::format("expected at most {} bytes in all, "
                                      "found {}",
                                      options_.max_text_bytes, size)});
    }
    if (!faults.empty())
    {
        decision.outcome = change_outcome::invalid;
        decision.reason = summarise_faults(faults);
        return;
    }
    decision.outcome = change_outcome::accepted;
    applied_change applied{decision.position, {}};
    for (auto const& [id, part] : parsed.sections)
    {
        applied.sections.push_back(section_title(id));
    }
    applied_.push_back(std::move(applied));
    if (applied_.size() > max_remembered_changes)
    {
        applied_.pop_front();
    }
    in_force_ = decision.position;
    author_ = change.author;
    sections_ = std::move(merged);
    tables_ = std::make_shared<configuration const>(std::move(compiled.tables));
    newest_copy_offset_ = decision.position.offset;
    newest_copy_time_ = stored;
    checkpoint_due_.reset();
}

std::vector<std::string> configuration_store::changed_since(revision base) const
{
    std::vector<std::string> changed;
    for (auto const& row : applied_)
    {
        if (row.position > base)
        {
            changed.insert(changed.end(), row.sections.begin(),
                           row.sections.end());
        }
    }
    std::ranges::sort(changed);
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    return changed;
}

// Keeps the first decision on a publish: later copies are merely superseded.
void configuration_store::remember(change_decision const& decision)
{
    auto const known = std::ranges::find(decisions_, decision.publish_id,
                                         &change_decision::publish_id);
    if (known != decisions_.end())
    {
        return;
    }
    decisions_.push_back(decision);
    if (decisions_.size() > options_.max_decisions)
    {
        decisions_.pop_front();
    }
}

std::optional<change_decision>
configuration_store::decision(std::string_view publish_id) const
{
    auto const found =
        std::ranges::find(decisions_, publish_id, &change_decision::publish_id);
    return found == decisions_.end() ? std::nullopt : std::optional(*found);
}

// Memory is bounded: on overflow the pending changes are discarded, and the
// reader needs a checkpoint that is newer than those.
void configuration_store::keep_pending(time_point stored, revision position,
                                       configuration_change change)
{
    pending_bytes_ += change.text.size();
    pending_.push_back({stored, position, std::move(change)});
    if (pending_bytes_ > options_.max_pending_bytes)
    {
        start_ = position.offset + 1;
        pending_.clear();
        pending_bytes_ = 0;
    }
}

void configuration_store::on_checkpoint(revision position,
                                        configuration_snapshot const& from,
                                        std::vector<change_decision>& decisions)
{
    if (in_force_known_ && from.in_force == in_force_)
    {
        newest_copy_offset_ = position.offset;
        newest_copy_time_ = from.written;
        checkpoint_due_.reset();
    }
    if (in_force_known_ || start_ > from.as_of + 1 ||
        from.as_of >= position.offset || from.in_force < in_force_)
    {
        return;
    }
    if (replace_state(from).ok())
    {
        newest_copy_offset_ = position.offset;
        replay_pending(from.as_of, decisions);
    }
}

absl::Status
configuration_store::replace_state(configuration_snapshot const& from)
{
    auto parsed = parse_configuration(from.text);
    auto compiled = compile(parsed.sections);
    if (!parsed.faults.empty() || !compiled.faults.empty())
    {
        return absl::InvalidArgumentError("snapshot does not compile");
    }
    in_force_known_ = true;
    in_force_ = from.in_force;
    author_ = from.author;
    sections_ = std::move(parsed.sections);
    tables_ = std::make_shared<configuration const>(std::move(compiled.tables));
    newest_copy_time_ = from.written;
    newest_copy_offset_ = from.in_force.offset;
    checkpoint_due_.reset();
    for (auto const& row : from.recent)
    {
        change_decision accepted;
        accepted.publish_id = row.publish_id;
        accepted.position = row.position;
        accepted.outcome = change_outcome::accepted;
        accepted.in_force = row.position;
        remember(accepted);
    }
    return absl::OkStatus();
}

void configuration_store::replay_pending(
    log_offset as_of, std::vector<change_decision>& decisions)
{
    auto const pending = std::exchange(pending_, {});
    pending_bytes_ = 0;
    for (auto const& row : pending)
    {
        if (row.position.offset > as_of)
        {
            decisions.push_back(decide(row.stored, row.position, row.change));
        }
    }
}

absl::Status configuration_store::adopt(time_point,
                                        configuration_snapshot const& from_peer)
{
    if (from_peer.in_force < in_force_ ||
        (in_force_known_ && from_peer.as_of + 1 <= next_))
    {
        return absl::FailedPreconditionError("snapshot is not newer");
    }
    bool const is_ahead = from_peer.as_of + 1 >= next_;
    if (!is_ahead && start_ > from_peer.as_of + 1)
    {
        return absl::FailedPreconditionError(
            "changes after the snapshot may be missing");
    }
    if (auto status = replace_state(from_peer); !status.ok())
    {
        return status;
    }
    if (is_ahead)
    {
        start_ = from_peer.as_of + 1;
        next_ = start_;
        pending_.clear();
        pending_bytes_ = 0;
    }
    else
    {
        std::vector<change_decision> decisions;
        replay_pending(from_peer.as_of, decisions);
    }
    update_readiness();
    return absl::OkStatus();
}

void configuration_store::on_peer_revision(revision newest)
{
    newest_peer_revision_ = std::max(newest_peer_revision_, newest);
    update_readiness();
}

void configuration_store::set_log_reachable(time_point, bool reachable)
{
    log_reachable_ = reachable;
    update_readiness();
}

void configuration_store::update_readiness()
{
    bool const read_all = end_ > 0 && next_ >= end_;
    bool const no_peer_is_newer =
        !log_reachable_ && newest_peer_revision_ <= in_force_;
    if (in_force_known_ && (read_all || no_peer_is_newer))
    {
        is_ready_ = true;
    }
    if (!in_force_known_)
    {
        is_ready_ = false;
    }
}

configuration_readiness configuration_store::readiness() const
{
    if (is_ready_)
    {
        return {true, ""};
    }
    if (!log_reachable_ && !in_force_known_)
    {
        return {false, "log unreachable and no peer's snapshot adopted"};
    }
    if (!log_reachable_)
    {
        return {false, fmt::format("log unreachable; a peer holds revision {}, "
                                   "this VM {}",
                                   format_revision(newest_peer_revision_),
                                   format_revision(in_force_))};
    }
    if (end_ == 0)
    {
        return {false, "configuration stream not read yet"};
    }
    if (!in_force_known_)
    {
        return {false, fmt::format("log starts at offset {}: waiting for a "
                                   "checkpoint or a peer's snapshot",
                                   start_)};
    }
    return {false, fmt::format("reading the configuration stream: at {} of {}",
                               next_, end_)};
}

configuration_snapshot configuration_store::snapshot() const
{
    configuration_snapshot out;
    out.in_force = in_force_;
    out.as_of = next_ - 1;
    out.author = author_;
    out.written = newest_copy_time_;
    out.text = to_text(sections_);
    for (auto const& row : decisions_)
    {
        if (row.outcome == change_outcome::accepted)
        {
            out.recent.push_back({row.publish_id, row.position});
        }
    }
    return out;
}

std::optional<std::string> configuration_store::tick(time_point now)
{
    if (!in_force_known_ || in_force_ == revision{} || !log_reachable_ ||
        end_ == 0 || next_ < end_)
    {
        return std::nullopt;
    }
    auto const max_age = options_.retention / 2;
    auto const spread =
        copy_lost_ ? max_lost_copy_delay : options_.retention / 10;
    if (!copy_lost_ && now - newest_copy_time_ < max_age)
    {
        return std::nullopt;
    }
    if (!checkpoint_due_)
    {
        // The delay depends on the VM and the revision, so that the work is
        // spread over all VMs.
        auto const seed =
            hash_of(options_.vm + '@' + format_revision(in_force_));
        auto const delay = static_cast<duration::rep>(
            seed % static_cast<std::uint64_t>(
                       std::max<duration::rep>(spread.count(), 1)));
        checkpoint_due_ = now + duration(delay);
    }
    if (now < *checkpoint_due_)
    {
        return std::nullopt;
    }
    checkpoint_due_ = now + spread; // append again if this one is lost
    auto checkpoint = snapshot();
    checkpoint.written = now;
    return encode(checkpoint);
}

} // namespace amarantharch
