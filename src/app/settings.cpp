// One table declares every key. Each row leads, by a function, to the member
// that the key sets, as a pointer whose type decides how the text is read and
// shown; defaults are read off a default-constructed object. So a key cannot
// be read without being documented.
//
// Boost.PropertyTree's INI parser is given one line at a time: it stops at its
// first error and forgets line numbers, and this way every fault is found and
// has its line. Cost: lines times keys, a few thousand comparisons a file.
#include "app/settings.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <absl/strings/numbers.h>

#include <fmt/format.h>

#include <QHostAddress>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>
#include <sstream>
#include <variant>

namespace amarantharch
{

namespace
{

// The value of an address key is checked to be IP:PORT.
struct address_target
{
    std::string* text;
};

// The value of a public key is checked to be hexadecimal.
struct public_key_target
{
    std::string* text;
};

using target =
    std::variant<std::string*, address_target, public_key_target,
                 std::uint16_t*, std::uint8_t*, std::uint32_t*, std::uint64_t*,
                 double*, duration*, bool*, upstream_kind*, log_level*>;

struct key_row
{
    std::string_view section; // without the name of a repeated section
    std::string_view key;
    std::string_view unit; // of numbers
    double least;
    double most;
    bool required;
    target (*where)(settings&);
    std::string_view help;
};

struct section_row
{
    std::string_view section;
    // Adds the row of a repeated section; null for a section without name.
    void (*add)(settings&, std::string name);
    std::string_view help;
};

constexpr char const* default_service = "default";

upstream_spec upstream_called(std::string name)
{
    upstream_spec row;
    row.name = std::move(name);
    row.service = default_service;
    return row;
}

route_spec route_called(std::string name)
{
    route_spec row;
    row.name = std::move(name);
    row.prefix = "/";
    row.service = default_service;
    return row;
}

constexpr section_row sections[] = {
    {"vm", nullptr, "This VM and the addresses that it listens on."},
    {"log", nullptr, "The platform's append-only log service."},
    {"platform", nullptr, "The platform's VM list and cloud API."},
    {"tls", nullptr,
     "Mutual TLS between VMs; all three keys or none. `amarantharch keys` "
     "makes the files."},
    {"limits", nullptr, "What callers may send, and how long they may take."},
    {"memory", nullptr, "Budgets; what would exceed one is refused."},
    {"publisher",
     [](settings& s, std::string name)
     { s.publishers.emplace_back().name = std::move(name); },
     "One who may publish configuration changes. May be repeated."},
    {"upstream",
     [](settings& s, std::string name)
     { s.tables.upstreams.push_back(upstream_called(std::move(name))); },
     "One back end. May be repeated, each with a name of its own."},
    {"route",
     [](settings& s, std::string name)
     { s.tables.routes.push_back(route_called(std::move(name))); },
     "Requests whose path starts with a prefix; the longest prefix wins. May "
     "be repeated."},
    {"organisation",
     [](settings& s, std::string name)
     { s.tables.organisations.emplace_back().name = std::move(name); },
     "A customer, recognised by its key. May be repeated."},
};

constexpr double any = std::numeric_limits<double>::max();
constexpr std::size_t public_key_digits = 64;
constexpr double most_port = 65535;
constexpr double most_bytes = double{1ULL << 40};
constexpr double most_milliseconds = 24.0 * 3600 * 1000;
constexpr double most_weight = 1000;
constexpr double most_price = 1e9;
constexpr double most_priority = 9;
constexpr double most_connections = 1 << 20;

constexpr key_row keys[] = {
    {"vm", "id", "", 0, any, true, [](settings& s) -> target { return &s.vm; },
     "Name of this VM, unique in the fleet."},
    {"vm", "failure_domain", "", 0, any, true,
     [](settings& s) -> target { return &s.failure_domain; },
     "The failure domain that this VM runs in."},
    {"vm", "region", "", 0, any, false,
     [](settings& s) -> target { return &s.region; },
     "The region of that failure domain."},
    {"vm", "listen_address", "", 0, any, false,
     [](settings& s) -> target { return &s.listen_address; },
     "IP address for callers, operators and peers."},
    {"vm", "listen_port", "port", 0, most_port, false,
     [](settings& s) -> target { return &s.listen_port; },
     "Port for callers; 0 takes any free one."},
    {"vm", "admin_port", "port", 0, most_port, false,
     [](settings& s) -> target { return &s.admin_port; },
     "Port for operators (health, metrics, drain); 0 takes any free one."},
    {"vm", "peer_port", "port", 0, most_port, false,
     [](settings& s) -> target { return &s.peer_port; },
     "Port for other VMs; 0 takes any free one."},
    {"vm", "log_level", "", 0, any, false,
     [](settings& s) -> target { return &s.least_logged; },
     "The least severe log lines that are written."},
    {"log", "address", "", 0, any, false,
     [](settings& s) -> target { return address_target{&s.log_address}; },
     "The log service. Without it nothing that must be agreed or kept can be "
     "done."},
    {"platform", "address", "", 0, any, false,
     [](settings& s) -> target { return address_target{&s.platform_address}; },
     "The VM list and the cloud API."},
    {"tls", "ca", "", 0, any, false,
     [](settings& s) -> target { return &s.tls.ca; },
     "PEM file of the authority that signs VMs' certificates."},
    {"tls", "certificate", "", 0, any, false,
     [](settings& s) -> target { return &s.tls.certificate; },
     "PEM file of this VM's certificate."},
    {"tls", "key", "", 0, any, false,
     [](settings& s) -> target { return &s.tls.key; },
     "PEM file of this VM's private key."},
    {"limits", "header_bytes", "bytes", 256, 1 << 20, false,
     [](settings& s) -> target { return &s.limits.header_bytes; },
     "Largest request head; a larger one gets 431."},
    {"limits", "body_bytes", "bytes", 0, most_bytes, false,
     [](settings& s) -> target { return &s.limits.body_bytes; },
     "Largest request body; a larger one gets 413."},
    {"limits", "connections", "connections", 1, most_connections, false,
     [](settings& s) -> target { return &s.limits.connections; },
     "Callers' connections at once; more get 503."},
    {"limits", "header_timeout", "ms", 1, most_milliseconds, false,
     [](settings& s) -> target { return &s.limits.header_timeout; },
     "Time for a request head to arrive; then 408."},
    {"limits", "body_timeout", "ms", 1, most_milliseconds, false,
     [](settings& s) -> target { return &s.limits.body_timeout; },
     "Time for a request body to arrive; then 408."},
    {"limits", "idle_timeout", "ms", 1, most_milliseconds, false,
     [](settings& s) -> target { return &s.limits.idle_timeout; },
     "How long an idle connection is kept open."},
    {"limits", "drain_timeout", "ms", 0, most_milliseconds, false,
     [](settings& s) -> target { return &s.limits.drain_timeout; },
     "How long a graceful shutdown waits for requests in progress."},
    {"memory", "request_bytes", "bytes", 1 << 16, most_bytes, false,
     [](settings& s) -> target { return &s.memory.request_bytes; },
     "Bodies of requests in progress."},
    {"memory", "answer_bytes", "bytes", 1 << 16, most_bytes, false,
     [](settings& s) -> target { return &s.memory.answer_bytes; },
     "Answers that their callers have not read yet."},
    {"memory", "control_bytes", "bytes", 1 << 20, most_bytes, false,
     [](settings& s) -> target { return &s.memory.control_bytes; },
     "State shared with other VMs and read from the log."},
    {"memory", "timeline_bytes", "bytes", 1 << 12, most_bytes, false,
     [](settings& s) -> target { return &s.memory.timeline_bytes; },
     "The newest entries of the time line."},
    {"publisher", "public_key", "", 0, any, true,
     [](settings& s) -> target
     { return public_key_target{&s.publishers.back().public_key}; },
     "Its public key, which `amarantharch keys publisher` prints."},
    {"upstream", "address", "", 0, any, true,
     [](settings& s) -> target
     { return address_target{&s.tables.upstreams.back().address}; },
     "Where it listens."},
    {"upstream", "kind", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.upstreams.back().kind; },
     "`engine` is a model engine, `plain` any HTTP service."},
    {"upstream", "service", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.upstreams.back().service; },
     "The service that it belongs to."},
    {"upstream", "version", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.upstreams.back().version; },
     "The version of its software or model."},
    {"upstream", "failure_domain", "", 0, any, false,
     [](settings& s) -> target
     { return &s.tables.upstreams.back().failure_domain; },
     "The failure domain that it runs in."},
    {"upstream", "capacity", "requests", 1, most_connections, false,
     [](settings& s) -> target { return &s.tables.upstreams.back().capacity; },
     "Requests in flight that it may be given."},
    {"upstream", "price", "per hour", 0, most_price, false,
     [](settings& s) -> target { return &s.tables.upstreams.back().price; },
     "What it costs, in one unit for all upstreams."},
    {"upstream", "reclaimable", "", 0, any, false,
     [](settings& s) -> target
     { return &s.tables.upstreams.back().reclaimable; },
     "Whether the platform may take it back at any time."},
    {"route", "prefix", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.routes.back().prefix; },
     "Start of the paths that the route takes."},
    {"route", "service", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.routes.back().service; },
     "The service that answers."},
    {"route", "kind", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.routes.back().kind; },
     "The kind of that service's upstreams."},
    {"route", "idempotent", "", 0, any, false,
     [](settings& s) -> target { return &s.tables.routes.back().idempotent; },
     "`no`: a request runs at most once."},
    {"route", "timeout", "ms", 1, most_milliseconds, false,
     [](settings& s) -> target { return &s.tables.routes.back().timeout; },
     "Time for the whole answer."},
    {"route", "priority", "", 0, most_priority, false,
     [](settings& s) -> target { return &s.tables.routes.back().priority; },
     "Which requests are served first under load; 0 is served last."},
    {"organisation", "weight", "", 0.001, most_weight, false,
     [](settings& s) -> target
     { return &s.tables.organisations.back().weight; },
     "Its share of capacity that several organisations want."},
    {"organisation", "key_digest", "", 0, any, true,
     [](settings& s) -> target
     { return &s.tables.organisations.back().key_digest; },
     "Hexadecimal SHA-256 of the bearer token of its requests."},
};

