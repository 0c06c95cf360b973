#include "core/upstream_directory.hpp"

namespace amarantharch
{

namespace
{

bool says_the_same(upstream_listed const& a, upstream_listed const& b)
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
    auto const [place, added] =
        rows_.try_emplace(entry.upstream.name, row{entry, sequence});
    row& known = place->second;
    if (added)
    {
        return true;
    }
    bool const older = entry.incarnation < known.entry.incarnation ||
                       (entry.incarnation == known.entry.incarnation &&
                        entry.incarnation != 0 && sequence <= known.sequence);
    if (older)
    {
        return false;
    }
    bool const news = !says_the_same(entry, known.entry);
    known = {entry, sequence};
    return news;
}

bool upstream_directory::remove(std::string const& upstream)
{
    return rows_.erase(upstream) > 0;
}

} // namespace amarantharch
