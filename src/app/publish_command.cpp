// The command that publishes a change of the configuration.
//
// The change names the revision that it was written against and carries the
// publisher's signature. The request is repeated, with the same id, until a VM
// says what became of it; then the id can be asked about at any VM.
#include "app/admin_client.hpp"
#include "app/commands.hpp"
#include "app/log.hpp"
#include "app/publish_admin.hpp"
#include "app/publisher_key.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace amarantharch
{

namespace
{

namespace options = boost::program_options;

constexpr duration repeat_interval = std::chrono::milliseconds(200);

// What GET /configuration shows.
struct held_configuration
{
    revision in_force;
    std::string author;
    std::string text;
};

time_point present()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
}

void describe_publish(options::options_description& known)
{
    describe_admins(known);
    auto add = known.add_options();
    (void)add("author", options::value<std::string>()->required(),
              "the publisher's name, as in the VMs' [publisher NAME]");
    (void)add("key", options::value<std::string>()->required(),
              "PEM file of the publisher's private key");
    (void)add("base", options::value<std::string>(),
              "revision that the change was written against, OFFSET.INDEX; by "
              "default the one in force");
    (void)add("replace-all", "the file is the whole configuration");
    (void)add("id", options::value<std::string>(),
              "id of this publish; give it again to ask what became of it");
    (void)add("wait-ms", options::value<std::int64_t>()->default_value(10'000),
              "time for it to be in force on every VM");
    (void)add("dry-run", "only show whom the change touches");
}

absl::StatusOr<std::string> read_file(std::string const& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
    {
        return absl::NotFoundError(path + ": cannot be read");
    }
    return std::string{std::istreambuf_iterator<char>(input), {}};
}

QJsonObject parse_json(std::string const& text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

std::string member(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

absl::StatusOr<held_configuration>
fetch_configuration(options::variables_map const& given)
{
    auto const body =
        fetch_body(admins_of(given).front(),
                   {"", "GET", "/configuration", {}, ""}, timeout_of(given));
    if (!body.ok())
    {
        return body.status();
    }
    QJsonObject const object = parse_json(*body);
    auto const position = revision_from_text(member(object, "revision"));
    if (!position.ok())
    {
        return position.status();
    }
    return held_configuration{*position, member(object, "author"),
                              member(object, "text")};
}

absl::StatusOr<configuration_change>
make_change(options::variables_map const& given, revision in_force)
{
    auto const text = read_file(operands_of(given).front());
    auto const key = read_file(given["key"].as<std::string>());
    if (!text.ok() || !key.ok())
    {
        return text.ok() ? key.status() : text.status();
    }
    configuration_change change;
    change.publish_id =
        given.count("id") != 0
            ? given["id"].as<std::string>()
            : QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    change.base = in_force;
    change.replaces_all = given.count("replace-all") != 0;
    change.author = given["author"].as<std::string>();
    change.written = present();
    change.text = *text;
    auto const signature = sign_as_publisher(*key, signed_bytes(change));
    if (!signature.ok())
    {
        return signature.status();
    }
    change.signature = *signature;
    return change;
}

int print_names(std::string_view title, std::vector<std::string> const& names)
{
    for (std::string const& name : names)
    {
        fmt::print("{}: {}\n", title, name);
    }
    return exit_success;
}

int show_dry_run(held_configuration const& held,
                 configuration_change const& change)
{
    configuration_store store({});
    configuration_snapshot snapshot;
    snapshot.in_force = held.in_force;
    snapshot.as_of = held.in_force.offset;
    snapshot.text = held.text;
    absl::Status const adopted = store.adopt(present(), snapshot);
    if (!adopted.ok())
    {
        fmt::print(stderr, "{}\n", std::string(adopted.message()));
        return exit_fault;
    }
    dry_run const tried = try_change(store, change);
    for (configuration_fault const& fault : tried.faults)
    {
        fmt::print("{}\n", to_string(fault));
    }
    print_names("added", tried.added);
    print_names("changed", tried.changed);
    print_names("removed", tried.removed);
    for (auto const& [section, names] : tried.selected)
    {
        print_names(section + " selects", names);
    }
    return tried.faults.empty() ? exit_success : exit_fault;
}

bool is_final(std::string const& state)
{
    return state == name_in(publish_state_names, publish_state::refused) ||
           state == name_in(publish_state_names, publish_state::in_force);
}

// Repeats the request, at one VM after another, until its state is final.
int publish_until_final(options::variables_map const& given,
                        configuration_change const& change)
{
    call const request{"", "POST", "/publish", {}, encode(change)};
    auto const until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(given["wait-ms"].as<std::int64_t>());
    auto const vms = admins_of(given);
    std::string last = "{}";
    for (std::size_t i = 0;; ++i)
    {
        auto const body =
            fetch_body(vms[i % vms.size()], request, timeout_of(given));
        last = body.ok()
                   ? *body
                   : fmt::format(
                         "{{\"error\":\"{}\"}}\n",
                         json_escape(std::string(body.status().message())));
        std::string const state = member(parse_json(last), "state");
        bool const final = body.ok() && is_final(state);
        if (final || std::chrono::steady_clock::now() >= until)
        {
            fmt::print("{{\"id\":\"{}\",\"final\":{},\"report\":{}}}\n",
                       json_escape(change.publish_id), final,
                       last.substr(0, last.find('\n')));
            return final && state == name_in(publish_state_names,
                                             publish_state::in_force)
                       ? exit_success
                       : exit_fault;
        }
        sleep_for(repeat_interval);
    }
}

int publish(options::variables_map const& given)
{
    if (operands_of(given).size() != 1)
    {
        fmt::print(stderr, "amarantharch publish: expected one FILE\n");
        return exit_usage;
    }
    auto held = fetch_configuration(given);
    if (held.ok() && given.count("base") != 0)
    {
        auto const base = revision_from_text(given["base"].as<std::string>());
        if (!base.ok())
        {
            fmt::print(stderr, "amarantharch publish: --base: {}\n",
                       std::string(base.status().message()));
            return exit_usage;
        }
        held->in_force = *base;
    }
    auto const change =
        held.ok() ? make_change(given, held->in_force) : held.status();
    if (!change.ok())
    {
        fmt::print(stderr, "{}\n", std::string(change.status().message()));
        return exit_fault;
    }
    return given.count("dry-run") != 0 ? show_dry_run(*held, *change)
                                       : publish_until_final(given, *change);
}

} // namespace

std::vector<command_row> publish_commands()
{
    return {
        {"publish", "FILE",
         "Publish a change of the configuration.\n"
         "FILE holds the sections to set, and [remove KIND NAME] for those to "
         "remove. The\nVM checks the change as every reader will, appends it "
         "to the log, and tells in\nJSON what became of it: refused and why, "
         "or in force and on how many VMs. Exit\nstatus 0 only if it is in "
         "force on every VM. If it is not final in time, ask again\nwith the "
         "id that is printed.",
         describe_publish, publish},
    };
}

} // namespace amarantharch
