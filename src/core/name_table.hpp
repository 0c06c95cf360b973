// A table that gives each enumerator its name, in both directions.
//
// Lookup is linear: the tables have a handful of rows.
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

// The name of `value`, or "unknown" where the table lacks it.
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

// The enumerator called `name`, or nothing.
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
