#include "lavenderhoist/node/admin_api.hpp"

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/call/problem.hpp"

#include <boost/json.hpp>

#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr net::http_server::limits bounds{64, 16U << 10U, 4U << 20U, std::chrono::seconds(5),
                                          std::chrono::seconds(60)};
constexpr std::string_view explain_prefix = "/v1/explain?request=";

net::response not_found() {
    return json_response(404, json::object{{"title", "no such resource"}});
}

} // namespace

net::response json_response(int status, const json::value& body) {
    net::response message;
    message.status = status;
    message.fields.push_back({"content-type", "application/json"});
    message.body = json::serialize(body);
    return message;
}

admin_api::admin_api(net::tcp::acceptor acceptor, std::string token, actions callbacks)
    : token_(std::move(token)),
      callbacks_(std::move(callbacks)),
      server_(
          std::move(acceptor), bounds,
          [this](net::request message, std::string /*peer*/, net::cancellation_ptr /*cancelled*/) {
              return serve(std::move(message));
          },
          &render_fault) {}

bool admin_api::is_authorised(const net::request& message) const {
    return is_same_secret(net::find_header(message.fields, "authorization"), "Bearer " + token_);
}

asio::awaitable<net::response> admin_api::serve(net::request message) {
    if (message.method == "GET" && message.path == "/v1/ready") {
        const bool ready = callbacks_.is_ready();
        co_return json_response(ready ? 200 : 503, json::object{{"ready", ready}});
    }
    if (!is_authorised(message)) {
        co_return json_response(401, json::object{{"title", "a bearer token is required"}});
    }
    if (message.method == "GET") {
        co_return co_await serve_get(std::move(message.path));
    }
    if (message.method == "POST") {
        co_return co_await serve_post(std::move(message));
    }
    co_return json_response(405, json::object{{"title", "method not allowed"}});
}

asio::awaitable<net::response> admin_api::serve_get(std::string path) {
    if (path == "/v1/status") {
        co_return json_response(200, callbacks_.status());
    }
    if (path == "/v1/members") {
        co_return json_response(200, json::object{{"members", callbacks_.members()}});
    }
    if (path == "/v1/metrics") {
        co_return json_response(200, callbacks_.metrics());
    }
    if (path == "/v1/configuration") {
        co_return json_response(200, callbacks_.configuration());
    }
    if (path == "/v1/configuration/history") {
        co_return co_await callbacks_.history();
    }
    if (path.starts_with(explain_prefix)) {
        co_return callbacks_.explain(path.substr(explain_prefix.size()));
    }
    co_return not_found();
}

asio::awaitable<net::response> admin_api::serve_post(net::request message) {
    if (message.path == "/v1/configuration") {
        co_return co_await callbacks_.publish(std::move(message));
    }
    if (message.path == "/v1/drain") {
        callbacks_.drain();
        co_return json_response(202, json::object{{"draining", true}});
    }
    co_return not_found();
}

} // namespace lavenderhoist::node
