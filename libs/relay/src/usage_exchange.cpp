#include "lavenderhoist/relay/usage_exchange.hpp"

#include "lavenderhoist/logging/log.hpp"

#include <boost/json/object.hpp>

#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Least time between two log lines while organisations are limited. */
constexpr duration log_interval = std::chrono::seconds(1);

} // namespace

usage_exchange::usage_exchange(const std::string& data_centre, const std::string& node_id,
                               quota::quota_gate& gate, quota::usage_board::quota_finder find_quota)
    : gate_(gate), board_(data_centre, node_id), find_quota_(std::move(find_quota)) {}

std::string usage_exchange::local_report() const {
    return quota::encode(gate_.report(runtime_clock::now()));
}

std::string usage_exchange::collect_local() {
    const auto now = runtime_clock::now();
    board_.on_report(gate_.report(now), now);
    apply(board_.find_allowances(find_quota_, now));
    return quota::encode(board_.data_centre_report(now));
}

std::optional<std::string> usage_exchange::on_report(std::string_view text) {
    const auto report = quota::decode_usage_report(text);
    if (!report) {
        return std::nullopt;
    }
    const auto now = runtime_clock::now();
    board_.on_report(*report, now);
    return report->is_data_centre ? quota::encode(board_.data_centre_report(now))
                                  : quota::encode(board_.find_allowances(find_quota_, now));
}

bool usage_exchange::apply_allowances(std::string_view text) {
    auto found = quota::decode_allowances(text);
    if (!found) {
        return false;
    }
    apply(std::move(*found));
    return true;
}

void usage_exchange::apply(quota::allowances found) {
    const auto now = runtime_clock::now();
    boost::json::object limited;
    for (const auto& [organisation, each] : found) {
        if (each.share < 1) {
            limited[organisation] = each.share;
        }
    }
    const bool has_ended = limited.empty() && has_limited_;
    if (has_ended || (!limited.empty() && now - logged_at_ >= log_interval)) {
        has_limited_ = !limited.empty();
        logged_at_ = now;
        logging::log_line(logging::severity::info, "organisations limited",
                          {{"admitted_shares", std::move(limited)}});
    }
    gate_.set_allowances(std::move(found), now);
}

} // namespace lavenderhoist::relay
