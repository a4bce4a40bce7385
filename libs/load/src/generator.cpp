#include "lavenderhoist/load/generator.hpp"

#include "lavenderhoist/core/key.hpp"
#include "lavenderhoist/net/sleep.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <utility>

namespace lavenderhoist::load {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_connections = 4'000;
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr int min_error_status = 400;

double factor_at(const stream& what, duration elapsed) {
    double factor = 1;
    for (const auto& change : what.changes) {
        if (elapsed >= change.at) {
            factor = change.factor;
        }
    }
    return factor;
}

/** The title of problem details; "no problem details" if the body has none. */
std::string title_of(const std::string& body) {
    constexpr std::string_view member = "\"title\":\"";
    const auto begin = body.find(member);
    if (begin == std::string::npos) {
        return "no problem details";
    }
    const auto text = begin + member.size();
    return body.substr(text, body.find('"', text) - text);
}

} // namespace

generator::generator(plan what) : plan_(std::move(what)), random_(plan_.seed) {
    for (const auto& entry : plan_.entries) {
        const net::http_client::limits bounds{max_connections, max_body_bytes};
        entries_.push_back(
            std::make_unique<net::http_client>(context_.get_executor(), entry, bounds));
    }
}

generator::~generator() = default;

void generator::run() {
    started_ = runtime_clock::now();
    for (unsigned i = 0; i < plan_.streams.size(); ++i) {
        net::spawn(context_, send_stream(i));
    }
    context_.run();
}

net::http_client& generator::next_entry() {
    next_entry_ = (next_entry_ + 1) % entries_.size();
    return *entries_[next_entry_];
}

std::string generator::make_key() {
    return key::make(wall_time(), {random_(), random_()}).to_string();
}

asio::awaitable<void> generator::send_stream(unsigned index) {
    const auto& what = plan_.streams[index];
    auto due = started_;
    std::uint64_t number = 0;
    while (true) {
        const double rate = what.rate * factor_at(what, due - started_);
        if (rate <= 0) {
            due += std::chrono::milliseconds(10);
        } else {
            std::exponential_distribution<double> gap(rate);
            due +=
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)));
        }
        if (due - started_ >= plan_.length) {
            co_return;
        }
        if (due > runtime_clock::now()) {
            co_await net::sleep_until(context_.get_executor(), due);
        }
        if (rate > 0) {
            net::spawn(context_, send_one(index, ++number));
        }
    }
}

asio::awaitable<void> generator::send_one(unsigned index, std::uint64_t number) {
    const auto& what = plan_.streams[index];
    const auto began = runtime_clock::now();
    const auto deadline = began + what.timeout;
    const auto nonce = "nonce-" + what.name + "-" + std::to_string(number) + ";";
    sample result;
    result.stream = index;
    result.sent = began - started_;
    net::request message{what.method, what.path, {}, nonce + what.body};
    message.fields.push_back({"lh-caller", what.caller});
    const auto timeout = std::chrono::duration_cast<milliseconds>(what.timeout);
    message.fields.push_back({"lh-timeout-ms", std::to_string(timeout.count())});
    if (what.has_key) {
        result.key = make_key();
        message.fields.push_back({"idempotency-key", result.key});
    }
    for (int i = 0; i <= what.max_retries && runtime_clock::now() < deadline; ++i) {
        ++result.attempts;
        const auto answered = co_await next_entry().exchange(message, deadline, nullptr);
        result.end = classify(answered, nonce);
        if (result.end == ending::good) {
            break;
        }
        result.reason = answered.code ? answered.code.message() : title_of(answered.answer.body);
    }
    result.latency = runtime_clock::now() - began;
    samples_.push_back(std::move(result));
}

ending generator::classify(const net::exchange_result& result, const std::string& nonce) const {
    if (result.code) {
        return ending::lost;
    }
    const auto outcome = net::find_header(result.answer.fields, "lh-outcome");
    if (result.answer.status < min_error_status) {
        const bool is_matching = result.answer.body.find(nonce) != std::string::npos;
        return is_matching ? ending::good : ending::wrong;
    }
    const bool did_not_run = outcome == "refused" || outcome == "not-run";
    return did_not_run ? ending::refused : ending::unknown;
}

} // namespace lavenderhoist::load
