// Holds log lines until their reader takes them, in bounded memory.
//
// A process never waits for the reader of its log. Lines are kept in order and
// written as far as the reader has room. When it is slow, lines of decisions
// are dropped first; lines that report a failure have room of their own. How
// many were dropped is reported by a line as soon as there is room again.
// Cost: O(bytes); memory: failure_limit bytes.
#ifndef AMARANTHARCH_APP_LOG_BUFFER_HPP
#define AMARANTHARCH_APP_LOG_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amarantharch
{

class log_buffer
{
public:
    // Bytes held, for all lines and with those of failures.
    static constexpr std::size_t line_limit = std::size_t{256} << 10;
    static constexpr std::size_t failure_limit = std::size_t{512} << 10;

    // `line` ends with a line break.
    void add(std::string_view line, bool failure);

    std::string_view pending() const
    {
        return std::string_view(bytes_).substr(begin_);
    }

    // The first `size` bytes of pending() were written.
    void consume(std::size_t size);

    // Lines dropped since the last call.
    std::uint64_t take_dropped();

private:
    std::string bytes_;
    std::size_t begin_ = 0; // <= bytes_.size()
    std::uint64_t dropped_ = 0;
};

} // namespace amarantharch

#endif
