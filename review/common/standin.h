#pragma once

// Stand-ins of the platform for the review's scripts: the metadata store, back ends, clients and
// the process control. They follow PROTOCOL.md and DEPLOY.md. Everything runs on one thread.

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using asio::awaitable;
using asio::use_awaitable;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using string_request = http::request<http::string_body>;
using string_response = http::response<http::string_body>;

inline constexpr auto nothrow = asio::as_tuple(use_awaitable);

inline std::int64_t wall_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Writes record.txt: one line an event, with the milliseconds since the start. */
class recorder {
public:
    explicit recorder(const std::string& path) : out_(path), started_(steady::now()) {}

    std::int64_t now_ms() const {
        return std::chrono::duration_cast<milliseconds>(steady::now() - started_).count();
    }

    void line(const std::string& text) {
        out_ << now_ms() << " ms  " << text << '\n';
        out_.flush();
    }

private:
    std::ofstream out_;
    steady::time_point started_;
};

inline awaitable<void> sleep_for(milliseconds length) {
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(nothrow);
}

inline tcp::endpoint endpoint(const std::string& host, std::uint16_t port) {
    return {asio::ip::make_address(host), port};
}

/** Ports below the range of outgoing connections that are free on the loopback addresses in use. */
inline std::vector<std::uint16_t> free_ports(std::size_t count) {
    constexpr std::uint16_t first = 15'000;
    constexpr unsigned range = 15'000;
    std::mt19937 random(std::random_device{}());
    asio::io_context context;
    std::vector<tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const auto port = static_cast<std::uint16_t>(first + random() % range);
        bool is_free = true;
        for (int machine = 0; machine <= 12; ++machine) {
            const auto host =
                machine == 0 ? std::string("127.0.0.1") : "127.0.1." + std::to_string(machine);
            beast::error_code failed;
            tcp::acceptor probe(context, tcp::v4());
            probe.bind(endpoint(host, port), failed);
            is_free = is_free && !failed;
            held.push_back(std::move(probe));
        }
        if (is_free) {
            ports.push_back(port);
        }
    }
    return ports;
}

/** A program of the deploy file that runs as a process of its own. */
class process {
public:
    process(const std::vector<std::string>& command, const std::string& log) {
        std::vector<char*> words;
        for (const auto& word : command) {
            words.push_back(const_cast<char*>(word.c_str()));
        }
        words.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        if (posix_spawn(&id_, words[0], &actions, nullptr, words.data(), environ) != 0) {
            id_ = -1;
        }
        posix_spawn_file_actions_destroy(&actions);
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process() { kill_and_wait(); }

    pid_t id() const { return id_; }

    void send(int signal) const {
        if (id_ > 0 && !status_) {
            ::kill(id_, signal);
        }
    }

    /** The wait status once the process has ended. */
    std::optional<int> status() {
        int found = 0;
        if (!status_ && id_ > 0 && ::waitpid(id_, &found, WNOHANG) == id_) {
            status_ = found;
        }
        return status_;
    }

    void kill_and_wait() {
        if (id_ > 0 && !status()) {
            ::kill(id_, SIGKILL);
            int found = 0;
            ::waitpid(id_, &found, 0);
            status_ = found;
        }
    }

    /** Resident memory. */
    double resident_mb() const {
        std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
        double pages = 0;
        double resident = 0;
        file >> pages >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024 / 1024;
    }

private:
    pid_t id_{-1};
    std::optional<int> status_;
};

/** A server of whole HTTP/1.1 messages. The handler may return no answer: the connection ends. */
class server {
public:
    using handler = std::function<awaitable<std::optional<string_response>>(string_request)>;

    server(asio::io_context& context, tcp::endpoint where, handler serve)
        : context_(context), acceptor_(context), serve_(std::move(serve)) {
        acceptor_.open(where.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(where);
        acceptor_.listen();
        asio::co_spawn(context_, accept(), asio::detached);
    }

    /** Ends the listener and all connections, as the end of a process does. */
    void stop() {
        beast::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& each : std::exchange(open_, {})) {
            each->close(ignored);
        }
    }

    std::uint64_t max_body{80U << 20U};

private:
    awaitable<void> accept() {
        while (acceptor_.is_open()) {
            auto [failed, socket] = co_await acceptor_.async_accept(nothrow);
            if (failed) {
                co_return;
            }
            auto held = std::make_shared<tcp::socket>(std::move(socket));
            open_.insert(held);
            asio::co_spawn(context_, converse(held), asio::detached);
        }
    }

