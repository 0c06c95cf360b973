#include "net/json.hpp"

#include <QJsonDocument>

namespace amarantharch
{

absl::StatusOr<QJsonObject> parse_json_object(std::string_view text)
{
    QJsonParseError error{};
    QJsonDocument const document = QJsonDocument::fromJson(
        QByteArray(text.data(), static_cast<qsizetype>(text.size())), &error);
    if (error.error != QJsonParseError::NoError)
    {
        return absl::DataLossError(error.errorString().toStdString());
    }
    if (!document.isObject())
    {
        return absl::DataLossError("not a JSON object");
    }
    return document.object();
}

std::string to_text(QJsonObject const& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string json_string(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

std::int64_t json_integer(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toInteger();
}

double json_number(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toDouble();
}

bool json_flag(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toBool();
}

bool json_is_count(QJsonObject const& object, char const* key,
                   std::int64_t most)
{
    constexpr std::int64_t none = -1;
    QJsonValue const value = object.value(QLatin1String(key));
    std::int64_t const number = value.isDouble() ? value.toInteger(none) : none;
    return number >= 0 && number <= most;
}

std::vector<QJsonObject> json_objects(QJsonObject const& object,
                                      char const* key)
{
    std::vector<QJsonObject> objects;
    for (auto const& element : object.value(QLatin1String(key)).toArray())
    {
        if (element.isObject())
        {
            objects.push_back(element.toObject());
        }
    }
    return objects;
}

std::vector<std::string> json_strings(QJsonObject const& object,
                                      char const* key)
{
    std::vector<std::string> strings;
    for (auto const& element : object.value(QLatin1String(key)).toArray())
    {
        if (element.isString())
        {
            strings.push_back(element.toString().toStdString());
        }
    }
    return strings;
}

} // namespace amarantharch
