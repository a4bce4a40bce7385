#pragma once

// Stand-ins for the users' platform, on loopback addresses and the real clock: the store, back
// ends, clients, and the machines that run the project's program. Standard library and POSIX only.

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/** What was sent, answered and run, with the time since the start. */
class record {
public:
    explicit record(const std::string& path) : file_(path), started_(steady::now()) {}

    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ", seconds());
        file_ << time << text << '\n' << std::flush;
    }

    double seconds() const {
        return std::chrono::duration<double>(steady::now() - started_).count();
    }

private:
    std::ofstream file_;
    steady::time_point started_;
    std::mutex mutex_;
};

struct address {
    std::string ip;
    int port{0};

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& where) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

/** Ports that are free on all loopback addresses at the time of the call. */
inline std::vector<int> free_ports(std::size_t count) {
    std::vector<int> sockets;
    std::vector<int> ports;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in any{};
        any.sin_family = AF_INET;
        socklen_t size = sizeof(any);
        ::bind(fd, reinterpret_cast<sockaddr*>(&any), size);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size);
        sockets.push_back(fd);
        ports.push_back(ntohs(any.sin_port));
    }
    for (const int fd : sockets) {
        ::close(fd);
    }
    return ports;
}

/** A message of HTTP/1.1, request or answer. */
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string path() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
};

/** A TCP connection. */
class connection {
public:
    explicit connection(int fd = -1) : fd_(fd) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    bool open(const address& to, int timeout_ms = 1000) {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd_ < 0) {
            return false;
        }
        const auto where = to_sockaddr(to);
        const int begun = ::connect(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
        if (begun != 0 && errno != EINPROGRESS) {
            close();
            return false;
        }
        pollfd waiting{fd_, POLLOUT, 0};
        int failed = 0;
        socklen_t size = sizeof(failed);
        if (::poll(&waiting, 1, timeout_ms) != 1 ||
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 || failed != 0) {
            close();
            return false;
        }
        ::fcntl(fd_, F_SETFL, 0);
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return true;
    }

    bool send(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto count = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /** Reads a message. \returns nothing if the connection ends, or nothing comes, before its end.
     */
    std::optional<message> receive(int timeout_ms) {
        const auto deadline = steady::now() + milliseconds(timeout_ms);
        std::size_t head = 0;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message result = parse_head(buffer_.substr(0, head));
        buffer_.erase(0, head + 4);
        const auto length = static_cast<std::size_t>(
            std::strtoull(result.field("content-length").c_str(), nullptr, 10));
        while (buffer_.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        result.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return result;
    }

    /** Why the last receive() returned nothing. */
    const char* end() const { return is_timed_out_ ? "no answer in time" : "connection ended"; }
    bool has_ended() const { return !is_timed_out_; }

    bool is_open() const { return fd_ >= 0; }
    int fd() const { return fd_; }

    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
        buffer_.clear();
    }

private:
    bool fill(steady::time_point deadline) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
        pollfd waiting{fd_, POLLIN, 0};
        is_timed_out_ = left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) == 0;
        if (is_timed_out_) {
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(fd_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    static message parse_head(const std::string& head) {
        message result;
        std::size_t at = head.find("\r\n");
        result.first_line = head.substr(0, at);
        while (at != std::string::npos) {
            const auto begin = at + 2;
            at = head.find("\r\n", begin);
            const auto line = head.substr(begin, at == std::string::npos ? at : at - begin);
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto name = line.substr(0, colon);
            for (auto& each : name) {
                each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
            }
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return result;
    }

    int fd_;
    bool is_timed_out_{false};
    std::string buffer_;
};

/** Accepts connections and serves each in a thread of its own. */
class server {
public:
    using handler = std::function<void(connection&)>;

    bool listen(const address& where, handler serve) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto bound = to_sockaddr(where);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
            ::listen(fd_, 1024) != 0) {
            return false;
        }
        std::thread([fd = fd_, serve = std::move(serve)] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                const int nodelay = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
                std::thread([accepted, serve] {
                    connection peer(accepted);
                    serve(peer);
                }).detach();
            }
        }).detach();
        return true;
    }

