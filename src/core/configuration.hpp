// The configuration that operators publish: parsing, validation and typed
// tables.
//
// There are three steps. parse_configuration() turns INI text into sections
// with line numbers and reports all syntax faults at once. merge() applies a
// change (sections to set or remove) to the sections in force. compile() turns
// sections into typed tables, with every selector resolved, and reports all
// faults of content at once. The publisher, the check and every reader of the
// log run the same code, so a revision is valid either everywhere or nowhere.
//
//     [organisation NAME]  weight, key_digest, label.X
//     [service NAME]       kind = engine|plain, idempotent = yes|no,
//                          repeat_window_ms, first_token_ms, between_tokens_ms,
//                          retry_ratio, label.X
//     [route NAME]         path (prefix), service, organisations (selector),
//                          timeout_ms, priority = 0..9
//     [upstream NAME]      address = IP:PORT, service, version,
//                          failure_domain, class, price, capacity,
//                          reclaimable = yes|no, label.X
//     [move NAME]          select (selector of upstreams), from, to,
//                          deadline_us
//     [limits]             queue_bytes, body_bytes, queue_time_ms,
//                          bad_version_share
//
// A change may also contain `[remove KIND NAME]`.
//
// Cost: parsing is linear in the text; merging and compiling are roughly linear
// in the whole configuration.
#ifndef AMARANTHARCH_CORE_CONFIGURATION_HPP
#define AMARANTHARCH_CORE_CONFIGURATION_HPP

#include "core/name_table.hpp"
#include "core/selector.hpp"
#include "core/site.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

enum class section_kind : std::uint8_t
{
    organisation,
    service,
    route,
    upstream,
    move,
    limits,
};

inline constexpr name_table<section_kind, 6> section_kind_names{{
    {section_kind::organisation, "organisation"},
    {section_kind::service, "service"},
    {section_kind::route, "route"},
    {section_kind::upstream, "upstream"},
    {section_kind::move, "move"},
    {section_kind::limits, "limits"},
}};

// One error in a configuration text.
struct configuration_fault
{
    int line = 0;   // from 1; 0 if it isn't due to any line
    int column = 0; // from 1
    std::string section;
    std::string key;
    std::string message; // what was expected and what was found
};

std::string to_string(configuration_fault const& fault);

struct setting
{
    std::string key;
    std::string value;
    int line = 0;
    int column = 0; // of the value's first character
};

struct section_id
{
    section_kind kind = section_kind::limits;
    std::string name; // empty for limits
    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on its rewritten uses
    auto operator<=>(section_id const&) const = default;
};

struct section
{
    bool removed = false; // by [remove …]; only in a change
    int line = 0;
    std::vector<setting> settings;
};

using section_table = std::map<section_id, section>;

struct parsed_configuration
{
    section_table sections;
    std::vector<configuration_fault> faults;
};

// Parses INI text. Returns the valid sections along with the faults.
parsed_configuration parse_configuration(std::string_view text);

// Applies `change` to `current`: its sections replace those of the same id, or
// remove them. Lines of `current` become 0, as they refer to another text.
section_table merge(section_table current, section_table const& change);

// The canonical text: equal tables always give the same bytes.
std::string to_text(section_table const& sections);

struct organisation_row
{
    std::string name;
    double weight = 1;
    std::string key_digest; // hex SHA-256 of its callers' bearer token
    label_map labels;       // including "organisation"
};

struct service_row
{
    std::string name;
    upstream_kind kind = upstream_kind::plain;
    bool idempotent = true;
    duration repeat_window{};      // equal calls within it count as one; 0: off
    duration first_token_target{}; // 0: none
    duration between_tokens_target{}; // 0: none
    double retry_ratio = 0.1;         // retries per successful call
    label_map labels;                 // including "service"
};

struct route_row
{
    std::string name;
    std::string path; // prefix of the request path; the longest match wins
    std::size_t service = 0; // index in services
    selector organisations;
    duration timeout = default_route_timeout;
    int priority = default_route_priority; // 0 is the lowest
};

struct configured_upstream
{
    std::string name;
    std::string address;     // ip:port
    std::size_t service = 0; // index in services
    std::string version;
    std::string failure_domain;
    std::string machine_class;
    double price = 1;          // per hour, in one unit for all upstreams
    std::int64_t capacity = 0; // concurrent requests
    bool reclaimable = false;
    // Including "upstream", "service", "version", "zone" and "class".
    label_map labels;
};

struct move_row
{
    std::string name;
    std::string from;
    std::string to;
    time_point deadline{};
    std::vector<std::size_t>
        upstreams; // selected and of version `from` or `to`; indices
};

struct configuration_limits
{
    std::int64_t queue_bytes = std::int64_t{64} * 1024 * 1024;
    std::int64_t body_bytes = std::int64_t{8} * 1024 * 1024;
    duration queue_time = std::chrono::seconds(2);
    double bad_version_share = 0.01;
};

// The typed tables of one revision; rows are ordered by name.
struct configuration
{
    std::vector<organisation_row> organisations;
    std::vector<service_row> services;
    std::vector<route_row> routes;
    std::vector<configured_upstream> upstreams;
    std::vector<move_row> moves;
    configuration_limits limits;
};

struct compiled_configuration
{
    configuration tables;
    std::vector<configuration_fault> faults;
};

compiled_configuration compile(section_table const& sections);

// The names that a selector matches, in order, for a dry run.
struct selection
{
    std::vector<std::string> organisations;
    std::vector<std::string> services;
    std::vector<std::string> upstreams;
};

selection select(configuration const& tables, selector const& which);

} // namespace amarantharch

#endif