    awaitable<void> converse(std::shared_ptr<tcp::socket> socket) {
        beast::error_code ignored;
        socket->set_option(tcp::no_delay(true), ignored);
        beast::flat_buffer buffer;
        while (socket->is_open()) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_body);
            auto [failed, count] = co_await http::async_read(*socket, buffer, parser, nothrow);
            if (failed) {
                break;
            }
            const bool keeps = parser.keep_alive();
            auto answer = co_await serve_(parser.release());
            if (!answer || !socket->is_open()) {
                break;
            }
            answer->keep_alive(keeps);
            answer->prepare_payload();
            auto [unsent, sent] = co_await http::async_write(*socket, *answer, nothrow);
            if (unsent || !keeps) {
                break;
            }
        }
        socket->close(ignored);
        open_.erase(socket);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    handler serve_;
    std::set<std::shared_ptr<tcp::socket>> open_;
};

inline string_response make_response(int status, std::string body = {}) {
    string_response answer;
    answer.version(11);
    answer.result(static_cast<unsigned>(status));
    answer.body() = std::move(body);
    return answer;
}

/** The platform's metadata store: keyed topics with log-newest, log-read and log-append. */
class store {
public:
    enum class mode { up, silent, busy };

    store(asio::io_context& context, const std::string& host, std::uint16_t port)
        : server_(context, endpoint(host, port),
                  [this](string_request asked) { return serve(std::move(asked)); }) {}

    void put(const std::string& topic, const std::string& key, const std::string& value) {
        auto& to = topics_[topic];
        to.records.push_back({key, value});
    }

    mode state{mode::up};

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct log {
        std::vector<record> records;
    };

    static std::string parameter(std::string_view target, const std::string& name) {
        const auto at = target.find(name + "=");
        if (at == std::string_view::npos) {
            return {};
        }
        const auto begin = at + name.size() + 1;
        return std::string(target.substr(begin, target.find('&', begin) - begin));
    }

    static void put_number(std::string& to, std::uint64_t value, int bytes) {
        for (int i = bytes - 1; i >= 0; --i) {
            to += static_cast<char>((value >> (8 * i)) & 0xffU);
        }
    }

    awaitable<std::optional<string_response>> serve(string_request asked) {
        if (state == mode::silent) {
            // The call is not executed, and its connection returns nothing further.
            while (state == mode::silent) {
                co_await sleep_for(milliseconds(50));
            }
            co_return std::nullopt;
        }
        if (state == mode::busy) {
            co_return make_response(503);
        }
        co_await sleep_for(milliseconds(4));
        const std::string target(asked.target());
        const auto name = parameter(target, "Topic");
        if (target.starts_with("/api/log-newest")) {
            co_return newest(topics_[name]);
        }
        if (target.starts_with("/api/log-append")) {
            co_return append(topics_[name], asked.body());
        }
        if (target.starts_with("/api/log-read")) {
            const auto from =
                static_cast<std::size_t>(std::atoll(parameter(target, "From").c_str()));
            const auto wait = milliseconds(std::atoll(parameter(target, "WaitMs").c_str()));
            const auto until = steady::now() + wait;
            while (topics_[name].records.size() <= from && steady::now() < until) {
                co_await sleep_for(milliseconds(5));
                if (state == mode::silent) {
                    co_return co_await serve(asked);
                }
                if (state == mode::busy) {
                    co_return make_response(503);
                }
            }
            co_return read(topics_[name], from);
        }
        co_return make_response(404);
    }

