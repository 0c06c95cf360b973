// Small stand-ins for the platform, the servers and the clients, on loopback
// addresses and the real clock, and what starts the project's own program as
// the deploy file says.
#ifndef AMARANTHARCH_REVIEW_RIG_H
#define AMARANTHARCH_REVIEW_RIG_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
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
#include <thread>
#include <vector>

namespace rig
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline clock::time_point const started = clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(clock::now() - started).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// Thrown where the case cannot run on this machine.
struct unable : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// ---- The record: what was sent, answered and run. ----

class record_file
{
public:
    explicit record_file(std::string const& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
        if (file_ == nullptr)
        {
            throw unable("cannot write " + path);
        }
    }

    void line(char const* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard const lock(mutex_);
        std::fprintf(file_, "%8.3f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// ---- Sockets. ----

inline sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    {
        throw unable("not an address: " + ip);
    }
    return address;
}

// A port that is free for TCP and UDP at `ip` now, and the one after it.
inline int free_port(std::string const& ip)
{
    static std::set<int> given;
    static std::mutex mutex;
    std::lock_guard const lock(mutex);
    for (int tries = 0; tries < 200; ++tries)
    {
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = address_of(ip, 0);
        socklen_t size = sizeof address;
        bool const bound =
            bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        close(fd);
        int const port = ntohs(address.sin_port);
        if (bound && port < 65000 && !given.contains(port) &&
            !given.contains(port + 1) && !given.contains(port - 1))
        {
            given.insert(port);
            given.insert(port + 1);
            return port;
        }
    }
    throw unable("no free port at " + ip);
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
        throw unable("cannot listen at " + ip + ":" + std::to_string(port));
    }
    return fd;
}

inline int connect_to(std::string const& ip, int port, int timeout_ms = 1000,
                      std::string const& from = "")
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty())
    {
        sockaddr_in const own = address_of(from, 0);
        if (bind(fd, reinterpret_cast<sockaddr const*>(&own), sizeof own) != 0)
        {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    sockaddr_in const address = address_of(ip, port);
    int result = connect(fd, reinterpret_cast<sockaddr const*>(&address),
                         sizeof address);
    if (result != 0 && errno == EINPROGRESS)
    {
        pollfd wait{fd, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (poll(&wait, 1, timeout_ms) == 1)
        {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        result = error == 0 ? 0 : -1;
    }
    if (result != 0)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline std::string lower(std::string text)
{
    for (char& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

using fields = std::map<std::string, std::string>; // names in lower case

inline std::string value_of(fields const& from, std::string const& name)
{
    auto const found = from.find(name);
    return found == from.end() ? "" : found->second;
}

// One end of a connection, with what was read and not used yet.
class stream
{
public:
    explicit stream(int fd) : fd_(fd) {}
    ~stream()
    {
        finish();
    }
    stream(stream const&) = delete;
    stream& operator=(stream const&) = delete;

    void finish()
    {
        if (fd_ >= 0)
        {
            close(fd_);
            fd_ = -1;
        }
    }

    // Closes so that the other end sees a reset.
    void reset()
    {
        linger const at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        finish();
    }

    bool write(std::string const& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            ssize_t const n = ::send(fd_, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads more; false at the end, on an error and past `until`.
    bool more(clock::time_point until)
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now());
        pollfd wait{fd_, POLLIN, 0};
        if (left.count() < 0 ||
            poll(&wait, 1, static_cast<int>(left.count())) != 1)
        {
            late_ = true;
            return false;
        }
        char bytes[65536];
        ssize_t const n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    // True if the other end has closed or reset the connection.
    bool is_gone() const
    {
        char byte = 0;
        ssize_t const n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool late() const
    {
        return late_;
    }
    std::string& buffer()
    {
        return buffer_;
    }
    int fd() const
    {
        return fd_;
    }

    std::optional<std::string> line(clock::time_point until)
    {
        std::size_t at = 0;
        while ((at = buffer_.find("\r\n")) == std::string::npos)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        std::string const found = buffer_.substr(0, at);
        buffer_.erase(0, at + 2);
        return found;
    }

    std::optional<std::string> take(std::size_t size, clock::time_point until)
    {
        while (buffer_.size() < size)
        {
            if (!more(until))
            {
                return std::nullopt;
            }
        }
        std::string const found = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return found;
    }

private:
    int fd_;
    bool late_ = false;
    std::string buffer_;
};

inline std::optional<fields> read_fields(stream& from, clock::time_point until)
{
    fields all;
    for (;;)
    {
        auto const line = from.line(until);
        if (!line)
        {
            return std::nullopt;
        }
        if (line->empty())
        {
            return all;
        }
        std::size_t const colon = line->find(':');
        if (colon == std::string::npos)
        {
            return std::nullopt;
        }
        std::size_t const value = line->find_first_not_of(' ', colon + 1);
        all[lower(line->substr(0, colon))] =
            value == std::string::npos ? "" : line->substr(value);
    }
}

// ---- Requests, as a server or the platform reads them. ----

struct request
{
    std::string method;
    std::string target;
    fields headers;
    std::string body;

    std::string header(std::string const& name) const
    {
        return value_of(headers, name);
    }
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    std::string query(std::string const& name) const
    {
        std::size_t const mark = target.find('?');
        std::stringstream rest(
            mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string pair;
        while (std::getline(rest, pair, '&'))
        {
            if (pair.starts_with(name + "="))
            {
                return pair.substr(name.size() + 1);
            }
        }
        return "";
    }
};

inline std::optional<request> read_request(stream& from,
                                           clock::time_point until)
{
    auto const first = from.line(until);
    if (!first)
    {
        return std::nullopt;
    }
    request what;
    std::stringstream words(*first);
    words >> what.method >> what.target;
    auto headers = read_fields(from, until);
    if (!headers)
    {
        return std::nullopt;
    }
    what.headers = std::move(*headers);
    std::string const length = what.header("content-length");
    auto body = from.take(length.empty() ? 0 : std::stoul(length), until);
    if (!body)
    {
        return std::nullopt;
    }
    what.body = std::move(*body);
    return what;
}

inline std::string answer_text(int status, std::string const& headers,
                               std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves requests, each connection in a thread of its own. The handler writes
// the answer; it returns false to have the connection closed.
class service
{
public:
    using handler = std::function<bool(stream&, request const&)>;

    service(std::string ip, handler handle)
        : ip_(std::move(ip)), port_(free_port(ip_)), handle_(std::move(handle)),
          listener_(listen_at(ip_, port_))
    {
        std::thread([this] { accept_all(); }).detach();
    }

    std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }
    std::string const& ip() const
    {
        return ip_;
    }
    int port() const
    {
        return port_;
    }

    // As if the process had ended: no new connections, and the open ones end.
    void stop()
    {
        stopped_ = true;
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        std::lock_guard const lock(mutex_);
        for (int const fd : open_)
        {
            shutdown(fd, SHUT_RDWR);
        }
    }
    bool stopped() const
    {
        return stopped_;
    }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        stream connection(fd);
        {
            std::lock_guard const lock(mutex_);
            open_.insert(fd);
        }
        auto what =
            read_request(connection, clock::now() + std::chrono::seconds(60));
        while (what && !stopped_ && handle_(connection, *what))
        {
            what = read_request(connection,
                                clock::now() + std::chrono::seconds(60));
        }
        std::lock_guard const lock(mutex_);
        open_.erase(fd);
        connection.finish();
    }

    std::string ip_;
    int port_;
    handler handle_;
    int listener_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::set<int> open_; // descriptors of the open connections
};

// ---- The platform: its store and its API for duties. ----

inline std::string base64(std::string const& bytes)
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
                                      : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text +=
                i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
        }
    }
    return text;
}

inline std::string number_text(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes; i-- > 0;)
    {
        text += static_cast<char>(value >> (8 * i) & 0xFF);
    }
    return text;
}

class store
{
public:
    explicit store(std::string const& ip)
        : service_(ip, [this](stream& to, request const& what)
                   { return handle(to, what); })
    {
    }

    std::string address() const
    {
        return service_.address();
    }

    // An empty value drops the key.
    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        std::string content(1, static_cast<char>(key.size()));
        content += key + value;
        std::lock_guard const lock(mutex_);
        topics_[topic].push_back(content);
        changed_.notify_all();
    }

private:
    bool handle(stream& to, request const& what)
    {
        if (what.path() == "/log-append")
        {
            return append(to, what);
        }
        if (what.path() == "/log-read")
        {
            return read(to, what);
        }
        if (what.path() == "/log-newest")
        {
            return newest(to, what);
        }
        return to.write(answer_text(404, "", ""));
    }

    bool append(stream& to, request const& what)
    {
        std::vector<std::string> added;
        for (std::size_t at = 0; at + 4 <= what.body.size();)
        {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
            {
                size = size << 8 | static_cast<unsigned char>(what.body[at++]);
            }
            added.push_back(what.body.substr(at, size));
            at += size;
        }
        std::string answer;
        {
            std::lock_guard const lock(mutex_);
            auto& log = topics_[what.query("Topic")];
            std::string const at = what.query("At");
            if (!at.empty() && std::stoul(at) != log.size())
            {
                answer = answer_text(
                    412, "", "{\"End\":" + std::to_string(log.size()) + "}");
            }
            else
            {
                std::size_t const offset = log.size();
                log.insert(log.end(), added.begin(), added.end());
                answer = answer_text(
                    200, "Content-Type: application/json\r\n",
                    "{\"Offset\":" + std::to_string(offset) +
                        ",\"End\":" + std::to_string(log.size()) + "}");
                changed_.notify_all();
            }
        }
        sleep_ms(4);
        return to.write(answer);
    }

    bool read(stream& to, request const& what)
    {
        std::size_t const from = std::stoul(what.query("From"));
        std::string const wait = what.query("WaitMs");
        auto const until =
            clock::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
        std::string body;
        {
            std::unique_lock lock(mutex_);
            auto& log = topics_[what.query("Topic")];
            changed_.wait_until(lock, until, [&] { return log.size() > from; });
            body = number_text(log.size(), 8) + number_text(0, 8);
            for (std::size_t i = from; i < log.size(); ++i)
            {
                body += number_text(log[i].size(), 4) + log[i];
            }
        }
        sleep_ms(4);
        return to.write(answer_text(200, "", body));
    }

    bool newest(stream& to, request const& what)
    {
        std::string items;
        std::size_t end = 0;
        {
            std::lock_guard const lock(mutex_);
            auto const& log = topics_[what.query("Topic")];
            end = log.size();
            std::map<std::string, std::size_t> last;
            for (std::size_t i = 0; i < log.size(); ++i)
            {
                auto const size = static_cast<unsigned char>(log[i][0]);
                last[log[i].substr(1, size)] = i;
            }
            for (auto const& [key, i] : last)
            {
                std::string const value = log[i].substr(1 + key.size());
                if (!value.empty())
                {
                    items += (items.empty() ? "" : ",") +
                             ("{\"Key\":\"" + key + "\",\"Value\":\"" +
                              base64(value) +
                              "\",\"Offset\":" + std::to_string(i) + "}");
                }
            }
        }
        sleep_ms(4);
        return to.write(answer_text(
            200, "Content-Type: application/json\r\n",
            "{\"Items\":[" + items +
                "],\"More\":false,\"End\":" + std::to_string(end) + "}"));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::deque<std::string>> topics_;
    service service_;
};

// Accepts every order and report.
class cloud
{
public:
    explicit cloud(std::string const& ip)
        : service_(ip, [](stream& to, request const&)
                   { return to.write(answer_text(200, "", "{}")); })
    {
    }

    std::string address() const
    {
        return service_.address();
    }

private:
    service service_;
};

// ---- A machine that runs the project's program. ----

struct machine_spec
{
    std::string name;
    std::string ip; // of its listeners
    std::string zone;
    std::string store;
    std::string cloud;
    int memory_mb = 260;
};

class machine
{
public:
    machine(machine_spec spec, std::string folder)
        : spec_(std::move(spec)), folder_(std::move(folder)),
          front_(free_port(spec_.ip)), ready_(free_port(spec_.ip)),
          control_(free_port(spec_.ip)), peer_(free_port(spec_.ip))
    {
        write_settings();
    }

    ~machine()
    {
        end(SIGKILL);
    }
    machine(machine const&) = delete;
    machine& operator=(machine const&) = delete;

    // To be called from the main thread, with whose end the process ends.
    void start()
    {
        std::string const settings = "AMARANTHARCH_SETTINGS=" + settings_path();
        std::string const log = folder_ + "/" + spec_.name + ".log";
        pid_t const pid = fork();
        if (pid == 0)
        {
            int const out =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            signal(SIGPIPE, SIG_DFL);
            prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is ended
            char const* arguments[] = {"target/amarantharch", "serve",
                                       "--platform", nullptr};
            char const* path = std::getenv("PATH");
            std::string const search =
                std::string("PATH=") + (path != nullptr ? path : "");
            char const* environment[] = {search.c_str(), settings.c_str(),
                                         nullptr};
            execve(arguments[0], const_cast<char**>(arguments),
                   const_cast<char**>(environment));
            _exit(127);
        }
        if (pid < 0)
        {
            throw unable("cannot start a process");
        }
        pid_ = pid;
    }

    // Ends the process, if it runs, and waits for its end.
    void end(int with)
    {
        if (pid_ > 0)
        {
            kill(pid_, with);
            int status = 0;
            waitpid(pid_, &status, 0);
            pid_ = -1;
        }
    }

    // The status of the process if it has ended by itself.
    std::optional<int> ended()
    {
        int status = 0;
        if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return status;
        }
        return std::nullopt;
    }

    void signal_with(int number) const
    {
        if (pid_ > 0)
        {
            kill(pid_, number);
        }
    }

    long resident_kb() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        while (status >> word)
        {
            if (word == "VmRSS:")
            {
                long kb = 0;
                status >> kb;
                return kb;
            }
        }
        return 0;
    }

    bool is_ready() const
    {
        int const fd = connect_to(spec_.ip, ready_, 300);
        if (fd < 0)
        {
            return false;
        }
        stream connection(fd);
        connection.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        auto const line =
            connection.line(clock::now() + std::chrono::seconds(1));
        return line && line->starts_with("HTTP/1.1 200");
    }

    std::string const& name() const
    {
        return spec_.name;
    }
    std::string const& ip() const
    {
        return spec_.ip;
    }
    int front() const
    {
        return front_;
    }
    int peer() const
    {
        return peer_;
    }
    pid_t pid() const
    {
        return pid_;
    }

private:
    std::string settings_path() const
    {
        return folder_ + "/" + spec_.name + ".conf";
    }

    void write_settings() const
    {
        std::ofstream out(settings_path());
        auto const at = [this](int port)
        {
            return spec_.ip + ":" + std::to_string(port);
        };
        out << "NodeName=" << spec_.name
            << "\nRole=entry\nMachineClass=edge\nServes=edge\nIp=" << spec_.ip
            << "\nZone=" << spec_.zone << "\nRegion=bagmati\nZones."
            << spec_.zone << "=bagmati\nListen.Front=" << at(front_)
            << "\nListen.Ready=" << at(ready_)
            << "\nListen.Control=" << at(control_)
            << "\nInternalPorts=" << peer_ << "," << peer_ + 1
            << "\nBootstrap=true\nCountsAsLoss=false\n"
               "Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb="
            << spec_.memory_mb
            << "\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n"
               "Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\n"
               "HeartbeatMs=1200\n"
               "Contracts=base,drain,config,cost,retry,recover,engine,stream,"
               "tenants,quota,leader,rollout,platform\n"
               "FaultTolerance.Machines=2\nFaultTolerance.Zones=0\n"
               "FaultTolerance.Regions=0\n"
               "Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\n"
               "Bounds.ContactMs=3000\nBounds.AckMs=4000\n"
               "Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n"
               "Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
               "Bounds.RollbackSlackMs=250\nBounds.SkewMaxMs=5000\n"
               "Bounds.StrictRevocation=false\nBounds.RevokeMs=5000\n"
               "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n"
               "Bounds.BudgetExtra=58\nBounds.QuotaWindowS=8\n"
               "Bounds.QuotaOvershoot=0.1\nBounds.QuotaSlack=140000\n"
               "Bounds.FencingRequired=true\nBounds.LeaseMs=3000\n"
               "Bounds.ThawMs=300\nBounds.UsageWindowS=5\n"
               "Bounds.UsageOff=0.05\nBounds.UsageLateS=10\n"
               "Bounds.ExposeShare=0.1\nBounds.ExposeSlack=50\n"
               "Bounds.RollbackMs=5000\nBounds.RecoveryS=12\n"
               "Bounds.PassMs=120\nBounds.AgainS=10\nPlatform.Address="
            << spec_.store
            << "\nPlatform.form=log\nPlatform.WritesPerS=400\n"
               "Platform.ReadsPerS=2000\nPlatform.parts=12\n"
               "Platform.AppendMs=2.0\nPlatform.PartitionMbS=20.0\n"
               "Platform.ReadMbS=80.0\nPlatform.RecordBytes=262144\n"
               "Platform.CallBytes=2097152\nPlatform.keep_s=300\n"
               "Platform.PartMb=200\nPlatform.TtlMinMs=1000\nCloud.Address="
            << spec_.cloud
            << "\nCloud.RatePerS=50.0\n"
               "Cloud.Duties=usage_report,autoscale\nCloud.DutyPerS=50.0\n";
    }

    machine_spec spec_;
    std::string folder_;
    int front_;
    int ready_;
    int control_;
    int peer_;
    std::atomic<pid_t> pid_ = -1;
};

// ---- Clients. ----

struct answer
{
    int status = 0; // 0: none
    fields headers;
    std::string body;
    bool complete = false;
    bool late = false; // the client gave up
};

// Reads an answer to its end by its framing.
inline answer read_answer(stream& from, clock::time_point until)
{
    answer got;
    auto const first = from.line(until);
    if (!first || !first->starts_with("HTTP/1.1 "))
    {
        got.late = from.late();
        return got;
    }
    auto headers = read_fields(from, until);
    if (!headers)
    {
        got.late = from.late();
        return got;
    }
    got.status = std::stoi(first->substr(9, 3));
    got.headers = std::move(*headers);
    if (lower(value_of(got.headers, "transfer-encoding")) == "chunked")
    {
        for (;;)
        {
            auto const size_line = from.line(until);
            if (!size_line)
            {
                break;
            }
            std::size_t const size = std::stoul(*size_line, nullptr, 16);
            auto const chunk = from.take(size + 2, until);
            if (!chunk)
            {
                break;
            }
            got.body += chunk->substr(0, size);
            if (size == 0)
            {
                got.complete = true;
                break;
            }
        }
    }
    else
    {
        std::string const length = value_of(got.headers, "content-length");
        auto const body =
            from.take(length.empty() ? 0 : std::stoul(length), until);
        got.complete = body.has_value();
        got.body = body.value_or("");
    }
    got.late = !got.complete && from.late();
    return got;
}

inline std::string request_text(std::string const& method,
                                std::string const& path, fields const& headers,
                                std::string const& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (auto const& [name, value] : headers)
    {
        text += name + ": " + value + "\r\n";
    }
    if (method == "POST")
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// ---- The run of a case. ----

// A temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "amarantharch-XXXXXX")
                .string();
        if (mkdtemp(pattern.data()) == nullptr)
        {
            throw unable("cannot make a temporary folder");
        }
        path_ = pattern;
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(path_, ignored);
        }
        else
        {
            std::printf("logs kept in %s\n", path_.c_str());
        }
    }
    std::string const& path() const
    {
        return path_;
    }

private:
    std::string path_;
};

