#include "net/credential.hpp"

#include <QByteArray>
#include <QCryptographicHash>

namespace amarantharch
{

std::string token_digest(std::string_view token)
{
    if (token.empty())
    {
        return "";
    }
    QByteArray const bytes(token.data(), static_cast<qsizetype>(token.size()));
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

} // namespace amarantharch
