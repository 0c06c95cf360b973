// The decisions of one VM, as a machine of typed events and commands.
//
// A node is told what happened (an event) and the present time, and answers
// with what is to be done (commands, in order). It has no sockets, clock,
// threads or randomness of its own, so that a whole session can be replayed
// from a text file and many nodes can be stepped in one process.
//
// Each request is in one row of the request table from call_received until
// its final answer; each try at an upstream is one attempt with an id of its
// own, so that a late piece of an abandoned attempt cannot reach a caller.
#ifndef AMARANTHARCH_CORE_NODE_HPP
#define AMARANTHARCH_CORE_NODE_HPP

#include "core/call.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace amarantharch
{

using attempt_id = std::uint64_t;

// ---- Events: what happened. ----

struct call_received
{
    call request;
};

// The caller closed its connection before the answer ended.
struct call_abandoned
{
    request_id request;
};

struct upstream_head
{
    attempt_id attempt;
    int status;
    header_list headers;
};

struct upstream_piece
{
    attempt_id attempt;
    std::string bytes;
};

struct upstream_end
{
    attempt_id attempt;
};

// The attempt ended without a whole answer.
struct upstream_failed
{
    attempt_id attempt;
    verdict run; // not_run only if no byte of the request left this VM
    std::string reason;
};

using event = std::variant<call_received, call_abandoned, upstream_head,
                           upstream_piece, upstream_end, upstream_failed>;

// ---- Commands: what is to be done. ----

struct start_attempt
{
    attempt_id attempt;
    std::string upstream;
    std::string address; // ip:port
    call request;
};

struct cancel_attempt
{
    attempt_id attempt;
};

struct answer_head
{
    request_id request;
    int status;
    header_list headers;
};

struct answer_piece
{
    request_id request;
    std::string bytes;
};

struct answer_end
{
    request_id request;
};

struct answer_refusal
{
    request_id request;
    refusal why;
};

using command = std::variant<start_attempt, cancel_attempt, answer_head,
                             answer_piece, answer_end, answer_refusal>;

using command_sink = std::function<void(command)>;

struct upstream_entry
{
    std::string name;
    std::string address; // ip:port
};

struct node_options
{
    std::string vm;
    std::string failure_domain;
    std::vector<upstream_entry> upstreams;
};

class node
{
public:
    explicit node(node_options options);

    // Takes one event; emits the commands that follow from it.
    void handle(time_point now, event const& what, command_sink const& emit);

    std::size_t requests_in_flight() const
    {
        return requests_.size();
    }

private:
    struct request_row
    {
        attempt_id attempt;
        bool answer_started = false;
    };

    void on(time_point now, call_received const& what,
            command_sink const& emit);
    void on(time_point now, call_abandoned const& what,
            command_sink const& emit);
    void on(time_point now, upstream_head const& what,
            command_sink const& emit);
    void on(time_point now, upstream_piece const& what,
            command_sink const& emit);
    void on(time_point now, upstream_end const& what, command_sink const& emit);
    void on(time_point now, upstream_failed const& what,
            command_sink const& emit);

    node_options options_;
    std::size_t next_upstream_ = 0;
    attempt_id next_attempt_ = 1;
    // requests_[r].attempt == a if and only if attempts_[a] == r.
    std::map<request_id, request_row> requests_;
    std::map<attempt_id, request_id> attempts_;
};

} // namespace amarantharch

#endif