section_row const* find_section(std::string_view section)
{
    for (section_row const& row : sections)
    {
        if (row.section == section)
        {
            return &row;
        }
    }
    return nullptr;
}

key_row const* find_key(std::string_view section, std::string_view key)
{
    for (key_row const& row : keys)
    {
        if (row.section == section && row.key == key)
        {
            return &row;
        }
    }
    return nullptr;
}

template <typename Enum, std::size_t Size>
std::string names_of(name_table<Enum, Size> const& table)
{
    std::string names;
    for (auto const& row : table)
    {
        names += fmt::format("{}{}", names.empty() ? "" : " or ", row.name);
    }
    return names;
}

// What the text of a value has to be.
struct type_of
{
    key_row const& row;

    std::string operator()(std::string*) const
    {
        return "text";
    }
    std::string operator()(address_target) const
    {
        return "IP:PORT";
    }
    std::string operator()(public_key_target) const
    {
        return fmt::format("{} hexadecimal digits", public_key_digits);
    }
    std::string operator()(std::uint16_t*) const
    {
        return range("an integer");
    }
    std::string operator()(std::uint64_t*) const
    {
        return range("an integer");
    }
    std::string operator()(std::uint8_t*) const
    {
        return range("an integer");
    }
    std::string operator()(std::uint32_t*) const
    {
        return range("an integer");
    }
    std::string operator()(double*) const
    {
        return range("a number");
    }
    std::string operator()(duration*) const
    {
        return range("an integer");
    }
    std::string operator()(bool*) const
    {
        return "yes or no";
    }
    std::string operator()(upstream_kind*) const
    {
        return names_of(upstream_kind_names);
    }
    std::string operator()(log_level*) const
    {
        return names_of(log_level_names);
    }

