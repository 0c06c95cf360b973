#include "core/ledger_table.hpp"

#include "core/bounded_unpack.hpp"

#include <algorithm>
#include <exception>
#include <utility>
#include <vector>

namespace amarantharch
{

namespace
{

// The encoded form of a row in a snapshot.
struct row_image
{
    request_key key;
    std::uint8_t state = 0;
    std::uint32_t generation = 0;
    run_id run;
    std::uint64_t content = 0;
    bool asynchronous = false;
    bool orphaned = false;
    std::int64_t touched_us = 0;
    std::int64_t done_us = 0;
    stored_call call;
    std::uint8_t outcome_run = 0;
    std::int32_t status = 0;
    bool answer_kept = false;
    std::string content_type;
    std::string answer;
    MSGPACK_DEFINE(key, state, generation, run, content, asynchronous, orphaned,
                   touched_us, done_us, call, outcome_run, status, answer_kept,
                   content_type, answer)
};

struct table_image
{
    log_offset origin = 0;
    std::int64_t origin_us = 0;
    bool read_any = false;
    record_basis basis;
    std::vector<row_image> rows;
    MSGPACK_DEFINE(origin, origin_us, read_any, basis, rows)
};

row_image image_of(request_key const& key, ledger_row const& row)
{
    row_image image;
    image.key = key;
    image.state = static_cast<std::uint8_t>(row.state);
    image.generation = row.generation;
    image.run = row.run;
    image.content = row.content;
    image.asynchronous = row.asynchronous;
    image.orphaned = row.orphaned;
    image.touched_us = row.touched_us;
    image.done_us = row.done_us;
    image.call = row.call;
    image.outcome_run = static_cast<std::uint8_t>(row.outcome.run);
    image.status = row.outcome.status;
    image.answer_kept = row.outcome.answer_kept;
    image.content_type = row.outcome.content_type;
    image.answer = row.outcome.answer;
    return image;
}

ledger_row row_of(row_image const& image)
{
    ledger_row row;
    row.state = static_cast<key_state>(image.state);
    row.generation = image.generation;
    row.run = image.run;
    row.content = image.content;
    row.asynchronous = image.asynchronous;
    row.orphaned = image.orphaned;
    row.touched_us = image.touched_us;
    row.done_us = image.done_us;
    row.call = image.call;
    row.outcome = {static_cast<verdict>(image.outcome_run), image.status,
                   image.answer_kept, image.content_type, image.answer};
    return row;
}

bool well_formed(row_image const& image)
{
    return image.state <= static_cast<std::uint8_t>(key_state::done) &&
           image.outcome_run <= static_cast<std::uint8_t>(verdict::ran);
}

std::size_t size_of(stored_call const& call)
{
    std::size_t size = call.target.size() + call.body.size();
    for (auto const& [name, value] : call.headers)
    {
        size += name.size() + value.size();
    }
    return size;
}

std::size_t size_of(stored_outcome const& outcome)
{
    return outcome.answer.size() + outcome.content_type.size();
}

// An outcome implies that an upstream received the request, so not_run or an
// unknown value is read as may_have_run.
verdict outcome_verdict(outcome_record const& record)
{
    return record.run == static_cast<std::uint8_t>(verdict::ran)
               ? verdict::ran
               : verdict::may_have_run;
}

} // namespace

ledger_table::ledger_table(duration window, std::size_t max_bytes)
    : window_us_(window.count()), max_bytes_(max_bytes)
{
}

void ledger_table::begin(log_offset origin)
{
    rows_.clear();
    touches_.clear();
    bytes_ = 0;
    origin_ = origin;
    origin_us_ = 0;
    read_any_ = false;
    basis_ = record_basis{origin - 1, 0};
}

record_effect ledger_table::apply(log_offset offset, time_point time,
                                  ledger_record const& record)
{
    basis_.applied = std::max(basis_.applied, offset);
    basis_.time_us = std::max(basis_.time_us, to_micros(time));
    if (!read_any_)
    {
        read_any_ = true;
        origin_us_ = basis_.time_us;
    }
    return std::visit(
        [this](auto const& value)
        {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, clock_record>)
            {
                return record_effect::repeated;
            }
            else
            {
                return is_void(value.header) ? record_effect::voided
                                             : on(value);
            }
        },
        record);
}

