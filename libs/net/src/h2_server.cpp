#include "lavenderhoist/net/h2_server.hpp"

#include "lavenderhoist/net/h2_connection.hpp"
#include "lavenderhoist/net/internal/h2_callbacks.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>
#include <utility>

namespace lavenderhoist::net {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/** Before the next try when accepting has failed: out of descriptors, most likely. */
constexpr duration accept_pause = std::chrono::milliseconds(10);

} // namespace

struct h2_server::shared_state {
    shared_state(tcp::acceptor opened, std::size_t max_body, handler answer)
        : acceptor(std::move(opened)), max_body_bytes(max_body), handle(std::move(answer)) {}

    static asio::awaitable<void> accept_loop(std::shared_ptr<shared_state> self);

    tcp::acceptor acceptor;
    std::size_t max_body_bytes;
    handler handle;
    std::set<std::shared_ptr<connection>> connections;
    std::size_t in_flight{0};
    bool draining{false};
};

/** The server end of one connection. */
class h2_server::connection final : public h2_connection {
public:
    connection(tcp::socket socket, std::shared_ptr<shared_state> owner)
        : h2_connection(std::move(socket), owner->max_body_bytes), owner_(std::move(owner)) {
        adopt(internal::make_session(*this, true));
    }

    void start(const asio::any_io_executor& executor) {
        spawn(executor, read_loop(shared_from_this()));
        flush();
    }

    void drain() {
        const auto last = nghttp2_session_get_last_proc_stream_id(session());
        nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
        flush();
    }

protected:
    void on_message(std::int32_t id, stream& finished) override {
        request message;
        message.method = std::move(finished.method);
        message.path = std::move(finished.path);
        message.fields = std::move(finished.fields);
        message.body = std::move(finished.body);
        const auto cancelled = std::make_shared<cancellation>();
        running_[id] = cancelled;
        const auto self = std::static_pointer_cast<connection>(shared_from_this());
        spawn(owner_->acceptor.get_executor(), answer(self, id, std::move(message), cancelled));
    }

    void on_stream_end(std::int32_t id, stream& /*ended*/, std::uint32_t /*error_code*/) override {
        const auto found = running_.find(id);
        if (found == running_.end()) {
            return;
        }
        const auto cancelled = found->second;
        running_.erase(found);
        cancelled->cancel();
    }

    void on_closed() override {
        owner_->connections.erase(std::static_pointer_cast<connection>(shared_from_this()));
    }

private:
    // A static function, so that the frame holds the connection and not just a pointer to it.
    static asio::awaitable<void> answer(std::shared_ptr<connection> self, std::int32_t id,
                                        request message, cancellation_ptr cancelled) {
        const auto owner = self->owner_;
        ++owner->in_flight;
        const auto answer = co_await owner->handle(std::move(message), cancelled);
        --owner->in_flight;
        self->running_.erase(id);
        auto* const target = self->find_stream(id);
        if (target == nullptr || !self->is_open()) {
            co_return;
        }
        target->outgoing_body = answer.body;
        headers fields{{":status", std::to_string(answer.status)}};
        fields.insert(fields.end(), answer.fields.begin(), answer.fields.end());
        const auto encoded = internal::to_nghttp2(fields);
        const auto provider = internal::body_provider();
        nghttp2_submit_response(self->session(), id, encoded.data(), encoded.size(),
                                answer.body.empty() ? nullptr : &provider);
        self->flush();
    }

    std::shared_ptr<shared_state> owner_;
    std::map<std::int32_t, cancellation_ptr> running_;
};

asio::awaitable<void> h2_server::shared_state::accept_loop(std::shared_ptr<shared_state> self) {
    auto& acceptor = self->acceptor;
    while (acceptor.is_open()) {
        boost::system::error_code failed;
        tcp::socket accepted(acceptor.get_executor());
        co_await acceptor.async_accept(accepted, redirect_error(use_awaitable, failed));
        if (failed == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (failed) {
            co_await sleep_for(acceptor.get_executor(), accept_pause);
            continue;
        }
        auto made = std::make_shared<connection>(std::move(accepted), self);
        self->connections.insert(made);
        made->start(acceptor.get_executor());
        if (self->draining) {
            made->drain();
        }
    }
}

h2_server::h2_server(tcp::acceptor acceptor, std::size_t max_body_bytes, handler handle)
    : state_(
          std::make_shared<shared_state>(std::move(acceptor), max_body_bytes, std::move(handle))) {}

h2_server::~h2_server() {
    close();
}

void h2_server::start() {
    spawn(state_->acceptor.get_executor(), shared_state::accept_loop(state_));
}

void h2_server::drain() {
    state_->draining = true;
    for (const auto& open : state_->connections) {
        open->drain();
    }
}

void h2_server::close() {
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    const auto connections = state_->connections;
    for (const auto& open : connections) {
        open->close();
    }
}

std::size_t h2_server::requests_in_flight() const noexcept {
    return state_->in_flight;
}

std::size_t h2_server::open_connections() const noexcept {
    return state_->connections.size();
}

} // namespace lavenderhoist::net
