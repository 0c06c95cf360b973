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
// By the order of watched_signals: it came while nobody watched.
std::array<volatile sig_atomic_t, watched_signals.size()> held{};

void notify(int socket, int signal)
{
    char const byte = static_cast<char>(signal);
    (void)!write(socket, &byte, sizeof byte);
}

void handle(int signal)
{
    int const before = errno;
    int const socket = notify_socket;
    for (std::size_t i = 0; socket < 0 && i < held.size(); ++i)
    {
        held[i] = held[i] != 0 || watched_signals[i] == signal ? 1 : 0;
    }
    if (socket >= 0)
    {
        notify(socket, signal);
    }
    errno = before;
}

void deliver_held()
{
    for (std::size_t i = 0; i < held.size(); ++i)
    {
        if (held[i] != 0)
        {
            held[i] = 0;
            notify(notify_socket, watched_signals[i]);
        }
    }
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

bool signal_watcher::hold()
{
    struct sigaction action = {};
    action.sa_handler = handle;
    action.sa_flags = SA_RESTART;
    bool set = std::signal(SIGPIPE, SIG_IGN) != SIG_ERR;
    for (int const signal : watched_signals)
    {
        set = sigaction(signal, &action, nullptr) == 0 && set;
    }
    return set;
}

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
    if (!hold())
    {
        return absl::InternalError("sigaction failed");
    }
    notify_socket = sockets[0];
    deliver_held();
    return std::unique_ptr<signal_watcher>(new signal_watcher(std::move(made)));
}

signal_watcher::signal_watcher(std::unique_ptr<impl> made)
    : impl_(std::move(made))
{
}

signal_watcher::~signal_watcher() = default;

} // namespace amarantharch
