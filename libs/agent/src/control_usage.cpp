#include "lavenderhoist/agent/control_worker.hpp"

#include "lavenderhoist/agent/internal/endpoint_of.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace lavenderhoist::agent {

namespace asio = boost::asio;
using logging::log_line;
using logging::severity;

namespace {

/** Between two reports of usage: what a sudden rise of demand admits beyond a quota grows with it.
 */
constexpr duration usage_interval = std::chrono::milliseconds(250);

/** For one exchange with a collector. */
constexpr duration usage_timeout = std::chrono::milliseconds(400);

/** How long the control thread waits for the data thread. */
constexpr duration data_timeout = std::chrono::milliseconds(400);

} // namespace

asio::awaitable<void> control_worker::usage_loop() {
    while (true) {
        co_await net::sleep_for(context_.get_executor(), usage_interval);
        if (!table_ || !table_->has_quotas()) {
            continue;
        }
        const auto collector =
            collectors_.find(*listed_hosts_, settings_.data_centre, runtime_clock::now());
        if (collector && *collector != settings_.id) {
            co_await report_usage(*collector);
        } else {
            co_await collect_usage();
        }
    }
}

asio::awaitable<std::optional<std::string>> control_worker::ask_data(data_question ask) {
    const auto done = std::make_shared<net::signal>(context_.get_executor());
    const auto text = std::make_shared<std::optional<std::string>>();
    ask([this, done, text](std::string answer) {
        asio::post(context_, [done, text, answer = std::move(answer)]() mutable {
            *text = std::move(answer);
            done->set();
        });
    });
    co_await done->wait(runtime_clock::now() + data_timeout);
    co_return std::exchange(*text, std::nullopt);
}

asio::awaitable<std::optional<std::string>> control_worker::exchange_usage(std::string node,
                                                                           std::string report) {
    const auto* const known = directory_.find(node);
    if (known == nullptr || known->record.call_address.port == 0) {
        co_return std::nullopt;
    }
    net::request request{"POST", std::string(relay::data_worker::usage_path), {}, {}};
    request.body = std::move(report);
    const auto answer =
        co_await peers_.exchange(endpoint_of(known->record.call_address), request,
                                 runtime_clock::now() + usage_timeout, usage_timeout, nullptr);
    if (answer.code || answer.answer.body.empty()) {
        collectors_.on_no_response(node, runtime_clock::now());
        log_line(severity::info, "usage not exchanged",
                 {{"peer", node}, {"reason", answer.code ? answer.code.message() : "no answer"}});
        co_return std::nullopt;
    }
    co_return answer.answer.body;
}

asio::awaitable<void> control_worker::report_usage(std::string collector) {
    data_question ask = [this](auto take) { data_.take_usage_report(std::move(take)); };
    const auto report = co_await ask_data(std::move(ask));
    if (!report) {
        co_return;
    }
    if (auto found = co_await exchange_usage(std::move(collector), *report)) {
        data_.set_allowances(std::move(*found));
    }
}

asio::awaitable<void> control_worker::collect_usage() {
    data_question ask = [this](auto take) { data_.collect_usage(std::move(take)); };
    const auto report = co_await ask_data(std::move(ask));
    if (!report) {
        co_return;
    }
    for (const auto& data_centre : usage_collectors::data_centres(*listed_hosts_)) {
        // Of two data centres, the first one asks: both learn of each other.
        if (data_centre <= settings_.data_centre) {
            continue;
        }
        const auto peer = collectors_.find(*listed_hosts_, data_centre, runtime_clock::now());
        if (peer) {
            net::spawn(context_, merge_usage_of(*peer, *report));
        }
    }
}

asio::awaitable<void> control_worker::merge_usage_of(std::string collector, std::string report) {
    if (auto theirs = co_await exchange_usage(std::move(collector), std::move(report))) {
        data_.merge_usage_report(std::move(*theirs));
    }
}

} // namespace lavenderhoist::agent
