// The faults that a stand-in shows, set at run time by POST /fault.
//
// Body: {"kind":K,"count":N,"ms":M,"text":T,"tokens":I}. A fault lasts for N
// occasions, or, if count is 0, for M milliseconds (0: until it is set
// again); POST /fault {"kind":K,"count":-1} clears it. Fields that a kind
// does not use are ignored. GET /fault lists the faults in force.
#ifndef AMARANTHARCH_STANDIN_FAULT_TABLE_HPP
#define AMARANTHARCH_STANDIN_FAULT_TABLE_HPP

#include "core/name_table.hpp"
#include "standin/role.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace amarantharch::standin
{

enum class fault_kind : std::uint8_t
{
    outage,          // requests get 503
    slow,            // answers are held back for `ms`; lasts for `count`
    answer_lost,     // the request takes effect, then the connection closes
    request_dropped, // the connection closes before any effect
    crash,           // the process dies on a request that contains `text`
    cut,             // a stream's connection closes after `tokens` tokens
    refuse_start,    // the cloud refuses to start machines
    bad_version,     // requests for version `text` fail (500), or take `ms`
                     // longer if ms is not 0; lasts until cleared
};

inline constexpr name_table<fault_kind, 8> fault_kind_names{{
    {fault_kind::outage, "outage"},
    {fault_kind::slow, "slow"},
    {fault_kind::answer_lost, "answer_lost"},
    {fault_kind::request_dropped, "request_dropped"},
    {fault_kind::crash, "crash"},
    {fault_kind::cut, "cut"},
    {fault_kind::refuse_start, "refuse_start"},
    {fault_kind::bad_version, "bad_version"},
}};

struct fault
{
    std::int64_t count = 0; // occasions left; 0: not limited by count
    duration length{};      // `ms`
    time_point until{};     // the epoch: not limited by time
    std::string text;
    std::int64_t tokens = 0;
};

class fault_table
{
public:
    // Handles a request for /fault; false if it is for another path.
    bool receive(time_point now, exchange_id exchange, call const& request,
                 reply_sink const& emit);

    void set(time_point now, fault_kind kind, fault value);
    void clear(fault_kind kind);

    // The fault of `kind` if it is in force; does not use up an occasion.
    std::optional<fault> find(time_point now, fault_kind kind) const;

    // The same, and uses up an occasion.
    std::optional<fault> take(time_point now, fault_kind kind);

private:
    std::map<fault_kind, fault> faults_;
};

// Deals with the faults that are the same for all roles: outage,
// request_dropped and crash. True if the request has got its reply.
bool apply_common_faults(fault_table& faults, time_point now,
                         exchange_id exchange, call const& request,
                         reply_sink const& emit);

// Gives a reply to a request that has taken effect: emits it, or closes the
// connection instead if answer_lost is in force.
void emit_or_lose(fault_table& faults, time_point now, whole_reply answer,
                  reply_sink const& emit);

} // namespace amarantharch::standin

#endif
