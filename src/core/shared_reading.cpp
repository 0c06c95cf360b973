#include "core/shared_reading.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace amarantharch
{

std::size_t shared_reading::cell_count(membership const& members) const
{
    std::size_t const fleet = members.members().size() + 1;
    return (fleet + options_.cell_size - 1) / options_.cell_size;
}

std::size_t shared_reading::cell_of(std::string const& vm, std::size_t cells)
{
    return XXH3_64bits(vm.data(), vm.size()) % cells;
}

std::string shared_reading::cell_name(std::size_t cell, std::size_t cells)
{
    return fmt::format("{}/{}", cell, cells);
}

std::string shared_reading::own_cell(membership const& members) const
{
    std::size_t const count = cell_count(members);
    return cell_name(cell_of(vm_, count), count);
}

std::vector<std::string>
shared_reading::cells_read(membership const& members) const
{
    std::size_t const count = cell_count(members);
    std::vector<std::string> names;
    for (std::size_t cell = 0; cell < count; ++cell)
    {
        if (is_reader_of(members, cell))
        {
            names.push_back(cell_name(cell, count));
        }
    }
    return names;
}

std::vector<std::string>
shared_reading::members_of(membership const& members,
                           std::string const& cell) const
{
    std::size_t const count = cell_count(members);
    std::vector<std::string> chosen;
    for (auto const& [vm, row] : members.members())
    {
        bool const reachable = row.state() == member_state::live ||
                               row.state() == member_state::leaving;
        if (reachable && cell_name(cell_of(vm, count), count) == cell)
        {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

std::vector<std::string> shared_reading::readers_of(membership const& members,
                                                    std::size_t cell) const
{
    return members.others_selected_for(fmt::format("streams-{}", cell),
                                       options_.readers);
}

std::vector<std::string>
shared_reading::own_readers(membership const& members) const
{
    return readers_of(members, cell_of(vm_, cell_count(members)));
}

std::vector<std::string>
shared_reading::other_readers(membership const& members) const
{
    std::size_t const count = cell_count(members);
    std::set<std::string> readers;
    for (std::size_t cell = 0; cell < count; ++cell)
    {
        for (std::string& vm : readers_of(members, cell))
        {
            readers.insert(std::move(vm));
        }
    }
    return {readers.begin(), readers.end()};
}

bool shared_reading::is_reader_of(membership const& members,
                                  std::size_t cell) const
{
    return members.is_selected_for(fmt::format("streams-{}", cell),
                                   options_.readers);
}

bool shared_reading::is_reader(membership const& members) const
{
    std::size_t const count = cell_count(members);
    for (std::size_t cell = 0; cell < count; ++cell)
    {
        if (is_reader_of(members, cell))
        {
            return true;
        }
    }
    return false;
}

std::vector<std::string>
shared_reading::recipients(membership const& members) const
{
    std::size_t const count = cell_count(members);
    std::vector<bool> read_here(count);
    for (std::size_t cell = 0; cell < count; ++cell)
    {
        read_here[cell] = is_reader_of(members, cell);
    }
    std::vector<std::string> chosen;
    for (auto const& [vm, row] : members.members())
    {
        bool const reachable = row.state() == member_state::live ||
                               row.state() == member_state::leaving;
        if (reachable && read_here[cell_of(vm, count)])
        {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

std::vector<reading_report>
shared_reading::split(reading_report const& report) const
{
    std::vector<reading_report> result{{report.states, {}}};
    std::size_t bytes = 0;
    for (shared_record const& record : report.records)
    {
        std::size_t const size = record.key.size() + record.value.size();
        if (bytes > 0 && bytes + size > options_.message_bytes)
        {
            result.emplace_back();
            bytes = 0;
        }
        bytes += size;
        result.back().records.push_back(record);
    }
    return result;
}

} // namespace amarantharch
