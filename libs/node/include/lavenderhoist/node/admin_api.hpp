#pragma once

#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lavenderhoist::node {

/**
 * \brief The operators' API: HTTP with a bearer token on a listener of its own.
 *
 * GET /v1/ready (no token), /v1/status, /v1/members, /v1/metrics, /v1/configuration,
 * /v1/configuration/history, /v1/explain?request=ID; POST /v1/configuration, /v1/drain.
 */
class admin_api {
public:
    /** \brief Callbacks that serve the resources of the API. */
    struct actions {
        std::function<bool()> is_ready;
        std::function<boost::json::object()> status;
        std::function<boost::json::array()> members;
        std::function<boost::json::object()> metrics;
        std::function<boost::json::object()> configuration;
        std::function<boost::asio::awaitable<net::response>()> history;
        std::function<net::response(const std::string& request_id)> explain;
        std::function<boost::asio::awaitable<net::response>(net::request message)> publish;
        std::function<void()> drain;
    };

    admin_api(net::tcp::acceptor acceptor, std::string token, actions callbacks);

    void start() { server_.start(); }

private:
    boost::asio::awaitable<net::response> serve(net::request message);
    boost::asio::awaitable<net::response> serve_get(std::string path);
    boost::asio::awaitable<net::response> serve_post(net::request message);
    bool is_authorised(const net::request& message) const;

    std::string token_;
    actions callbacks_;
    net::http_server server_;
};

/** \brief A JSON response. */
net::response json_response(int status, const boost::json::value& body);

} // namespace lavenderhoist::node
