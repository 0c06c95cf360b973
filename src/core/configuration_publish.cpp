#include "core/configuration_publish.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace amarantharch
{

namespace
{

// Interval at which members not known to hold the revision are queried.
constexpr duration query_interval = std::chrono::seconds(1);

std::string section_title(section_id const& id)
{
    return id.name.empty()
               ? std::string(name_in(section_kind_names, id.kind))
               : fmt::format("{} {}", name_in(section_kind_names, id.kind),
                             id.name);
}

bool same_settings(section const& a, section const& b)
{
    return std::ranges::equal(a.settings, b.settings,
                              [](setting const& x, setting const& y)
                              { return x.key == y.key && x.value == y.value; });
}

void compare_sections(section_table const& before, section_table const& after,
                      dry_run& result)
{
    for (auto const& [id, part] : after)
    {
        auto const old = before.find(id);
        if (old == before.end())
        {
            result.added.push_back(section_title(id));
        }
        else if (!same_settings(old->second, part))
        {
            result.changed.push_back(section_title(id));
        }
    }
    for (auto const& [id, part] : before)
    {
        if (!after.contains(id))
        {
            result.removed.push_back(section_title(id));
        }
    }
}

void list_selected(configuration const& tables, dry_run& result)
{
    for (auto const& move : tables.moves)
    {
        std::vector<std::string> names;
        for (auto const i : move.upstreams)
        {
            names.push_back(tables.upstreams[i].name);
        }
        result.selected.emplace_back("move " + move.name, std::move(names));
    }
    for (auto const& route : tables.routes)
    {
        result.selected.emplace_back(
            "route " + route.name,
            select(tables, route.organisations).organisations);
    }
}

} // namespace

dry_run try_change(configuration_store const& store,
                   configuration_change const& change)
{
    dry_run result;
    auto parsed = parse_configuration(change.text);
    auto const merged =
        merge(change.replaces_all ? section_table{} : store.sections(),
              parsed.sections);
    auto compiled = compile(merged);
    result.faults = std::move(parsed.faults);
    result.faults.insert(result.faults.end(), compiled.faults.begin(),
                         compiled.faults.end());
    compare_sections(store.sections(), merged, result);
    if (result.faults.empty())
    {
        list_selected(compiled.tables, result);
    }
    return result;
}

publish_report check_change(configuration_store const& store,
                            configuration_change const& change,
                            verify_signature verify)
{
    publish_report report;
    auto const refuse = [&report](std::string reason)
    {
        report.state = publish_state::refused;
        report.reason = std::move(reason);
    };
    report.faults = try_change(store, change).faults;
    if (!store.in_force_known())
    {
        refuse("this VM does not know the revision in force: " +
               store.readiness().reason);
    }
    else if (change.base != store.in_force())
    {
        refuse(fmt::format("written against revision {}.{}, but {}.{} by {} is "
                           "in force",
                           change.base.offset, change.base.index,
                           store.in_force().offset, store.in_force().index,
                           store.author()));
    }
    else if (verify == nullptr ||
             !verify(change.author, signed_bytes(change), change.signature))
    {
        refuse(fmt::format("no valid signature of {}", change.author));
    }
    else if (!report.faults.empty())
    {
        refuse(fmt::format("{} faults", report.faults.size()));
    }
    return report;
}

configuration_publish::configuration_publish(time_point now,
                                             configuration_change change,
                                             duration timeout)
    : change_(std::move(change)), deadline_(now + timeout)
{
}

std::optional<std::string>
configuration_publish::start(configuration_store const& store,
                             verify_signature verify)
{
    if (auto const known = store.decision(change_.publish_id))
    {
        on_decision(*known);
        return std::nullopt;
    }
    report_ = check_change(store, change_, verify);
    if (report_.state == publish_state::refused)
    {
        return std::nullopt;
    }
    return encode(change_);
}

void configuration_publish::on_decision(change_decision const& decision)
{
    if (decision.publish_id != change_.publish_id ||
        report_.state == publish_state::accepted ||
        report_.state == publish_state::in_force)
    {
        return;
    }
    if (decision.outcome == change_outcome::accepted)
    {
        report_.state = publish_state::accepted;
        report_.reason.clear();
        report_.position = decision.position;
        return;
    }
    report_.state = publish_state::refused;
    report_.reason = decision.reason;
    if (!decision.changed.empty())
    {
        report_.reason +=
            fmt::format("; changed: {}", fmt::join(decision.changed, ", "));
    }
}

void configuration_publish::tick(time_point now, membership& fleet)
{
    if (report_.state == publish_state::pending && now >= deadline_)
    {
        report_.state = publish_state::unknown;
        report_.reason = fmt::format(
            "the record has not been read back from the log yet; repeat the "
            "publish with id {}, which takes effect at most once",
            change_.publish_id);
    }
    if (report_.state != publish_state::accepted)
    {
        return;
    }
    auto spread = fleet.count_holders(report_.position);
    report_.in_force_on = spread.in_force;
    report_.members = spread.members;
    report_.missing = std::move(spread.missing);
    if (report_.in_force_on == report_.members)
    {
        report_.state = publish_state::in_force;
    }
    else if (now >= next_query_at_)
    {
        next_query_at_ = now + query_interval;
        fleet.query_revisions(report_.position);
    }
}

} // namespace amarantharch
