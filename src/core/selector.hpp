// Selects entities by their labels.
//
//     selector   = any | conjunction { "or" conjunction }
//     conjunction = term { "and" term }
//     term       = "not" term | "(" selector ")" | comparison
//     comparison = label ( "=" | "!=" ) value
//                | label [ "not" ] "in" "(" value { "," value } ")"
//     any        = "*"
//
// Labels and values are words of letters, digits and "_-.:/"; a value may also
// be any text in double quotes. A label that an entity lacks differs from every
// value.
//
// The text is parsed once, by recursive descent of bounded depth, into a syntax
// tree whose nodes lie in one vector; matching walks the tree. Both are linear
// in the length of the text.
#ifndef AMARANTHARCH_CORE_SELECTOR_HPP
#define AMARANTHARCH_CORE_SELECTOR_HPP

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amarantharch
{

using label_map = std::map<std::string, std::string, std::less<>>;

struct selector_error
{
    std::size_t column = 0; // offset in bytes from the selector's start
    std::string message;    // what was expected and found
};

class selector
{
public:
    // Matches nothing.
    selector() = default;

    // Parses `text`. On a syntax error returns nothing and fills `error`.
    static std::optional<selector> parse(std::string_view text,
                                         selector_error& error);

    bool matches(label_map const& labels) const;

    // The labels that the selector names, each once and in order.
    std::vector<std::string> labels() const;

private:
    friend class selector_parser;
    enum class operation : std::uint8_t
    {
        everything,
        conjunction,
        disjunction,
        negation,
        membership, // the label's value is one of `values`
    };
    struct tree_node
    {
        operation kind = operation::everything;
        std::vector<std::size_t> children; // indices smaller than this node's
        std::string label;
        std::vector<std::string> values;
    };

    bool matches(std::size_t index, label_map const& labels) const;

    std::vector<tree_node> nodes_; // the root is the last
};

// Three lines for a terminal: `text`, a caret under the error's column, and the
// error's message.
std::string format_with_caret(std::string_view text,
                              selector_error const& error);

} // namespace amarantharch

#endif
