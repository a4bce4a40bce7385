#include "lavenderhoist/serving/caller_front.hpp"

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace lavenderhoist::node {
namespace {

static_assert(config::max_rank == admission::max_class_rank);

constexpr std::string_view key_field = "idempotency-key";
constexpr std::string_view timeout_field = "lh-timeout-ms";
constexpr std::string_view caller_field = "lh-caller";
constexpr std::size_t max_caller_name_bytes = 64;
constexpr duration no_configuration_retry_after = std::chrono::seconds(2);

call_answer reject(errc cause, step where = step::entry) {
    return make_failure(outcome::not_run, cause, where, "");
}

/** True for names that are safe in headers, logs and metrics. */
bool is_plain_name(std::string_view name) {
    return !name.empty() && name.size() <= max_caller_name_bytes &&
           std::ranges::all_of(name, [](char c) {
               const bool is_alphanumeric =
                   (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
               return is_alphanumeric || c == '-' || c == '_' || c == '.' || c == ':';
           });
}

} // namespace

service_path split_path(std::string_view path) {
    if (!path.starts_with('/')) {
        return {};
    }
    path.remove_prefix(1);
    const auto end = path.find_first_of("/?");
    if (end == std::string_view::npos) {
        return {std::string(path), "/"};
    }
    auto rest = std::string(path.substr(end));
    if (rest.front() == '?') {
        rest.insert(rest.begin(), '/');
    }
    return {std::string(path.substr(0, end)), std::move(rest)};
}

std::string caller_front::make_request_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    auto value = random_();
    for (std::size_t i = 0; i < 16; ++i) {
        id += digits[value & 0x0fU];
        value >>= 4U;
    }
    return id;
}

key caller_front::make_key() {
    return key::make(wall_time(), {random_(), random_()});
}

checked_request caller_front::check(net::request message, const std::string& peer,
                                    const std::shared_ptr<const config::deployment>& config,
                                    time_point now) {
    if (!config) {
        auto answer = reject(errc::no_configuration);
        answer.retry_after = no_configuration_retry_after;
        return answer;
    }
    const auto target = split_path(message.path);
    const auto* const service = config->find_service(target.service);
    if (service == nullptr) {
        return reject(errc::unknown_service);
    }
    const auto* const route = service->find_route(message.method, target.path);
    if (route == nullptr) {
        return reject(errc::unknown_route);
    }
    const auto& rules = config->classes[route->class_index];

    accepted_request accepted;
    auto& root = accepted.root;
    auto timeout = rules.deadline;
    const auto requested_timeout = net::find_header(message.fields, timeout_field);
    if (!requested_timeout.empty()) {
        const auto parsed = parse_integer(requested_timeout);
        if (!parsed || *parsed <= 0) {
            return reject(errc::bad_request);
        }
        timeout = std::min(timeout, milliseconds(*parsed));
    }
    const auto given_key = net::find_header(message.fields, key_field);
    if (!given_key.empty()) {
        root.order_key = key::parse(given_key);
        accepted.has_caller_key = true;
        if (!root.order_key) {
            return reject(errc::bad_key);
        }
    } else if (rules.must_not_repeat) {
        root.order_key = make_key();
    }
    const auto caller_name = net::find_header(message.fields, caller_field);
    if (!caller_name.empty() && !is_plain_name(caller_name)) {
        return reject(errc::bad_request);
    }
    root.caller = caller_name.empty() ? peer : std::string(caller_name);
    root.root_id = make_request_id();
    root.service = target.service;
    root.class_name = rules.name;
    root.is_order = rules.must_not_repeat;
    root.credits = rules.retry_credits;
    root.deadline = now + timeout;
    // A retry by the caller with the same key gets the same cohort, so that retrying does not
    // improve its chance of admission.
    const auto identity = root.order_key ? root.order_key->hash() : stable_hash(root.root_id);
    root.importance = admission::make_priority(rules.rank, identity);
    net::remove_headers_with_prefix(message.fields, reserved_header_prefix);
    message.path = target.path;
    root.message = std::move(message);
    return accepted;
}

} // namespace lavenderhoist::node
