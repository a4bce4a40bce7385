#include "commands.hpp"

#include "lavenderhoist/cli/options.hpp"
#include "lavenderhoist/config/deployment.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/harness/http.hpp"

#include <boost/json.hpp>

#include <iostream>
#include <random>
#include <utility>

namespace lavenderhoist::lhctl {

namespace json = boost::json;

namespace {

constexpr duration call_timeout = std::chrono::seconds(15);
constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;
constexpr int status_timeout = 504;

std::string make_id() {
    std::random_device random;
    return "publication-" + std::to_string(random()) + std::to_string(random());
}

/** Prints a JSON value as indented text. */
void print_indented(const json::value& value, int depth) {
    const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
    if (const auto* const object = value.if_object()) {
        for (const auto& member : *object) {
            std::cout << indent << member.key();
            if (member.value().is_structured()) {
                std::cout << ":\n";
                print_indented(member.value(), depth + 1);
            } else {
                std::cout << ": " << json::serialize(member.value()) << "\n";
            }
        }
        return;
    }
    if (const auto* const array = value.if_array()) {
        for (const auto& element : *array) {
            std::cout << indent << "- " << json::serialize(element) << "\n";
        }
        return;
    }
    std::cout << indent << json::serialize(value) << "\n";
}

void print(const command_line& given, const std::string& body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (given.as_json || failed) {
        std::cout << body << "\n";
        return;
    }
    print_indented(parsed, 0);
}

int exit_code_of(int status) {
    switch (status) {
    case status_ok:
    case status_accepted:
        return cli::exit_ok;
    case status_conflict:
        return cli::exit_conflict;
    case status_unprocessable:
        return cli::exit_usage;
    case status_timeout:
        return cli::exit_unknown;
    default:
        return cli::exit_failed;
    }
}

int send_request(const command_line& given, const std::string& method, const std::string& path,
                 const std::string& body = {}) {
    const net::request message{method, path, {{"authorization", "Bearer " + given.token}}, body};
    const auto answered = harness::call(given.node, message, call_timeout);
    if (answered.code) {
        std::cerr << config::to_string(given.node) << ": " << answered.code.message() << "\n";
        return cli::exit_unreachable;
    }
    print(given, answered.answer.body);
    return exit_code_of(answered.answer.status);
}

/** True if the file holds a valid configuration; otherwise prints its issues on standard error. */
bool is_valid_configuration(const std::string& path) {
    return cli::read_document<config::deployment>(path, &config::parse_deployment).has_value();
}

int check(const std::string& path) {
    if (!is_valid_configuration(path)) {
        return cli::exit_usage;
    }
    std::cout << path << ": configuration is valid\n";
    return cli::exit_ok;
}

int publish(const command_line& given, const std::string& path) {
    if (!given.replaces) {
        std::cerr
            << "--replaces: state the version that this configuration replaces (0 for the first)\n";
        return cli::exit_usage;
    }
    if (!is_valid_configuration(path)) {
        return cli::exit_usage;
    }
    const auto text = cli::read_file(path);
    const json::object body{{"configuration", json::parse(*text)},
                            {"replaces_version", *given.replaces},
                            {"author", given.author},
                            {"id", given.id}};
    return send_request(given, "POST", "/v1/configuration", json::serialize(body));
}

int run_config(const command_line& given) {
    const auto& words = given.words;
    if (words.size() == 3 && words[1] == "check") {
        return check(words[2]);
    }
    if (words.size() == 3 && words[1] == "publish") {
        return publish(given, words[2]);
    }
    if (words.size() == 2 && words[1] == "show") {
        return send_request(given, "GET", "/v1/configuration");
    }
    if (words.size() == 2 && words[1] == "history") {
        return send_request(given, "GET", "/v1/configuration/history");
    }
    std::cerr << "config: expected check FILE, publish FILE, show or history\n";
    return cli::exit_usage;
}

} // namespace

bool read_command_line(const boost::program_options::variables_map& values, command_line& result) {
    const auto where = config::parse_address(values["node"].as<std::string>());
    if (!where) {
        std::cerr << "--node: expected IP:port\n";
        return false;
    }
    result.node = *where;
    if (values.contains("words")) {
        result.words = values["words"].as<std::vector<std::string>>();
    }
    if (values.contains("token")) {
        result.token = values["token"].as<std::string>();
    }
    if (values.contains("token-file")) {
        const auto path = values["token-file"].as<std::string>();
        const auto text = cli::read_file(path);
        if (!text) {
            std::cerr << path << ": cannot be read\n";
            return false;
        }
        result.token = text->substr(0, text->find('\n'));
    }
    if (values.contains("replaces")) {
        result.replaces = values["replaces"].as<std::int64_t>();
    }
    result.author = values["author"].as<std::string>();
    result.id = values.contains("id") ? values["id"].as<std::string>() : make_id();
    result.as_json = values.contains("json");
    return true;
}

int run(const command_line& given) {
    const auto& words = given.words;
    if (words.empty()) {
        std::cerr << "a command is missing; see lhctl --help\n";
        return cli::exit_usage;
    }
    if (words[0] == "config") {
        return run_config(given);
    }
    if (words.size() == 1 &&
        (words[0] == "status" || words[0] == "members" || words[0] == "metrics")) {
        return send_request(given, "GET", "/v1/" + words[0]);
    }
    if (words.size() == 1 && words[0] == "drain") {
        return send_request(given, "POST", "/v1/drain");
    }
    if (words.size() == 2 && words[0] == "explain") {
        return send_request(given, "GET", "/v1/explain?request=" + words[1]);
    }
    std::cerr << words[0] << ": no such command; see lhctl --help\n";
    return cli::exit_usage;
}

} // namespace lavenderhoist::lhctl