void ledger_table::advance(log_offset next)
{
    basis_.applied = std::max(basis_.applied, next - 1);
}

ledger_row const* ledger_table::find(request_key const& key) const
{
    auto const found = rows_.find(key);
    if (found == rows_.end() || expired(found->second))
    {
        return nullptr;
    }
    return &found->second;
}

bool ledger_table::complete() const
{
    if (origin_ <= 1)
    {
        return true;
    }
    return read_any_ && basis_.time_us - origin_us_ > window_us_;
}

void ledger_table::expire()
{
    while (!touches_.empty() &&
           basis_.time_us - touches_.front().time_us > window_us_)
    {
        auto const key = touches_.front().key;
        touches_.pop_front();
        auto const found = rows_.find(key);
        if (found != rows_.end() && expired(found->second))
        {
            erase(key);
        }
    }
}

bool ledger_table::is_void(record_header const& header) const
{
    return basis_.time_us - header.basis.time_us > window_us_ / 2;
}

bool ledger_table::expired(ledger_row const& row) const
{
    return row.state != key_state::accepted &&
           basis_.time_us - row.touched_us > window_us_;
}

// Whether the writer had read all records before this table's origin.
bool ledger_table::writer_read_to_origin(record_header const& header) const
{
    return header.basis.applied + 1 >= origin_;
}

// Whether a record with this header obtains the key.
bool ledger_table::can_claim(ledger_row const& row,
                             record_header const& header) const
{
    if (row.state == key_state::done)
    {
        return header.generation == row.generation + 1;
    }
    return row.state == key_state::free && header.generation == row.generation;
}

ledger_row* ledger_table::find_and_touch(request_key const& key)
{
    auto const found = rows_.find(key);
    if (found == rows_.end())
    {
        return nullptr;
    }
    if (expired(found->second))
    {
        erase(key);
        return nullptr;
    }
    found->second.touched_us = basis_.time_us;
    touches_.push_back({basis_.time_us, key});
    return &found->second;
}

ledger_row& ledger_table::insert_and_touch(request_key const& key)
{
    auto& row = rows_[key];
    row.touched_us = basis_.time_us;
    touches_.push_back({basis_.time_us, key});
    return row;
}

void ledger_table::erase(request_key const& key)
{
    auto const found = rows_.find(key);
    bytes_ -= size_of(found->second.call) + size_of(found->second.outcome);
    rows_.erase(found);
}

void ledger_table::set_call(ledger_row& row, stored_call call)
{
    bytes_ -= size_of(row.call);
    row.call = std::move(call);
    bytes_ += size_of(row.call);
}

void ledger_table::set_outcome(ledger_row& row, stored_outcome outcome)
{
    bytes_ -= size_of(row.outcome);
    if (bytes_ + size_of(outcome) > max_bytes_)
    {
        outcome.answer.clear();
        outcome.answer_kept = false;
    }
    row.outcome = std::move(outcome);
    bytes_ += size_of(row.outcome);
}

record_effect ledger_table::on(intent_record const& record)
{
    auto const& header = record.header;
    auto* row = find_and_touch(header.key);
    if (row != nullptr && row->run == header.run)
    {
        return record_effect::repeated;
    }
    if (row != nullptr && !can_claim(*row, header))
    {
        return record_effect::lost;
    }
    if (row == nullptr)
    {
        row = &insert_and_touch(header.key);
    }
    row->state = key_state::started;
    row->generation = header.generation;
    row->run = header.run;
    row->content = record.content;
    row->asynchronous = false;
    row->orphaned = false;
    set_call(*row, {});
    set_outcome(*row, {});
    return record_effect::won;
}

