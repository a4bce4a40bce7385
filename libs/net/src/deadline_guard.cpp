#include "lavenderhoist/net/deadline_guard.hpp"

namespace lavenderhoist::net {

struct deadline_guard::state {
    state(boost::asio::ip::tcp::socket& guarded, time_point deadline)
        : socket(&guarded), alarm(guarded.get_executor(), deadline) {}

    boost::asio::ip::tcp::socket* socket; // null once the guard is destroyed
    timer alarm;
    bool expired{false};
};

deadline_guard::deadline_guard(boost::asio::ip::tcp::socket& socket, time_point deadline)
    : state_(std::make_shared<state>(socket, deadline)) {
    state_->alarm.async_wait([shared = state_](const boost::system::error_code& failed) {
        if (failed || shared->socket == nullptr) {
            return;
        }
        shared->expired = true;
        boost::system::error_code ignored;
        shared->socket->close(ignored);
    });
}

deadline_guard::~deadline_guard() {
    state_->socket = nullptr;
    state_->alarm.cancel();
}

bool deadline_guard::expired() const noexcept {
    return state_->expired;
}

} // namespace lavenderhoist::net