    static string_response newest(const log& from) {
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < from.records.size(); ++i) {
            last[from.records[i].key] = i;
        }
        json::array items;
        for (const auto& [key, offset] : last) {
            const auto& value = from.records[offset].value;
            std::string encoded(beast::detail::base64::encoded_size(value.size()), '\0');
            encoded.resize(
                beast::detail::base64::encode(encoded.data(), value.data(), value.size()));
            items.push_back({{"Key", key}, {"Value", encoded}, {"Offset", offset}});
        }
        return make_response(200, json::serialize(json::object{{"items", std::move(items)},
                                                               {"More", false},
                                                               {"End", from.records.size()}}));
    }

    static string_response append(log& to, std::string_view body) {
        constexpr std::size_t prefix = 5; // the record's length, then the key's
        if (body.size() < prefix) {
            return make_response(400);
        }
        const auto length = static_cast<unsigned char>(body[prefix - 1]);
        const auto offset = to.records.size();
        to.records.push_back(
            {std::string(body.substr(prefix, length)), std::string(body.substr(prefix + length))});
        return make_response(
            200, json::serialize(json::object{{"Offset", offset}, {"End", to.records.size()}}));
    }

    static string_response read(const log& from, std::size_t offset) {
        std::string out;
        put_number(out, from.records.size(), 8);
        put_number(out, 0, 8);
        for (auto i = offset; i < from.records.size(); ++i) {
            const auto& each = from.records[i];
            put_number(out, 1 + each.key.size() + each.value.size(), 4);
            out += static_cast<char>(each.key.size());
            out += each.key + each.value;
        }
        return make_response(200, std::move(out));
    }

    std::map<std::string, log> topics_;
    server server_;
};

/** A request as a client sends it, and what came back. */
struct outcome {
    int status{0}; ///< 0: the connection ended without an answer, or the client gave up.
    bool ended_by_node{false};
    string_response answer;
};

/** A client that keeps one connection open for many requests. */
class client {
public:
    client(asio::io_context& context, tcp::endpoint node, recorder* record = nullptr)
        : socket_(context), node_(node), record_(record) {}

    awaitable<outcome> exchange(string_request message, milliseconds deadline) {
        const std::string id(message["X-Request-Id"]);
        if (record_ != nullptr) {
            record_->line("send      " + id + " " + std::string(message.method_string()) + " " +
                          std::string(message.target()) + ", body " +
                          std::to_string(message.body().size()) + " bytes");
        }
        auto result = co_await send_and_wait(std::move(message), deadline);
        if (record_ != nullptr) {
            record_->line("answer    " + id + " status " + std::to_string(result.status) +
                          (result.ended_by_node ? " (the connection ended)" : ""));
        }
        co_return result;
    }

    void close() {
        beast::error_code ignored;
        stream().socket().close(ignored);
        buffer_.clear();
        is_connected_ = false;
    }

    int opened() const { return opened_; }

private:
    awaitable<outcome> send_and_wait(string_request message, milliseconds deadline) {
        outcome result;
        beast::error_code failed;
        message.version(11);
        message.set("X-Deadline-Ms", std::to_string(deadline.count()));
        message.prepare_payload();
        beast::get_lowest_layer(stream()).expires_after(deadline);
        if (!is_connected_) {
            auto [refused] = co_await stream().async_connect(node_, nothrow);
            if (refused) {
                close();
                co_return result;
            }
            stream().socket().set_option(tcp::no_delay(true), failed);
            is_connected_ = true;
            ++opened_;
        } else {
            ++reused_;
        }
        auto [unsent, sent] = co_await http::async_write(stream(), message, nothrow);
        if (!unsent) {
            http::response_parser<http::string_body> parser;
            parser.body_limit(80U << 20U);
            auto [unread, count] = co_await http::async_read(stream(), buffer_, parser, nothrow);
            if (!unread) {
                const bool keeps = parser.keep_alive();
                result.answer = parser.release();
                result.status = static_cast<int>(result.answer.result_int());
                if (!keeps) {
                    close();
                }
                co_return result;
            }
            result.ended_by_node = unread != beast::error::timeout;
        } else {
            result.ended_by_node = unsent != beast::error::timeout;
        }
        close();
        co_return result;
    }

    beast::tcp_stream& stream() { return socket_; }

    beast::tcp_stream socket_;
    tcp::endpoint node_;
    recorder* record_;
    beast::flat_buffer buffer_;
    bool is_connected_{false};
    int opened_{0};
    int reused_{0};
};

inline string_request make_request(http::verb method, const std::string& host,
                                   const std::string& path, const std::string& id) {
    string_request message(method, path, 11);
    message.set(http::field::host, host);
    message.set("X-Request-Id", id);
    return message;
}

/** An application back end beside a node: heartbeats, slots and the platform's header fields. */
class backend {
public:
    struct settings {
        std::string id;
        std::string service;
        std::string zone;
        std::string ip;
        std::uint16_t port{0};
        std::uint16_t control_port{0};
        int slots{150};
        milliseconds work{90};
        milliseconds beat{1500};
    };
    /** What the back end did with a request. */
    struct run {
        std::string id;
        std::int64_t at_ms{0};
        bool ended{false};
    };

