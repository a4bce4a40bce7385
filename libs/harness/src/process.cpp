#include "lavenderhoist/harness/process.hpp"

#include "lavenderhoist/harness/http.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace lavenderhoist::harness {
namespace {

constexpr duration wait_poll_interval = std::chrono::milliseconds(5);
constexpr duration kill_timeout = std::chrono::seconds(5);
constexpr int output_mode = 0644;

int code_of(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

process::process(const std::vector<std::string>& command, const std::string& output) {
    std::vector<char*> arguments;
    for (const auto& argument : command) {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, output_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Inherited sockets would keep listeners and connections of the parent open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed =
        posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

process::process(process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), ended_(std::exchange(other.ended_, std::nullopt)) {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, -1);
        ended_ = std::exchange(other.ended_, std::nullopt);
    }
    return *this;
}

process::~process() {
    kill();
}

void process::send(int signal) const {
    if (id_ > 0 && !ended_) {
        ::kill(id_, signal);
    }
}

void process::kill() {
    if (id_ <= 0 || ended_) {
        return;
    }
    send(SIGKILL);
    wait(kill_timeout);
}

std::optional<int> process::wait(duration timeout) {
    const auto until = runtime_clock::now() + timeout;
    while (!ended_ && id_ > 0) {
        int status = 0;
        if (::waitpid(id_, &status, WNOHANG) == id_) {
            ended_ = code_of(status);
            break;
        }
        if (runtime_clock::now() >= until) {
            return std::nullopt;
        }
        pause_for(wait_poll_interval);
    }
    return ended_;
}

bool process::is_running() {
    return !wait(duration(0)).has_value();
}

process_usage usage_of(pid_t id) {
    process_usage result;
    std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    constexpr int fields_before_times = 11;
    for (int i = 0; i < fields_before_times; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    result.processor_seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory("/proc/" + std::to_string(id) + "/statm");
    double pages = 0;
    double resident = 0;
    memory >> pages >> resident;
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    result.resident_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
    return result;
}

} // namespace lavenderhoist::harness
