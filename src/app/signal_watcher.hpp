// SIGTERM, SIGINT and SIGHUP as calls on the event loop.
//
// The handler writes one byte to a socket pair, which is all that a signal
// handler may safely do; the event loop reads it. One watcher at a time.
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
    // `stop_requested` is called for each SIGTERM and SIGINT,
    // `reload_requested` for each SIGHUP; it may be empty. SIGPIPE is ignored
    // from then on: a write reports its error. Fails if the socket pair or the
    // handlers cannot be made.
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
