// The ports of one VM, each bound on its own.
//
// A port may be held for a while by a predecessor that still ends, or by the
// local end of somebody's outgoing connection. Each call of bind() tries those
// that are not bound yet, so what can be served is served, and a port that is
// free again is bound by the next call. A port's first failure is logged with
// its address and the reason, and so is its return; what comes between is not.
// Cost: one try for each port that is not bound, a call.
#ifndef AMARANTHARCH_APP_PORT_BINDINGS_HPP
#define AMARANTHARCH_APP_PORT_BINDINGS_HPP

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <vector>

namespace amarantharch
{

class port_bindings
{
public:
    // `bind` is called until it succeeds; `name` and `address` are for the log.
    port_bindings& add(std::string name, std::string address,
                       std::function<absl::Status()> bind);

    // Tries each port that is not bound; the first failure if there is one.
    absl::Status bind();

    // Whether every port is bound.
    bool complete() const;

private:
    struct row
    {
        std::string name;
        std::string address;
        std::function<absl::Status()> bind;
        bool bound = false;
        bool lost = false; // its failure is logged
    };

    static absl::Status bind_one(row& port);

    std::vector<row> ports_;
};

} // namespace amarantharch

#endif