    std::string range(std::string_view type) const
    {
        std::string const unit =
            row.unit.empty() ? "" : fmt::format(" ({})", row.unit);
        return fmt::format("{}{} from {:.10g} to {:.15g}", type, unit,
                           row.least, row.most);
    }
};

// Sets the member from `text`; false if the text is not of the type.
struct assign_from
{
    key_row const& row;
    std::string const& text;

    bool operator()(std::string* value) const
    {
        *value = text;
        return !row.required || !text.empty();
    }
    bool operator()(address_target value) const
    {
        *value.text = text;
        auto const colon = text.rfind(':');
        unsigned port = 0;
        return colon != std::string::npos &&
               absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 &&
               port <= most_port &&
               !QHostAddress(QString::fromStdString(text.substr(0, colon)))
                    .isNull();
    }
    bool operator()(public_key_target value) const
    {
        *value.text = text;
        return text.size() == public_key_digits &&
               text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }
    bool operator()(double* value) const
    {
        return absl::SimpleAtod(text, value) && *value >= row.least &&
               *value <= row.most;
    }
    bool operator()(bool* value) const
    {
        *value = text == "yes";
        return *value || text == "no";
    }
    bool operator()(upstream_kind* value) const
    {
        return assign_name(upstream_kind_names, value);
    }
    bool operator()(log_level* value) const
    {
        return assign_name(log_level_names, value);
    }
    bool operator()(duration* value) const
    {
        std::uint64_t milliseconds = 0;
        bool const read = (*this)(&milliseconds);
        *value = std::chrono::milliseconds(milliseconds);
        return read;
    }
    bool operator()(std::uint8_t* value) const
    {
        return assign_narrow(value);
    }
    bool operator()(std::uint16_t* value) const
    {
        return assign_narrow(value);
    }
    bool operator()(std::uint32_t* value) const
    {
        return assign_narrow(value);
    }
    bool operator()(std::uint64_t* value) const
    {
        return absl::SimpleAtoi(text, value) &&
               static_cast<double>(*value) >= row.least &&
               static_cast<double>(*value) <= row.most;
    }

