// One publish of a configuration change, from append to in force everywhere.
//
// Its fate is read from the log only: an append whose answer was lost is
// neither accepted nor refused until the record is read, or until the log
// client says that it can no longer count. Repeating a publish with the same
// publish_id is safe: the record's base fits one revision only, so at most one
// copy counts, and a repeat finds the decision on the first.
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
    refused,  // by check before the append, or by the reader's rule
    pending,  // appended, not read back
    accepted, // in force here, spreading
    in_force, // in force on every VM that is not gone
    unknown,  // not read back in time: ask again with the same publish_id
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
    std::string reason; // of a refusal, or how to find out
    revision position;  // once accepted
    std::size_t in_force_on = 0;
    std::size_t members = 0;
    std::vector<std::string> missing; // at most 20 VMs
    std::vector<configuration_fault> faults;
};

// Checks `change` as every reader will, without appending.
publish_report check_change(configuration_store const& store,
                            configuration_change const& change,
                            verify_signature verify);

class configuration_publish
{
public:
    // `patience`: how long without a decision until the fate is unknown.
    configuration_publish(time_point now, configuration_change change,
                          duration patience = std::chrono::seconds(10));

    // Checks, and returns the payload to append to the configuration stream;
    // nothing if the change is refused or was decided already: see report().
    std::optional<std::string> start(configuration_store const& store,
                                     verify_signature verify);

    // Takes the decisions of configuration_store::apply.
    void decided(change_decision const& decision);

    // Call on each tick; the report changes until state is refused or in_force.
    // Asks the members that are not known to hold the revision.
    void tick(time_point now, membership& fleet);

    publish_report const& report() const
    {
        return report_;
    }

private:
    configuration_change change_;
    time_point give_up_;
    time_point ask_due_{};
    publish_report report_;
};

// Whom a change touches, without publishing it.
struct dry_run
{
    std::vector<configuration_fault> faults;
    std::vector<std::string> added; // sections, such as "upstream desk-1"
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    // For each move and route of the result: whom its selector selects.
    std::vector<std::pair<std::string, std::vector<std::string>>> selected;
};

dry_run try_change(configuration_store const& store,
                   configuration_change const& change);

} // namespace amarantharch

#endif
