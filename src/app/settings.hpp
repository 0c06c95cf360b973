// The settings of one VM, read from an INI file.
//
// Every key is declared once, in the table of settings.cpp, with its type,
// unit, range and help; reading, `check`, the help text and docs/SETTINGS.md
// come from that table. The defaults are the initialisers below. Reading
// collects every fault of the file instead of stopping at the first.
//
//     settings_result read = read_settings_file("vm.ini");
//     if (!read.faults.empty())
//         for (settings_fault const& f : read.faults) print(to_text(f));
#ifndef AMARANTHARCH_APP_SETTINGS_HPP
#define AMARANTHARCH_APP_SETTINGS_HPP

#include "app/log.hpp"
#include "core/site.hpp"
#include "core/time.hpp"
#include "platform/settings_file.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// [tls]: empty paths leave connections between VMs unencrypted.
struct tls_settings
{
    std::string ca;          // PEM file of the authority that signs VMs
    std::string certificate; // PEM file of this VM's certificate
    std::string key;         // PEM file of its private key
};

// [limits]: what callers may send.
struct limit_settings
{
    std::uint64_t header_bytes = std::uint64_t{16} << 10;
    std::uint64_t body_bytes = std::uint64_t{8} << 20;
    std::uint64_t connections = 4096;
    duration header_timeout = std::chrono::seconds(10);
    duration body_timeout = std::chrono::seconds(60);
    duration idle_timeout = std::chrono::seconds(75);
    duration drain_timeout = std::chrono::seconds(30);
};

// [memory]: budgets in bytes; what would exceed one is refused.
struct memory_settings
{
    std::uint64_t request_bytes = std::uint64_t{64} << 20;
    std::uint64_t answer_bytes = std::uint64_t{64} << 20;
    std::uint64_t control_bytes = std::uint64_t{64} << 20;
    std::uint64_t timeline_bytes = std::uint64_t{4} << 20;
};

// [publisher NAME]: one who may publish configuration changes.
struct publisher_settings
{
    std::string name;
    std::string public_key; // Ed25519, 64 hexadecimal digits
};

struct settings
{
    // [vm]
    std::string vm;
    std::string failure_domain;
    std::string region;
    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 0; // 0: any free port
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;
    amarantharch::log_level least_logged = log_level::info;

    std::string log_address;      // [log] address, ip:port; empty: no log
    std::string platform_address; // [platform] address; empty: none

    tls_settings tls;
    limit_settings limits;
    memory_settings memory;

    std::vector<publisher_settings> publishers;

    // [upstream NAME], [route NAME], [organisation NAME]: in force until a
    // configuration revision is known. An upstream without a service, and a
    // route without one, have the service "default".
    routing_tables tables;

    // Set if the VM runs on the users' platform; the members above are then
    // made from it (see platform_mode).
    std::optional<platform::process_settings> platform_process;
};

// One thing wrong with a settings file.
struct settings_fault
{
    std::string file;
    std::size_t line = 0; // 1 for the first; 0 if it lies on no line
    std::string section;
    std::string key;      // empty if it concerns the section or the line
    std::string expected; // what was expected, and what was found
};

// "FILE:LINE: [SECTION] KEY: EXPECTED".
std::string to_text(settings_fault const& fault);

struct settings_result
{
    settings value; // of use only if there are no faults
    std::vector<settings_fault> faults;
};

// Reads the INI text of `file`, whose name is used for faults only.
settings_result parse_settings(std::string_view file, std::string_view text);

// Reads `path`; a file that cannot be read is a fault of line 0.
settings_result read_settings_file(std::string const& path);

// As read_settings_file, with all faults in one INVALID_ARGUMENT status.
absl::StatusOr<settings> read_settings(std::string const& path);

// The text of docs/SETTINGS.md.
std::string settings_as_markdown();

// The text of --help-settings: an INI file of every key with its default.
std::string settings_as_ini();

} // namespace amarantharch

#endif
