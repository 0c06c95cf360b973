#include "core/stream_relay.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace amarantharch
{

namespace
{

using nlohmann::json;

constexpr std::string_view data_field = "data:";
constexpr std::string_view end_mark = "[DONE]";

std::string_view without_leading_space(std::string_view text)
{
    return !text.empty() && text.front() == ' ' ? text.substr(1) : text;
}

std::optional<std::uint64_t> number_in(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
    {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

absl::StatusOr<engine_event> parse_event(std::string_view data)
{
    if (data == end_mark)
    {
        return stream_done{};
    }
    auto const object = json::parse(data, nullptr, false);
    if (!object.is_object())
    {
        return absl::InvalidArgumentError("event is not a JSON object");
    }
    if (auto const index = number_in(object, "index"))
    {
        auto const token = object.find("token");
        if (token == object.end() || !token->is_string())
        {
            return absl::InvalidArgumentError("event has no token string");
        }
        return stream_token{*index, token->get<std::string>()};
    }
    auto const cached = number_in(object, "cached_tokens");
    auto const prompt = number_in(object, "prompt_tokens");
    if (cached && prompt)
    {
        return prompt_usage{*cached, *prompt};
    }
    return absl::InvalidArgumentError("unknown event type");
}

} // namespace

absl::Status engine_event_parser::feed(std::string_view bytes,
                                       std::vector<engine_event>& events)
{
    while (failed_.ok() && !bytes.empty())
    {
        auto const end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (line_.size() > max_event_size)
        {
            failed_ =
                absl::ResourceExhaustedError("event exceeds max_event_size");
            break;
        }
        if (end == std::string_view::npos)
        {
            break;
        }
        bytes.remove_prefix(end + 1);
        failed_ = parse_line(events);
        line_.clear();
    }
    return failed_;
}

// An engine's event is a single data line. Empty lines, comments and fields
// other than data are ignored, as the standard for server-sent events requires.
absl::Status engine_event_parser::parse_line(std::vector<engine_event>& events)
{
    std::string_view line = line_;
    if (!line.empty() && line.back() == '\r')
    {
        line.remove_suffix(1);
    }
    if (line.substr(0, data_field.size()) != data_field)
    {
        return absl::OkStatus();
    }
    auto parsed =
        parse_event(without_leading_space(line.substr(data_field.size())));
    if (!parsed.ok())
    {
        return parsed.status();
    }
    events.push_back(*std::move(parsed));
    return absl::OkStatus();
}

std::string encode_event(stream_token const& token)
{
    auto const text =
        json(token.text).dump(-1, ' ', false, json::error_handler_t::replace);
    return fmt::format("data: {{\"index\":{},\"token\":{}}}\n\n", token.index,
                       text);
}

std::string encode_end_event()
{
    return fmt::format("data: {}\n\n", end_mark);
}

stream_relay::stream_relay(std::string stream_id, token_offset first,
                           std::size_t history_size)
    : stream_id_(std::move(stream_id)), next_(first),
      history_size_(history_size)
{
}

void stream_relay::begin_attempt(attempt_id attempt)
{
    if (state_ == relay_state::done)
    {
        return;
    }
    attempt_ = attempt;
    state_ = relay_state::relaying;
    parser_ = engine_event_parser();
    usage_ = prompt_usage{};
}

relay_state stream_relay::feed(attempt_id attempt, std::string_view bytes,
                               std::string& out)
{
    if (state_ != relay_state::relaying || attempt != attempt_)
    {
        ++late_pieces_;
        return state_;
    }
    std::vector<engine_event> events;
    auto const status = parser_.feed(bytes, events);
    bool const in_order = std::all_of(events.begin(), events.end(),
                                      [this, &out](engine_event const& one)
                                      { return relay_event(one, out); });
    if (state_ == relay_state::relaying && !(in_order && status.ok()))
    {
        state_ = relay_state::waiting;
    }
    return state_;
}

relay_state stream_relay::end_attempt(attempt_id attempt)
{
    if (state_ == relay_state::relaying && attempt == attempt_)
    {
        state_ = relay_state::waiting;
    }
    return state_;
}

absl::StatusOr<std::string> stream_relay::replay_from(token_offset from) const
{
    if (from > next_)
    {
        return absl::OutOfRangeError("offset is past the end of the stream");
    }
    auto const missing = next_ - from;
    if (missing > history_.size())
    {
        return absl::DataLossError("offset is older than the retained history");
    }
    std::string result;
    auto const first = history_.end() - static_cast<std::ptrdiff_t>(missing);
    std::for_each(first, history_.end(),
                  [&result](std::string const& one) { result += one; });
    if (state_ == relay_state::done)
    {
        result += encode_end_event();
    }
    return result;
}

bool stream_relay::relay_event(engine_event const& what, std::string& out)
{
    if (state_ == relay_state::done)
    {
        return false;
    }
    if (auto const* usage = std::get_if<prompt_usage>(&what))
    {
        usage_ = *usage;
        return true;
    }
    if (std::holds_alternative<stream_done>(what))
    {
        out += encode_end_event();
        state_ = relay_state::done;
        return true;
    }
    auto const& token = std::get<stream_token>(what);
    if (token.index < next_)
    {
        ++duplicates_;
        return true;
    }
    if (token.index > next_)
    {
        return false;
    }
    auto text = encode_event(token);
    out += text;
    ++next_;
    append_to_history(std::move(text));
    return true;
}

void stream_relay::append_to_history(std::string text)
{
    history_bytes_ += text.size();
    history_.push_back(std::move(text));
    while (history_bytes_ > history_size_)
    {
        history_bytes_ -= history_.front().size();
        history_.pop_front();
    }
}

} // namespace amarantharch
