#include "core/upstream_directory.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace amarantharch
{

namespace
{

// Whether two entries differ in whether the upstream is cold, or `later` says
// that it has become cold anew: the remaining time only falls otherwise.
bool differs_in_cold(upstream_listed const& later,
                     upstream_listed const& earlier)
{
    return later.cold_for > earlier.cold_for ||
           (later.cold_for == duration::zero()) !=
               (earlier.cold_for == duration::zero());
}

bool has_same_content(upstream_listed const& a, upstream_listed const& b)
{
    return a.incarnation == b.incarnation && a.leaving == b.leaving &&
           a.upstream.address == b.upstream.address &&
           a.upstream.service == b.upstream.service &&
           a.upstream.version == b.upstream.version &&
           a.upstream.failure_domain == b.upstream.failure_domain &&
           a.upstream.capacity == b.upstream.capacity &&
           a.upstream.reclaimable == b.upstream.reclaimable;
}

} // namespace

bool upstream_directory::put(upstream_listed const& entry,
                             std::uint64_t sequence)
{
    auto const [found, added] =
        rows_.try_emplace(entry.upstream.name, row{entry, sequence});
    row& known = found->second;
    if (added)
    {
        digest_ ^= digest_of(entry);
        return true;
    }
    bool const older = entry.incarnation < known.entry.incarnation ||
                       (entry.incarnation == known.entry.incarnation &&
                        entry.incarnation != 0 && sequence <= known.sequence);
    if (older)
    {
        return false;
    }
    bool const changed = !has_same_content(entry, known.entry) ||
                         differs_in_cold(entry, known.entry);
    digest_ ^= digest_of(known.entry) ^ digest_of(entry);
    known = {entry, sequence};
    return changed;
}

bool upstream_directory::remove(std::string const& upstream)
{
    auto const known = rows_.extract(upstream);
    if (known.empty())
    {
        return false;
    }
    digest_ ^= digest_of(known.mapped().entry);
    return true;
}

std::uint64_t upstream_directory::digest_of(upstream_listed const& entry)
{
    upstream_spec const& upstream = entry.upstream;
    std::string const text = fmt::format(
        "{} {} {} {} {} {} {} {} {} {}", upstream.name, entry.incarnation,
        entry.leaving, entry.cold_for > duration::zero(), upstream.address,
        upstream.service, upstream.version, upstream.failure_domain,
        upstream.capacity, upstream.reclaimable);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace amarantharch
