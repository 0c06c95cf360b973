#include "core/move_table.hpp"

#include "core/bounded_unpack.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// A record that has not been read back is appended again after this time. A
// repeated record has no effect, because stages and states only advance.
constexpr duration append_interval = std::chrono::seconds(2);

std::string revision_of(move_row const& row)
{
    return fmt::format("{}:{}:{}:{}", row.name, row.from, row.to,
                       to_micros(row.deadline));
}

// A move concerns one service: that of the first upstream it selects. Empty if
// it selects none.
std::string service_of(configuration const& tables, move_row const& row)
{
    if (row.upstreams.empty())
    {
        return "";
    }
    std::size_t const service = tables.upstreams[row.upstreams.front()].service;
    return tables.services[service].name;
}

// The new version's share of the capacity of the move's upstreams.
double capacity_share(configuration const& tables, move_row const& row)
{
    double total = 0;
    double new_version = 0;
    for (std::size_t const index : row.upstreams)
    {
        auto const& upstream = tables.upstreams[index];
        auto const slots = static_cast<double>(upstream.capacity);
        total += slots;
        new_version += upstream.version == row.to ? slots : 0;
    }
    return total > 0 ? new_version / total : 0;
}

std::optional<move_record> decode(std::string const& payload)
{
    try
    {
        return bounded_unpack(payload).get().as<move_record>();
    }
    catch (std::exception const&)
    {
        return std::nullopt; // a record of another kind
    }
}

} // namespace

std::string encode(move_record const& record)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, record);
    return {buffer.data(), buffer.size()};
}

void move_table::configure(time_point now, configuration const& tables)
{
    std::vector<row> kept;
    for (move_row const& configured : tables.moves)
    {
        std::string const service = service_of(tables, configured);
        if (service.empty())
        {
            continue;
        }
        std::string const revision = revision_of(configured);
        if (row* const known = find(revision))
        {
            kept.push_back(std::move(*known));
        }
        else
        {
            move_plan const plan{revision,      service, configured.from,
                                 configured.to, now,     configured.deadline};
            kept.push_back({configured.name, version_move(plan, {}), {}, {}});
            kept.back().move.on_contact(now);
        }
        kept.back().move.set_capacity_share(capacity_share(tables, configured));
    }
    rows_ = std::move(kept);
}

void move_table::add_ordered_move(time_point now, std::string name,
                                  move_plan plan, move_options const& options)
{
    if (find(plan.revision) != nullptr)
    {
        return;
    }
    std::erase_if(rows_, [&](row const& r) { return r.name == name; });
    rows_.push_back(
        {std::move(name), version_move(std::move(plan), options), {}, {}});
    rows_.back().move.on_contact(now);
}

std::vector<std::string> move_table::state_records() const
{
    std::vector<std::string> records;
    for (row const& r : rows_)
    {
        records.push_back(encode(r.move.state_record()));
    }
    return records;
}

move_table::row* move_table::find(std::string const& revision)
{
    auto const found = std::find_if(
        rows_.begin(), rows_.end(),
        [&](row const& r) { return r.move.plan().revision == revision; });
    return found == rows_.end() ? nullptr : &*found;
}

version_choice move_table::choose(time_point now, std::string const& service,
                                  request_id const& request) const
{
    for (row const& r : rows_)
    {
        move_plan const& plan = r.move.plan();
        if (plan.service != service)
        {
            continue;
        }
        version_choice choice;
        choice.move_revision = plan.revision;
        choice.new_share = r.move.share(now);
        choice.arm = r.move.assign(now, request);
        bool const is_new = choice.arm == version_arm::new_version;
        choice.version = is_new ? plan.new_version : plan.old_version;
        choice.fallback_version = is_new ? plan.old_version : "";
        choice.avoided_version = is_new ? "" : plan.new_version;
        return choice;
    }
    return {};
}

void move_table::on_answer(time_point now, std::string const& route,
                           version_choice const& choice, duration first_byte)
{
    if (row* const r = find(choice.move_revision))
    {
        r->move.on_answer(now, route, choice.band, choice.arm, first_byte);
    }
}

void move_table::on_failure(std::string const& route,
                            version_choice const& choice)
{
    if (row* const r = find(choice.move_revision))
    {
        r->move.on_failure(route, choice.band, choice.arm, choice.new_share);
    }
}

void move_table::apply(time_point now, log_batch const& batch)
{
    std::vector<std::string> records;
    for (log_record const& record : batch.records)
    {
        records.push_back(record.payload);
    }
    apply(now, records);
}

void move_table::apply(time_point now, std::vector<std::string> const& records)
{
    for (row& r : rows_)
    {
        r.move.on_contact(now);
    }
    for (std::string const& record : records)
    {
        auto const decoded = decode(record);
        row* const r = decoded ? find(decoded->revision) : nullptr;
        if (r == nullptr)
        {
            continue;
        }
        r->move.apply(*decoded);
        bool const confirmed = r->unconfirmed &&
                               r->unconfirmed->state == decoded->state &&
                               r->unconfirmed->stage <= decoded->stage;
        if (confirmed)
        {
            r->unconfirmed.reset();
        }
    }
}

void move_table::merge(time_point now, move_evidence const& peer)
{
    if (row* const r = find(peer.revision))
    {
        r->move.on_contact(now);
        r->move.merge(peer);
    }
}

std::vector<move_evidence> move_table::evidence(std::string const& vm,
                                                std::uint64_t incarnation)
{
    std::vector<move_evidence> all;
    for (row& r : rows_)
    {
        all.push_back(r.move.evidence(vm, incarnation));
    }
    return all;
}

std::vector<std::string> move_table::tick(time_point now, bool is_mover)
{
    std::vector<std::string> records;
    for (row& r : rows_)
    {
        if (auto record = r.move.tick(now, is_mover))
        {
            r.unconfirmed = *std::move(record);
            r.append_due = now;
        }
        if (r.unconfirmed && now >= r.append_due)
        {
            r.append_due = now + append_interval;
            records.push_back(encode(*r.unconfirmed));
        }
    }
    return records;
}

std::map<std::string, move_report> move_table::reports(time_point now) const
{
    std::map<std::string, move_report> all;
    for (row const& r : rows_)
    {
        all[r.name] = r.move.report(now);
    }
    return all;
}

} // namespace amarantharch
