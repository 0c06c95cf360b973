#include "core/configuration.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr std::size_t max_faults = 200;
constexpr std::string_view remove_word = "remove";
constexpr std::string_view label_prefix = "label.";
// Integers up to here are exact in a double.
constexpr double max_exact_integer = 9.0e15;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r";
    auto const first = text.find_first_not_of(spaces);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(spaces) - first + 1);
}

bool is_name(std::string_view text)
{
    return !text.empty() &&
           std::ranges::all_of(text,
                               [](char c)
                               {
                                   return (c >= 'a' && c <= 'z') ||
                                          (c >= 'A' && c <= 'Z') ||
                                          (c >= '0' && c <= '9') || c == '_' ||
                                          c == '-' || c == '.' || c == ':' ||
                                          c == '/';
                               });
}

std::string title(section_id const& id)
{
    std::string text(name_in(section_kind_names, id.kind));
    return id.name.empty() ? text : text + ' ' + id.name;
}

// Parses lines into sections.
class text_parser
{
public:
    parsed_configuration parse(std::string_view text)
    {
        std::size_t start = 0;
        while (start < text.size())
        {
            auto const end = std::min(text.find('\n', start), text.size());
            ++line_;
            parse_line(text.substr(start, end - start));
            start = end + 1;
        }
        return std::move(result_);
    }

private:
    void parse_line(std::string_view line)
    {
        auto const content = trim(line);
        if (content.empty() || content[0] == '#' || content[0] == ';')
        {
            return;
        }
        auto const column = static_cast<int>(content.data() - line.data()) + 1;
        if (content[0] == '[')
        {
            parse_section_header(content, column);
        }
        else
        {
            parse_setting(line, content, column);
        }
    }

    void parse_section_header(std::string_view content, int column)
    {
        current_ = nullptr;
        in_faulty_section_ = true;
        if (content.back() != ']')
        {
            fault(column, "", "expected \"]\" at the end of the line");
            return;
        }
        auto inner = trim(content.substr(1, content.size() - 2));
        bool const removed = consume_word(inner, remove_word);
        auto const space = inner.find_first_of(" \t");
        auto const kind_text = inner.substr(0, space);
        auto const name = space == std::string_view::npos
                              ? std::string_view{}
                              : trim(inner.substr(space));
        auto const kind = value_in(section_kind_names, kind_text);
        if (!kind)
        {
            fault(column, "",
                  fmt::format("expected organisation, service, route, "
                              "upstream, move or limits, found \"{}\"",
                              kind_text));
            return;
        }
        add_section({*kind, std::string(name)}, removed, column);
    }

    static bool consume_word(std::string_view& text, std::string_view word)
    {
        auto const rest = text.substr(std::min(word.size(), text.size()));
        if (!text.starts_with(word) || rest.empty() ||
            (rest[0] != ' ' && rest[0] != '\t'))
        {
            return false;
        }
        text = trim(rest);
        return true;
    }

    void add_section(section_id const& id, bool removed, int column)
    {
        bool const named = id.kind != section_kind::limits;
        if (named ? !is_name(id.name) : !id.name.empty())
        {
            fault(column, "",
                  named ? fmt::format("expected a name of letters, digits and "
                                      "\"_-.:/\", found \"{}\"",
                                      id.name)
                        : "expected [limits] without a name");
            return;
        }
        auto const [row, added] = result_.sections.try_emplace(id);
        if (!added)
        {
            fault(column, "",
                  fmt::format("expected [{}] once, found it also on line {}",
                              title(id), row->second.line));
            return;
        }
        row->second.removed = removed;
        row->second.line = line_;
        current_ = &row->second;
        current_title_ = title(id);
        in_faulty_section_ = false;
    }