private:
    int fd_{-1};
};

inline std::string answer(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The platform's store: keyed topics with one partition each. */
class store {
public:
    bool start(const address& where) {
        return server_.listen(where, [this](connection& peer) {
            while (const auto call = peer.receive(600'000)) {
                if (!peer.send(serve(*call))) {
                    return;
                }
            }
        });
    }

    void put(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

private:
    struct entry {
        std::string key;
        std::string value;
    };

    static std::string parameter(const std::string& path, const std::string& name) {
        const auto at = path.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const auto begin = at + name.size() + 1;
        return path.substr(begin, path.find('&', begin) - begin);
    }

    static void append_number(std::string& to, std::uint64_t value, int bytes) {
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            to += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
        }
    }

    static std::string base64(const std::string& text) {
        static const char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = group << 8U |
                        (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                out += i + j > text.size() ? '=' : digits[group >> (18 - 6 * j) & 63U];
            }
        }
        return out;
    }

    std::string serve(const message& call) {
        const auto path = call.path();
        const auto topic = parameter(path, "Topic");
        std::unique_lock lock(mutex_);
        auto& entries = topics_[topic];
        if (path.starts_with("/api/log-append")) {
            const auto offset = entries.size();
            std::string_view left(call.body);
            while (left.size() > 5) {
                std::size_t length = 0;
                for (int i = 0; i < 4; ++i) {
                    length = length << 8U |
                             static_cast<unsigned char>(left[static_cast<std::size_t>(i)]);
                }
                const auto content = left.substr(4, length);
                const auto key_length = static_cast<unsigned char>(content[0]);
                entries.push_back({std::string(content.substr(1, key_length)),
                                   std::string(content.substr(1U + key_length))});
                left.remove_prefix(4 + length);
            }
            changed_.notify_all();
            return answer(200, "",
                          "{\"Offset\":" + std::to_string(offset) +
                              ",\"End\":" + std::to_string(entries.size()) + "}");
        }
        if (path.starts_with("/api/log-newest")) {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < entries.size(); ++i) {
                newest[entries[i].key] = i;
            }
            std::string items;
            for (const auto& [key, offset] : newest) {
                items += (items.empty() ? "" : ",");
                items += "{\"Key\":\"" + key + "\",\"Value\":\"" + base64(entries[offset].value) +
                         "\",\"Offset\":" + std::to_string(offset) + "}";
            }
            return answer(200, "",
                          "{\"items\":[" + items +
                              "],\"More\":false,\"End\":" + std::to_string(entries.size()) + "}");
        }
        if (path.starts_with("/api/log-read")) {
            const auto from = std::strtoull(parameter(path, "From").c_str(), nullptr, 10);
            const milliseconds wait(std::atoi(parameter(path, "WaitMs").c_str()));
            changed_.wait_for(lock, wait, [&] { return entries.size() > from; });
            std::string body;
            append_number(body, entries.size(), 8);
            append_number(body, 0, 8);
            for (auto i = from; i < entries.size(); ++i) {
                append_number(body, 1 + entries[i].key.size() + entries[i].value.size(), 4);
                body += static_cast<char>(entries[i].key.size());
                body += entries[i].key + entries[i].value;
            }
            return answer(200, "", body);
        }
        return answer(404, "", "");
    }

    server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<entry>> topics_;
};

/** The figures of the site celah-jaga that the cases need. */
namespace site {
constexpr int memory_mb = 260;
constexpr int max_descriptors = 4100;
constexpr int stability_ms = 3000;
constexpr int heartbeat_ms = 1500;
constexpr int max_body_bytes = 67'108'864;
constexpr int header_timeout_ms = 3000;
constexpr int slots = 57;
constexpr const char* host = "hulo84.example";
} // namespace site

