// A table of enumerators and their names, to be looked up in both directions.
//
// Lookup is linear, as the tables are small.
#ifndef AMARANTHARCH_CORE_NAME_TABLE_HPP
#define AMARANTHARCH_CORE_NAME_TABLE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace amarantharch
{

template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

template <typename Enum, std::size_t Size>
using name_table = std::array<enum_name<Enum>, Size>;

// The name of `value`, or "unknown" if the table lacks it.
template <typename Enum, std::size_t Size>
constexpr std::string_view name_in(name_table<Enum, Size> const& table,
                                   Enum value)
{
    for (auto const& row : table)
    {
        if (row.value == value)
        {
            return row.name;
        }
    }
    return "unknown";
}

// The enumerator with the name `name`, or nothing.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_in(name_table<Enum, Size> const& table,
                                       std::string_view name)
{
    for (auto const& row : table)
    {
        if (row.name == name)
        {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace amarantharch

#endif
