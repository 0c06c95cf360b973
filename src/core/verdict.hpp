// Whether a request may have been executed by an upstream.
//
// The component that knows sets the verdict. Later components may only weaken
// it: not_run and ran may become may_have_run, never the reverse.
#ifndef AMARANTHARCH_CORE_VERDICT_HPP
#define AMARANTHARCH_CORE_VERDICT_HPP

#include "core/name_table.hpp"

#include <cstdint>
#include <string_view>

namespace amarantharch
{

enum class verdict : std::uint8_t
{
    not_run,      // no upstream has received any part of the request
    may_have_run, // an upstream received it; its outcome is unknown
    ran,          // an upstream answered
};

inline constexpr name_table<verdict, 3> verdict_names{{
    {verdict::not_run, "not_run"},
    {verdict::may_have_run, "may_have_run"},
    {verdict::ran, "ran"},
}};

constexpr std::string_view name(verdict v)
{
    return name_in(verdict_names, v);
}

// The verdict on a request with several attempts: not_run only if no attempt
// was run, ran if at least one is known to have run.
constexpr verdict combine(verdict a, verdict b)
{
    return a > b ? a : b;
}

} // namespace amarantharch

#endif