    backend(asio::io_context& context, settings given, recorder& record)
        : context_(context), given_(std::move(given)), record_(record), born_(wall_ms()) {
        listen();
    }

    void listen() {
        server_ = std::make_unique<server>(
            context_, endpoint(given_.ip, given_.port),
            [this](string_request asked) { return serve(std::move(asked)); });
    }

    /** Starts sending heartbeats until stop_beats(). */
    void start_beats() {
        beats_ = true;
        asio::co_spawn(context_, beat_loop(++beat_loops_), asio::detached);
    }
    void stop_beats() { beats_ = false; }

    std::string beat_body(const std::string& state, std::uint64_t sequence) const {
        return json::serialize(json::object{
            {"born", born_},
            {"Address", given_.ip + ":" + std::to_string(given_.port)},
            {"Info",
             {{"Service", given_.service},
              {"Version", "v1"},
              {"Zone", given_.zone},
              {"Slots", given_.slots}}},
            {"Status", {{"State", state}, {"Sequence", sequence}, {"ColdLeftMs", 0}}}});
    }

    std::uint64_t next_sequence() { return ++sequence_; }

    /** A call to the control address of the own machine. \returns the status; 0 without one. */
    awaitable<int> call_control(http::verb method, std::string body) {
        client caller(context_, endpoint(given_.ip, given_.control_port));
        string_request message(method, "/api/instances/" + given_.id, 11);
        message.set(http::field::host, given_.ip);
        message.set(http::field::content_type, "application/json");
        message.body() = std::move(body);
        const auto result = co_await caller.exchange(std::move(message), milliseconds(1000));
        co_return result.status;
    }

    awaitable<int> send_beat() {
        co_return co_await call_control(http::verb::put, beat_body(state, next_sequence()));
    }

    awaitable<int> send_sign_off() {
        const auto body = R"({"born":)" + std::to_string(born_) + "}";
        co_return co_await call_control(http::verb::delete_, body);
    }

    /** The process ends: its connections end, and requests at work are lost. */
    void end() {
        beats_ = false;
        has_ended_ = true;
        server_->stop();
    }

    /** Starts again under the same id; it holds and knows nothing of before. */
    void restart(std::int64_t born) {
        has_ended_ = false;
        born_ = born;
        sequence_ = 0;
        state = "ready";
        ++start_;
        at_work_ = 0;
        listen();
    }

    const std::vector<run>& runs() const { return runs_; }
    std::int64_t born() const { return born_; }
    int at_work() const { return at_work_; }
    std::size_t count_runs(const std::string& id) const {
        std::size_t count = 0;
        for (const auto& each : runs_) {
            count += each.id == id ? 1 : 0;
        }
        return count;
    }

    std::string state{"ready"};

private:
    awaitable<void> beat_loop(int number) {
        while (beats_ && number == beat_loops_) {
            co_await send_beat();
            co_await sleep_for(given_.beat);
        }
    }

    awaitable<std::optional<string_response>> serve(string_request asked) {
        const std::string id(asked["X-Request-Id"]);
        const std::string wanted(asked["X-Target-Instance"]);
        if (asked.target() == "/health") {
            auto answer = make_response(state == "ready" ? 200 : 503);
            answer.set("X-Instance-Id", given_.id);
            co_return answer;
        }
        if (!wanted.empty() && wanted != given_.id) {
            auto answer = make_response(421);
            answer.set("X-Request-Id", id);
            answer.set("X-Instance-Id", given_.id);
            co_return answer;
        }
        if (at_work_ >= given_.slots) {
            auto answer = make_response(503);
            answer.set("X-Request-Id", id);
            answer.set("X-Not-Executed", "1");
            co_return answer;
        }
        ++at_work_;
        const auto start = start_;
        const auto index = runs_.size();
        runs_.push_back({id, record_.now_ms(), false});
        record_.line("run       " + id + " at " + given_.id + ", " + std::string(asked.target()) +
                     ", body " + std::to_string(asked.body().size()) + " bytes");
        co_await sleep_for(given_.work);
        if (has_ended_ || start != start_) {
            co_return std::nullopt;
        }
        --at_work_;
        runs_[index].ended = true;
        auto answer = make_response(200, given_.id + " ran " + id);
        answer.set("X-Request-Id", id);
        answer.set("X-Response-Signature", "signed-by-" + given_.id);
        co_return answer;
    }

