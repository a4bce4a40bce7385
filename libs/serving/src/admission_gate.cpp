#include "lavenderhoist/serving/admission_gate.hpp"

#include "lavenderhoist/net/cancel_scope.hpp"

#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

/** A request that is waiting for an admission decision. */
struct admission_gate::waiter {
    explicit waiter(const asio::any_io_executor& executor) : decided(executor) {}

    net::signal decided;
    entry result;
};

admission_gate::admission_gate(asio::any_io_executor executor, int slots)
    : executor_(std::move(executor)), controller_(slots) {}

asio::awaitable<admission_gate::entry> admission_gate::enter(const call& request,
                                                             net::cancellation_ptr cancelled) {
    const auto id = ++last_id_;
    const auto waiting = std::make_shared<waiter>(executor_);
    waiting->result.id = id;
    waiters_[id] = waiting;
    const admission::request_info info{id, request.importance, request.depth > 0, request.deadline};
    apply(controller_.on_arrival(info, runtime_clock::now()));
    if (waiting->decided.is_set()) {
        co_return waiting->result;
    }
    {
        const net::cancel_scope scope(*cancelled, [waiting] { waiting->decided.set(); });
        co_await waiting->decided.wait(request.deadline);
    }
    const bool is_decided = waiting->result.is_admitted || waiting->result.reason != errc::ok;
    if (!is_decided) {
        controller_.on_cancel(id);
        waiters_.erase(id);
        waiting->result.reason =
            cancelled->is_cancelled() ? errc::cancelled : errc::deadline_passed;
    }
    co_return waiting->result;
}

void admission_gate::leave(const entry& admitted, admission::completion how) {
    apply(controller_.on_end(admitted.id, how, runtime_clock::now()));
}

void admission_gate::close() {
    const auto waiters = std::exchange(waiters_, {});
    for (const auto& [id, waiting] : waiters) {
        controller_.on_cancel(id);
        waiting->result.reason = errc::no_target;
        waiting->decided.set();
    }
}

void admission_gate::on_window() {
    apply(controller_.on_window(runtime_clock::now()));
}

void admission_gate::apply(std::span<const admission::decision> decisions) {
    for (const auto& decided : decisions) {
        if (std::holds_alternative<admission::queued>(decided)) {
            continue;
        }
        const auto id = std::visit([](const auto& one) { return one.id; }, decided);
        const auto found = waiters_.find(id);
        if (found == waiters_.end()) {
            continue;
        }
        const auto waiting = found->second;
        waiters_.erase(found);
        if (const auto* const refusal = std::get_if<admission::refused>(&decided)) {
            waiting->result.reason = refusal->reason;
            waiting->result.retry_after = refusal->retry_after;
        } else {
            waiting->result.is_admitted = true;
        }
        waiting->decided.set();
    }
}

} // namespace lavenderhoist::node
