#include "core/selector.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>
#include <vector>

using namespace amarantharch;

namespace
{

// An expression as text, and a predicate with the meaning that it should have.
struct expression
{
    std::string text;
    std::function<bool(label_map const&)> meaning;
};

std::string value_of(label_map const& labels, std::string const& label)
{
    auto const found = labels.find(label);
    return found == labels.end() ? "-absent-" : found->second;
}

std::vector<expression> comparisons()
{
    std::vector<expression> all;
    for (std::string const label : {"a", "b"})
    {
        all.push_back({label + "=x", [label](label_map const& l)
                       {
                           return value_of(l, label) == "x";
                       }});
        all.push_back({label + " != \"x\"", [label](label_map const& l)
                       {
                           return value_of(l, label) != "x";
                       }});
        all.push_back({label + " in (x, y)", [label](label_map const& l)
                       {
                           auto const v = value_of(l, label);
                           return v == "x" || v == "y";
                       }});
        all.push_back({label + " not in (y)", [label](label_map const& l)
                       {
                           return value_of(l, label) != "y";
                       }});
    }
    return all;
}

expression operator!(expression const& e)
{
    return {"not (" + e.text + ")", [m = e.meaning](label_map const& l)
            {
                return !m(l);
            }};
}

// Every label map in which a and b are each absent, x, y or z.
std::vector<label_map> all_label_maps()
{
    std::vector<label_map> maps;
    for (std::string const a : {"", "x", "y", "z"})
    {
        for (std::string const b : {"", "x", "y", "z"})
        {
            label_map labels;
            if (!a.empty())
            {
                labels["a"] = a;
            }
            if (!b.empty())
            {
                labels["b"] = b;
            }
            maps.push_back(labels);
        }
    }
    return maps;
}

void check(expression const& e)
{
    selector_error error;
    auto const parsed = selector::parse(e.text, error);
    BOOST_REQUIRE_MESSAGE(parsed, e.text + ": " + error.message);
    for (auto const& labels : all_label_maps())
    {
        if (parsed->matches(labels) != e.meaning(labels))
        {
            BOOST_ERROR("wrong for " + e.text);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_selector)

BOOST_AUTO_TEST_CASE(means_what_a_naive_evaluator_says_in_all_small_cases)
{
    auto const leaves = comparisons();
    for (auto const& p : leaves)
    {
        check(p);
        check(!p);
        for (auto const& q : leaves)
        {
            check({p.text + " and " + q.text, [&](label_map const& l)
                   {
                       return p.meaning(l) && q.meaning(l);
                   }});
            for (auto const& r : leaves)
            {
                // "and" binds tighter than "or".
                check({p.text + " or " + q.text + " and " + r.text,
                       [&](label_map const& l)
                       {
                           return p.meaning(l) ||
                                  (q.meaning(l) && r.meaning(l));
                       }});
                check({"(" + p.text + " or " + q.text + ") and not " + r.text,
                       [&](label_map const& l)
                       {
                           return (p.meaning(l) || q.meaning(l)) &&
                                  !r.meaning(l);
                       }});
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(selects_by_star_or_not_at_all)
{
    selector_error error;
    BOOST_CHECK(selector::parse("*", error)->matches({}));
    BOOST_CHECK(!selector().matches({}));
}

BOOST_AUTO_TEST_CASE(names_its_labels)
{
    selector_error error;
    auto const parsed =
        selector::parse("zone in (asan) and not (version=v2 or zone=x)", error);
    BOOST_REQUIRE(parsed);
    BOOST_CHECK(
        (parsed->labels() == std::vector<std::string>{"version", "zone"}));
}

BOOST_AUTO_TEST_SUITE(with_a_fault)

struct faulty_text
{
    std::string text;
    std::size_t column;
    std::string message;
};

BOOST_AUTO_TEST_CASE(points_at_the_character)
{
    std::vector<faulty_text> const table{
        {"", 0, "expected a label, \"not\" or \"(\", found the end"},
        {"service", 7,
         "expected \"=\", \"!=\", \"in\" or \"not in\" after the label, found "
         "the end"},
        {"service=", 8, "expected a value, found the end"},
        {"service == drafts", 9, "expected a value, found \"=\""},
        {"service=drafts and", 18,
         "expected a label, \"not\" or \"(\", found the end"},
        {"service=drafts zone=asan", 15,
         "expected \"and\", \"or\" or the end, found \"zone\""},
        {"zone in asan", 8, "expected \"(\" after \"in\", found \"asan\""},
        {"zone in (asan patan)", 14,
         "expected \",\" or \")\", found \"patan\""},
        {"zone in ()", 9, "expected a value, found \")\""},
        {"(zone=asan", 10, "expected \"and\", \"or\" or \")\", found the end"},
        {"zone=\"asan", 5, "expected a closing double quote, found \"\"\""},
        {"zone not asan", 9, "expected \"in\" after \"not\", found \"asan\""},
        {"* and zone=asan", 2, "expected the end after \"*\", found \"and\""},
        {"and zone=asan", 0,
         "expected a label, \"not\" or \"(\", found \"and\""},
        {"zone=asan; x", 9, "expected \"and\", \"or\" or the end, found \";\""},
    };
    for (auto const& row : table)
    {
        selector_error error;
        BOOST_CHECK_MESSAGE(!selector::parse(row.text, error), row.text);
        BOOST_CHECK_EQUAL(error.column, row.column);
        BOOST_CHECK_EQUAL(error.message, row.message);
    }
}

BOOST_AUTO_TEST_CASE(shows_the_place_under_the_text)
{
    selector_error error;
    BOOST_CHECK(!selector::parse("zone in asan", error));
    BOOST_CHECK_EQUAL(format_with_caret("zone in asan", error),
                      "zone in asan\n        ^\n"
                      "expected \"(\" after \"in\", found \"asan\"");
}

BOOST_AUTO_TEST_CASE(refuses_deep_nesting_and_survives_random_text)
{
    selector_error error;
    BOOST_CHECK(!selector::parse(std::string(100000, '('), error));
    BOOST_CHECK(!selector::parse(std::string(1000, '('), error));
    std::mt19937_64 random(7);
    std::string const alphabet = "ab=!()\", notinadr*\x01\xff";
    for (int i = 0; i < 20000; ++i)
    {
        std::string text;
        for (auto n = random() % 12; n > 0; --n)
        {
            text += alphabet[random() % alphabet.size()];
        }
        auto const parsed = selector::parse(text, error);
        BOOST_CHECK(parsed.has_value() == error.message.empty());
        BOOST_CHECK_LE(error.column, text.size());
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
