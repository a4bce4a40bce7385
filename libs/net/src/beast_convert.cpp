#include "lavenderhoist/net/internal/beast_convert.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <utility>

namespace lavenderhoist::net::internal {
namespace {

namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

template <typename Message>
void copy_fields(const headers& fields, Message& target) {
    for (const auto& field : fields) {
        if (is_hop_by_hop(field.name)) {
            continue;
        }
        target.insert(field.name, field.value);
    }
}

} // namespace

headers fields_of(const http::fields& source) {
    headers result;
    for (const auto& field : source) {
        auto name = boost::algorithm::to_lower_copy(std::string(field.name_string()));
        if (is_hop_by_hop(name)) {
            continue;
        }
        result.push_back({std::move(name), std::string(field.value())});
    }
    return result;
}

beast_request to_beast(const request& message, const std::string& host) {
    beast_request result;
    result.version(http_1_1);
    result.method_string(message.method);
    result.target(message.path);
    result.set(http::field::host, host);
    copy_fields(message.fields, result);
    result.body() = message.body;
    result.prepare_payload();
    return result;
}

beast_response to_beast(const response& message, bool keep_alive) {
    beast_response result;
    result.version(http_1_1);
    result.result(static_cast<unsigned>(message.status));
    copy_fields(message.fields, result);
    result.body() = message.body;
    result.keep_alive(keep_alive);
    result.prepare_payload();
    return result;
}

request from_beast(beast_request&& message) {
    request result;
    result.method = std::string(message.method_string());
    result.path = std::string(message.target());
    result.fields = fields_of(message);
    result.body = std::move(message.body());
    return result;
}

response from_beast(beast_response&& message) {
    response result;
    result.status = static_cast<int>(message.result_int());
    result.fields = fields_of(message);
    result.body = std::move(message.body());
    return result;
}

} // namespace lavenderhoist::net::internal
