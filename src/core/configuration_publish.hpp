// Publishes one configuration change and tracks it from the append until it is
// in force on every VM.
//
// Only the log decides the outcome: if the answer to an append was lost, the
// change is neither accepted nor refused until its record is read back, or
// until the log client reports that it can no longer take effect.
// Publishing again with the same publish_id is safe: the record's base matches
// one revision only, so at most one copy takes effect, and a repeat finds the
// decision on the first copy.
#ifndef AMARANTHARCH_CORE_CONFIGURATION_PUBLISH_HPP
#define AMARANTHARCH_CORE_CONFIGURATION_PUBLISH_HPP

#include "core/configuration_store.hpp"
#include "core/membership.hpp"

#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

enum class publish_state : std::uint8_t
{
    refused,  // by the check before the append, or by the log's readers
    pending,  // appended, not read back yet
    accepted, // in force here, not yet on every VM
    in_force, // in force on every VM that is not gone
    unknown,  // not read back in time: repeat with the same publish_id
};

inline constexpr name_table<publish_state, 5> publish_state_names{{
    {publish_state::refused, "refused"},
    {publish_state::pending, "pending"},
    {publish_state::accepted, "accepted"},
    {publish_state::in_force, "in_force"},
    {publish_state::unknown, "unknown"},
}};

struct publish_report
{
    publish_state state = publish_state::pending;
    std::string reason; // of a refusal; or how to resolve an unknown state
    revision position;  // once accepted
    std::size_t in_force_on = 0;
    std::size_t members = 0;
    std::vector<std::string> missing; // at most 20 VMs
    std::vector<configuration_fault> faults;
};

// Checks `change` by the same rules as every reader, without appending it.
publish_report check_change(configuration_store const& store,
                            configuration_change const& change,
                            verify_signature verify);

class configuration_publish
{
public:
    // Without a decision after `timeout` the state becomes unknown.
    configuration_publish(time_point now, configuration_change change,
                          duration timeout = std::chrono::seconds(10));

    // Checks the change and returns the payload to append to the configuration
    // stream; nothing if the change is refused or already decided: see
    // report().
    std::optional<std::string> start(configuration_store const& store,
                                     verify_signature verify);

    // Handles a decision from configuration_store::apply.
    void on_decision(change_decision const& decision);

    // To be called on each tick until the state is refused or in_force. Queries
    // the members that aren't known to hold the revision.
    void tick(time_point now, membership& fleet);

    publish_report const& report() const
    {
        return report_;
    }

private:
    configuration_change change_;
    time_point deadline_;
    time_point next_query_at_{};
    publish_report report_;
};

// The effect of a change, without publishing it.
struct dry_run
{
    std::vector<configuration_fault> faults;
    // Titles of sections, e.g. "upstream desk-1".
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    // For each resulting move and route, the names that its selector matches.
    std::vector<std::pair<std::string, std::vector<std::string>>> selected;
};

dry_run try_change(configuration_store const& store,
                   configuration_change const& change);

} // namespace amarantharch

#endif
