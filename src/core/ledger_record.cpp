#include "core/ledger_record.hpp"

#include "core/bounded_unpack.hpp"

#include <absl/status/status.h>

#include <array>
#include <cstddef>
#include <exception>
#include <tuple>

namespace amarantharch
{

namespace
{

using decoder = ledger_record (*)(msgpack::object const&);

template <std::size_t Index>
ledger_record decode_as(msgpack::object const& object)
{
    return object.as<std::variant_alternative_t<Index, ledger_record>>();
}

// A record's kind is encoded as its index in ledger_record.
constexpr std::array<decoder, std::variant_size_v<ledger_record>> decoders{
    decode_as<0>, decode_as<1>, decode_as<2>,
    decode_as<3>, decode_as<4>, decode_as<5>};

} // namespace

record_header const* header_of(ledger_record const& record)
{
    return std::visit(
        [](auto const& value) -> record_header const*
        {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, clock_record>)
            {
                return nullptr;
            }
            else
            {
                return &value.header;
            }
        },
        record);
}

void set_basis(ledger_record& record, record_basis basis)
{
    auto* header = const_cast<record_header*>(header_of(record));
    if (header != nullptr)
    {
        header->basis = basis;
    }
}

std::string encode(ledger_record const& record)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(record.index()));
    std::visit([&packer](auto const& value) { packer.pack(value); }, record);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<ledger_record> decode_ledger_record(std::string const& payload)
{
    try
    {
        auto const handle = bounded_unpack(payload);
        auto const parts =
            handle.get().as<std::tuple<std::uint32_t, msgpack::object>>();
        auto const kind = std::get<0>(parts);
        if (kind >= decoders.size())
        {
            return absl::InvalidArgumentError("unknown record kind");
        }
        return decoders[kind](std::get<1>(parts));
    }
    catch (std::exception const& error)
    {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace amarantharch