    // The row's range lies within the type's.
    template <typename Integer>
    bool assign_narrow(Integer* value) const
    {
        std::uint64_t wide = 0;
        bool const read = (*this)(&wide);
        *value = static_cast<Integer>(wide);
        return read;
    }

    template <typename Enum, std::size_t Size>
    bool assign_name(name_table<Enum, Size> const& table, Enum* value) const
    {
        auto const found = value_in(table, text);
        *value = found.value_or(*value);
        return found.has_value();
    }
};

// The text that sets the member to the value that it has.
struct show
{
    std::string operator()(std::string const* value) const
    {
        return *value;
    }
    std::string operator()(address_target value) const
    {
        return *value.text;
    }
    std::string operator()(public_key_target value) const
    {
        return *value.text;
    }
    std::string operator()(duration const* value) const
    {
        return fmt::to_string(to_millis(*value));
    }
    std::string operator()(bool const* value) const
    {
        return *value ? "yes" : "no";
    }
    std::string operator()(upstream_kind const* value) const
    {
        return std::string(name_in(upstream_kind_names, *value));
    }
    std::string operator()(log_level const* value) const
    {
        return std::string(name_in(log_level_names, *value));
    }
    template <typename Number>
    std::string operator()(Number const* value) const
    {
        return fmt::to_string(*value);
    }
};

// Reads one file line by line; see the comment at the top.
class reader
{
public:
    explicit reader(std::string_view file)
    {
        file_ = file;
    }