    asio::io_context& context_;
    settings given_;
    recorder& record_;
    std::int64_t born_;
    std::uint64_t sequence_{0};
    bool beats_{false};
    int beat_loops_{0}; ///< Only the latest one goes on.
    bool has_ended_{false};
    int at_work_{0};
    std::uint64_t start_{0};
    std::vector<run> runs_;
    std::unique_ptr<server> server_;
};

/** Ports of the machines, the same on all of them. */
struct ports {
    std::uint16_t callers, calls, control, ready, metrics, app, store;
};

/** A machine: a process of the role `sidecar` beside a back end. */
struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::unique_ptr<process> node;
    std::unique_ptr<backend> app;
    int starts{0};
};

/** A small deployment. */
class deployment {
public:
    deployment(asio::io_context& context, const std::string& folder, recorder& record)
        : context_(context), folder_(folder), record_(record) {
        const auto free = free_ports(7);
        ports_ = {free[0], free[1], free[2], free[3], free[4], free[5], free[6]};
        platform_store = std::make_unique<store>(context, "127.0.0.1", ports_.store);
    }

    machine& add(const std::string& zone, const std::string& service, milliseconds work,
                 int slots = 150) {
        auto made = std::make_unique<machine>();
        const auto number = std::to_string(machines.size() + 1);
        made->name = "sidecar-" + zone + "-" + number;
        made->ip = "127.0.1." + std::to_string(machines.size() + 1);
        made->zone = zone;
        made->service = service;
        backend::settings app;
        app.id = "i-" + service + "-" + number;
        app.service = service;
        app.zone = zone;
        app.ip = made->ip;
        app.port = ports_.app;
        app.control_port = ports_.control;
        app.work = work;
        app.slots = slots;
        made->app = std::make_unique<backend>(context_, app, record_);
        machines.push_back(std::move(made));
        return *machines.back();
    }

