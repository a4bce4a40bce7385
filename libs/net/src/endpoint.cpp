#include "lavenderhoist/net/endpoint.hpp"

namespace lavenderhoist::net {

tcp::endpoint make_endpoint(const std::string& host, std::uint16_t port) {
    boost::system::error_code failed;
    const auto ip = boost::asio::ip::make_address(host, failed);
    if (failed) {
        return {};
    }
    return {ip, port};
}

tcp::acceptor listen(const boost::asio::any_io_executor& executor, const tcp::endpoint& where) {
    tcp::acceptor acceptor(executor);
    acceptor.open(where.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(where);
    acceptor.listen();
    return acceptor;
}

} // namespace lavenderhoist::net
