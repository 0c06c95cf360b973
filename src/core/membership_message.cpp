#include "core/membership_message.hpp"

#include "core/bounded_unpack.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int first_version = 1;
constexpr unsigned health_bits = 3;
constexpr unsigned leaving_bit = 4;
constexpr std::size_t update_overhead = 1 + 3 + 9 + 1 + 2 + 2;

struct wire_update
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint8_t flags = 0;
    std::string address;
    std::string failure_domain;
    MSGPACK_DEFINE(vm, incarnation, flags, address, failure_domain)
};

struct wire_row
{
    std::uint8_t kind = 0;
    std::string subject;
    std::string origin;
    std::int64_t version = 0;
    std::int64_t value = 0;
    MSGPACK_DEFINE(kind, subject, origin, version, value)
};

struct wire_message
{
    int version = first_version;
    std::uint8_t kind = 0;
    std::uint64_t sequence = 0;
    std::string target;
    wire_update sender;
    log_offset revision_offset = 0;
    std::uint32_t revision_index = 0;
    std::vector<wire_update> members;
    std::vector<wire_row> rows;
    MSGPACK_DEFINE(version, kind, sequence, target, sender, revision_offset,
                   revision_index, members, rows)
};

wire_update to_wire(member_update const& update)
{
    auto flags = static_cast<unsigned>(update.health);
    flags |= update.leaving ? leaving_bit : 0U;
    return {update.vm, update.incarnation, static_cast<std::uint8_t>(flags),
            update.address, update.failure_domain};
}

member_update from_wire(wire_update wire)
{
    auto const health = wire.flags & health_bits;
    return {std::move(wire.vm),
            wire.incarnation,
            static_cast<member_health>(
                std::min(health, static_cast<unsigned>(member_health::gone))),
            (wire.flags & leaving_bit) != 0,
            std::move(wire.address),
            std::move(wire.failure_domain)};
}

} // namespace

std::size_t encoded_size(member_update const& update)
{
    return update_overhead + update.vm.size() + update.address.size() +
           update.failure_domain.size();
}

std::string encode(gossip_message const& message)
{
    wire_message wire;
    wire.kind = static_cast<std::uint8_t>(message.kind);
    wire.sequence = message.sequence;
    wire.target = message.target;
    wire.sender = to_wire(message.sender);
    wire.revision_offset = message.revision.offset;
    wire.revision_index = message.revision.index;
    for (auto const& update : message.members)
    {
        wire.members.push_back(to_wire(update));
    }
    for (auto const& row : message.rows)
    {
        wire.rows.push_back({static_cast<std::uint8_t>(row.key.kind),
                             row.key.subject, row.key.origin, row.version,
                             row.value});
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<gossip_message> decode_gossip_message(std::string_view bytes)
{
    wire_message wire;
    try
    {
        auto const handle = bounded_unpack(bytes);
        handle.get().convert(wire);
    }
    catch (std::exception const& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
    if (wire.version < first_version || wire.sender.vm.empty())
    {
        return absl::InvalidArgumentError(
            "gossip message has an invalid version or no sender");
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(wire.kind);
    message.sequence = wire.sequence;
    message.target = std::move(wire.target);
    message.sender = from_wire(std::move(wire.sender));
    message.revision = {wire.revision_offset, wire.revision_index};
    for (auto& update : wire.members)
    {
        message.members.push_back(from_wire(std::move(update)));
    }
    for (auto& row : wire.rows)
    {
        message.rows.push_back({{static_cast<soft_kind>(row.kind),
                                 std::move(row.subject), std::move(row.origin)},
                                row.version,
                                row.value});
    }
    return message;
}

} // namespace amarantharch
