#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/sleep.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using logging::log_line;
using logging::severity;

namespace {

/** For one health check: a target that is busy answers it late. */
constexpr duration confirm_timeout = std::chrono::seconds(1);

/** Backoff between two health checks of an unconfirmed target. */
constexpr duration min_confirm_backoff = std::chrono::milliseconds(200);
constexpr duration max_confirm_backoff = std::chrono::milliseconds(1'600);

constexpr net::http_client::limits health_limits{1, 64U << 10U};

} // namespace

asio::awaitable<void> control_worker::confirm_loop() {
    auto backoff = min_confirm_backoff;
    while (true) {
        const auto* const asked = target_.unconfirmed();
        if (!restored_ || !table_ || asked == nullptr) {
            backoff = min_confirm_backoff;
            confirm_wakeup_.expires_at(time_point::max());
            boost::system::error_code ignored;
            co_await confirm_wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const auto* const rules = table_->find_service(asked->service);
        auto path = rules == nullptr ? std::string() : rules->health_path;
        auto start = *asked;
        if (co_await confirm(std::move(start), std::move(path))) {
            continue;
        }
        co_await net::sleep_for(context_.get_executor(), backoff);
        backoff = std::min(backoff * 2, max_confirm_backoff);
    }
}

asio::awaitable<bool> control_worker::confirm(mesh::announcement asked, std::string health_path) {
    std::optional<std::string> confirmed_id =
        asked.id; // no route leads to it, or it has no health check
    if (!health_path.empty()) {
        net::http_client target(context_.get_executor(), endpoint_of(asked.address), health_limits);
        auto question = codec_.make_health_check(health_path);
        question.host = config::to_string(asked.address);
        const auto answer =
            co_await target.exchange(question, runtime_clock::now() + confirm_timeout, nullptr);
        confirmed_id = answer.code ? std::nullopt : codec_.parse_health(answer.answer);
        log_line(severity::info, "target asked whether it accepts requests",
                 {{"target", asked.id},
                  {"born_ms", asked.started_at_ms},
                  {"error", answer.code.message()},
                  {"status", answer.answer.status},
                  {"answered_by", confirmed_id.value_or("")}});
    }
    if (!confirmed_id || !target_.on_confirmed(*confirmed_id, asked.started_at_ms)) {
        co_return false;
    }
    apply_target();
    co_return true;
}

} // namespace lavenderhoist::agent
