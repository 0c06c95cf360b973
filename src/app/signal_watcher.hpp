// SIGTERM, SIGINT and SIGHUP as calls on the event loop, from the first moment
// of the process to its last.
//
// A signal that comes while nobody watches is held, where its default would end
// the process: hold() is called before the program's libraries are set up, and
// watch() delivers what was held until then. After the watcher's end signals
// are held again, and die with the process, which is on its way out.
//
// The handler sets a flag while nobody watches; else it writes one byte to a
// socket pair, which is all that a signal handler may safely do; the event
// loop reads it. watch() first names the socket and then looks at the flags, so
// a signal in between is delivered once or twice and never lost.
//
// One watcher at a time.
#ifndef AMARANTHARCH_APP_SIGNAL_WATCHER_HPP
#define AMARANTHARCH_APP_SIGNAL_WATCHER_HPP

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace amarantharch
{

class signal_watcher
{
public:
    // From now on the signals are held, and SIGPIPE is ignored: a write reports
    // its error. False if the handlers cannot be set. May be called again, and
    // before main: it uses system calls only.
    static bool hold();

    // `stop_requested` is called for each SIGTERM and SIGINT,
    // `reload_requested` for each SIGHUP; it may be empty. Of the signals held
    // before, each kind is delivered once. Does hold(). Fails if the socket
    // pair or the handlers cannot be made.
    static absl::StatusOr<std::unique_ptr<signal_watcher>>
    watch(std::function<void()> stop_requested,
          std::function<void()> reload_requested);

    ~signal_watcher();
    signal_watcher(signal_watcher const&) = delete;
    signal_watcher& operator=(signal_watcher const&) = delete;

private:
    class impl;
    explicit signal_watcher(std::unique_ptr<impl> made);

    std::unique_ptr<impl> impl_;
};

} // namespace amarantharch

#endif
