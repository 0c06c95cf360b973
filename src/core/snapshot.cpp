#include "core/snapshot.hpp"

#include "core/bounded_unpack.hpp"

#include <msgpack.hpp>
#include <xxhash.h>

#include <algorithm>
#include <exception>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int first_version = 1;
constexpr std::uint32_t max_pieces = snapshot_max_bytes / snapshot_piece_bytes;

struct wire_message
{
    int version = first_version;
    std::uint8_t kind = 0;
    std::uint64_t transfer = 0;
    std::uint32_t piece = 0;
    std::uint32_t pieces = 0;
    std::uint64_t digest = 0;
    std::string bytes;
    MSGPACK_DEFINE(version, kind, transfer, piece, pieces, digest, bytes)
};

// Each part is encoded by its own module.
struct wire_snapshot
{
    int version = first_version;
    std::string configuration; // a configuration_snapshot
    std::string gossip;        // a gossip_message with members and rows
    MSGPACK_DEFINE(version, configuration, gossip)
};

template <typename Wire>
std::string pack(Wire const& wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

template <typename Wire>
absl::StatusOr<Wire> unpack(std::string_view bytes)
{
    Wire wire;
    try
    {
        auto const handle = bounded_unpack(bytes);
        handle.get().convert(wire);
    }
    catch (std::exception const& e)
    {
        return absl::InvalidArgumentError(e.what());
    }
    if (wire.version < first_version)
    {
        return absl::InvalidArgumentError(
            "snapshot encoding has no valid version");
    }
    return wire;
}

} // namespace

std::string encode(snapshot_message const& message)
{
    return pack(wire_message{first_version,
                             static_cast<std::uint8_t>(message.kind),
                             message.transfer, message.piece, message.pieces,
                             message.digest, message.bytes});
}

absl::StatusOr<snapshot_message> decode_snapshot_message(std::string_view bytes)
{
    auto wire = unpack<wire_message>(bytes);
    if (!wire.ok())
    {
        return wire.status();
    }
    return snapshot_message{static_cast<snapshot_message_kind>(wire->kind),
                            wire->transfer,
                            wire->piece,
                            wire->pieces,
                            wire->digest,
                            std::move(wire->bytes)};
}

std::string encode(vm_snapshot const& snapshot)
{
    gossip_message gossip;
    gossip.sender.vm = "snapshot";
    gossip.members = snapshot.members;
    gossip.rows = snapshot.rows;
    return pack(wire_snapshot{first_version, encode(snapshot.configuration),
                              encode(gossip)});
}

absl::StatusOr<vm_snapshot> decode_vm_snapshot(std::string_view bytes)
{
    auto const wire = unpack<wire_snapshot>(bytes);
    if (!wire.ok())
    {
        return wire.status();
    }
    auto configuration = decode_configuration_snapshot(wire->configuration);
    if (!configuration.ok())
    {
        return configuration.status();
    }
    auto gossip = decode_gossip_message(wire->gossip);
    if (!gossip.ok())
    {
        return gossip.status();
    }
    return vm_snapshot{*std::move(configuration), std::move(gossip->members),
                       std::move(gossip->rows)};
}

std::vector<snapshot_message> cut(vm_snapshot const& snapshot,
                                  std::uint64_t transfer)
{
    auto const whole = encode(snapshot);
    auto const digest = XXH3_64bits(whole.data(), whole.size());
    auto const pieces = static_cast<std::uint32_t>(
        (whole.size() + snapshot_piece_bytes - 1) / snapshot_piece_bytes);
    std::vector<snapshot_message> messages;
    for (std::uint32_t i = 0; i < pieces; ++i)
    {
        messages.push_back(
            {snapshot_message_kind::piece, transfer, i, pieces, digest,
             whole.substr(i * snapshot_piece_bytes, snapshot_piece_bytes)});
    }
    return messages;
}

absl::StatusOr<std::optional<vm_snapshot>>
snapshot_assembler::take(snapshot_message const& message)
{
    if (message.kind != snapshot_message_kind::piece ||
        message.transfer != transfer_)
    {
        return std::nullopt;
    }
    if (pieces_.empty() && message.pieces > 0 && message.pieces <= max_pieces)
    {
        digest_ = message.digest;
        pieces_.resize(message.pieces);
        received_.resize(message.pieces);
        missing_ = message.pieces;
    }
    if (message.pieces != pieces_.size() || message.piece >= message.pieces ||
        message.digest != digest_ ||
        message.bytes.size() > snapshot_piece_bytes)
    {
        return absl::DataLossError("snapshot pieces do not match");
    }
    if (received_[message.piece])
    {
        return std::nullopt;
    }
    received_[message.piece] = true;
    pieces_[message.piece] = message.bytes;
    if (--missing_ > 0)
    {
        return std::nullopt;
    }
    std::string whole;
    for (auto const& piece : pieces_)
    {
        whole += piece;
    }
    if (XXH3_64bits(whole.data(), whole.size()) != digest_)
    {
        return absl::DataLossError("snapshot digest does not match");
    }
    auto snapshot = decode_vm_snapshot(whole);
    if (!snapshot.ok())
    {
        return absl::DataLossError(snapshot.status().message());
    }
    return std::optional<vm_snapshot>(*std::move(snapshot));
}

} // namespace amarantharch
