#include "lavenderhoist/agent/store_readers.hpp"

#include "lavenderhoist/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lavenderhoist::agent {
namespace {

/** Delays until a node that is passed over is tried again; doubled with each further failure. */
constexpr duration no_response_delay = std::chrono::seconds(2);
constexpr duration no_store_delay = std::chrono::milliseconds(500);
constexpr int max_doublings = 4;

} // namespace

store_readers::store_readers(std::string node_id, std::string data_centre)
    : node_id_(std::move(node_id)), data_centre_(std::move(data_centre)) {}

void store_readers::set_hosts(std::span<const mesh::host_record> hosts) {
    const std::pair local_order(stable_hash(node_id_), std::string_view(node_id_));
    std::vector<preceding_node> next;
    for (const auto& host : hosts) {
        const std::pair order(stable_hash(host.id), std::string_view(host.id));
        if (host.data_centre != data_centre_ || host.node_stopping || order >= local_order ||
            host.state == mesh::target_state::gone) {
            continue;
        }
        const auto* const known = find(host.id);
        next.push_back(known != nullptr ? *known : preceding_node{order.first, host.id});
    }
    std::ranges::sort(next, {},
                      [](const preceding_node& each) { return std::pair(each.order, each.id); });
    preceding_ = std::move(next);
}

store_readers::preceding_node* store_readers::find(std::string_view node) noexcept {
    const auto found = std::ranges::find(preceding_, node, &preceding_node::id);
    return found == preceding_.end() ? nullptr : &*found;
}

bool store_readers::is_reader() const noexcept {
    return std::ranges::count(preceding_, 0, &preceding_node::failures) <
           static_cast<std::ptrdiff_t>(readers_per_data_centre);
}

bool store_readers::is_first_reader() const noexcept {
    return std::ranges::count(preceding_, 0, &preceding_node::failures) == 0;
}

bool store_readers::is_first_choice() const noexcept {
    return preceding_.size() < readers_per_data_centre;
}

std::optional<std::string> store_readers::next_node(time_point now) {
    for (const auto& each : preceding_) {
        if (each.failures > 0 && each.retry_at <= now) {
            return each.id;
        }
    }
    std::vector<const preceding_node*> readers;
    for (const auto& each : preceding_) {
        if (each.failures == 0 && readers.size() < readers_per_data_centre) {
            readers.push_back(&each);
        }
    }
    if (readers.empty()) {
        return std::nullopt;
    }
    return readers.at(++turn_ % readers.size())->id;
}

void store_readers::on_response(std::string_view node, bool reads_store, time_point now) {
    auto* const known = find(node);
    if (known == nullptr) {
        return;
    }
    if (!reads_store) {
        on_failure(node, no_store_delay, now);
        return;
    }
    known->failures = 0;
}

void store_readers::on_no_response(std::string_view node, time_point now) {
    on_failure(node, no_response_delay, now);
}

void store_readers::on_failure(std::string_view node, duration first_delay, time_point now) {
    auto* const known = find(node);
    if (known == nullptr) {
        return;
    }
    known->retry_at = now + first_delay * (1 << std::min(known->failures, max_doublings));
    ++known->failures;
}

} // namespace lavenderhoist::agent
