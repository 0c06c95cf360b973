// Keeps the latest entry that each upstream has published about itself, and
// detects which entries change anything. That an upstream turns cold or warm is
// a change, and that it turns cold anew; that its remaining time falls is none.
//
// Of one upstream, the entry with the greatest (incarnation, sequence) is the
// newest; an older one that arrives late is dropped. An upstream that is
// leaving remains so for its incarnation. An upstream whose start time is not
// known (incarnation 0) may restart its sequence when it restarts.
//
// Cost: O(log upstreams) for each entry.
#ifndef AMARANTHARCH_CORE_UPSTREAM_DIRECTORY_HPP
#define AMARANTHARCH_CORE_UPSTREAM_DIRECTORY_HPP

#include "core/event.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace amarantharch
{

class upstream_directory
{
public:
    // Stores an entry. True if its content is new; a heartbeat, which differs
    // only in its sequence, returns false.
    bool put(upstream_listed const& entry, std::uint64_t sequence);

    // Removes an upstream; true if it was known.
    bool remove(std::string const& upstream);

    // Equal for directories with the same entries, whatever the order in which
    // they arrived; sequences are ignored.
    std::uint64_t digest() const
    {
        return digest_;
    }

private:
    struct row
    {
        upstream_listed entry;
        std::uint64_t sequence = 0;
    };

    static std::uint64_t digest_of(upstream_listed const& entry);

    std::map<std::string, row> rows_;
    std::uint64_t digest_ = 0; // of all rows, combined by exclusive or
};

} // namespace amarantharch

#endif
