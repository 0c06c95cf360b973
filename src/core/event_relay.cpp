#include "core/event_relay.hpp"

#include <absl/strings/numbers.h>

namespace amarantharch
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

// The id field of a complete event.
std::optional<std::uint64_t> id_of(std::string_view event)
{
    while (!event.empty())
    {
        auto const line_end = event.find('\n');
        std::string_view const line = event.substr(0, line_end);
        if (line.starts_with(id_field))
        {
            std::string_view const text = line.substr(id_field.size());
            std::uint64_t id = 0;
            if (absl::SimpleAtoi(absl::string_view(text.data(), text.size()),
                                 &id))
            {
                return id;
            }
        }
        if (line_end == std::string_view::npos)
        {
            break;
        }
        event.remove_prefix(line_end + 1);
    }
    return std::nullopt;
}

} // namespace

void event_relay::begin_attempt(attempt_id attempt)
{
    attempt_ = attempt;
    unfinished_.clear();
}

bool event_relay::feed(attempt_id attempt, std::string_view bytes,
                       std::string& out)
{
    if (attempt != attempt_)
    {
        return true;
    }
    unfinished_.append(bytes);
    std::string_view remaining = unfinished_;
    for (auto at = remaining.find(event_end); at != std::string_view::npos;
         at = remaining.find(event_end))
    {
        if (!relay_event(remaining.substr(0, at + event_end.size()), out))
        {
            return false;
        }
        remaining.remove_prefix(at + event_end.size());
    }
    unfinished_.erase(0, unfinished_.size() - remaining.size());
    return unfinished_.size() <= max_event_bytes;
}

bool event_relay::relay_event(std::string_view event_text, std::string& out)
{
    auto const id = id_of(event_text);
    if (id && last_)
    {
        if (*id <= *last_)
        {
            return true;
        }
        if (*id != *last_ + 1)
        {
            return false;
        }
    }
    if (id)
    {
        last_ = id;
    }
    ++events_relayed_;
    out.append(event_text);
    return true;
}

bool event_relay::end_attempt(attempt_id attempt)
{
    bool const has_begun = events_relayed_ > 0 || last_.has_value();
    return attempt != attempt_ || (unfinished_.empty() && has_begun);
}

} // namespace amarantharch