    settings_result read(std::string_view text)
    {
        std::istringstream lines{std::string(text)};
        std::string line;
        while (std::getline(lines, line))
        {
            ++line_;
            read_line(line);
        }
        end_section();
        check_sections();
        check_together();
        return std::move(result_);
    }

private:
    void read_line(std::string const& line)
    {
        auto const first = line.find_first_not_of(" \t\r");
        bool const header = first != std::string::npos && line[first] == '[';
        boost::property_tree::ptree tree;
        try
        {
            // A section without keys would not appear in the tree.
            std::istringstream input(header ? line + "\nkey=value" : line);
            boost::property_tree::read_ini(input, tree);
        }
        catch (boost::property_tree::ini_parser_error const& error)
        {
            if (header)
            {
                end_section();
                row_ = nullptr; // the keys that follow belong nowhere
            }
            fault("",
                  "[SECTION], KEY = VALUE or a comment; " + error.message());
            return;
        }
        for (auto const& [name, child] : tree)
        {
            header ? begin_section(name) : read_key(name, child.data());
        }
    }

    void begin_section(std::string const& full_name)
    {
        end_section();
        section_ = full_name;
        section_line_ = line_;
        auto const space = full_name.find(' ');
        std::string const name =
            space == std::string::npos ? "" : full_name.substr(space + 1);
        row_ = find_section(full_name.substr(0, space));
        if (row_ == nullptr)
        {
            fault("", "a known section; there is none of this name");
        }
        else if ((row_->add == nullptr) != (space == std::string::npos))
        {
            fault("", row_->add != nullptr
                          ? fmt::format("[{} NAME]", row_->section)
                          : fmt::format("[{}] without a name", row_->section));
            row_ = nullptr;
        }
        else if (!seen_sections_.insert(full_name).second)
        {
            fault("", "each section once; this one is there already");
            row_ = nullptr;
        }
        else if (row_->add != nullptr)
        {
            row_->add(result_.value, name);
        }
    }

    void read_key(std::string const& key, std::string const& text)
    {
        if (section_.empty())
        {
            fault(key, "a section before the first key");
            return;
        }
        if (row_ == nullptr)
        {
            return; // the section was refused already
        }
        key_row const* const row = find_key(row_->section, key);
        if (row == nullptr)
        {
            fault(key, "a known key; this section has none of this name");
            return;
        }
        if (!seen_keys_.insert(key).second)
        {
            fault(key, "each key once; this one is there already");
            return;
        }
        target const where = row->where(result_.value);
        if (!std::visit(assign_from{*row, text}, where))
        {
            fault(key, fmt::format("{}; found \"{}\"",
                                   std::visit(type_of{*row}, where), text));
        }
    }

    void end_section()
    {
        if (row_ != nullptr)
        {
            check_required(section_, *row_, section_line_);
        }
        seen_keys_.clear();
    }

    void check_required(std::string const& section, section_row const& row,
                        std::size_t line)
    {
        for (key_row const& key : keys)
        {
            if (key.section == row.section && key.required &&
                seen_keys_.count(std::string(key.key)) == 0)
            {
                result_.faults.push_back({file_, line, section,
                                          std::string(key.key),
                                          "this key; it is missing"});
            }
        }
    }

    // Required keys of sections that are missing altogether.
    void check_sections()
    {
        for (section_row const& row : sections)
        {
            if (row.add == nullptr &&
                seen_sections_.count(std::string(row.section)) == 0)
            {
                check_required(std::string(row.section), row, 0);
            }
        }
    }

    // What no single key can show to be wrong.
    void check_together()
    {
        tls_settings const& tls = result_.value.tls;
        bool const none =
            tls.ca.empty() && tls.certificate.empty() && tls.key.empty();
        bool const all =
            !tls.ca.empty() && !tls.certificate.empty() && !tls.key.empty();
        if (!none && !all)
        {
            result_.faults.push_back(
                {file_, 0, "tls", "", "all of ca, certificate, key, or none"});
        }
        for (route_spec const& route : result_.value.tables.routes)
        {
            check_route(route);
        }
    }

    void check_route(route_spec const& route)
    {
        auto const& upstreams = result_.value.tables.upstreams;
        auto const serves = [&](upstream_spec const& upstream)
        {
            return upstream.service == route.service;
        };
        if (std::none_of(upstreams.begin(), upstreams.end(), serves))
        {
            result_.faults.push_back(
                {file_, 0, "route " + route.name, "service",
                 fmt::format("the service of an [upstream]; found \"{}\"",
                             route.service)});
        }
    }

