// Small helpers for the JSON bodies and the targets of the stand-ins.
#ifndef AMARANTHARCH_STANDIN_JSON_HPP
#define AMARANTHARCH_STANDIN_JSON_HPP

#include "standin/role.hpp"

#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amarantharch::standin
{

// The object in `text`; nothing if it is not one.
std::optional<QJsonObject> parse_object(std::string const& text);

std::string to_string(QJsonObject const& object);

std::string text_of(QJsonObject const& object, char const* key);
std::int64_t integer_of(QJsonObject const& object, char const* key,
                        std::int64_t otherwise);

whole_reply json_reply(exchange_id exchange, int status,
                       QJsonObject const& body);

// {"error":"…"}
whole_reply error_reply(exchange_id exchange, int status,
                        std::string_view error);

// The path of a target, without its query.
std::string_view path_of(std::string_view target);

// The value of `key` in the query of a target; empty if there is none.
std::string query_value(std::string_view target, std::string_view key);
std::int64_t query_integer(std::string_view target, std::string_view key,
                           std::int64_t otherwise);

// What follows `prefix` in `path`; nothing if it starts otherwise.
std::optional<std::string_view> after_prefix(std::string_view path,
                                             std::string_view prefix);

// The value of a header as an integer; 0 if there is none.
std::int64_t header_integer(call const& request, std::string_view name);

} // namespace amarantharch::standin

#endif
