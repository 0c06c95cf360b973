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
                       attempt_metadata const& metadata) const override
    {
        call outgoing = request;
        std::erase_if(outgoing.headers, is_replaced);
        if (metadata.next_token)
        {
            outgoing.headers.push_back(
                {std::string(stream_id_header), metadata.stream});
            outgoing.headers.push_back({std::string(resume_header),
                                        fmt::to_string(*metadata.next_token)});
        }
        outgoing.headers.push_back({"X-Request-Id", request.id});
        outgoing.headers.push_back({"X-Organisation", metadata.organisation});
        outgoing.headers.push_back(
            {"X-Priority", fmt::to_string(metadata.priority)});
        outgoing.headers.push_back(
            {"X-Timeout-Ms", fmt::to_string(to_millis(metadata.time_left))});
        return outgoing;
    }

    bool promises_not_run(int) const override
    {
        return false; // the X-Verdict header states it instead
    }

    answer_metadata read_answer(request_id const&, int,
                                header_list const& headers) const override
    {
        answer_metadata metadata;
        metadata.stated_verdict =
            value_in(verdict_names, header_value(headers, "X-Verdict"));
        return metadata;
    }
};

} // namespace

dialect const& native_dialect()
{
    static native const instance;
    return instance;
}

} // namespace amarantharch