    void fault(std::string const& key, std::string expected)
    {
        result_.faults.push_back(
            {file_, line_, section_, key, std::move(expected)});
    }

    settings_result result_;
    std::string file_;
    std::size_t line_ = 0;
    std::string section_;              // with its name; empty before the first
    std::size_t section_line_ = 0;     // of its header
    section_row const* row_ = nullptr; // null in a section that was refused
    std::set<std::string> seen_sections_;
    std::set<std::string> seen_keys_; // of the current section
};

// Calls `use(section)` and then `use(key, type, default)` for its keys.
template <typename Section, typename Key>
void walk_table(Section const& on_section, Key const& on_key)
{
    settings defaults;
    for (section_row const& section : sections)
    {
        on_section(section);
        if (section.add != nullptr)
        {
            section.add(defaults, "NAME");
        }
        for (key_row const& key : keys)
        {
            if (key.section == section.section)
            {
                target const where = key.where(defaults);
                on_key(key, std::visit(type_of{key}, where),
                       std::visit(show{}, where));
            }
        }
    }
}

} // namespace

std::string to_text(settings_fault const& fault)
{
    std::string text = fault.file + ":";
    if (fault.line != 0)
    {
        text += fmt::format("{}:", fault.line);
    }
    if (!fault.section.empty())
    {
        text += fmt::format(" [{}]", fault.section);
    }
    if (!fault.key.empty())
    {
        text += " " + fault.key;
    }
    return text + ": expected " + fault.expected;
}

settings_result parse_settings(std::string_view file, std::string_view text)
{
    return reader(file).read(text);
}

settings_result read_settings_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
    {
        settings_result result;
        result.faults.push_back({path, 0, "", "", "a file that can be read"});
        return result;
    }
    std::string const text{std::istreambuf_iterator<char>(input), {}};
    return parse_settings(path, text);
}

absl::StatusOr<settings> read_settings(std::string const& path)
{
    settings_result result = read_settings_file(path);
    if (result.faults.empty())
    {
        return std::move(result.value);
    }
    std::string text;
    for (settings_fault const& fault : result.faults)
    {
        text += (text.empty() ? "" : "\n") + to_text(fault);
    }
    return absl::InvalidArgumentError(text);
}

std::string settings_as_markdown()
{
    std::string text =
        "# Settings\n\n"
        "The INI file of one VM, given to `amarantharch serve --settings "
        "FILE`. Comments start with `;` or `#`. Unknown sections and keys are "
        "refused; `amarantharch check FILE` lists every fault. This page is "
        "`amarantharch --help-settings --markdown`.\n";
    walk_table(
        [&](section_row const& section)
        {
            text += fmt::format("\n## [{}{}]\n\n{}\n\n"
                                "| key | value | default | meaning |\n"
                                "| --- | --- | --- | --- |\n",
                                section.section,
                                section.add != nullptr ? " NAME" : "",
                                section.help);
        },
        [&](key_row const& key, std::string const& type,
            std::string const& value)
        {
            std::string const shown =
                key.required ? "required" : fmt::format("`{}`", value);
            text += fmt::format("| `{}` | {} | {} | {} |\n", key.key, type,
                                value.empty() && !key.required ? "" : shown,
                                key.help);
        });
    return text;
}

std::string settings_as_ini()
{
    std::string text;
    walk_table(
        [&](section_row const& section)
        {
            text += fmt::format("{}; {}\n[{}{}]\n", text.empty() ? "" : "\n",
                                section.help, section.section,
                                section.add != nullptr ? " NAME" : "");
        },
        [&](key_row const& key, std::string const& type,
            std::string const& value)
        {
            text += fmt::format("; {} Value: {}{}.\n{}{} = {}\n", key.help,
                                type, key.required ? ", required" : "",
                                key.required ? "" : ";", key.key, value);
        });
    return text;
}

} // namespace amarantharch
