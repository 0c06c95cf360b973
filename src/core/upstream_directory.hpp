// Tells news from old in the entries that upstreams write about themselves.
//
// Of one upstream, the entry with the greatest (incarnation, sequence) is the
// newest; an older one that arrives late is dropped. Within an incarnation an
// upstream that is leaving stays so. An upstream whose start is not known
// (incarnation 0) may count its sequence anew when it starts again.
//
// Cost: O(log upstreams) an entry.
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
    // True if the entry says something new; its heartbeat alone does not.
    bool put(upstream_listed const& entry, std::uint64_t sequence);

    // True if the upstream was known.
    bool remove(std::string const& upstream);

    // Equal for directories that say the same, whatever order the entries came
    // in; their sequences do not count.
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
