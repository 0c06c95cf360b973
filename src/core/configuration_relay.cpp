#include "core/configuration_relay.hpp"

#include <utility>

namespace amarantharch
{

void configuration_relay::set_own(std::uint64_t version, std::string record)
{
    if (version <= version_)
    {
        return;
    }
    version_ = version;
    record_ = std::move(record);
    behind_since_.reset();
    if (incoming_version_ <= version_)
    {
        incoming_.clear();
    }
}

void configuration_relay::on_peer_version(time_point now, std::string const& vm,
                                          std::uint64_t version)
{
    if (version > version_)
    {
        newer_peer_ = vm;
        behind_since_ = behind_since_.value_or(now);
    }
}

std::optional<std::string> configuration_relay::next_request(time_point now)
{
    bool const due = behind_since_ && now - *behind_since_ >= options_.grace &&
                     now >= next_request_at_;
    if (!due)
    {
        return std::nullopt;
    }
    next_request_at_ = now + options_.retry_interval;
    return newer_peer_;
}

std::vector<configuration_piece>
configuration_relay::pieces_for(std::uint64_t version) const
{
    std::vector<configuration_piece> pieces;
    if (version >= version_)
    {
        return pieces;
    }
    auto const count = static_cast<std::uint32_t>(
        (record_.size() + options_.piece_bytes - 1) / options_.piece_bytes);
    for (std::uint32_t i = 0; i < count; ++i)
    {
        pieces.push_back(
            {version_, i, count,
             record_.substr(i * options_.piece_bytes, options_.piece_bytes)});
    }
    return pieces;
}

std::optional<std::string>
configuration_relay::add_piece(configuration_piece const& piece)
{
    bool const is_wanted =
        piece.version > version_ && piece.version >= incoming_version_;
    bool const is_proper =
        piece.index < piece.count &&
        piece.bytes.size() <= options_.piece_bytes &&
        piece.count <= options_.max_record_bytes / options_.piece_bytes;
    if (!is_wanted || !is_proper)
    {
        return std::nullopt;
    }
    if (piece.version != incoming_version_ || piece.count != incoming_count_)
    {
        incoming_.clear();
        incoming_version_ = piece.version;
        incoming_count_ = piece.count;
    }
    incoming_.insert_or_assign(piece.index, piece.bytes);
    if (incoming_.size() < incoming_count_)
    {
        return std::nullopt;
    }
    std::string record;
    for (auto const& [index, bytes] : std::exchange(incoming_, {}))
    {
        record += bytes;
    }
    return record;
}

} // namespace amarantharch
