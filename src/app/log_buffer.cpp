#include "app/log_buffer.hpp"

#include <utility>

namespace amarantharch
{

void log_buffer::add(std::string_view line, bool failure)
{
    std::size_t const limit = failure ? failure_limit : line_limit;
    if (pending().size() + line.size() > limit)
    {
        ++dropped_;
        return;
    }
    bytes_.append(line);
}

void log_buffer::consume(std::size_t size)
{
    begin_ += size;
    if (begin_ >= bytes_.size() / 2)
    {
        bytes_.erase(0, begin_);
        begin_ = 0;
    }
}

std::uint64_t log_buffer::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace amarantharch