    void parse_setting(std::string_view line, std::string_view content,
                       int column)
    {
        auto const equals = content.find('=');
        if (equals == std::string_view::npos)
        {
            fault(column, "", "expected KEY = VALUE or [SECTION]");
            return;
        }
        auto const key = trim(content.substr(0, equals));
        auto const value = trim(content.substr(equals + 1));
        if (in_faulty_section_)
        {
            return; // the fault of the section itself is already reported
        }
        if (current_ == nullptr)
        {
            fault(column, key, "expected a [SECTION] before the first key");
            return;
        }
        check_and_add(line, key, value, column);
    }

    void check_and_add(std::string_view line, std::string_view key,
                       std::string_view value, int column)
    {
        if (current_->removed)
        {
            fault(column, key, "expected no keys in a section to remove");
            return;
        }
        if (!is_name(key))
        {
            fault(column, key, "expected a key of letters, digits and \"_.\"");
            return;
        }
        auto& settings = current_->settings;
        if (std::ranges::find(settings, key, &setting::key) != settings.end())
        {
            fault(column, key, "expected the key once in its section");
            return;
        }
        auto const value_column =
            value.empty() ? static_cast<int>(line.size()) + 1
                          : static_cast<int>(value.data() - line.data()) + 1;
        settings.push_back(
            {std::string(key), std::string(value), line_, value_column});
    }

    void fault(int column, std::string_view key, std::string message)
    {
        if (result_.faults.size() < max_faults)
        {
            result_.faults.push_back({line_, column,
                                      current_ ? current_title_ : "",
                                      std::string(key), std::move(message)});
        }
    }

    parsed_configuration result_;
    int line_ = 0;
    section* current_ = nullptr;
    std::string current_title_;
    bool in_faulty_section_ = false;
};

// Reads the settings of one section as typed values and collects the faults.
// Each reader returns `fallback` if the key is absent.
class section_reader
{
public:
    section_reader(section_id const& id, section const& from,
                   std::vector<configuration_fault>& faults)
        : title_(title(id)), from_(from), faults_(faults)
    {
    }

    std::string text(std::string_view key, bool required = false)
    {
        auto const* found = find(key);
        if (found == nullptr || found->value.empty())
        {
            if (required)
            {
                fault(found, key, "expected a value");
            }
            return {};
        }
        return found->value;
    }

    double number(std::string_view key, double min, double max, double fallback)
    {
        auto const* found = find(key);
        if (found == nullptr)
        {
            return fallback;
        }
        double value = 0;
        auto const& text = found->value;
        auto const [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size() ||
            !std::isfinite(value) || value < min || value > max)
        {
            fault(found, key,
                  fmt::format("expected a number from {} to {}, found \"{}\"",
                              min, max, text));
            return fallback;
        }
        return value;
    }

    std::int64_t integer(std::string_view key, std::int64_t min,
                         std::int64_t max, std::int64_t fallback)
    {
        auto const* found = find(key);
        if (found == nullptr)
        {
            return fallback;
        }
        std::int64_t value = 0;
        auto const& text = found->value;
        auto const [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size() ||
            value < min || value > max)
        {
            fault(found, key,
                  fmt::format(
                      "expected a whole number from {} to {}, found \"{}\"",
                      min, max, text));
            return fallback;
        }
        return value;
    }

    duration milliseconds(std::string_view key, duration fallback)
    {
        constexpr std::int64_t day_ms = 24LL * 3600 * 1000;
        return std::chrono::milliseconds(
            integer(key, 0, day_ms, to_millis(fallback)));
    }

    bool boolean(std::string_view key, bool fallback)
    {
        auto const* found = find(key);
        if (found == nullptr)
        {
            return fallback;
        }
        if (found->value != "yes" && found->value != "no")
        {
            fault(
                found, key,
                fmt::format("expected yes or no, found \"{}\"", found->value));
        }
        return found->value == "yes";
    }

    template <typename Enum, std::size_t Size>
    Enum choice(std::string_view key, name_table<Enum, Size> const& names,
                Enum fallback)
    {
        auto const* found = find(key);
        if (found == nullptr)
        {
            return fallback;
        }
        auto const value = value_in(names, std::string_view(found->value));
        if (!value)
        {
            std::string expected;
            for (auto const& row : names)
            {
                expected += (expected.empty() ? "" : " or ");
                expected += row.name;
            }
            fault(found, key,
                  fmt::format("expected {}, found \"{}\"", expected,
                              found->value));
        }
        return value.value_or(fallback);
    }

