#include "net/platform_client.hpp"

#include "net/answer_status.hpp"
#include "net/http_request.hpp"
#include "net/json.hpp"

#include <fmt/format.h>

#include <utility>

namespace amarantharch
{

namespace
{

constexpr name_table<vm_kind, 2> vm_kind_names{{
    {vm_kind::entry, "entry"},
    {vm_kind::upstream, "upstream"},
}};

constexpr name_table<vm_state, 2> vm_state_names{{
    {vm_state::live, "live"},
    {vm_state::leaving, "leaving"},
}};

// The object in a whole, successful answer.
absl::StatusOr<QJsonObject> object_in(http_answer const& answer)
{
    absl::Status const status = answer_status(answer);
    return status.ok() ? parse_json_object(answer.body) : status;
}

// Nothing for an entry without a name or of a kind not known here.
std::optional<listed_vm> to_listed_vm(QJsonObject const& row)
{
    auto const kind = value_in(vm_kind_names, json_string(row, "kind"));
    auto const state = value_in(vm_state_names, json_string(row, "state"));
    listed_vm vm{json_string(row, "vm"),
                 kind.value_or(vm_kind::upstream),
                 json_string(row, "address"),
                 json_string(row, "failure_domain"),
                 state.value_or(vm_state::leaving),
                 json_string(row, "class"),
                 json_flag(row, "reclaimable"),
                 json_number(row, "price")};
    if (vm.vm.empty() || !kind)
    {
        return std::nullopt;
    }
    return vm;
}

absl::StatusOr<std::vector<listed_vm>> to_vms(http_answer const& answer)
{
    auto const object = object_in(answer);
    if (!object.ok())
    {
        return object.status();
    }
    std::vector<listed_vm> vms;
    for (QJsonObject const& row : json_objects(*object, "vms"))
    {
        if (auto vm = to_listed_vm(row))
        {
            vms.push_back(*std::move(vm));
        }
    }
    return vms;
}

absl::StatusOr<std::optional<time_point>> to_notice(http_answer const& answer)
{
    auto const object = object_in(answer);
    if (!object.ok())
    {
        return object.status();
    }
    std::int64_t const at = json_integer(*object, "reclaim_at_us");
    return at == 0 ? std::nullopt : std::optional(from_micros(at));
}

absl::StatusOr<std::vector<machine_entry>>
to_machines(http_answer const& answer)
{
    auto const object = object_in(answer);
    if (!object.ok())
    {
        return object.status();
    }
    std::vector<machine_entry> machines;
    for (QJsonObject const& row : json_objects(*object, "machines"))
    {
        machines.push_back(
            {json_string(row, "vm"), json_string(row, "order"),
             json_string(row, "class"), json_string(row, "failure_domain"),
             json_flag(row, "reclaimable"), json_string(row, "state")});
    }
    return machines;
}

absl::StatusOr<std::string> to_started(http_answer const& answer)
{
    auto const object = object_in(answer);
    if (absl::IsAborted(object.status()))
    {
        auto const refusal = parse_json_object(answer.body);
        return absl::ResourceExhaustedError(
            refusal.ok() ? json_string(*refusal, "reason") : answer.body);
    }
    if (!object.ok())
    {
        return object.status();
    }
    std::string vm = json_string(*object, "vm");
    if (vm.empty())
    {
        return absl::DataLossError("a started machine has no name");
    }
    return vm;
}

std::string order_body(machine_order const& order)
{
    return to_text(QJsonObject{
        {"order", QString::fromStdString(order.order)},
        {"fence", static_cast<qint64>(order.fence)},
        {"class", QString::fromStdString(order.machine_class)},
        {"failure_domain", QString::fromStdString(order.failure_domain)},
        {"reclaimable", order.reclaimable}});
}

} // namespace

class platform_client::impl
{
public:
    impl(std::string address, duration timeout)
        : address_(std::move(address)), timeout_(timeout)
    {
    }

    // Sends a request and hands what `interpret` makes of its answer to
    // `done`.
    template <typename Interpret, typename Done>
    void send(std::string method, std::string target, std::string body,
              Interpret interpret, Done done)
    {
        header_list headers;
        if (!body.empty())
        {
            headers.push_back({"Content-Type", "application/json"});
        }
        call const request{"", std::move(method), std::move(target),
                           std::move(headers), std::move(body)};
        requester_.send(
            address_, request, {timeout_, timeout_, timeout_},
            [interpret, done = std::move(done)](http_answer const& answer)
            { done(interpret(answer)); });
    }

private:
    std::string address_;
    duration timeout_;
    http_requester requester_;
};

platform_client::platform_client(std::string address, duration timeout)
    : impl_(std::make_unique<impl>(std::move(address), timeout))
{
}

platform_client::~platform_client() = default;

void platform_client::list_vms(callback<std::vector<listed_vm>> done)
{
    impl_->send("GET", "/v1/vms", "", to_vms, std::move(done));
}

void platform_client::notice(std::string const& vm,
                             callback<std::optional<time_point>> done)
{
    impl_->send("GET", "/v1/notices?vm=" + percent_encode(vm), "", to_notice,
                std::move(done));
}

void platform_client::start_machine(machine_order const& order,
                                    callback<std::string> done)
{
    impl_->send("POST", "/v1/machines", order_body(order), to_started,
                std::move(done));
}

void platform_client::list_machines(callback<std::vector<machine_entry>> done)
{
    impl_->send("GET", "/v1/machines", "", to_machines, std::move(done));
}

void platform_client::stop_machine(std::string const& vm, std::uint64_t fence,
                                   std::function<void(absl::Status)> done)
{
    impl_->send(
        "DELETE",
        fmt::format("/v1/machines/{}?fence={}", percent_encode(vm), fence), "",
        answer_status, std::move(done));
}

} // namespace amarantharch
