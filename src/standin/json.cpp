#include "standin/json.hpp"

#include "core/site.hpp"

#include <QJsonDocument>

#include <absl/strings/numbers.h>

namespace amarantharch::standin
{

std::optional<QJsonObject> parse_object(std::string const& text)
{
    auto const document =
        QJsonDocument::fromJson(QByteArray::fromStdString(text));
    if (!document.isObject())
    {
        return std::nullopt;
    }
    return document.object();
}

std::string to_string(QJsonObject const& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string text_of(QJsonObject const& object, char const* key)
{
    return object.value(QLatin1String(key)).toString().toStdString();
}

std::int64_t integer_of(QJsonObject const& object, char const* key,
                        std::int64_t otherwise)
{
    return object.value(QLatin1String(key)).toInteger(otherwise);
}

whole_reply json_reply(exchange_id exchange, int status,
                       QJsonObject const& body)
{
    return {exchange, status, "application/json", to_string(body)};
}

whole_reply error_reply(exchange_id exchange, int status,
                        std::string_view error)
{
    return json_reply(
        exchange, status,
        {{"error", QString::fromUtf8(error.data(),
                                     static_cast<qsizetype>(error.size()))}});
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view key)
{
    std::size_t start = target.find('?');
    while (start != std::string_view::npos)
    {
        std::size_t const end = target.find('&', ++start);
        std::string_view const pair = target.substr(
            start, end == std::string_view::npos ? end : end - start);
        std::size_t const equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key)
        {
            return std::string(pair.substr(equals + 1));
        }
        start = end;
    }
    return "";
}

std::int64_t query_integer(std::string_view target, std::string_view key,
                           std::int64_t otherwise)
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(query_value(target, key), &value) ? value
                                                              : otherwise;
}

std::optional<std::string_view> after_prefix(std::string_view path,
                                             std::string_view prefix)
{
    if (!path.starts_with(prefix))
    {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

std::int64_t header_integer(call const& request, std::string_view name)
{
    std::int64_t value = 0;
    std::string const text(header_value(request.headers, name));
    return absl::SimpleAtoi(text, &value) ? value : 0;
}

} // namespace amarantharch::standin