    selector selection(std::string_view key, bool required)
    {
        auto const* found = find(key);
        selector_error error;
        std::string_view const text =
            found == nullptr ? std::string_view("*") : found->value;
        if (found == nullptr && required)
        {
            fault(found, key, "expected a selector");
        }
        auto parsed = selector::parse(text, error);
        if (!parsed)
        {
            fault(found, key, error.message, error.column);
        }
        return parsed.value_or(selector());
    }

    std::string address(std::string_view key)
    {
        auto value = text(key, true);
        if (!value.empty() && !is_address(value))
        {
            fault(find(key), key,
                  fmt::format("expected IP:PORT, found \"{}\"", value));
        }
        return value;
    }

    // A SHA-256 digest as 64 lower-case hex digits.
    std::string digest(std::string_view key)
    {
        constexpr std::size_t digits = 64;
        auto value = text(key);
        bool const hex =
            value.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!value.empty() && (value.size() != digits || !hex))
        {
            fault(key, "expected 64 lower-case hex digits of a SHA-256");
        }
        return value;
    }

    label_map labels()
    {
        label_map all;
        for (auto const& row : from_.settings)
        {
            if (row.key.starts_with(label_prefix))
            {
                requested_keys_.insert(row.key);
                all[row.key.substr(label_prefix.size())] = row.value;
            }
        }
        return all;
    }

    // Reports each key that no reader has asked for. Must be called last.
    void report_unknown_keys()
    {
        for (auto const& row : from_.settings)
        {
            if (!requested_keys_.contains(row.key))
            {
                fault(&row, row.key,
                      fmt::format("expected one of {}",
                                  fmt::join(requested_keys_, ", ")),
                      0);
            }
        }
    }

    void fault(std::string_view key, std::string message)
    {
        fault(find(key), key, std::move(message));
    }

private:
    setting const* find(std::string_view key)
    {
        requested_keys_.emplace(key);
        auto const found =
            std::ranges::find(from_.settings, key, &setting::key);
        return found == from_.settings.end() ? nullptr : &*found;
    }

    // An IPv4 address, or an IPv6 address in brackets, followed by a port.
    static bool is_address(std::string_view text)
    {
        auto const colon = text.rfind(':');
        if (colon == std::string_view::npos)
        {
            return false;
        }
        auto const host = text.substr(0, colon);
        bool const v6 = host.size() > 2 && host.front() == '[' &&
                        host.back() == ']' &&
                        host.substr(1, host.size() - 2)
                                .find_first_not_of("0123456789abcdefABCDEF:") ==
                            std::string_view::npos;
        return is_number(text.substr(colon + 1), 1, 65535) &&
               (v6 || is_v4(host));
    }

    static bool is_v4(std::string_view host)
    {
        constexpr int parts = 4;
        for (int part = 1; part <= parts; ++part)
        {
            auto const dot = host.find('.');
            bool const last = dot == std::string_view::npos;
            if (last != (part == parts) ||
                !is_number(host.substr(0, dot), 0, 255))
            {
                return false;
            }
            host.remove_prefix(last ? host.size() : dot + 1);
        }
        return true;
    }

    static bool is_number(std::string_view text, int min, int max)
    {
        int value = 0;
        auto const [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc{} && end == text.data() + text.size() &&
               value >= min && value <= max;
    }

    void fault(setting const* where, std::string_view key, std::string message,
               std::size_t offset = 0)
    {
        if (faults_.size() < max_faults)
        {
            faults_.push_back(
                {where ? where->line : from_.line,
                 where ? where->column + static_cast<int>(offset) : 1, title_,
                 std::string(key), std::move(message)});
        }
    }

    std::string title_;
    section const& from_;
    std::vector<configuration_fault>& faults_;
    std::set<std::string, std::less<>> requested_keys_;
};

