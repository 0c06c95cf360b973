#include "app/publish_admin.hpp"

#include "app/log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <charconv>

namespace amarantharch
{

namespace
{

template <typename Integer>
bool read_integer(std::string_view text, Integer& value)
{
    char const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, value);
    return !text.empty() && read.ec == std::errc{} && read.ptr == end;
}

std::vector<std::string> quoted_text(std::vector<std::string> const& texts)
{
    std::vector<std::string> rows;
    rows.reserve(texts.size());
    for (std::string const& text : texts)
    {
        rows.push_back(fmt::format("\"{}\"", json_escape(text)));
    }
    return rows;
}

std::vector<std::string>
texts_of(std::vector<configuration_fault> const& faults)
{
    std::vector<std::string> texts;
    texts.reserve(faults.size());
    for (configuration_fault const& fault : faults)
    {
        texts.push_back(to_string(fault));
    }
    return texts;
}

} // namespace

admin_answer answer_configuration(control_plane const& plane)
{
    configuration_snapshot const held = plane.configurations().snapshot();
    return {200, "application/json",
            fmt::format(R"({{"known":{},"revision":"{}","author":"{}",)"
                        R"("text":"{}"}})"
                        "\n",
                        plane.configurations().in_force_known(),
                        revision_as_text(held.in_force),
                        json_escape(held.author), json_escape(held.text))};
}

admin_answer answer_publish(control_plane& plane, time_point now,
                            std::string_view body)
{
    auto change = decode_configuration_change(body);
    if (!change.ok())
    {
        return {400, "application/json", "{\"error\":\"not a change\"}\n"};
    }
    auto const before = plane.publish_status(change->publish_id);
    publish_report const report =
        before ? *before : plane.publish(now, *std::move(change));
    return {200, "application/json", as_json(report) + "\n"};
}

std::string revision_as_text(revision position)
{
    return fmt::format("{}.{}", position.offset, position.index);
}

absl::StatusOr<revision> revision_from_text(std::string_view text)
{
    std::size_t const dot = text.find('.');
    revision position;
    bool const read = dot != std::string_view::npos &&
                      read_integer(text.substr(0, dot), position.offset) &&
                      read_integer(text.substr(dot + 1), position.index);
    if (!read)
    {
        return absl::InvalidArgumentError(
            "expected a revision as OFFSET.INDEX");
    }
    return position;
}

std::string as_json(publish_report const& report)
{
    return fmt::format(
        R"({{"state":"{}","reason":"{}","revision":"{}","in_force_on":{},)"
        R"("members":{},"missing":[{}],"faults":[{}]}})",
        name_in(publish_state_names, report.state), json_escape(report.reason),
        revision_as_text(report.position), report.in_force_on, report.members,
        fmt::join(quoted_text(report.missing), ","),
        fmt::join(quoted_text(texts_of(report.faults)), ","));
}

} // namespace amarantharch
