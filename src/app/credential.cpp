#include "app/credential.hpp"

#include <QByteArray>
#include <QCryptographicHash>

namespace amarantharch
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

std::string credential_digest(std::string_view authorization)
{
    if (!authorization.starts_with(bearer_prefix))
    {
        return "";
    }
    authorization.remove_prefix(bearer_prefix.size());
    QByteArray const token(authorization.data(),
                           static_cast<qsizetype>(authorization.size()));
    return QCryptographicHash::hash(token, QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

} // namespace amarantharch
