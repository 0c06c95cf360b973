// What the cases of this review share: the platform's store and its API, a
// server, a client, and the processes of a small deployment.
//
// Each stand-in does what PROTOCOL.md says and no more. All addresses are on
// the loopback interface; one VM has one address of its own.
#ifndef REVIEW_RIG_2_H
#define REVIEW_RIG_2_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

// The case cannot run here, which says nothing about the rule.
struct unable : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Milliseconds of the monotonic clock, which all processes of a host share.
inline double now_ms()
{
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) * 1e3 +
           static_cast<double>(t.tv_nsec) / 1e6;
}

inline void sleep_ms(double ms)
{
    if (ms > 0)
    {
        std::this_thread::sleep_for(
            std::chrono::duration<double, std::milli>(ms));
    }
}

inline void sleep_until(double at)
{
    sleep_ms(at - now_ms());
}

inline std::string lower(std::string text)
{
    for (char& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

inline std::string format(char const* pattern, ...)
    __attribute__((format(printf, 1, 2)));
inline std::string format(char const* pattern, ...)
{
    char text[4096];
    va_list list;
    va_start(list, pattern);
    std::vsnprintf(text, sizeof text, pattern, list);
    va_end(list);
    return text;
}

// Lines of "MILLISECONDS TEXT".
class line_file
{
public:
    explicit line_file(std::string const& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
        {
            throw unable("cannot write " + path);
        }
        std::setvbuf(file_, nullptr, _IOLBF, 1 << 16);
    }
    ~line_file()
    {
        std::fclose(file_);
    }
    line_file(line_file const&) = delete;
    line_file& operator=(line_file const&) = delete;

    void line(double at, std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        std::fprintf(file_, "%.1f %s\n", at, text.c_str());
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

// ---- Connections. ----

inline sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    {
        throw unable("bad address " + ip);
    }
    return address;
}

inline int listen_at(std::string const& ip, int port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const address = address_of(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) !=
            0 ||
        listen(fd, 512) != 0)
    {
        close(fd);
        throw unable(format("cannot listen at %s:%d: %s", ip.c_str(), port,
                            std::strerror(errno)));
    }
    return fd;
}

// A port that is free at all of `ips`, with `count` free ones from it on.
inline int free_ports(std::vector<std::string> const& ips, int count)
{
    static int next = 21000 + static_cast<int>(getpid() % 400) * 20;
    for (int tries = 0; tries < 500; ++tries)
    {
        int const first = next;
        next = next + count > 32000 ? 21000 : next + count;
        bool all = true;
        for (std::string const& ip : ips)
        {
            for (int i = 0; i < count && all; ++i)
            {
                int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                sockaddr_in const address = address_of(ip, first + i);
                all = bind(fd, reinterpret_cast<sockaddr const*>(&address),
                           sizeof address) == 0;
                close(fd);
            }
        }
        if (all)
        {
            return first;
        }
    }
    throw unable("no free ports");
}

inline int connect_to(std::string const& ip, int port, int timeout_ms = 1000)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in const address = address_of(ip, port);
    int const made = connect(fd, reinterpret_cast<sockaddr const*>(&address),
                             sizeof address);
    if (made != 0)
    {
        pollfd wait{fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error != 0 || poll(&wait, 1, timeout_ms) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0)
        {
            close(fd);
            return -1;
        }
    }
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    }
    ~connection()
    {
        close(fd_);
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    int fd() const
    {
        return fd_;
    }

    // True if the other end has closed.
    bool is_closed() const
    {
        char byte = 0;
        ssize_t const n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // Makes the next close a reset.
    void reset_on_close()
    {
        linger const how{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &how, sizeof how);
    }

    bool write(std::string_view text)
    {
        while (!text.empty())
        {
            ssize_t const n = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                pollfd wait{fd_, POLLOUT, 0};
                if (poll(&wait, 1, 5000) != 1)
                {
                    return false;
                }
                continue;
            }
            if (n <= 0)
            {
                return false;
            }
            text.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    // Reads what has come by `until`; false at the end of the connection or if
    // nothing came.
    bool fill(double until)
    {
        for (;;)
        {
            char bytes[16384];
            ssize_t const n = recv(fd_, bytes, sizeof bytes, 0);
            if (n > 0)
            {
                input.append(bytes, static_cast<std::size_t>(n));
                return true;
            }
            if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            {
                ended = true;
                return false;
            }
            int const left = static_cast<int>(until - now_ms());
            pollfd wait{fd_, POLLIN, 0};
            if (left <= 0 || poll(&wait, 1, left) != 1)
            {
                return false;
            }
        }
    }

    std::string input;
    bool ended = false;

private:
    int fd_;
};

struct message
{
    std::string start;                                       // the first line
    std::vector<std::pair<std::string, std::string>> fields; // names lowercase
    std::string body;
    bool complete = false;

    std::string field(std::string const& name) const
    {
        for (auto const& [key, value] : fields)
        {
            if (key == name)
            {
                return value;
            }
        }
        return "";
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    std::string target() const
    {
        auto const from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    std::string path() const
    {
        std::string const all = target();
        return all.substr(0, all.find('?'));
    }
    std::string query(std::string const& name) const
    {
        std::string const all = "&" + target().substr(path().size() + 1);
        auto const at = all.find("&" + name + "=");
        if (at == std::string::npos || target().size() == path().size())
        {
            return "";
        }
        auto const from = at + name.size() + 2;
        return all.substr(from, all.find('&', from) - from);
    }
};

// Reads a head into `into`; false if none came by `until`.
inline bool read_head(connection& from, message& into, double until)
{
    std::size_t end = 0;
    while ((end = from.input.find("\r\n\r\n")) == std::string::npos)
    {
        if (!from.fill(until))
        {
            return false;
        }
    }
    std::istringstream lines(from.input.substr(0, end));
    from.input.erase(0, end + 4);
    std::string line;
    std::getline(lines, into.start);
    while (!into.start.empty() && into.start.back() == '\r')
    {
        into.start.pop_back();
    }
    while (std::getline(lines, line))
    {
        while (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        auto const colon = line.find(':');
        if (colon == std::string::npos)
        {
            continue;
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        into.fields.emplace_back(lower(line.substr(0, colon)), value);
    }
    return true;
}

// Reads the body of a request or of an answer to anything but HEAD.
inline void read_body(connection& from, message& into, double until)
{
    auto const need = [&](std::size_t size)
    {
        while (from.input.size() < size)
        {
            if (!from.fill(until))
            {
                return false;
            }
        }
        return true;
    };
    if (lower(into.field("transfer-encoding")) == "chunked")
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = from.input.find("\r\n")) == std::string::npos)
            {
                if (!from.fill(until))
                {
                    return;
                }
            }
            auto const size = std::strtoul(from.input.c_str(), nullptr, 16);
            from.input.erase(0, end + 2);
            if (!need(size + 2))
            {
                into.body += from.input;
                return;
            }
            into.body += from.input.substr(0, size);
            from.input.erase(0, size + 2);
            if (size == 0)
            {
                into.complete = true;
                return;
            }
        }
    }
    auto const length =
        std::strtoul(into.field("content-length").c_str(), nullptr, 10);
    if (!need(length))
    {
        into.body = from.input;
        return;
    }
    into.body = from.input.substr(0, length);
    from.input.erase(0, length);
    into.complete = true;
}

inline std::string answer_text(int status, std::string const& fields,
                               std::string const& body)
{
    return format("HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", status,
                  fields.c_str(), body.size()) +
           body;
}

// Accepts connections, each served by a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(std::string const& ip, int port, handler serve)
        : fd_(listen_at(ip, port)), serve_(std::move(serve))
    {
        std::thread([this] { accept_all(); }).detach();
    }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                sleep_ms(2);
                continue;
            }
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [this, fd]
                {
                    connection made(fd);
                    serve_(made);
                })
                .detach();
        }
    }

    int fd_;
    handler serve_;
};