// Fills the tables kind by kind, so that later kinds can refer to earlier ones.
class compiler
{
public:
    explicit compiler(section_table const& sections) : sections_(sections) {}

    compiled_configuration run()
    {
        for_each_section(section_kind::organisation,
                         &compiler::add_organisation);
        for_each_section(section_kind::service, &compiler::add_service);
        for_each_section(section_kind::route, &compiler::add_route);
        for_each_section(section_kind::upstream, &compiler::add_upstream);
        for_each_section(section_kind::move, &compiler::add_move);
        for_each_section(section_kind::limits, &compiler::set_limits);
        return std::move(result_);
    }

private:
    using add_function = void (compiler::*)(std::string const&,
                                            section_reader&);

    void for_each_section(section_kind kind, add_function add)
    {
        auto it = sections_.lower_bound(section_id{kind, {}});
        for (; it != sections_.end() && it->first.kind == kind; ++it)
        {
            if (it->second.removed)
            {
                continue;
            }
            section_reader reader(it->first, it->second, result_.faults);
            (this->*add)(it->first.name, reader);
            reader.report_unknown_keys();
        }
    }

    void add_organisation(std::string const& name, section_reader& reader)
    {
        organisation_row row;
        row.name = name;
        row.weight = reader.number("weight", 0.001, 1000, row.weight);
        row.key_digest = reader.digest("key_digest");
        row.labels = reader.labels();
        row.labels["organisation"] = name;
        tables().organisations.push_back(std::move(row));
    }

    void add_service(std::string const& name, section_reader& reader)
    {
        service_row row;
        row.name = name;
        row.kind = reader.choice("kind", upstream_kind_names, row.kind);
        row.idempotent = reader.boolean("idempotent", row.idempotent);
        row.repeat_window = reader.milliseconds("repeat_window_ms", {});
        row.first_token_target = reader.milliseconds("first_token_ms", {});
        row.between_tokens_target =
            reader.milliseconds("between_tokens_ms", {});
        row.retry_ratio = reader.number("retry_ratio", 0, 1, row.retry_ratio);
        row.labels = reader.labels();
        row.labels["service"] = name;
        service_index_[name] = tables().services.size();
        tables().services.push_back(std::move(row));
    }

    void add_route(std::string const& name, section_reader& reader)
    {
        route_row row;
        row.name = name;
        row.path = reader.text("path", true);
        if (!row.path.empty() && row.path[0] != '/')
        {
            reader.fault("path", fmt::format("expected a path that begins with "
                                             "\"/\", found \"{}\"",
                                             row.path));
        }
        row.service = service_index(reader);
        row.organisations = reader.selection("organisations", false);
        row.timeout = reader.milliseconds("timeout_ms", row.timeout);
        row.priority =
            static_cast<int>(reader.integer("priority", 0, 9, row.priority));
        if (!paths_.insert(row.path).second)
        {
            reader.fault("path", "expected a path that no other route has");
        }
        tables().routes.push_back(std::move(row));
    }

    void add_upstream(std::string const& name, section_reader& reader)
    {
        constexpr std::int64_t max_capacity = 1'000'000;
        constexpr std::int64_t default_capacity = 16;
        configured_upstream row;
        row.name = name;
        row.address = reader.address("address");
        row.service = service_index(reader);
        row.version = reader.text("version");
        row.failure_domain = reader.text("failure_domain", true);
        row.machine_class = reader.text("class");
        row.price = reader.number("price", 0, max_exact_integer, row.price);
        row.capacity =
            reader.integer("capacity", 1, max_capacity, default_capacity);
        row.reclaimable = reader.boolean("reclaimable", false);
        row.labels = reader.labels();
        row.labels["upstream"] = name;
        row.labels["service"] = reader.text("service");
        row.labels["version"] = row.version;
        row.labels["zone"] = row.failure_domain;
        row.labels["class"] = row.machine_class;
        if (!row.address.empty() && !addresses_.insert(row.address).second)
        {
            reader.fault("address",
                         "expected an address that no other upstream has");
        }
        tables().upstreams.push_back(std::move(row));
    }

