#include "net/endpoint.hpp"

namespace amarantharch
{

std::optional<endpoint> parse_endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
    }
    bool is_number = false;
    quint16 const port =
        QString::fromStdString(address.substr(colon + 1)).toUShort(&is_number);
    endpoint result{QHostAddress(QString::fromStdString(host)), port};
    if (!is_number || port == 0 || result.host.isNull())
    {
        return std::nullopt;
    }
    return result;
}

} // namespace amarantharch
