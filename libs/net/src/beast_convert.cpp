#include "lavenderhoist/net/internal/beast_convert.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>

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

template <bool IsRequest>
std::string serialize_message(const http::message<IsRequest, http::string_body>& message) {
    std::string out;
    http::serializer<IsRequest, http::string_body> source(message);
    boost::system::error_code failed;
    while (!source.is_done() && !failed) {
        source.next(failed, [&](boost::system::error_code& /*failed*/, const auto& buffers) {
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                out.append(static_cast<const char*>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            source.consume(count);
        });
    }
    return out;
}

beast_request to_beast_head(const request& message, const std::string& host) {
    beast_request result;
    result.version(http_1_1);
    result.method_string(message.method);
    result.target(message.path);
    result.set(http::field::host, message.host.empty() ? host : message.host);
    copy_fields(message.fields, result);
    return result;
}

beast_response to_beast_head(const response& message, bool keep_alive) {
    beast_response result;
    result.version(http_1_1);
    result.result(static_cast<unsigned>(message.status));
    copy_fields(message.fields, result);
    result.keep_alive(keep_alive);
    return result;
}

} // namespace

std::string serialize(const beast_request& message) {
    return serialize_message(message);
}

std::string serialize(const beast_response& message) {
    return serialize_message(message);
}

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
    auto result = to_beast_head(message, host);
    result.body() = message.body.str();
    result.prepare_payload();
    return result;
}

beast_response to_beast(const response& message, bool keep_alive) {
    auto result = to_beast_head(message, keep_alive);
    result.body() = message.body;
    result.prepare_payload();
    return result;
}

std::string serialize_head(const request& message, std::size_t body_bytes) {
    auto head = to_beast_head(message, message.host);
    head.content_length(body_bytes);
    return serialize(head);
}

std::string serialize_head(const response& message, bool keep_alive, std::size_t body_bytes) {
    auto head = to_beast_head(message, keep_alive);
    head.content_length(body_bytes);
    return serialize(head);
}

bool has_known_framing(const beast_request& message) {
    constexpr auto name = boost::beast::http::field::transfer_encoding;
    const auto codings = message.count(name);
    return codings == 0 || (codings == 1 && boost::beast::iequals(message[name], "chunked"));
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
