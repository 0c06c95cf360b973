#include "core/selector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace amarantharch
{

namespace
{

constexpr int max_depth = 64;
constexpr std::size_t max_text_bytes = 64UL * 1024;

bool is_word_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.' ||
           c == ':' || c == '/';
}

bool is_space(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

// A recursive-descent parser. Each method for a production of the grammar
// parses it at `position_` and returns the index of its node, or nothing after
// it has filled `error_`.
class selector_parser
{
public:
    selector_parser(std::string_view text, selector_error& error)
        : text_(text), error_(error)
    {
    }

    std::optional<selector> parse()
    {
        if (text_.size() > max_text_bytes)
        {
            fail("expected a selector of at most 64 KiB");
            return std::nullopt;
        }
        skip_spaces();
        auto const root = take('*') ? std::optional(add({})) : disjunction(0);
        if (!root)
        {
            return std::nullopt;
        }
        skip_spaces();
        if (position_ < text_.size())
        {
            fail(nodes_[*root].kind == selector::operation::everything
                     ? "expected the end after \"*\""
                     : "expected \"and\", \"or\" or the end");
            return std::nullopt;
        }
        selector result;
        result.nodes_ = std::move(nodes_);
        return result;
    }

private:
    using index = std::size_t;
    using operation = selector::operation;

    std::optional<index> disjunction(int depth)
    {
        return chain(depth, "or", operation::disjunction,
                     &selector_parser::conjunction);
    }

    std::optional<index> conjunction(int depth)
    {
        return chain(depth, "and", operation::conjunction,
                     &selector_parser::term);
    }

    std::optional<index>
    chain(int depth, std::string_view separator, operation kind,
          std::optional<index> (selector_parser::*operand)(int))
    {
        std::vector<index> children;
        do
        {
            auto const child = (this->*operand)(depth);
            if (!child)
            {
                return std::nullopt;
            }
            children.push_back(*child);
        } while (take_word(separator));
        if (children.size() == 1)
        {
            return children[0];
        }
        return add({kind, std::move(children), {}, {}});
    }

    std::optional<index> term(int depth)
    {
        if (depth >= max_depth)
        {
            fail("expected at most 64 levels of nesting");
            return std::nullopt;
        }
        if (take_word("not"))
        {
            return negate(term(depth + 1));
        }
        if (!take('('))
        {
            return comparison();
        }
        auto const inner = disjunction(depth + 1);
        if (inner && !take(')'))
        {
            fail("expected \"and\", \"or\" or \")\"");
            return std::nullopt;
        }
        return inner;
    }

    std::optional<index> comparison()
    {
        auto label = word();
        if (label.empty())
        {
            fail("expected a label, \"not\" or \"(\"");
            return std::nullopt;
        }
        if (label == "and" || label == "or" || label == "in")
        {
            position_ -= label.size();
            fail("expected a label, \"not\" or \"(\"");
            return std::nullopt;
        }
        if (take_text("!="))
        {
            return negate(equality(std::move(label)));
        }
        if (take('='))
        {
            return equality(std::move(label));
        }
        if (take_word("in"))
        {
            return membership(std::move(label));
        }
        if (take_word("not"))
        {
            if (!take_word("in"))
            {
                fail("expected \"in\" after \"not\"");
                return std::nullopt;
            }
            return negate(membership(std::move(label)));
        }
        fail("expected \"=\", \"!=\", \"in\" or \"not in\" after the label");
        return std::nullopt;
    }

    std::optional<index> equality(std::string label)
    {
        auto parsed = value();
        if (!parsed)
        {
            return std::nullopt;
        }
        return add({operation::membership,
                    {},
                    std::move(label),
                    {std::move(*parsed)}});
    }

    std::optional<index> membership(std::string label)
    {
        if (!take('('))
        {
            fail("expected \"(\" after \"in\"");
            return std::nullopt;
        }
        std::vector<std::string> values;
        do
        {
            auto parsed = value();
            if (!parsed)
            {
                return std::nullopt;
            }
            values.push_back(std::move(*parsed));
        } while (take(','));
        if (!take(')'))
        {
            fail("expected \",\" or \")\"");
            return std::nullopt;
        }
        return add(
            {operation::membership, {}, std::move(label), std::move(values)});
    }

    std::optional<std::string> value()
    {
        skip_spaces();
        if (position_ < text_.size() && text_[position_] == '"')
        {
            return quoted_value();
        }
        auto unquoted = word();
        if (unquoted.empty())
        {
            fail("expected a value");
            return std::nullopt;
        }
        return unquoted;
    }

    std::optional<std::string> quoted_value()
    {
        auto const end = text_.find('"', position_ + 1);
        if (end == std::string_view::npos)
        {
            fail("expected a closing double quote");
            return std::nullopt;
        }
        std::string quoted(text_.substr(position_ + 1, end - position_ - 1));
        position_ = end + 1;
        return quoted;
    }

    std::optional<index> negate(std::optional<index> child)
    {
        if (!child)
        {
            return std::nullopt;
        }
        return add({operation::negation, {*child}, {}, {}});
    }

    index add(selector::tree_node node)
    {
        nodes_.push_back(std::move(node));
        return nodes_.size() - 1;
    }

    void skip_spaces()
    {
        while (position_ < text_.size() && is_space(text_[position_]))
        {
            ++position_;
        }
    }

    // Skips spaces and consumes the word that follows; empty if there is none.
    std::string word()
    {
        skip_spaces();
        auto const start = position_;
        while (position_ < text_.size() && is_word_character(text_[position_]))
        {
            ++position_;
        }
        return std::string(text_.substr(start, position_ - start));
    }

    bool take_word(std::string_view wanted)
    {
        auto const before = position_;
        if (word() == wanted)
        {
            return true;
        }
        position_ = before;
        return false;
    }

    bool take_text(std::string_view wanted)
    {
        skip_spaces();
        if (text_.substr(position_, wanted.size()) != wanted)
        {
            return false;
        }
        position_ += wanted.size();
        return true;
    }

    bool take(char wanted)
    {
        return take_text(std::string_view(&wanted, 1));
    }

    // Keeps only the first error; later ones are consequences of it.
    void fail(std::string_view expected)
    {
        if (!error_.message.empty())
        {
            return;
        }
        skip_spaces();
        error_.column = position_;
        error_.message =
            position_ < text_.size()
                ? fmt::format("{}, found \"{}\"", expected, found())
                : fmt::format("{}, found the end", expected);
    }

    // The word or character at the position.
    std::string found()
    {
        auto const before = position_;
        auto text = word();
        position_ = before;
        return text.empty() ? std::string(1, text_[position_]) : text;
    }

    std::string_view text_;
    selector_error& error_;
    std::size_t position_ = 0;
    std::vector<selector::tree_node> nodes_;
};

std::optional<selector> selector::parse(std::string_view text,
                                        selector_error& error)
{
    error = {};
    return selector_parser(text, error).parse();
}

bool selector::matches(label_map const& labels) const
{
    return !nodes_.empty() && matches(nodes_.size() - 1, labels);
}

bool selector::matches(std::size_t index, label_map const& labels) const
{
    auto const& node = nodes_[index];
    auto const child = [&](std::size_t i)
    {
        return matches(i, labels);
    };
    switch (node.kind)
    {
    case operation::everything:
        return true;
    case operation::conjunction:
        return std::ranges::all_of(node.children, child);
    case operation::disjunction:
        return std::ranges::any_of(node.children, child);
    case operation::negation:
        return !child(node.children[0]);
    case operation::membership:
        break;
    }
    auto const found = labels.find(node.label);
    return found != labels.end() &&
           std::ranges::find(node.values, found->second) != node.values.end();
}

std::vector<std::string> selector::labels() const
{
    std::set<std::string> found;
    for (auto const& node : nodes_)
    {
        if (node.kind == operation::membership)
        {
            found.insert(node.label);
        }
    }
    return {found.begin(), found.end()};
}

std::string format_with_caret(std::string_view text,
                              selector_error const& error)
{
    return fmt::format("{}\n{:>{}}\n{}", text, "^", error.column + 1,
                       error.message);
}

} // namespace amarantharch
