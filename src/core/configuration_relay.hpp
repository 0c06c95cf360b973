// Passes the operator's configuration on to VMs that cannot read it themselves.
//
// A VM reads the configuration from the platform's store. The store may turn
// some VMs away while it serves the others, and after it has come back from an
// older copy it shows an older configuration for a time. Every message between
// VMs therefore states the version that its sender has in force. A VM that has
// lacked a peer's version for `grace`, which is ample for a read, asks that
// peer for its record, and receives it in pieces that fit into a datagram each.
// Lost pieces are asked for again after `retry_interval`, from the peer heard
// last.
//
// Versions only increase, and a record is passed on as the operator wrote it,
// so it does not matter from where a VM has it, nor in which order. A record of
// a version that is no newer than the own one is dropped.
//
// Cost: one number in each message; a record only for a VM that lacks it.
// Memory: one record, and a second one while it arrives.
#ifndef AMARANTHARCH_CORE_CONFIGURATION_RELAY_HPP
#define AMARANTHARCH_CORE_CONFIGURATION_RELAY_HPP

#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amarantharch
{

struct configuration_relay_options
{
    duration grace = std::chrono::milliseconds(400);
    duration retry_interval = std::chrono::milliseconds(300);
    std::size_t piece_bytes = 6'000;
    // Bounds the memory for a record that arrives.
    std::size_t max_record_bytes = std::size_t{8} << 20;
};

// A part of the record of one version.
struct configuration_piece
{
    std::uint64_t version = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;
    MSGPACK_DEFINE(version, index, count, bytes)
};

class configuration_relay
{
public:
    explicit configuration_relay(configuration_relay_options options = {})
        : options_(options)
    {
    }

    // This VM has put a configuration in force. Ignored unless it is newer.
    void set_own(std::uint64_t version, std::string record);

    // The version in force at this VM; 0: none.
    std::uint64_t version() const
    {
        return version_;
    }

    // A peer states the version that it has in force.
    void on_peer_version(time_point now, std::string const& vm,
                         std::uint64_t version);

    // The peer to ask for its record now, if any.
    std::optional<std::string> next_request(time_point now);

    // The own record for a peer that has `version` in force; empty unless the
    // own one is newer.
    std::vector<configuration_piece> pieces_for(std::uint64_t version) const;

    // Takes a piece from a peer. Returns the record once it is whole.
    std::optional<std::string> add_piece(configuration_piece const& piece);

private:
    configuration_relay_options options_;
    std::uint64_t version_ = 0;
    std::string record_;
    // The peer heard last of those that have a newer version.
    std::string newer_peer_;
    std::optional<time_point> behind_since_;
    time_point next_request_at_{};
    // Pieces of the newest version of which any has arrived.
    std::uint64_t incoming_version_ = 0;
    std::uint32_t incoming_count_ = 0;
    std::map<std::uint32_t, std::string> incoming_;
};

} // namespace amarantharch

#endif