// ---- The platform's store. ----

inline std::string number_text(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes; i-- > 0;)
    {
        text += static_cast<char>(value >> (8 * i) & 0xFF);
    }
    return text;
}

inline std::string base64(std::string_view bytes)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8 | (i + j < bytes.size()
                                      ? static_cast<unsigned char>(bytes[i + j])
                                      : 0u);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text +=
                i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return text;
}

// The log of PROTOCOL.md. Entries of servers that have not been written for
// three heartbeats are dropped.
class store
{
public:
    store(std::string ip, int port, double answer_ms = 4)
        : ip_(std::move(ip)), port_(port), answer_ms_(answer_ms),
          listener_(ip_, port_, [this](connection& c) { serve(c); })
    {
        std::thread([this] { expire_servers(); }).detach();
    }

    std::string address() const
    {
        return format("%s:%d", ip_.c_str(), port_);
    }

    // Writes a key as the operator or a server does; returns when it is
    // acknowledged.
    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        append(topic, static_cast<char>(key.size()) + key + value);
    }

    // The records of a topic.
    std::vector<std::string> records(std::string const& topic)
    {
        std::lock_guard const lock(mutex_);
        auto const& all = topics_[topic].records;
        return {all.begin(), all.end()};
    }

private:
    struct topic_log
    {
        std::deque<std::string> records;
        std::map<std::string, std::size_t> last; // offset by key
        std::map<std::string, double> written;   // time by key
    };

    void append(std::string const& topic, std::string record)
    {
        topic_log& log = topics_[topic];
        if (topic.starts_with("keyed."))
        {
            auto const size = static_cast<unsigned char>(record[0]);
            std::string const key = record.substr(1, size);
            log.last[key] = log.records.size();
            log.written[key] = now_ms();
        }
        log.records.push_back(std::move(record));
        changed_.notify_all();
    }

    void expire_servers()
    {
        constexpr double silence = 3 * 1200;
        for (;;)
        {
            sleep_ms(100);
            std::lock_guard const lock(mutex_);
            topic_log& log = topics_["keyed.servers"];
            std::vector<std::string> gone;
            for (auto const& [key, offset] : log.last)
            {
                bool const listed = log.records[offset].size() > 1 + key.size();
                if (listed && now_ms() - log.written[key] > silence)
                {
                    gone.push_back(key);
                }
            }
            for (std::string const& key : gone)
            {
                append("keyed.servers", static_cast<char>(key.size()) + key);
            }
        }
    }

    void serve(connection& c)
    {
        for (;;)
        {
            message call;
            if (!read_head(c, call, now_ms() + 600'000))
            {
                return;
            }
            read_body(c, call, now_ms() + 10'000);
            if (!call.complete)
            {
                return;
            }
            sleep_ms(answer_ms_);
            if (!c.write(answer(call)))
            {
                return;
            }
        }
    }

    std::string answer(message const& call)
    {
        std::string const topic = call.query("Topic");
        std::string const path = call.path();
        std::unique_lock lock(mutex_);
        topic_log& log = topics_[topic];
        if (path == "/log-append")
        {
            std::string const at = call.query("At");
            std::size_t const end = log.records.size();
            if (!at.empty() && std::stoull(at) != end)
            {
                return answer_text(412, json_field,
                                   format("{\"End\":%zu}", end));
            }
            std::string_view bytes = call.body;
            while (bytes.size() >= 4)
            {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                {
                    size = size << 8 | static_cast<unsigned char>(bytes[i]);
                }
                append(topic, std::string(bytes.substr(4, size)));
                bytes.remove_prefix(std::min(bytes.size(), 4 + size));
            }
            return answer_text(200, json_field,
                               format("{\"Offset\":%zu,\"End\":%zu}", end,
                                      log.records.size()));
        }
        if (path == "/log-read")
        {
            std::size_t const from = std::stoull(call.query("From"));
            std::string const wait = call.query("WaitMs");
            double const until =
                now_ms() + (wait.empty() ? 0 : std::stod(wait));
            while (log.records.size() <= from && now_ms() < until)
            {
                changed_.wait_for(lock, std::chrono::milliseconds(20));
            }
            std::string body =
                number_text(log.records.size(), 8) + number_text(0, 8);
            for (std::size_t i = from; i < log.records.size(); ++i)
            {
                body += number_text(log.records[i].size(), 4) + log.records[i];
            }
            return answer_text(200, "", body);
        }
        if (path == "/log-newest")
        {
            std::string items;
            for (auto const& [key, offset] : log.last)
            {
                std::string const value =
                    log.records[offset].substr(1 + key.size());
                if (!value.empty())
                {
                    items += (items.empty() ? "{\"Key\":\"" : ",{\"Key\":\"") +
                             key + "\",\"Value\":\"" + base64(value) +
                             "\",\"Offset\":" + std::to_string(offset) + "}";
                }
            }
            return answer_text(200, json_field,
                               "{\"Items\":[" + items +
                                   format("],\"More\":false,\"End\":%zu}",
                                          log.records.size()));
        }
        return answer_text(404, "", "");
    }

    static constexpr char const* json_field =
        "Content-Type: application/json\r\n";
    std::string ip_;
    int port_;
    double answer_ms_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_log> topics_;
    listener listener_;
};

// The platform's API for duties: accepts each call whose fence is not lower
// than one seen for its duty and subject.
class cloud
{
public:
    cloud(std::string const& ip, int port)
        : address_(format("%s:%d", ip.c_str(), port)),
          listener_(ip, port, [this](connection& c) { serve(c); })
    {
    }

    std::string const& address() const
    {
        return address_;
    }

private:
    void serve(connection& c)
    {
        for (;;)
        {
            message call;
            if (!read_head(c, call, now_ms() + 600'000))
            {
                return;
            }
            read_body(c, call, now_ms() + 10'000);
            if (!call.complete)
            {
                return;
            }
            std::uint64_t const fence =
                std::strtoull(call.field("fencing-token").c_str(), nullptr, 10);
            std::string subject = call.path();
            if (subject == "/scale")
            {
                subject += call.body.substr(call.body.find("\"Service\""));
            }
            bool refused = false;
            {
                std::lock_guard const lock(mutex_);
                auto& highest = highest_[subject];
                refused = fence < highest;
                highest = std::max(highest, fence);
            }
            if (!c.write(answer_text(refused ? 409 : 200, "", "{}")))
            {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::uint64_t> highest_;
    std::string address_;
    listener listener_;
};

// ---- Processes. ----

class process
{
public:
    process() = default;
    ~process()
    {
        end();
    }
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void start(std::vector<std::string> const& words,
               std::vector<std::string> const& environment,
               std::string const& output)
    {
        std::vector<char*> arguments;
        std::vector<char*> variables;
        for (auto const& word : words)
        {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        for (auto const& each : environment)
        {
            variables.push_back(const_cast<char*>(each.c_str()));
        }
        arguments.push_back(nullptr);
        variables.push_back(nullptr);
        int const out = open(output.c_str(),
                             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        pid_t const parent = getpid();
        pid_ = fork();
        if (pid_ == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
            {
                _exit(127);
            }
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            execve(arguments[0], arguments.data(), variables.data());
            _exit(127);
        }
        close(out);
        if (pid_ < 0)
        {
            throw unable("cannot start a process");
        }
        started_ = now_ms();
    }

    void send_signal(int number) const
    {
        if (pid_ > 0)
        {
            kill(pid_, number);
        }
    }

    // True if it has ended by itself or by a signal.
    bool has_ended()
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = 0;
        }
        return pid_ == 0;
    }

    void end()
    {
        if (pid_ > 0)
        {
            kill(pid_, SIGCONT);
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    double started() const
    {
        return started_;
    }

private:
    pid_t pid_ = 0;
    double started_ = 0;
};

// One VM of the system under test.
struct vm
{
    std::string name;
    std::string ip;
    std::string zone;
    int front_port = 0;
    int ready_port = 0;
    int peer_port = 0;
    std::string settings; // path
    std::string log;      // path
    process running;
    std::atomic<bool> ready{false};

    // The commands of deploy/system.toml.
    void start(std::string const& root)
    {
        running.start({root + "/target/amarantharch", "serve", "--platform"},
                      {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8",
                       "AMARANTHARCH_SETTINGS=" + settings},
                      log);
    }
};

struct deployment_options
{
    int vms = 3;
    std::vector<std::string> zones{"asan", "patan", "bhaktapur"};
    bool with_cloud = true;
};

// The VMs, the store and the cloud of a small deployment. The settings are
// those of the ktm-shopreg sheet, with addresses on loopback.
class deployment
{
public:
    deployment(std::string root, std::string folder, deployment_options options)
        : root_(std::move(root)), folder_(std::move(folder))
    {
        std::vector<std::string> ips{"127.0.0.1"};
        for (int i = 0; i < options.vms; ++i)
        {
            ips.push_back(format("127.0.1.%d", i + 1));
        }
        store_.emplace("127.0.0.1", free_ports({ips[0]}, 1));
        cloud_.emplace("127.0.0.1", free_ports({ips[0]}, 1));
        int const ports = free_ports(ips, 4);
        for (int i = 0; i < options.vms; ++i)
        {
            auto made = std::make_unique<vm>();
            made->ip = ips[static_cast<std::size_t>(i) + 1];
            made->zone =
                options
                    .zones[static_cast<std::size_t>(i) % options.zones.size()];
            made->name = format("edge-%s-%d", made->zone.c_str(), i + 1);
            made->front_port = ports;
            made->ready_port = ports + 1;
            made->peer_port = ports + 3;
            made->settings = folder_ + "/" + made->name + ".conf";
            made->log = folder_ + "/" + made->name + ".log";
            write_settings(*made, options, ports);
            vms.push_back(std::move(made));
        }
        if (access((root_ + "/target/amarantharch").c_str(), X_OK) != 0)
        {
            throw unable("target/amarantharch is not built");
        }
    }

    void start_vms()
    {
        for (auto& each : vms)
        {
            each->start(root_);
            std::thread([this, &each = *each] { watch(each); }).detach();
        }
    }

    void restart(vm& which) const
    {
        which.start(root_);
    }

    bool wait_until_ready(double for_ms) const
    {
        double const until = now_ms() + for_ms;
        while (now_ms() < until)
        {
            if (std::all_of(vms.begin(), vms.end(),
                            [](auto const& each)
                            { return each->ready.load(); }))
            {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    void end()
    {
        for (auto& each : vms)
        {
            each->running.end();
        }
    }

    rig::store& the_store()
    {
        return *store_;
    }

    std::string const& folder() const
    {
        return folder_;
    }
    std::string const& root() const
    {
        return root_;
    }

    std::vector<std::unique_ptr<vm>> vms;

private:
    // As the platform does: once a second; two misses take it out.
    void watch(vm& which) const
    {
        int misses = 0;
        for (;;)
        {
            bool good = false;
            int const fd = connect_to(which.ip, which.ready_port, 900);
            if (fd >= 0)
            {
                connection c(fd);
                message answer;
                good = c.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                       read_head(c, answer, now_ms() + 900) &&
                       answer.status() == 200;
            }
            misses = good ? 0 : misses + 1;
            which.ready = good || (which.ready && misses < 2);
            sleep_ms(which.ready ? 1000 : 200);
        }
    }

    void write_settings(vm const& which, deployment_options const& options,
                        int ports) const
    {
        std::ofstream out(which.settings);
        auto const at = [&](int port)
        {
            return format("%s:%d", which.ip.c_str(), port);
        };
        out << "NodeName=" << which.name
            << "\nRole=entry\nMachineClass=edge\nServes=edge\nIp=" << which.ip
            << "\nZone=" << which.zone << "\nRegion=bagmati\n";
        for (auto const& zone : options.zones)
        {
            out << "Zones." << zone << "=bagmati\n";
        }
        out << "Listen.Front=" << at(ports)
            << "\nListen.Ready=" << at(ports + 1)
            << "\nListen.Control=" << at(ports + 2)
            << "\nInternalPorts=" << ports + 3 << "," << ports + 3
            << "\nBootstrap=true\nCountsAsLoss=false\nLimits.CpuShare=0.25\n"
               "Limits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n"
               "Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\n"
               "Entry=vip\nHeartbeatMs=1200\n"
               "Contracts=base,drain,config,cost,retry,recover,engine,stream,"
               "tenants,quota,leader,rollout,platform\n"
               "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\n"
               "Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n"
               "Bounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
               "Bounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\n"
               "Bounds.SkewMaxMs=5000\nBounds.StrictRevocation=false\n"
               "Bounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\n"
               "Bounds.BudgetWindowS=10\nBounds.BudgetExtra=58\n"
               "Bounds.QuotaWindowS=8\nBounds.QuotaOvershoot=0.1\n"
               "Bounds.QuotaSlack=140000\nBounds.FencingRequired=true\n"
               "Bounds.LeaseMs=3000\nBounds.ThawMs=300\n"
               "Bounds.UsageWindowS=5\nBounds.UsageOff=0.05\n"
               "Bounds.UsageLateS=10\nBounds.ExposeShare=0.1\n"
               "Bounds.ExposeSlack=50\nBounds.RollbackMs=5000\n"
               "Bounds.RecoveryS=12\nBounds.PassMs=120\nBounds.AgainS=10\n"
               "Platform.Address="
            << store_->address()
            << "\nPlatform.form=log\nPlatform.WritesPerS=400\n"
               "Platform.ReadsPerS=2000\nPlatform.parts=12\n"
               "Platform.AppendMs=2.0\nPlatform.PartitionMbS=20.0\n"
               "Platform.ReadMbS=80.0\nPlatform.RecordBytes=262144\n"
               "Platform.CallBytes=2097152\nPlatform.keep_s=300\n"
               "Platform.PartMb=200\nPlatform.TtlMinMs=1000\n";
        if (options.with_cloud)
        {
            out << "Cloud.Address=" << cloud_->address()
                << "\nCloud.RatePerS=50.0\nCloud.Duties=usage_report,autoscale"
                   "\nCloud.DutyPerS=50.0\n";
        }
    }

    std::string root_;
    std::string folder_;
    std::optional<rig::store> store_;
    std::optional<rig::cloud> cloud_;
};

// ---- Clients. ----

struct client_request
{
    std::string id;
    std::string text;           // the whole request
    double leave_after_ms = 0;  // closes the connection then; 0: waits
    double first_within_ms = 0; // leaves unless the body has begun; 0: waits
    double wait_ms = 5000;      // for the whole answer
};

struct client_result
{
    double sent = 0;
    double left = 0; // when the client closed before its answer; 0: it did not
    double ended = 0;
    message answer;
};

// One attempt on a connection of its own.
inline client_result send_request(vm const& to, client_request const& what)
{
    client_result result;
    int const fd = connect_to(to.ip, to.front_port, 1000);
    result.sent = now_ms();
    if (fd < 0)
    {
        result.ended = result.sent;
        return result;
    }
    connection c(fd);
    c.write(what.text);
    bool const leaves = what.leave_after_ms > 0 || what.first_within_ms > 0;
    double const until =
        result.sent +
        (what.leave_after_ms > 0 ? what.leave_after_ms : what.wait_ms);
    double const first =
        what.first_within_ms > 0 ? result.sent + what.first_within_ms : until;
    bool const begun = read_head(c, result.answer, first) &&
                       (!c.input.empty() || c.fill(first));
    if (begun)
    {
        read_body(c, result.answer, until);
    }
    else if (!result.answer.start.empty())
    {
        read_body(c, result.answer, now_ms());
    }
    result.ended = now_ms();
    if (!result.answer.complete && !c.ended && leaves)
    {
        result.left = result.ended;
    }
    return result;
}

inline std::string random_id(std::uint64_t seed)
{
    seed = (seed + 0x9E3779B97F4A7C15u) * 0xBF58476D1CE4E5B9u;
    seed ^= seed >> 29;
    seed *= 0x94D049BB133111EBu;
    seed ^= seed >> 32;
    return format("%016llx", static_cast<unsigned long long>(seed));
}

// ---- Servers, as processes of server-2.cc. ----

struct server_spec
{
    std::string service;
    std::string kind = "plain";
    int slots = 6;
    int waiting = 6;
    double work_ms = 30;
    std::string deadly_part = {};
    std::string deadly_path = {};
    std::string version = "v1";
    double slow_share = 0;
    double slow_factor = 1;
    double cut_share = 0;
    double down_ms = 3000; // after a crash
};

// A server that is started again, as a new incarnation, after it has crashed.
class server_process
{
public:
    server_process(deployment& under, int number, server_spec spec)
        : under_(under), number_(number), spec_(std::move(spec)),
          port_(free_ports({"127.0.0.1"}, 1)),
          zone_(under.vms[static_cast<std::size_t>(number) % under.vms.size()]
                    ->zone)
    {
        start();
        std::thread([this] { supervise(); }).detach();
    }

    void send_signal(int number)
    {
        std::lock_guard const lock(mutex_);
        running_.send_signal(number);
    }

    void end()
    {
        std::lock_guard const lock(mutex_);
        ending_ = true;
        running_.end();
    }

    int number() const
    {
        return number_;
    }
    std::string const& version() const
    {
        return spec_.version;
    }

    // Of all its incarnations.
    std::vector<std::string> logs()
    {
        std::lock_guard const lock(mutex_);
        return logs_;
    }

private:
    void start()
    {
        std::string const id = format("i-%02d%04d", number_, ++incarnation_);
        std::string const log =
            format("%s/server-%s.log", under_.folder().c_str(), id.c_str());
        logs_.push_back(log);
        std::vector<std::string> const words{
            under_.root() + "/target/review-2/server",
            "store=" + under_.the_store().address(),
            "ip=127.0.0.1",
            format("port=%d", port_),
            "id=" + id,
            "service=" + spec_.service,
            "zone=" + zone_,
            "version=" + spec_.version,
            "kind=" + spec_.kind,
            format("slots=%d", spec_.slots),
            format("waiting=%d", spec_.waiting),
            format("work_ms=%.1f", spec_.work_ms),
            "deadly=" + spec_.deadly_part,
            "deadly_path=" + spec_.deadly_path,
            format("slow_share=%.3f", spec_.slow_share),
            format("slow_factor=%.3f", spec_.slow_factor),
            format("cut_share=%.3f", spec_.cut_share),
            "log=" + log};
        running_.start(words, {"PATH=/usr/bin:/bin"}, log + ".err");
    }

    void supervise()
    {
        for (;;)
        {
            sleep_ms(20);
            {
                std::lock_guard const lock(mutex_);
                if (ending_)
                {
                    return;
                }
                if (!running_.has_ended())
                {
                    continue;
                }
            }
            sleep_ms(spec_.down_ms);
            std::lock_guard const lock(mutex_);
            if (!ending_)
            {
                start();
            }
        }
    }

    deployment& under_;
    int number_;
    server_spec spec_;
    int port_;
    std::string zone_;
    std::mutex mutex_;
    process running_;
    int incarnation_ = 0;
    bool ending_ = false;
    std::vector<std::string> logs_;
};

// A line of a server's log.
struct server_event
{
    double at = 0;
    int server = 0;
    std::string what;
    std::string id;
};

// The events of all servers, by time.
inline std::vector<server_event>
events_of(std::vector<std::unique_ptr<server_process>> const& servers)
{
    std::vector<server_event> all;
    for (auto const& each : servers)
    {
        for (std::string const& path : each->logs())
        {
            std::ifstream lines(path);
            server_event event;
            event.server = each->number();
            while (lines >> event.at >> event.what >> event.id)
            {
                all.push_back(event);
            }
        }
    }
    std::ranges::stable_sort(all, {}, &server_event::at);
    return all;
}

// ---- Running a case. ----

inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;
inline constexpr unsigned longest_s = 119;

// With TROUBLE=0 in the environment a case leaves its disruption out.
inline bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

// Runs `body(root, scratch folder, record)`, which returns whether the rule
// was broken. Arguments: the repository's root and the path of record.txt.
template <typename Body>
int run_case(int argc, char** argv, Body body)
{
    if (argc != 3)
    {
        std::fprintf(stderr, "usage: %s ROOT RECORD\n", argv[0]);
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The processes that it started end with it.
    std::signal(SIGALRM, [](int) { _exit(could_not_run); });
    alarm(longest_s);
    char scratch[] = "/tmp/review-2.XXXXXX";
    int result = could_not_run;
    if (mkdtemp(scratch) == nullptr)
    {
        std::fprintf(stderr, "cannot run: no temporary folder\n");
        return result;
    }
    try
    {
        line_file record(argv[2]);
        result = body(std::string(argv[1]), std::string(scratch), record)
                     ? rule_broken
                     : rule_held;
    }
    catch (unable const& why)
    {
        std::fprintf(stderr, "cannot run: %s\n", why.what());
    }
    if (std::getenv("KEEP") == nullptr)
    {
        std::string const command = std::string("rm -rf ") + scratch;
        if (std::system(command.c_str()) != 0)
        {
            std::fprintf(stderr, "cannot remove %s\n", scratch);
        }
    }
    else
    {
        std::printf("kept: %s\n", scratch);
    }
    std::fflush(stdout);
    _exit(result); // detached threads still run
}

} // namespace rig

#endif
