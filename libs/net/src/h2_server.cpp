#include "lavenderhoist/net/h2_server.hpp"

#include "lavenderhoist/net/h2_connection.hpp"
#include "lavenderhoist/net/internal/h2_callbacks.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavenderhoist::net {

namespace asio = boost::asio;
using asio::redirect_error;
using asio::use_awaitable;

namespace {

/** Delay before accepting again after a failure, most likely for lack of file descriptors. */
constexpr duration accept_retry_delay = std::chrono::milliseconds(10);

} // namespace

struct h2_server::shared_state {
    shared_state(tcp::acceptor opened, std::size_t max_body, call_handler answer)
        : acceptor(std::move(opened)), max_body_bytes(max_body), handle(std::move(answer)) {}

    static asio::awaitable<void> accept_loop(std::shared_ptr<shared_state> self);

    tcp::acceptor acceptor;
    std::size_t max_body_bytes;
    call_handler handle;
    memory_pool_ptr memory;
    std::function<response()> refusal;
    std::set<std::shared_ptr<connection>> connections;
    std::size_t in_flight{0};
    bool draining{false};
};

/** The server end of one connection. */
class h2_server::connection final : public h2_connection {
public:
    connection(tcp::socket socket, std::shared_ptr<shared_state> owner)
        : h2_connection(std::move(socket), owner->max_body_bytes, owner->memory),
          owner_(std::move(owner)) {
        set_session(internal::make_session(*this, true));
    }

    void drain() {
        // The notice carries the maximum stream id instead of the last one received: streams in
        // transit are still served, and streams above an id fixed now could arrive and be processed
        // before the frame is written.
        nghttp2_submit_shutdown_notice(session());
        flush();
    }

    /** True from an answer until the peer has received all that was sent. */
    bool has_undelivered_answers() {
        has_answered_ = has_answered_ && has_undelivered_output();
        return has_answered_;
    }

protected:
    void on_message(std::int32_t id, stream& finished) override {
        request message;
        message.method = std::move(finished.method);
        message.path = std::move(finished.path);
        message.host = std::move(finished.host);
        message.fields = std::move(finished.fields);
        finished.charge.retain();
        message.body = shared_body(std::move(finished.body), std::move(finished.charge));
        auto received =
            std::make_shared<call>(std::static_pointer_cast<connection>(shared_from_this()), id);
        running_.emplace(id, received);
        ++owner_->in_flight;
        received_.emplace_back(std::move(message), std::move(received));
        if (received_.size() == 1) {
            asio::post(socket().get_executor(),
                       [self = std::static_pointer_cast<connection>(shared_from_this())] {
                           self->begin_received();
                       });
        }
    }

    void on_refused(std::int32_t id, stream& /*refused*/) override {
        // The client resets the stream when it has the answer. Resetting it here would drop the
        // answer: nghttp2 sends nothing else on a stream whose reset is queued.
        answer(id, owner_->refusal());
    }

    void on_stream_end(std::int32_t id, stream& /*ended*/, std::uint32_t /*error_code*/) override {
        const auto found = running_.extract(id);
        if (const auto ended = found.empty() ? nullptr : found.mapped().lock()) {
            ended->cancel();
        }
    }

    void on_closed() override {
        owner_->connections.erase(std::static_pointer_cast<connection>(shared_from_this()));
    }

private:
    /** A request of this connection. */
    class call final : public h2_call {
    public:
        call(std::shared_ptr<connection> owner, std::int32_t id)
            : owner_(std::move(owner)), id_(id) {}
        call(const call&) = delete;
        call& operator=(const call&) = delete;
        ~call() override { --owner_->owner_->in_flight; }

        void answer(response message) override {
            cancel_handler_ = nullptr;
            owner_->answer(id_, std::move(message));
        }

        void cancel() {
            is_cancelled_ = true;
            if (const auto handler = std::exchange(cancel_handler_, nullptr)) {
                handler();
            }
        }

        bool is_cancelled() const noexcept { return is_cancelled_; }

    private:
        std::shared_ptr<connection> owner_;
        std::int32_t id_;
        bool is_cancelled_{false};
    };

    /** Begins what has arrived, once all that could be read has been read: under overload the reset
     * of a request is often read with it. */
    void begin_received() {
        for (auto& [message, received] : std::exchange(received_, {})) {
            if (!received->is_cancelled()) {
                owner_->handle(std::move(message), std::move(received));
            }
        }
    }

    void answer(std::int32_t id, response message) {
        running_.erase(id);
        auto* const target = find_stream(id);
        if (target == nullptr || !is_open()) {
            return;
        }
        memory_charge charge;
        if (memory() && message.body.size() >= memory_charge::min_counted_bytes) {
            charge = memory_charge(memory(), nullptr);
            charge.retain(); // answers that are ready are delivered
            charge.resize(message.body.size());
        }
        target->outgoing_body = shared_body(std::move(message.body), std::move(charge));
        headers fields{{":status", std::to_string(message.status)}};
        fields.insert(fields.end(), message.fields.begin(), message.fields.end());
        const auto encoded = internal::to_nghttp2(fields);
        const auto provider = internal::body_provider();
        has_answered_ = true;
        nghttp2_submit_response(session(), id, encoded.data(), encoded.size(),
                                target->outgoing_body.empty() ? nullptr : &provider);
        flush();
    }

    std::shared_ptr<shared_state> owner_;
    std::unordered_map<std::int32_t, std::weak_ptr<call>> running_;
    std::vector<std::pair<request, std::shared_ptr<call>>> received_; ///< Not begun yet.
    bool has_answered_{false}; ///< Since has_undelivered_answers() was last found false.
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
            co_await sleep_for(acceptor.get_executor(), accept_retry_delay);
            continue;
        }
        auto made = std::make_shared<connection>(std::move(accepted), self);
        self->connections.insert(made);
        made->start();
        if (self->draining) {
            made->drain();
        }
    }
}

namespace {

asio::awaitable<void> run_handler(h2_server::handler handle, request message, h2_call_ptr call,
                                  cancellation_ptr cancelled) {
    call->answer(co_await handle(std::move(message), std::move(cancelled)));
}

} // namespace

h2_server::h2_server(tcp::acceptor acceptor, std::size_t max_body_bytes, call_handler handle)
    : state_(
          std::make_shared<shared_state>(std::move(acceptor), max_body_bytes, std::move(handle))) {}

h2_server::h2_server(tcp::acceptor acceptor, std::size_t max_body_bytes, handler handle)
    : h2_server(std::move(acceptor), max_body_bytes, call_handler()) {
    const auto executor = state_->acceptor.get_executor();
    state_->handle = [executor, handle = std::move(handle)](request message, h2_call_ptr call) {
        const auto cancelled = std::make_shared<cancellation>();
        call->on_cancelled([cancelled] { cancelled->cancel(); });
        spawn(executor, run_handler(handle, std::move(message), std::move(call), cancelled));
    };
}

h2_server::~h2_server() {
    close();
}

void h2_server::set_memory(memory_pool_ptr memory, std::function<response()> refusal) {
    state_->memory = std::move(memory);
    state_->refusal = std::move(refusal);
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
        open->shut_down();
    }
}

std::size_t h2_server::requests_in_flight() const noexcept {
    return state_->in_flight;
}

std::size_t h2_server::undelivered_connections() const {
    const auto count = std::ranges::count_if(
        state_->connections, [](const auto& open) { return open->has_undelivered_answers(); });
    return static_cast<std::size_t>(count);
}

std::size_t h2_server::open_connections() const noexcept {
    return state_->connections.size();
}

} // namespace lavenderhoist::net
