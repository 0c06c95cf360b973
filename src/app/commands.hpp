// The rows of the command table, by what they concern.
#ifndef AMARANTHARCH_APP_COMMANDS_HPP
#define AMARANTHARCH_APP_COMMANDS_HPP

#include "app/command_line.hpp"

namespace amarantharch
{

// serve, check, version: this VM's own process and files.
std::vector<command_row> vm_commands();

// status, timeline, drain, publish: running VMs, through their admin ports.
std::vector<command_row> operator_commands();

} // namespace amarantharch

#endif
