// State that a starting VM takes from a peer, instead of a long read of the
// log.
//
// The encoded snapshot is split into pieces of bounded size. The receiver
// reassembles them and checks the digest of the whole before it decodes. A
// snapshot has no authority: its configuration is adopted only by the rules of
// configuration_store, and members and rows are merged as if they had come by
// gossip.
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
    request = 1, // asks the peer for its snapshot
    piece = 2,
    none = 3, // the sender is not ready itself: ask another peer
};

// Payload of peer_message_kind::snapshot.
struct snapshot_message
{
    snapshot_message_kind kind = snapshot_message_kind::request;
    std::uint64_t transfer = 0; // id chosen by the requester
    std::uint32_t piece = 0;
    std::uint32_t pieces = 0;
    std::uint64_t digest = 0; // XXH3 of the encoded snapshot
    std::string bytes;
};

std::string encode(snapshot_message const& message);
absl::StatusOr<snapshot_message>
decode_snapshot_message(std::string_view bytes);

std::string encode(vm_snapshot const& snapshot);
absl::StatusOr<vm_snapshot> decode_vm_snapshot(std::string_view bytes);

// Encodes `snapshot` as the messages that answer the request `transfer`.
std::vector<snapshot_message> cut(vm_snapshot const& snapshot,
                                  std::uint64_t transfer);

// Reassembles one transfer. Pieces may come in any order, and repeatedly.
class snapshot_assembler
{
public:
    explicit snapshot_assembler(std::uint64_t transfer) : transfer_(transfer) {}

    // Returns the snapshot once it is complete, nothing before. Fails with
    // DataLoss if the pieces don't match each other, the digest or a snapshot.
    // Pieces of other transfers are ignored.
    absl::StatusOr<std::optional<vm_snapshot>>
    take(snapshot_message const& message);

private:
    std::uint64_t transfer_;
    std::uint64_t digest_ = 0;
    std::vector<std::string> pieces_;
    std::vector<bool> received_;
    std::size_t missing_ = 0;
};

} // namespace amarantharch

#endif