    void add_move(std::string const& name, section_reader& reader)
    {
        move_row row;
        row.name = name;
        auto const which = reader.selection("select", true);
        row.from = reader.text("from", true);
        row.to = reader.text("to", true);
        row.deadline = from_micros(reader.integer(
            "deadline_us", 0, std::numeric_limits<std::int64_t>::max() / 2, 0));
        if (!row.to.empty() && row.from == row.to)
        {
            reader.fault("to", "expected a version other than `from`");
        }
        if (to_micros(row.deadline) == 0)
        {
            reader.fault("deadline_us", "expected microseconds since the "
                                        "Unix epoch");
        }
        auto const& upstreams = tables().upstreams;
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            auto const& version = upstreams[i].version;
            if ((version == row.from || version == row.to) &&
                which.matches(upstreams[i].labels))
            {
                row.upstreams.push_back(i);
            }
        }
        tables().moves.push_back(std::move(row));
    }

    void set_limits(std::string const&, section_reader& reader)
    {
        constexpr std::int64_t max_bytes = std::int64_t{1} << 40;
        auto& limits = tables().limits;
        limits.queue_bytes =
            reader.integer("queue_bytes", 1, max_bytes, limits.queue_bytes);
        limits.body_bytes =
            reader.integer("body_bytes", 1, max_bytes, limits.body_bytes);
        limits.queue_time =
            reader.milliseconds("queue_time_ms", limits.queue_time);
        limits.bad_version_share =
            reader.number("bad_version_share", 0, 1, limits.bad_version_share);
    }

    std::size_t service_index(section_reader& reader)
    {
        auto const name = reader.text("service", true);
        auto const found = service_index_.find(name);
        if (found == service_index_.end())
        {
            if (!name.empty())
            {
                reader.fault("service",
                             fmt::format("expected a [service] of the "
                                         "configuration, found \"{}\"",
                                         name));
            }
            return 0;
        }
        return found->second;
    }

    configuration& tables()
    {
        return result_.tables;
    }

    section_table const& sections_;
    compiled_configuration result_;
    std::map<std::string, std::size_t> service_index_;
    std::set<std::string> paths_;
    std::set<std::string> addresses_;
};

template <typename Row>
std::vector<std::string> names_selected(std::vector<Row> const& rows,
                                        selector const& which)
{
    std::vector<std::string> names;
    for (auto const& row : rows)
    {
        if (which.matches(row.labels))
        {
            names.push_back(row.name);
        }
    }
    return names;
}

} // namespace

std::string to_string(configuration_fault const& fault)
{
    return fmt::format("line {}, column {}: [{}] {}: {}", fault.line,
                       fault.column, fault.section, fault.key, fault.message);
}

parsed_configuration parse_configuration(std::string_view text)
{
    return text_parser().parse(text);
}

section_table merge(section_table current, section_table const& change)
{
    for (auto& [id, old] : current)
    {
        old.line = 0; // only lines of the change are meaningful
        for (auto& row : old.settings)
        {
            row.line = 0;
        }
    }
    for (auto const& [id, changed] : change)
    {
        if (changed.removed)
        {
            current.erase(id);
        }
        else
        {
            current[id] = changed;
        }
    }
    return current;
}

std::string to_text(section_table const& sections)
{
    std::string text;
    for (auto const& [id, part] : sections)
    {
        text +=
            fmt::format("[{}{}]\n", part.removed ? "remove " : "", title(id));
        for (auto const& row : part.settings)
        {
            text += fmt::format("{} = {}\n", row.key, row.value);
        }
    }
    return text;
}

compiled_configuration compile(section_table const& sections)
{
    return compiler(sections).run();
}

selection select(configuration const& tables, selector const& which)
{
    return {names_selected(tables.organisations, which),
            names_selected(tables.services, which),
            names_selected(tables.upstreams, which)};
}

} // namespace amarantharch
