// target_worker: calls that the local target makes; this node is their entry.

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/call/problem.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/retry/retry_after.hpp"
#include "lavenderhoist/serving/target_worker.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;

namespace {

constexpr std::string_view announce_path = "/_lh/announce";
constexpr std::string_view context_field = "lh-context";
constexpr duration orphan_timeout = std::chrono::seconds(10);

} // namespace

admission_gate& target_worker::callee_gate(const std::string& callee) {
    auto& gate = callee_gates_[callee];
    if (!gate) {
        gate = std::make_unique<admission_gate>(worker_.executor(), std::max(1, callee_slots_));
    }
    return *gate;
}

std::shared_ptr<parent_call> target_worker::find_parent(const net::request& message,
                                                        time_point now) {
    const auto found = parents_.find(net::find_header(message.fields, context_field));
    if (found != parents_.end()) {
        return found->second;
    }
    // The target makes this call for no request, or did not forward the context: lowest rank, no
    // retry credits.
    counters_.count("egress.without_context");
    const auto orphan = std::make_shared<parent_call>();
    orphan->context.root_id = front_.make_request_id();
    orphan->context.caller = "target:" + state_.settings.id;
    orphan->context.class_name = "none";
    orphan->context.importance = admission::make_priority(0, stable_hash(orphan->context.root_id));
    orphan->context.deadline = now + orphan_timeout;
    orphan->cancelled = std::make_shared<net::cancellation>();
    return orphan;
}

checked_request target_worker::make_child(const parent_call& parent, net::request message) {
    const auto now = runtime_clock::now();
    const auto config = state_.view.read([](const routing_view& view) { return view.config; });
    auto checked = front_.check(std::move(message), parent.context.caller, config, now);
    if (std::holds_alternative<call_answer>(checked)) {
        return checked;
    }
    // Caller, class, importance and deadline are those of the root request; the child may only have
    // an earlier deadline.
    auto& child = std::get<accepted_request>(checked).root;
    child.root_id = parent.context.root_id;
    child.class_name = parent.context.class_name;
    child.caller = parent.context.caller;
    child.importance = parent.context.importance;
    child.deadline = std::min(child.deadline, parent.context.deadline);
    child.depth = parent.context.depth + 1;
    return checked;
}

asio::awaitable<net::response> target_worker::serve_egress(net::request message,
                                                           net::cancellation_ptr cancelled) {
    if (message.path == announce_path) {
        co_return accept_announcement(message);
    }
    counters_.count("egress.calls");
    const auto parent = find_parent(message, runtime_clock::now());
    auto checked = make_child(*parent, std::move(message));
    if (auto* const rejected = std::get_if<call_answer>(&checked)) {
        co_return render_for_caller(*rejected, parent->context.root_id);
    }
    auto& child = std::get<accepted_request>(checked).root;
    // The child is cancelled when the target drops its connection and when the parent ends.
    const net::cancel_scope scope(*parent->cancelled, [cancelled] { cancelled->cancel(); });
    const auto answer = co_await call_callee(parent, child, cancelled);
    co_return render_for_caller(answer, parent->context.root_id);
}

asio::awaitable<call_answer> target_worker::call_callee(std::shared_ptr<parent_call> parent,
                                                        call request,
                                                        net::cancellation_ptr cancelled) {
    if (!state_.settings.policy) {
        co_return co_await dispatcher_.dispatch(request, parent->credits, std::move(cancelled));
    }
    auto& gate = callee_gate(request.service);
    const auto admitted = co_await gate.enter(request, cancelled);
    call_answer answer;
    if (admitted.is_admitted) {
        answer = co_await dispatcher_.dispatch(request, parent->credits, std::move(cancelled));
        gate.leave(admitted, admission::completion::answered);
    } else {
        counters_.count("egress.callee_limit");
        const auto wait =
            retry::spread_retry_after(admitted.retry_after, stable_hash(request.root_id));
        const auto cause =
            admitted.reason == errc::queue_full || admitted.reason == errc::overloaded
                ? errc::callee_limit
                : admitted.reason;
        answer = make_failure(outcome::refused, cause, step::route, request.service, wait);
    }
    const int level = std::max(dispatcher_.min_target_level(request.service, request.message.path),
                               gate.controller().level());
    downstream_levels_[parent->route][request.service].record(level, runtime_clock::now());
    co_return answer;
}

} // namespace lavenderhoist::node
