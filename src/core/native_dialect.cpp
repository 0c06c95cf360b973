#include "core/call_fields.hpp"
#include "core/dialect.hpp"
#include "core/site.hpp"

#include <fmt/format.h>

namespace amarantharch
{

namespace
{

class native final : public dialect
{
public:
    std::string read_call(call& request) const override
    {
        return bearer_token(header_value(request.headers, "Authorization"));
    }

    call write_attempt(call const& request,
                       attempt_terms const& terms) const override
    {
        call sent = request;
        std::erase_if(sent.headers, is_replaced);
        if (terms.next_token)
        {
            sent.headers.push_back(
                {std::string(stream_id_header), terms.stream});
            sent.headers.push_back({std::string(resume_header),
                                    fmt::to_string(*terms.next_token)});
        }
        sent.headers.push_back({"X-Request-Id", request.id});
        sent.headers.push_back({"X-Organisation", terms.organisation});
        sent.headers.push_back({"X-Priority", fmt::to_string(terms.priority)});
        sent.headers.push_back(
            {"X-Timeout-Ms", fmt::to_string(to_millis(terms.time_left))});
        return sent;
    }

    bool promises_not_run(int) const override
    {
        return false; // X-Verdict says it
    }

    answer_terms read_answer(request_id const&, int,
                             header_list const& headers) const override
    {
        answer_terms terms;
        terms.stated =
            value_in(verdict_names, header_value(headers, "X-Verdict"));
        return terms;
    }
};

} // namespace

dialect const& native_dialect()
{
    static native const instance;
    return instance;
}

} // namespace amarantharch
