// The command that makes the keys of a fleet.
#include "app/commands.hpp"
#include "app/publisher_key.hpp"
#include "net/certificates.hpp"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

void describe_keys(options::options_description& known)
{
    auto add = known.add_options();
    (void)add("directory", options::value<std::string>()->default_value("."),
              "where the files are");
    (void)add("days", options::value<std::int64_t>()->default_value(365),
              "validity of certificates");
}

// Creates `path`, readable by its owner only. Never replaces a file.
absl::Status create_file(std::string const& path, std::string const& text)
{
    int const file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC,
                          S_IRUSR | S_IWUSR);
    if (file < 0)
    {
        return absl::FailedPreconditionError(
            path + ": cannot be created; an existing file is not replaced");
    }
    bool const written = write(file, text.data(), text.size()) ==
                         static_cast<ssize_t>(text.size());
    bool const closed = close(file) == 0;
    return written && closed ? absl::OkStatus()
                             : absl::InternalError(path + ": write failed");
}

absl::Status create_pair(std::string const& stem, certified_key const& made)
{
    absl::Status const key = create_file(stem + ".key", made.key_pem);
    return key.ok() ? create_file(stem + ".crt", made.certificate_pem) : key;
}

std::string read_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
}

struct key_request
{
    std::string directory;
    std::string name;
    validity_period validity;

    std::string path(std::string const& file) const
    {
        return directory + "/" + file;
    }
};

absl::Status create_authority(key_request const& request)
{
    auto const made = make_authority(request.name, request.validity);
    return made.ok() ? create_pair(request.path("ca"), *made) : made.status();
}

absl::Status create_vm(key_request const& request)
{
    certified_key const authority{read_file(request.path("ca.crt")),
                                  read_file(request.path("ca.key"))};
    auto const made =
        issue_certificate(authority, request.name, request.validity);
    return made.ok() ? create_pair(request.path(request.name), *made)
                     : made.status();
}

absl::Status create_publisher(key_request const& request)
{
    auto const made = make_publisher_key();
    if (!made.ok())
    {
        return made.status();
    }
    fmt::print("[publisher {}]\npublic_key = {}\n", request.name,
               made->public_key);
    return create_file(request.path(request.name + ".key"), made->private_pem);
}

struct key_kind
{
    std::string_view name;
    absl::Status (*create)(key_request const&);
};

constexpr key_kind key_kinds[] = {
    {"ca", create_authority},
    {"vm", create_vm},
    {"publisher", create_publisher},
};

int keys(options::variables_map const& given)
{
    auto const operands = operands_of(given);
    key_kind const* chosen = nullptr;
    for (key_kind const& kind : key_kinds)
    {
        if (operands.size() == 2 && operands[0] == kind.name)
        {
            chosen = &kind;
        }
    }
    if (chosen == nullptr || operands[1].find('/') != std::string::npos)
    {
        fmt::print(stderr, "amarantharch keys: expected ca, vm or publisher, "
                           "and a NAME without /\n");
        return exit_usage;
    }
    auto const now = std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
    auto const days = std::chrono::hours(24) * given["days"].as<std::int64_t>();
    absl::Status const done = chosen->create(
        {given["directory"].as<std::string>(), operands[1], {now, now + days}});
    if (!done.ok())
    {
        fmt::print(stderr, "{}\n", std::string(done.message()));
        return exit_fault;
    }
    return exit_success;
}

} // namespace

std::vector<command_row> key_commands()
{
    return {
        {"keys", "ca|vm|publisher NAME",
         "Make the keys of a fleet.\n"
         "`keys ca NAME` makes ca.key and ca.crt; `keys vm ID` makes ID.key "
         "and ID.crt, signed\nby ca.key, for the VM of that id; `keys "
         "publisher NAME` makes NAME.key and prints the\nsettings section by "
         "which VMs know the publisher. No file is ever replaced.",
         describe_keys, keys},
    };
}

} // namespace amarantharch
