// Typed access to small JSON answers, over Qt's JSON.
//
// The accessors give a default for a missing or mistyped member, so that an
// answer of a later version with more members, or fewer, can be read.
#ifndef AMARANTHARCH_NET_JSON_HPP
#define AMARANTHARCH_NET_JSON_HPP

#include <QJsonArray>
#include <QJsonObject>

#include <absl/status/statusor.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

// DataLoss if `text` is not a JSON object.
absl::StatusOr<QJsonObject> parse_json_object(std::string_view text);

std::string to_text(QJsonObject const& object);

std::string json_string(QJsonObject const& object, char const* key);
std::int64_t json_integer(QJsonObject const& object, char const* key);
double json_number(QJsonObject const& object, char const* key);
bool json_flag(QJsonObject const& object, char const* key);

// True if `key` is a whole number from 0 to `most`.
bool json_is_count(
    QJsonObject const& object, char const* key,
    std::int64_t most = std::numeric_limits<std::int64_t>::max());

// The objects among the elements of the array called `key`.
std::vector<QJsonObject> json_objects(QJsonObject const& object,
                                      char const* key);
// The strings among them.
std::vector<std::string> json_strings(QJsonObject const& object,
                                      char const* key);

} // namespace amarantharch

#endif
