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

#include "core/command.hpp"
#include "core/event.hpp"
#include "core/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace amarantharch
{

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

    // Events that this node does not act on.
    template <typename Other>
    void on(time_point, Other const&, command_sink const&)
    {
    }

    node_options options_;
    std::size_t next_upstream_ = 0;
    attempt_id next_attempt_ = 1;
    // requests_[r].attempt == a if and only if attempts_[a] == r.
    std::map<request_id, request_row> requests_;
    std::map<attempt_id, request_id> attempts_;
};

} // namespace amarantharch

#endif