record_effect ledger_table::on(acceptance_record const& record)
{
    auto const& header = record.header;
    auto* row = find_and_touch(header.key);
    bool const resolves =
        row != nullptr && row->state == key_state::uncertain &&
        header.generation >= row->generation && writer_read_to_origin(header);
    if (row != nullptr && !resolves)
    {
        if (row->run == header.run)
        {
            return record_effect::repeated;
        }
        if (!can_claim(*row, header))
        {
            return record_effect::lost;
        }
    }
    if (row == nullptr)
    {
        row = &insert_and_touch(header.key);
    }
    row->state = writer_read_to_origin(header) ? key_state::accepted
                                               : key_state::uncertain;
    row->generation = header.generation;
    row->run = header.run;
    row->content = record.content;
    row->asynchronous = true;
    row->orphaned = record.orphaned;
    set_call(*row, record.call);
    set_outcome(*row, {});
    return record_effect::won;
}

record_effect ledger_table::on(start_record const& record)
{
    auto const& header = record.header;
    auto* row = find_and_touch(header.key);
    if (row != nullptr && row->run == header.run)
    {
        return record_effect::repeated;
    }
    if (row == nullptr)
    {
        row = &insert_and_touch(header.key);
    }
    else if ((row->state != key_state::accepted &&
              row->state != key_state::uncertain) ||
             row->generation != header.generation)
    {
        return record_effect::lost;
    }
    row->state = key_state::started;
    row->generation = header.generation;
    row->run = header.run;
    row->asynchronous = true;
    row->orphaned = false;
    return record_effect::won;
}

record_effect ledger_table::on(release_record const& record)
{
    auto const& header = record.header;
    auto* row = find_and_touch(header.key);
    if (row == nullptr)
    {
        row = &insert_and_touch(header.key);
        row->state = key_state::uncertain;
        row->generation = header.generation + 1;
        row->run = header.run;
        row->asynchronous = record.asynchronous;
        return record_effect::won;
    }
    bool const held =
        row->state == key_state::started || row->state == key_state::accepted;
    if (!held || row->run != header.run || row->generation != header.generation)
    {
        return record_effect::lost;
    }
    ++row->generation;
    row->state = key_state::free;
    if (record.asynchronous)
    {
        bool const known = !row->call.method.empty();
        row->state = known ? key_state::accepted : key_state::uncertain;
        row->orphaned = true;
    }
    return record_effect::won;
}

record_effect ledger_table::on(outcome_record const& record)
{
    auto const& header = record.header;
    auto* row = find_and_touch(header.key);
    if (row != nullptr &&
        (row->state == key_state::done || row->generation > header.generation))
    {
        return row->run == header.run ? record_effect::repeated
                                      : record_effect::lost;
    }
    if (row == nullptr)
    {
        row = &insert_and_touch(header.key);
    }
    row->state = key_state::done;
    row->generation = header.generation;
    row->run = header.run;
    row->content = record.content;
    row->orphaned = false;
    row->done_us = basis_.time_us;
    set_call(*row, {});
    set_outcome(*row, {outcome_verdict(record), record.status,
                       record.answer_kept, record.content_type, record.answer});
    return record_effect::won;
}

std::string ledger_table::snapshot() const
{
    table_image image{origin_, origin_us_, read_any_, basis_, {}};
    image.rows.reserve(rows_.size());
    for (auto const& [key, row] : rows_)
    {
        image.rows.push_back(image_of(key, row));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, image);
    return {buffer.data(), buffer.size()};
}

absl::Status ledger_table::restore(std::string const& snapshot)
{
    table_image image;
    try
    {
        bounded_unpack(snapshot).get().convert(image);
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
    if (!std::all_of(image.rows.begin(), image.rows.end(), well_formed))
    {
        return absl::InvalidArgumentError(
            "snapshot row has an unknown state or verdict");
    }
    std::sort(image.rows.begin(), image.rows.end(),
              [](row_image const& a, row_image const& b)
              { return a.touched_us < b.touched_us; });
    begin(image.origin);
    origin_us_ = image.origin_us;
    read_any_ = image.read_any;
    basis_ = image.basis;
    for (auto const& row : image.rows)
    {
        bytes_ +=
            size_of(row.call) + row.answer.size() + row.content_type.size();
        rows_[row.key] = row_of(row);
        touches_.push_back({row.touched_us, row.key});
    }
    return absl::OkStatus();
}

} // namespace amarantharch