/** A back end on a machine: heartbeats, health, slots, and a list of what it ran. */
class backend {
public:
    /** Writes an answer of its own. \returns false for the usual answer. */
    using special = std::function<bool(connection&, const message&)>;

    backend(std::string id, std::string service, address own, address control, record& log)
        : id_(std::move(id)),
          service_(std::move(service)),
          own_(std::move(own)),
          control_(std::move(control)),
          log_(log),
          born_ms_(std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()) {}

    bool start() {
        if (!server_.listen(own_, [this](connection& peer) { serve(peer); })) {
            return false;
        }
        std::thread([this] {
            while (true) {
                // The first announcements come until the node listens.
                sleep_ms(announce() ? site::heartbeat_ms : 100);
            }
        }).detach();
        return true;
    }

    void set_special(special write) {
        const std::lock_guard lock(mutex_);
        special_ = std::move(write);
    }

    bool has_run(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return runs_.contains(id);
    }

    const std::string& id() const { return id_; }

private:
    bool announce() {
        const auto body =
            "{\"born\":" + std::to_string(born_ms_) + ",\"Address\":\"" + own_.text() +
            "\",\"Info\":{\"Service\":\"" + service_ +
            "\",\"Version\":\"v1\",\"Zone\":\"dieng\",\"Slots\":" + std::to_string(site::slots) +
            "},\"Status\":{\"State\":\"ready\",\"Sequence\":" + std::to_string(++sequence_) +
            ",\"ColdLeftMs\":0}}";
        connection to;
        if (!to.open(control_)) {
            return false;
        }
        to.send("PUT /api/instances/" + id_ +
                " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto acknowledged = to.receive(1000);
        return acknowledged && acknowledged->status() == 200;
    }

    void serve(connection& peer) {
        while (const auto request = peer.receive(10'000)) {
            const auto id = request->field("x-request-id");
            const auto echo = "X-Request-Id: " + id + "\r\n";
            if (request->path() == "/health") {
                peer.send(answer(200, "X-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            if (const auto named = request->field("x-target-instance");
                !named.empty() && named != id_) {
                peer.send(answer(421, echo + "X-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            if (at_work_ >= site::slots) {
                peer.send(answer(503, echo + "X-Not-Executed: 1\r\n", ""));
                continue;
            }
            ++at_work_;
            special write;
            {
                const std::lock_guard lock(mutex_);
                write = special_;
            }
            if (!write || !write(peer, *request)) {
                {
                    const std::lock_guard lock(mutex_);
                    runs_.insert_or_assign(id, true);
                }
                log_.line(id_ + " runs " + id + " (" + request->method() + " " + request->path() +
                          ")");
                const auto work = request->path().find("work=");
                sleep_ms(work == std::string::npos ? 5
                                                   : std::atoi(request->path().c_str() + work + 5));
                auto whole = answer(200, echo + "X-Response-Signature: " + id_ + "." + id + "\r\n",
                                    "answer of " + id_ + " to " + id);
                if (request->method() == "HEAD") {
                    whole.erase(whole.find("\r\n\r\n") + 4);
                }
                peer.send(whole);
            }
            --at_work_;
        }
    }

    std::string id_;
    std::string service_;
    address own_;
    address control_;
    record& log_;
    std::int64_t born_ms_;
    int sequence_{0};
    std::atomic<int> at_work_{0};
    std::mutex mutex_;
    std::map<std::string, bool> runs_;
    special special_;
    server server_;
};

/** A machine: a back end, and the project's program started as the deploy file says. */
struct machine {
    std::string name;
    address callers;
    address ready;
    std::string settings;
    std::string output;
    std::unique_ptr<backend> app;
    std::atomic<pid_t> pid{-1};
    steady::time_point starts_at; ///< Again, after its process has ended.
    std::atomic<int> ends{0};     ///< How often its process has ended without being asked to.
};

/** Route of the configuration. */
struct route {
    std::string prefix;
    std::string service;
    std::string type;
    int timeout_ms;
};

/** A small deployment on the platform. Its threads use it until the program exits, so it is not
 * destroyed. */
class deployment {
public:
    deployment(record& log, std::string program) : log_(log), program_(std::move(program)) {
        char pattern[] = "/tmp/lh-review-XXXXXX";
        folder_ = ::mkdtemp(pattern);
        ports_ = free_ports(7);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /** Ends all processes and removes their files. */
    void end() {
        stopping_ = true;
        for (const auto& each : machines_) {
            const std::lock_guard lock(mutex_);
            if (each->pid > 0) {
                ::kill(each->pid, SIGKILL);
                ::waitpid(each->pid, nullptr, 0);
                each->pid = -1;
            }
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    bool start_store() { return store_.start({"127.0.0.1", ports_[6]}); }

    void configure(const std::vector<route>& routes) {
        std::string rules;
        std::string clusters;
        std::map<std::string, bool> services;
        for (const auto& each : routes) {
            rules += std::string(rules.empty() ? "" : ",") + "{\"Name\":\"r-" + each.service +
                     each.type + "\",\"RouteType\":\"" + each.type +
                     "\",\"TargetLatencyMs\":1500,\"Priority\":1,\"Match\":{\"PathPrefix\":\"" +
                     each.prefix + "\"},\"Action\":{\"Service\":\"" + each.service +
                     "\",\"TimeoutMs\":" + std::to_string(each.timeout_ms) + ",\"Attempts\":2}}";
            services[each.service] = true;
        }
        for (const auto& [name, known] : services) {
            clusters += std::string(clusters.empty() ? "" : ",") + "{\"Name\":\"" + name +
                        "\",\"HealthPath\":\"/health\",\"MaxConnections\":442,"
                        "\"Protocol\":\"h1\",\"Tls\":false}";
        }
        store_.put("keyed.op", "config",
                   "{\"Version\":\"00000007\",\"Limits\":{\"MaxHeaderBytes\":16384,"
                   "\"MaxBodyBytes\":" +
                       std::to_string(site::max_body_bytes) +
                       ",\"HeaderTimeoutMs\":" + std::to_string(site::header_timeout_ms) +
                       ",\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"" + site::host +
                       "\",\"Rules\":[" + rules + "]}],\"Clusters\":[" + clusters + "]}");
    }

    machine& add(const std::string& service) {
        auto made = std::make_unique<machine>();
        const auto number = machines_.size() + 1;
        made->name = "sidecar-dieng-" + std::to_string(number);
        const auto ip = "127.0.0." + std::to_string(number + 1);
        made->callers = {ip, ports_[0]};
        made->ready = {ip, ports_[3]};
        made->settings = folder_ + "/" + made->name + ".json";
        made->output = folder_ + "/" + made->name + ".log";
        made->app = std::make_unique<backend>("i-" + std::to_string(number), service,
                                              address{ip, ports_[5]}, address{ip, ports_[2]}, log_);
        write_settings(*made, service, ip, true);
        launch(*made);
        made->app->start();
        machines_.push_back(std::move(made));
        return *machines_.back();
    }

    /** Starts processes that end by themselves again after a short delay, and ends those that
     * exceed the memory of their machine, as the platform does. */
    void watch() {
        std::thread([this] {
            while (!stopping_) {
                for (const auto& each : machines_) {
                    check(*each);
                }
                sleep_ms(10);
            }
        }).detach();
    }

    bool wait_until_ready() {
        for (int i = 0; i < 300; ++i) {
            bool is_ready = true;
            for (const auto& each : machines_) {
                is_ready = is_ready && readiness(*each) == 200;
            }
            if (is_ready) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    static int readiness(const machine& which) {
        connection to;
        if (!to.open(which.ready)) {
            return 0;
        }
        to.send("GET /api/readiness HTTP/1.1\r\nHost: node\r\n\r\n");
        const auto answered = to.receive(1000);
        return answered ? answered->status() : 0;
    }

    int peak_memory_mb() const { return peak_memory_mb_; }
    const std::vector<std::unique_ptr<machine>>& machines() const { return machines_; }

private:
    void write_settings(const machine& which, const std::string& service, const std::string& ip,
                        bool is_first) const {
        const auto at = [&](std::size_t port) {
            return "\"" + address{ip, ports_[port]}.text() + "\"";
        };
        std::ofstream(which.settings)
            << "{\"id\":\"" << which.name << "\",\"data_centre\":\"dieng\",\"service\":\""
            << service << "\",\"target\":" << at(5) << ",\"listen\":{\"callers\":" << at(0)
            << ",\"calls\":" << at(1) << ",\"control\":" << at(2) << ",\"ready\":" << at(3)
            << ",\"metrics\":" << at(4) << "},\"store\":\"127.0.0.1:" << ports_[6]
            << "\",\"contacts\":[\"127.0.0.2:" << ports_[2]
            << "\"],\"first_start\":" << (is_first ? "true" : "false")
            << ",\"repeats\":{\"ratio\":0.2,\"extra\":50,\"window_ms\":10000},\"grace_ms\":6000,"
            << "\"memory_mb\":" << site::memory_mb << "}\n";
    }

    void launch(machine& which) {
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            rlimit bound{};
            ::getrlimit(RLIMIT_NOFILE, &bound);
            bound.rlim_cur = std::min<rlim_t>(bound.rlim_max, site::max_descriptors);
            ::setrlimit(RLIMIT_NOFILE, &bound);
            const rlimit no_core{0, 0};
            ::setrlimit(RLIMIT_CORE, &no_core);
            const int out = ::open(which.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::setenv("LAVENDERHOIST_SETTINGS", which.settings.c_str(), 1);
            ::execl(program_.c_str(), program_.c_str(), "--settings", which.settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        which.pid = pid;
        log_.line("platform starts the process of " + which.name);
    }

    static int memory_mb(pid_t pid) {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:")) {
                return std::atoi(line.c_str() + 6) / 1024;
            }
        }
        return 0;
    }

    void check(machine& which) {
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        if (which.pid <= 0) {
            if (steady::now() >= which.starts_at) {
                launch(which);
            }
            return;
        }
        const int used = memory_mb(which.pid);
        peak_memory_mb_ = std::max(peak_memory_mb_.load(), used);
        if (used > site::memory_mb) {
            log_.line("process of " + which.name + " uses " + std::to_string(used) + " MB of " +
                      std::to_string(site::memory_mb) + " MB: the platform kills it");
            ::kill(which.pid, SIGKILL);
        }
        int status = 0;
        if (::waitpid(which.pid, &status, used > site::memory_mb ? 0 : WNOHANG) != which.pid) {
            return;
        }
        ++which.ends;
        which.pid = -1;
        log_.line("process of " + which.name + " has ended: " +
                  (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                       : "code " + std::to_string(WEXITSTATUS(status))) +
                  last_words(which));
        which.starts_at = steady::now() + restart_delay;
    }

    /** The last lines of its output that are not log lines. */
    static std::string last_words(const machine& which) {
        std::ifstream output(which.output);
        std::string line;
        std::string found;
        while (std::getline(output, line)) {
            if (!line.empty() && line.front() != '{') {
                found += " | " + line;
            }
        }
        return found;
    }

    static constexpr milliseconds restart_delay{500};

    record& log_;
    std::string program_;
    std::string folder_;
    std::vector<int> ports_;
    store store_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::mutex mutex_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> peak_memory_mb_{0};
};

inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& id, int time_left_ms) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + site::host + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(time_left_ms) + "\r\n";
}

/** Clients with kept connections to one machine, each with one request at a time, as long as they
 * are told to go on. */
class kept_clients {
public:
    /** A request whose connection ended before its answer. */
    struct lost_request {
        std::string id;
        int earlier_answers; ///< On the same connection.
    };

    kept_clients(record& log, machine& through, std::string path, std::size_t count)
        : log_(log), through_(through), path_(std::move(path)) {
        for (std::size_t i = 0; i < count; ++i) {
            threads_.emplace_back([this, i] { run(i); });
        }
    }

    void stop() {
        stopping_ = true;
        for (auto& each : threads_) {
            each.join();
        }
        threads_.clear();
    }

    int answered() const { return answered_; }
    int other_answers() const { return other_answers_; }

    std::vector<lost_request> lost() {
        const std::lock_guard lock(mutex_);
        return lost_;
    }

private:
    void run(std::size_t number) {
        connection to;
        int answers_here = 0;
        for (int i = 0; !stopping_; ++i) {
            if (!to.is_open()) {
                answers_here = 0;
                if (!to.open(through_.callers)) {
                    sleep_ms(100);
                    continue;
                }
            }
            const auto id = through_.name + "-c" + std::to_string(number) + "-" + std::to_string(i);
            log_.line("client sends " + id + " to " + through_.name);
            const bool is_sent = to.send(request_head("GET", path_, id, 6000) + "\r\n");
            const auto answered = is_sent ? to.receive(7000) : std::nullopt;
            if (answered) {
                log_.line("client gets " + std::to_string(answered->status()) + " to " + id);
                ++(answered->status() == 200 ? answered_ : other_answers_);
                ++answers_here;
                if (answered->field("connection") == "close" || answered->status() != 200) {
                    to.close();
                    sleep_ms(200);
                }
                continue;
            }
            log_.line("client gets no answer to " + id + ": " + to.end());
            if (to.has_ended()) {
                const std::lock_guard lock(mutex_);
                lost_.push_back({id, answers_here});
            }
            to.close();
        }
    }

    record& log_;
    machine& through_;
    std::string path_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> other_answers_{0};
    std::mutex mutex_;
    std::vector<lost_request> lost_;
    std::vector<std::thread> threads_;
};

/** Requests that were passed on to a back end from a kept connection, which then ended without an
 * answer. The connection had carried an earlier request, so it is one that is kept. */
inline int count_lost(deployment& system, kept_clients& clients, record& log) {
    int count = 0;
    for (const auto& each : clients.lost()) {
        bool has_run = false;
        for (const auto& one : system.machines()) {
            has_run = has_run || one->app->has_run(each.id);
        }
        if (has_run && each.earlier_answers > 0) {
            log.line("LOST: " + each.id + " was passed on and has no answer");
            ++count;
        }
    }
    return count;
}

/** More than this many lost requests break LOST. */
constexpr int max_lost = 3;

inline bool has_trouble() {
    const char* const chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string_view(chosen) != "0";
}

/** Runs a case, for `max_seconds` at most, and exits with its code. Arguments: the folder of the
 * case and the project's program. */
inline int run_case(int argc, char** argv, int (*run)(deployment&, record&)) {
    constexpr int max_seconds = 110;
    if (argc != 3) {
        return exit_not_run;
    }
    auto& log = *new record(std::string(argv[1]) + "/record.txt");
    auto& system = *new deployment(log, argv[2]);
    std::thread([&system] {
        sleep_ms(max_seconds * 1000);
        system.end();
        ::_exit(exit_not_run);
    }).detach();
    const int code = run(system, log);
    system.end();
    log.line(code == exit_broken ? "result: the rule is broken"
                                 : (code == exit_held ? "result: the rule held"
                                                      : "result: the case could not run"));
    ::_exit(code);
}

} // namespace review
