#include "core/session_text.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <fmt/format.h>

#include <optional>

namespace amarantharch
{

namespace
{

constexpr std::string_view quoted_characters = " \t\"\\";
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char first_after_printable = 0x7f;
constexpr std::string_view header_prefix = "header.";

bool needs_quotes(std::string_view value)
{
    if (value.empty())
    {
        return true;
    }
    for (char const c : value)
    {
        auto const byte = static_cast<unsigned char>(c);
        if (byte < first_printable || byte >= first_after_printable ||
            quoted_characters.find(c) != std::string_view::npos)
        {
            return true;
        }
    }
    return false;
}

void append_escaped(std::string& out, char c)
{
    switch (c)
    {
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    case '"':
    case '\\':
        out += '\\';
        out += c;
        return;
    default:
        break;
    }
    auto const byte = static_cast<unsigned char>(c);
    if (byte < first_printable || byte >= first_after_printable)
    {
        out += fmt::format("\\x{:02x}", byte);
        return;
    }
    out += c;
}

std::optional<int> hex_digit(char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto const at = digits.find(c);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    return static_cast<int>(at);
}

// Tokenizer for one line.
class line_reader
{
public:
    explicit line_reader(std::string_view line) : line_(line) {}

    bool at_end() const
    {
        return at_ >= line_.size();
    }

    void skip_spaces()
    {
        while (!at_end() && line_[at_] == ' ')
        {
            ++at_;
        }
    }

    std::string word_until(std::string_view stops)
    {
        std::size_t const start = at_;
        while (!at_end() && stops.find(line_[at_]) == std::string_view::npos)
        {
            ++at_;
        }
        return std::string(line_.substr(start, at_ - start));
    }

    bool take(char c)
    {
        if (at_end() || line_[at_] != c)
        {
            return false;
        }
        ++at_;
        return true;
    }

    absl::StatusOr<std::string> value()
    {
        return take('"') ? quoted_value() : word_until(" ");
    }

    absl::Status expected(std::string_view token) const
    {
        return absl::InvalidArgumentError(
            fmt::format("column {}: expected {}", at_ + 1, token));
    }

private:
    absl::StatusOr<std::string> quoted_value()
    {
        std::string out;
        while (!at_end() && line_[at_] != '"')
        {
            char const c = line_[at_++];
            if (c != '\\')
            {
                out += c;
                continue;
            }
            absl::Status escaped = escape(out);
            if (!escaped.ok())
            {
                return escaped;
            }
        }
        if (!take('"'))
        {
            return expected("a closing quote");
        }
        return out;
    }

    absl::Status escape(std::string& out)
    {
        constexpr std::string_view names = "nrt\"\\";
        constexpr std::string_view values = "\n\r\t\"\\";
        if (take('x'))
        {
            return hex_escape(out);
        }
        auto const which =
            at_end() ? std::string_view::npos : names.find(line_[at_]);
        if (which == std::string_view::npos)
        {
            return expected("one of n r t \" \\ x after a backslash");
        }
        ++at_;
        out += values[which];
        return absl::OkStatus();
    }

    absl::Status hex_escape(std::string& out)
    {
        int byte = 0;
        for (int i = 0; i < 2; ++i)
        {
            auto const digit = at_end() ? std::nullopt : hex_digit(line_[at_]);
            if (!digit)
            {
                return expected("two hexadecimal digits");
            }
            byte = byte * 16 + *digit;
            ++at_;
        }
        out += static_cast<char>(byte);
        return absl::OkStatus();
    }

