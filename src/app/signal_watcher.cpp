#include "app/signal_watcher.hpp"

#include <QSocketNotifier>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>

namespace amarantharch
{

namespace
{

constexpr std::array watched_signals{SIGTERM, SIGINT, SIGHUP};

// The handler's end of the socket pair; -1 while nobody watches.
volatile sig_atomic_t notify_socket = -1;

void notify(int signal)
{
    int const before = errno;
    char const byte = static_cast<char>(signal);
    (void)!write(notify_socket, &byte, sizeof byte);
    errno = before;
}

bool handle_with(void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    bool set = true;
    for (int const signal : watched_signals)
    {
        set = sigaction(signal, &action, nullptr) == 0 && set;
    }
    return set;
}

} // namespace

class signal_watcher::impl
{
public:
    impl(std::array<int, 2> sockets, std::function<void()> stop_requested,
         std::function<void()> reload_requested)
        : sockets_(sockets), stop_requested_(std::move(stop_requested)),
          reload_requested_(std::move(reload_requested)),
          notifier_(sockets[1], QSocketNotifier::Read)
    {
        QObject::connect(&notifier_, &QSocketNotifier::activated, &notifier_,
                         [this] { take(); });
    }

    ~impl()
    {
        (void)handle_with(SIG_DFL);
        notify_socket = -1;
        notifier_.setEnabled(false);
        (void)close(sockets_[0]);
        (void)close(sockets_[1]);
    }

    impl(impl const&) = delete;
    impl& operator=(impl const&) = delete;

private:
    void take()
    {
        char byte = 0;
        if (read(sockets_[1], &byte, sizeof byte) != sizeof byte)
        {
            return;
        }
        if (byte != SIGHUP)
        {
            stop_requested_();
        }
        else if (reload_requested_)
        {
            reload_requested_();
        }
    }

    std::array<int, 2> sockets_;
    std::function<void()> stop_requested_;
    std::function<void()> reload_requested_;
    QSocketNotifier notifier_;
};

absl::StatusOr<std::unique_ptr<signal_watcher>>
signal_watcher::watch(std::function<void()> stop_requested,
                      std::function<void()> reload_requested)
{
    std::array<int, 2> sockets{};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                   sockets.data()) != 0)
    {
        return absl::InternalError("socketpair failed");
    }
    auto made = std::make_unique<impl>(sockets, std::move(stop_requested),
                                       std::move(reload_requested));
    notify_socket = sockets[0];
    if (!handle_with(notify) || std::signal(SIGPIPE, SIG_IGN) == SIG_ERR)
    {
        return absl::InternalError("sigaction failed");
    }
    return std::unique_ptr<signal_watcher>(new signal_watcher(std::move(made)));
}

signal_watcher::signal_watcher(std::unique_ptr<impl> made)
    : impl_(std::move(made))
{
}

signal_watcher::~signal_watcher() = default;

} // namespace amarantharch
