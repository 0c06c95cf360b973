#include "app/timeline.hpp"

#include "app/log.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace amarantharch
{

namespace
{

// An entry's share of the budget: its texts and the entry itself.
std::size_t size_of(timeline_entry const& entry)
{
    return sizeof(timeline_entry) + entry.vm.size() + entry.kind.size() +
           entry.request.size() + entry.details.size();
}

std::string member(QJsonObject const& row, char const* key)
{
    return row.value(QLatin1String(key)).toString().toStdString();
}

// One event of Chrome's format; `extra` are further members of it.
std::string trace_event(std::string_view name, char phase, std::int64_t at_us,
                        std::size_t track, std::string_view extra)
{
    return fmt::format(
        R"({{"name":"{}","ph":"{}","ts":{},"pid":{},"tid":0{}}})",
        json_escape(name), phase, at_us, track, extra);
}

std::string arguments_of(timeline_entry const& entry)
{
    return fmt::format(
        R"(,"s":"p","args":{{"request":"{}","details":"{}","logical":{}}})",
        json_escape(entry.request), json_escape(entry.details),
        entry.at.logical);
}

// The first and last time of one request on one VM.
struct span
{
    std::int64_t begin_us;
    std::int64_t end_us;
};

struct trace_builder
{
    // Tracks are numbered in order of appearance.
    std::map<std::string, std::size_t> tracks;
    std::map<std::pair<std::string, request_id>, span> spans;
    std::string events;

    void add(std::string const& event)
    {
        events += (events.empty() ? "" : ",\n") + event;
    }

    std::size_t track_of(std::string const& vm)
    {
        auto const [row, added] = tracks.emplace(vm, tracks.size() + 1);
        if (added)
        {
            add(trace_event(
                "process_name", 'M', 0, row->second,
                fmt::format(R"(,"args":{{"name":"{}"}})", json_escape(vm))));
        }
        return row->second;
    }

    void add_entry(timeline_entry const& entry)
    {
        std::int64_t const at = entry.at.physical_us;
        add(trace_event(entry.kind, 'i', at, track_of(entry.vm),
                        arguments_of(entry)));
        if (!entry.request.empty())
        {
            auto const [row, added] =
                spans.try_emplace({entry.vm, entry.request}, span{at, at});
            row->second.end_us = std::max(row->second.end_us, at);
        }
    }

    // Async events, since the spans of one VM overlap.
    void add_spans()
    {
        for (auto const& [key, row] : spans)
        {
            auto const& [vm, request] = key;
            std::string const extra = fmt::format(
                R"(,"cat":"request","id":"{}")", json_escape(request));
            std::size_t const track = track_of(vm);
            add(trace_event(request, 'b', row.begin_us, track, extra));
            add(trace_event(request, 'e', row.end_us, track, extra));
        }
    }
};

} // namespace

timeline::timeline(std::string vm, std::size_t budget_bytes)
    : vm_(std::move(vm)), budget_bytes_(budget_bytes)
{
}

void timeline::record(time_point now, std::string kind, request_id request,
                      std::string details)
{
    entries_.push_back({clock_.tick(now), vm_, std::move(kind),
                        std::move(request), std::move(details)});
    used_bytes_ += size_of(entries_.back());
    while (used_bytes_ > budget_bytes_)
    {
        used_bytes_ -= size_of(entries_.front());
        entries_.pop_front();
        ++dropped_;
    }
}

void timeline::observe(time_point now, hybrid_time received)
{
    (void)clock_.observe(now, received);
}

hybrid_time timeline::stamp(time_point now)
{
    return clock_.tick(now);
}

std::vector<timeline_entry>
merge_timelines(std::vector<std::vector<timeline_entry>> const& parts)
{
    std::vector<timeline_entry> all;
    for (auto const& part : parts)
    {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](timeline_entry const& a, timeline_entry const& b)
                     { return std::tie(a.at, a.vm) < std::tie(b.at, b.vm); });
    return all;
}

std::string timeline_as_text(std::vector<timeline_entry> const& entries)
{
    std::string text;
    for (timeline_entry const& entry : entries)
    {
        text += fmt::format("{}.{:03} {} {}", entry.at.physical_us,
                            entry.at.logical, entry.vm, entry.kind);
        if (!entry.request.empty())
        {
            text += " request=" + entry.request;
        }
        if (!entry.details.empty())
        {
            text += " " + entry.details;
        }
        text += "\n";
    }
    return text;
}

std::string timeline_as_trace(std::vector<timeline_entry> const& entries)
{
    trace_builder trace;
    for (timeline_entry const& entry : entries)
    {
        trace.add_entry(entry);
    }
    trace.add_spans();
    return "{\"traceEvents\":[\n" + trace.events + "\n]}\n";
}

std::string timeline_as_json(std::vector<timeline_entry> const& entries)
{
    std::string rows;
    for (timeline_entry const& entry : entries)
    {
        rows += fmt::format(
            R"({}{{"physical_us":{},"logical":{},"vm":"{}","kind":"{}",)"
            R"("request":"{}","details":"{}"}})",
            rows.empty() ? "" : ",\n", entry.at.physical_us, entry.at.logical,
            json_escape(entry.vm), json_escape(entry.kind),
            json_escape(entry.request), json_escape(entry.details));
    }
    return "{\"entries\":[\n" + rows + "\n]}\n";
}

absl::StatusOr<std::vector<timeline_entry>>
timeline_from_json(std::string_view text)
{
    auto const document = QJsonDocument::fromJson(
        QByteArray(text.data(), static_cast<qsizetype>(text.size())));
    if (!document.object().value("entries").isArray())
    {
        return absl::InvalidArgumentError("not a time line");
    }
    std::vector<timeline_entry> entries;
    for (auto const& value : document.object().value("entries").toArray())
    {
        QJsonObject const row = value.toObject();
        entries.push_back(
            {{row.value("physical_us").toInteger(),
              static_cast<std::uint32_t>(row.value("logical").toInteger())},
             member(row, "vm"),
             member(row, "kind"),
             member(row, "request"),
             member(row, "details")});
    }
    return entries;
}

} // namespace amarantharch
