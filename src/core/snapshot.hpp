// What a VM that starts takes over from a peer, instead of a long log read.
//
// The snapshot is encoded whole, cut into pieces of bounded size and put
// together at the receiver, which checks the digest of the whole before it
// decodes. It informs: the configuration in it is adopted only under the rule
// of configuration_store, members and rows merge as if gossiped.
#ifndef AMARANTHARCH_CORE_SNAPSHOT_HPP
#define AMARANTHARCH_CORE_SNAPSHOT_HPP

#include "core/configuration_store.hpp"
#include "core/membership_message.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

inline constexpr std::size_t snapshot_piece_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t snapshot_max_bytes = std::size_t{16} * 1024 * 1024;

struct vm_snapshot
{
    configuration_snapshot configuration;
    std::vector<member_update> members;
    std::vector<soft_row> rows;
};

enum class snapshot_message_kind : std::uint8_t
{
    request = 1, // send me your snapshot
    piece = 2,
    none = 3, // the peer is not ready itself: ask another
};

// Payload of peer_message_kind::snapshot.
struct snapshot_message
{
    snapshot_message_kind kind = snapshot_message_kind::request;
    std::uint64_t transfer = 0; // chosen by the one who asks
    std::uint32_t piece = 0;
    std::uint32_t pieces = 0;
    std::uint64_t digest = 0; // of the whole, XXH3
    std::string bytes;
};

std::string encode(snapshot_message const& message);
absl::StatusOr<snapshot_message>
decode_snapshot_message(std::string_view bytes);

std::string encode(vm_snapshot const& snapshot);
absl::StatusOr<vm_snapshot> decode_vm_snapshot(std::string_view bytes);

// The messages that carry `snapshot` as answer to the request `transfer`.
std::vector<snapshot_message> cut(vm_snapshot const& snapshot,
                                  std::uint64_t transfer);

// Puts one transfer together; pieces may come in any order, and repeated.
class snapshot_assembly
{
public:
    explicit snapshot_assembly(std::uint64_t transfer) : transfer_(transfer) {}

    // The snapshot once it is whole, nothing before; DataLoss if the pieces
    // disagree or the digest fails. Pieces of other transfers are ignored.
    absl::StatusOr<std::optional<vm_snapshot>>
    take(snapshot_message const& message);

private:
    std::uint64_t transfer_;
    std::uint64_t digest_ = 0;
    std::vector<std::string> pieces_;
    std::vector<bool> have_;
    std::size_t missing_ = 0;
};

} // namespace amarantharch

#endif
