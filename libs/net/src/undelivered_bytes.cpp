#include "lavenderhoist/net/internal/undelivered_bytes.hpp"

#include <linux/sockios.h>

namespace lavenderhoist::net::internal {
namespace {

/** The command of that name for Asio's io_control(). */
class output_queue_size {
public:
    int name() const noexcept { return SIOCOUTQ; }
    void* data() noexcept { return &bytes_; }
    int bytes() const noexcept { return bytes_; }

private:
    int bytes_{0};
};

} // namespace

std::size_t undelivered_bytes(boost::asio::ip::tcp::socket& socket) {
    output_queue_size queued;
    boost::system::error_code failed;
    socket.io_control(queued, failed);
    return failed ? 0 : static_cast<std::size_t>(queued.bytes());
}

} // namespace lavenderhoist::net::internal