    std::string_view line_;
    std::size_t at_ = 0;
};

absl::StatusOr<std::int64_t> number(text_line const& line,
                                    std::string_view field)
{
    std::int64_t value = 0;
    std::string const text = line.value(field);
    if (!absl::SimpleAtoi(text, &value) || value < 0)
    {
        return absl::InvalidArgumentError(
            fmt::format("{}: field {}: expected a whole number, found \"{}\"",
                        line.word, field, text));
    }
    return value;
}

header_list headers_of(text_line const& line)
{
    header_list headers;
    for (text_field const& field : line.fields)
    {
        if (field.name.starts_with(header_prefix))
        {
            headers.push_back(
                {field.name.substr(header_prefix.size()), field.value});
        }
    }
    return headers;
}

absl::StatusOr<event> parse_call(text_line const& line)
{
    call request;
    request.id = line.value("id");
    request.method = line.value("method", "GET");
    request.target = line.value("target", "/");
    request.headers = headers_of(line);
    request.body = line.value("body");
    return call_received{std::move(request)};
}

absl::StatusOr<event> parse_abandoned(text_line const& line)
{
    return call_abandoned{line.value("id")};
}

absl::StatusOr<event> parse_head(text_line const& line)
{
    auto const attempt = number(line, "attempt");
    auto const status = number(line, "status");
    if (!attempt.ok() || !status.ok())
    {
        return attempt.ok() ? status.status() : attempt.status();
    }
    return upstream_head{static_cast<attempt_id>(*attempt),
                         static_cast<int>(*status), headers_of(line)};
}

absl::StatusOr<event> parse_piece(text_line const& line)
{
    auto const attempt = number(line, "attempt");
    if (!attempt.ok())
    {
        return attempt.status();
    }
    return upstream_piece{static_cast<attempt_id>(*attempt),
                          line.value("bytes")};
}

absl::StatusOr<event> parse_end(text_line const& line)
{
    auto const attempt = number(line, "attempt");
    if (!attempt.ok())
    {
        return attempt.status();
    }
    return upstream_end{static_cast<attempt_id>(*attempt)};
}

absl::StatusOr<event> parse_failed(text_line const& line)
{
    auto const attempt = number(line, "attempt");
    auto const run = value_in(verdict_names, line.value("run"));
    if (!attempt.ok())
    {
        return attempt.status();
    }
    if (!run)
    {
        return absl::InvalidArgumentError("failed: field run: expected "
                                          "not_run, may_have_run or ran");
    }
    return upstream_failed{static_cast<attempt_id>(*attempt), *run,
                           line.value("reason")};
}

absl::StatusOr<event> parse_tick(text_line const&)
{
    return ticked{};
}

absl::StatusOr<event> parse_leaving(text_line const& line)
{
    return upstream_leaving_seen{line.value("upstream")};
}

absl::StatusOr<event> parse_stop(text_line const& line)
{
    auto const deadline = number(line, "deadline_ms");
    if (!deadline.ok())
    {
        return deadline.status();
    }
    return stop_requested{time_point(std::chrono::milliseconds(*deadline))};
}

struct event_parser
{
    std::string_view word;
    absl::StatusOr<event> (*parse)(text_line const&);
};

constexpr event_parser event_parsers[] = {
    {"call", parse_call}, {"abandoned", parse_abandoned},
    {"head", parse_head}, {"piece", parse_piece},
    {"end", parse_end},   {"failed", parse_failed},
    {"tick", parse_tick}, {"leaving", parse_leaving},
    {"stop", parse_stop},
};

std::string text_of(header_list const& headers)
{
    std::string out;
    for (header_field const& field : headers)
    {
        out += fmt::format(" {}{}={}", header_prefix, field.name,
                           quoted_text(field.value));
    }
    return out;
}

struct command_writer
{
    std::string operator()(start_attempt const& c) const
    {
        return fmt::format("start attempt={} request={} upstream={}{}",
                           c.attempt, quoted_text(c.request.id),
                           quoted_text(c.upstream), text_of(c.request.headers));
    }
    std::string operator()(cancel_attempt const& c) const
    {
        return fmt::format("cancel attempt={}", c.attempt);
    }
    std::string operator()(answer_head const& c) const
    {
        return fmt::format("answer_head request={} status={}{}",
                           quoted_text(c.request), c.status,
                           text_of(c.headers));
    }
    std::string operator()(answer_piece const& c) const
    {
        return fmt::format("answer_piece request={} bytes={}",
                           quoted_text(c.request), quoted_text(c.bytes));
    }
    std::string operator()(answer_end const& c) const
    {
        return fmt::format("answer_end request={}", quoted_text(c.request));
    }
    std::string operator()(answer_refusal const& c) const
    {
        return fmt::format("refuse request={} status={} verdict={} reason={} "
                           "retry_after_ms={}",
                           quoted_text(c.request), c.why.status,
                           name(c.why.run), quoted_text(c.why.reason),
                           to_millis(c.why.retry_after));
    }
    std::string operator()(send_append const& c) const
    {
        return fmt::format("append token={} stream={}", c.token,
                           name_in(log_stream_names, c.stream));
    }
    std::string operator()(send_read const& c) const
    {
        return fmt::format("read token={} stream={} from={}", c.token,
                           name_in(log_stream_names, c.stream), c.from);
    }
    std::string operator()(send_to_peer const& c) const
    {
        return fmt::format("send vm={} kind={}", quoted_text(c.message.vm),
                           name_in(peer_message_kind_names, c.message.kind));
    }
    std::string operator()(read_duty_log const& c) const
    {
        return fmt::format("read_duties from={}", c.from);
    }
    std::string operator()(append_duty_record const& c) const
    {
        return fmt::format("append_duty at={}", c.at);
    }
    std::string operator()(report_usage const& c) const
    {
        return fmt::format("report_usage window={} fence={}", c.window,
                           c.fence);
    }
    std::string operator()(order_upstreams const& c) const
    {
        return fmt::format(
            "order service={} failure_domain={} reclaimable={} count={} "
            "fence={}",
            quoted_text(c.order.service), quoted_text(c.order.failure_domain),
            c.order.reclaimable, c.order.count, c.fence);
    }
    std::string operator()(read_for_others const& c) const
    {
        return fmt::format("read_for_others reads={}", c.reads);
    }
    std::string operator()(read_upstream_load const& c) const
    {
        return fmt::format("read_load upstream={}", quoted_text(c.upstream));
    }
    std::string operator()(relay_answer_head const& c) const
    {
        return fmt::format("relay_head relay={} status={}{}", c.relay, c.status,
                           text_of(c.headers));
    }
    std::string operator()(relay_answer_piece const& c) const
    {
        return fmt::format("relay_piece relay={} bytes={}", c.relay,
                           quoted_text(c.bytes));
    }
    std::string operator()(relay_answer_end const& c) const
    {
        return fmt::format("relay_end relay={}", c.relay);
    }
    std::string operator()(relay_answer_failed const& c) const
    {
        return fmt::format("relay_failed relay={} place={} verdict={} "
                           "reason={}",
                           c.relay, name_in(failure_place_names, c.why.place),
                           name(c.why.run), quoted_text(c.why.reason));
    }
    std::string operator()(check_upstream const& c) const
    {
        return fmt::format("check_upstream upstream={}", c.upstream);
    }
    std::string operator()(take_configuration const& c) const
    {
        return fmt::format("take_configuration bytes={}", c.record.size());
    }
    std::string operator()(take_reading const& c) const
    {
        return fmt::format("take_reading states={} records={}",
                           c.report.states.size(), c.report.records.size());
    }
    std::string operator()(report_version_move const& c) const
    {
        return fmt::format("report_move service={} version={} state={}",
                           quoted_text(c.service), quoted_text(c.version),
                           name_in(move_state_names, c.state));
    }
    std::string operator()(record_timeline const& c) const
    {
        return fmt::format("timeline kind={} request={} details={}",
                           quoted_text(c.kind), quoted_text(c.request),
                           quoted_text(c.details));
    }
};

} // namespace

std::string text_line::value(std::string_view name,
                             std::string_view default_value) const
{
    for (text_field const& field : fields)
    {
        if (field.name == name)
        {
            return field.value;
        }
    }
    return std::string(default_value);
}

absl::StatusOr<text_line> parse_text_line(std::string_view line)
{
    line_reader reader(line);
    text_line result;
    reader.skip_spaces();
    result.word = reader.word_until(" ");
    for (reader.skip_spaces(); !reader.at_end(); reader.skip_spaces())
    {
        text_field field;
        field.name = reader.word_until(" =");
        if (field.name.empty() || !reader.take('='))
        {
            return reader.expected("name=value");
        }
        auto value = reader.value();
        if (!value.ok())
        {
            return value.status();
        }
        field.value = *std::move(value);
        result.fields.push_back(std::move(field));
    }
    return result;
}

std::string quoted_text(std::string_view value)
{
    if (!needs_quotes(value))
    {
        return std::string(value);
    }
    std::string out = "\"";
    for (char const c : value)
    {
        append_escaped(out, c);
    }
    out += '"';
    return out;
}

absl::StatusOr<event> parse_event(text_line const& line)
{
    for (event_parser const& row : event_parsers)
    {
        if (row.word == line.word)
        {
            return row.parse(line);
        }
    }
    return absl::InvalidArgumentError(
        fmt::format("unknown event \"{}\"", line.word));
}

std::string to_text(command const& what)
{
    return std::visit(command_writer{}, what);
}

} // namespace amarantharch
