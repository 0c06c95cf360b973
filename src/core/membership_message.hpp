// Messages of membership and gossip, with their encoding.
//
// One message type serves all kinds; fields that a kind does not use are empty.
// New fields are only ever appended: a decoder ignores extra fields and leaves
// missing ones at their defaults.
#ifndef AMARANTHARCH_CORE_MEMBERSHIP_MESSAGE_HPP
#define AMARANTHARCH_CORE_MEMBERSHIP_MESSAGE_HPP

#include "core/gossip.hpp"
#include "core/log.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// Of two updates with one incarnation, the larger health wins.
enum class member_health : std::uint8_t
{
    live = 0,
    suspect = 1,
    gone = 2,
};

// What one VM reports about another, or about itself.
struct member_update
{
    std::string vm;
    std::uint64_t incarnation = 0;
    member_health health = member_health::live;
    bool leaving = false;
    std::string address;        // empty if sent before
    std::string failure_domain; // empty if sent before
};

enum class gossip_kind : std::uint8_t
{
    ping = 1,         // asks for an ack
    ack = 2,          // answers `sequence` on behalf of `target`
    ping_request = 3, // asks the receiver to ping `target` and relay the ack
    push = 4,         // carries urgent rows and updates; not answered
};

struct gossip_message
{
    gossip_kind kind = gossip_kind::push;
    std::uint64_t sequence = 0;
    std::string target;
    member_update sender;
    log_position revision; // in force at the sender
    std::vector<member_update> members;
    std::vector<soft_row> rows;
};

std::string encode(gossip_message const& message);
absl::StatusOr<gossip_message> decode_gossip_message(std::string_view bytes);

// Upper bound of an update's encoded size in bytes.
std::size_t encoded_size(member_update const& update);

} // namespace amarantharch

#endif
