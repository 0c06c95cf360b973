// The rows of the command table, by what they concern.
#ifndef AMARANTHARCH_APP_COMMANDS_HPP
#define AMARANTHARCH_APP_COMMANDS_HPP

#include "app/command_line.hpp"

namespace amarantharch
{

// serve, check, version: this VM's own process and files.
std::vector<command_row> vm_commands();

// status, timeline, drain: running VMs, through their admin ports.
std::vector<command_row> operator_commands();

// publish: the configuration of the fleet.
std::vector<command_row> publish_commands();

// keys: certificates of VMs and keys of publishers.
std::vector<command_row> key_commands();

} // namespace amarantharch

#endif