    /** Writes the settings as the deploy template fills them in, and starts the process. */
    void start(machine& which) {
        const auto at = [&](std::uint16_t port) { return which.ip + ":" + std::to_string(port); };
        json::array seeds;
        for (std::size_t i = 0; i < machines.size() && i < 3; ++i) {
            seeds.push_back(json::string(machines[i]->ip + ":" + std::to_string(ports_.control)));
        }
        const json::object settings{
            {"id", which.name},
            {"data_centre", which.zone},
            {"service", which.service},
            {"target", at(ports_.app)},
            {"listen",
             {{"callers", at(ports_.callers)},
              {"calls", at(ports_.calls)},
              {"control", at(ports_.control)},
              {"ready", at(ports_.ready)},
              {"metrics", at(ports_.metrics)}}},
            {"store", "127.0.0.1:" + std::to_string(ports_.store)},
            {"contacts", seeds},
            {"repeats", {{"ratio", 0.2}, {"extra", 48}, {"window_ms", 10'000}}},
            {"grace_ms", 6'000}};
        const auto path = folder_ + "/" + which.name + ".json";
        std::ofstream(path) << json::serialize(settings);
        which.node = std::make_unique<process>(
            std::vector<std::string>{"target/bin/lh-sidecar", "--settings", path},
            folder_ + "/" + which.name + ".log");
        ++which.starts;
        record_.line("start     " + which.name + " process " + std::to_string(which.node->id()));
    }

    struct route {
        std::string name;
        std::string prefix;
        std::string service;
        bool idempotent;
        int timeout_ms;
    };

    void publish(const std::vector<route>& routes) {
        json::array rules;
        std::set<std::string> services;
        for (const auto& each : routes) {
            services.insert(each.service);
            rules.push_back(
                {{"Name", each.name},
                 {"RouteType", each.idempotent ? "idempotent" : "non_idempotent"},
                 {"TargetLatencyMs", 1500},
                 {"Priority", 0},
                 {"Match", {{"PathPrefix", each.prefix}}},
                 {"Action",
                  {{"Service", each.service}, {"TimeoutMs", each.timeout_ms}, {"Attempts", 2}}}});
        }
        json::array clusters;
        for (const auto& each : services) {
            clusters.push_back({{"Name", each},
                                {"HealthPath", "/health"},
                                {"MaxConnections", 1000},
                                {"Protocol", "h1"},
                                {"Tls", false}});
        }
        char version[16];
        std::snprintf(version, sizeof version, "%08x", ++version_);
        platform_store->put("keyed.op", "config",
                            json::serialize(json::object{
                                {"Version", std::string(version)},
                                {"Limits",
                                 {{"MaxHeaderBytes", 16'384},
                                  {"MaxBodyBytes", 67'108'864},
                                  {"HeaderTimeoutMs", 3'000},
                                  {"IdleTimeoutMs", 15'000}}},
                                {"Listeners", json::array{json::object{{"Host", std::string(host)},
                                                                       {"Rules", rules}}}},
                                {"Clusters", clusters}}));
    }

    awaitable<bool> is_ready(const machine& which) {
        client caller(context_, endpoint(which.ip, ports_.ready));
        string_request message(http::verb::get, "/api/readiness", 11);
        message.set(http::field::host, which.ip);
        const auto result = co_await caller.exchange(std::move(message), milliseconds(900));
        co_return result.status == 200;
    }

    /** Waits until all nodes are ready and every one of them serves `path`. */
    awaitable<bool> settle(const std::string& path, milliseconds longest) {
        const auto until = steady::now() + longest;
        while (steady::now() < until) {
            bool all = true;
            for (const auto& each : machines) {
                all = all && co_await is_ready(*each);
                if (!all) {
                    break;
                }
                client caller(context_, callers(*each));
                const auto result = co_await caller.exchange(
                    make_request(http::verb::get, host, path, new_id()), milliseconds(2000));
                all = result.status == 200;
                if (!all) {
                    break;
                }
            }
            if (all) {
                co_return true;
            }
            co_await sleep_for(milliseconds(200));
        }
        co_return false;
    }

    tcp::endpoint callers(const machine& which) const { return endpoint(which.ip, ports_.callers); }

    std::string new_id() {
        char text[32];
        std::snprintf(text, sizeof text, "%016llx", 0x9c41d07be2a30000ULL + ++last_id_);
        return text;
    }

    std::size_t count_runs(const std::string& id) const {
        std::size_t count = 0;
        for (const auto& each : machines) {
            count += each->app->count_runs(id);
        }
        return count;
    }

    static constexpr const char* host = "jepu9.example";
    std::vector<std::unique_ptr<machine>> machines;
    std::unique_ptr<store> platform_store;
    const ports& all_ports() const { return ports_; }

private:
    asio::io_context& context_;
    std::string folder_;
    recorder& record_;
    ports ports_{};
    int version_{0};
    unsigned long long last_id_{0};
};

/** Runs a scenario that returns the exit status of the script, for `longest` at most.
 * Arguments of the program: the folder of the case, a temporary folder. */
inline int run_case(int count, char** words,
                    const std::function<awaitable<int>(asio::io_context&, deployment&, recorder&,
                                                       bool trouble)>& scenario,
                    milliseconds longest) {
    if (count < 3) {
        std::fprintf(stderr, "usage: %s CASE-FOLDER TEMPORARY-FOLDER\n", words[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const auto* const chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string(chosen) != "0";
    recorder record(std::string(words[1]) + "/record.txt");
    record.line(std::string("TROUBLE=") + (trouble ? "1" : "0"));
    int status = 2;
    try {
        asio::io_context context;
        deployment world(context, words[2], record);
        asio::co_spawn(
            context,
            [&]() -> awaitable<void> {
                status = co_await scenario(context, world, record, trouble);
                context.stop();
            },
            [&](const std::exception_ptr& thrown) {
                if (thrown) {
                    context.stop();
                }
            });
        asio::signal_set signals(context, SIGTERM, SIGINT); // the processes end with the driver
        signals.async_wait([&](const beast::error_code& stopped, int) {
            if (!stopped) {
                context.stop();
            }
        });
        asio::steady_timer limit(context, longest);
        limit.async_wait([&](const beast::error_code& stopped) {
            if (!stopped) {
                record.line("the case took too long");
                context.stop();
            }
        });
        context.run();
        for (const auto& each : world.machines) {
            each->node.reset();
        }
    } catch (const std::exception& failed) {
        record.line(std::string("the case could not run: ") + failed.what());
        status = 2;
    }
    record.line("exit " + std::to_string(status));
    std::printf("exit %d\n", status);
    return status;
}

} // namespace review