inline bool with_trouble()
{
    char const* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

inline void wait_ready(std::vector<std::unique_ptr<machine>>& machines)
{
    for (auto& each : machines)
    {
        for (int tries = 0; !each->is_ready(); ++tries)
        {
            if (tries == 100)
            {
                throw unable(each->name() + " did not become ready");
            }
            sleep_ms(100);
        }
    }
}

// Runs a case from the root of the repository. Its result is the exit status.
inline int result_of(std::function<int(record_file&)> const& body,
                     std::string const& record_path)
{
    signal(SIGPIPE, SIG_IGN);
    try
    {
        if (access("target/amarantharch", X_OK) != 0)
        {
            throw unable("target/amarantharch is missing: run the build of "
                         "deploy/system.toml first");
        }
        // Never destroyed: threads of servers may write to it until the end.
        auto& record = *new record_file(record_path);
        int const result = body(record);
        std::printf("%s\n", result == broken ? "BROKEN" : "HELD");
        std::fflush(stdout);
        return result;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return could_not_run;
    }
}

// Ends at once, also the threads that still serve connections.
[[noreturn]] inline void run_case(std::function<int(record_file&)> const& body,
                                  int argc, char** argv)
{
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        std::_Exit(could_not_run);
    }
    int const result = result_of(body, argv[1]);
    std::fflush(nullptr);
    std::_Exit(result);
}

} // namespace rig

#endif
