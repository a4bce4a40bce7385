#include "lavenderhoist/relay/crash_watch.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/logging/log.hpp"
#include "lavenderhoist/relay/relay_request.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** How long before the end of a target was noticed it may have left a request unanswered. */
constexpr duration unanswered_lifetime = std::chrono::seconds(10);

constexpr std::size_t max_unanswered = 4'096;

} // namespace

quarantine::request_digests digests_of(const relay_request& request) {
    return quarantine::digests_of(request.message.method, request.message.path, request.caller,
                                  request.message.body.str());
}

void crash_watch::on_unanswered(const quarantine::request_digests& request) {
    unanswered_.push_back({request, runtime_clock::now()});
    if (unanswered_.size() > max_unanswered) {
        unanswered_.pop_front();
    }
}

void crash_watch::on_completed(const quarantine::request_digests& request) {
    const auto now = wall_time();
    for (const auto digest : request.all()) {
        const auto cleared = ledger_.on_completed(digest, now);
        cleared_.insert(cleared_.end(), cleared.begin(), cleared.end());
    }
}

void crash_watch::on_connected() noexcept {
    if (std::exchange(has_ended_, false)) {
        ++ends_;
    }
}

void crash_watch::on_target_ended(std::string_view target_id, std::int64_t started_at_ms,
                                  std::vector<quarantine::request_digests> running) {
    const auto oldest = runtime_clock::now() - unanswered_lifetime;
    for (const auto& each : std::exchange(unanswered_, {})) {
        if (each.at >= oldest) {
            running.push_back(each.request);
        }
    }
    has_ended_ = true;
    if (running.empty()) {
        return;
    }
    std::ranges::sort(running);
    running.erase(std::unique(running.begin(), running.end()), running.end());
    std::vector<std::uint64_t> digests;
    for (const auto& each : running) {
        const auto both = each.all();
        digests.insert(digests.end(), both.begin(), both.end());
    }
    // Requests of several callers may share a digest.
    std::ranges::sort(digests);
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    const auto now = wall_time();
    const auto end = mix(stable_hash(node_id_) ^ mix(stable_hash(target_id)) ^
                         mix(static_cast<std::uint64_t>(started_at_ms) ^ mix(ends_)));
    news found{ledger_.on_end(end, digests, now), {}};
    boost::json::array quarantined;
    for (const auto& each : found.suspicions) {
        const auto grounds = ledger_.grounds(each.request, now);
        found.quarantined.insert(found.quarantined.end(), grounds.begin(), grounds.end());
        if (!grounds.empty()) {
            quarantined.emplace_back(each.request);
        }
    }
    logging::log_line(logging::severity::warning, "target ended",
                      {{"target", target_id},
                       {"born_ms", started_at_ms},
                       {"requests_at_work", running.size()},
                       {"suspects", found.suspicions.size()},
                       {"quarantined", std::move(quarantined)}});
    if (tell_ && !found.suspicions.empty()) {
        tell_(std::move(found));
    }
}

void crash_watch::merge(std::span<const quarantine::suspicion> found) {
    const auto now = wall_time();
    const auto news = ledger_.merge(found, now);
    if (news == 0) {
        return;
    }
    const auto quarantined = std::ranges::count_if(found, [this, now](const auto& each) {
        return !each.is_cleared && ledger_.is_quarantined(each.request, now);
    });
    logging::log_line(logging::severity::info, "suspects of other nodes",
                      {{"received", found.size()}, {"new", news}, {"quarantined", quarantined}});
}

bool crash_watch::is_quarantined(const relay_request& request) const {
    if (ledger_.is_empty()) {
        return false;
    }
    const auto now = wall_time();
    return std::ranges::any_of(digests_of(request).all(), [this, now](std::uint64_t digest) {
        return ledger_.is_quarantined(digest, now);
    });
}

void crash_watch::tell_cleared() {
    if (cleared_.empty() || !tell_) {
        return;
    }
    tell_({std::exchange(cleared_, {}), {}});
}

std::vector<quarantine::suspicion> crash_watch::suspicions() const {
    return ledger_.suspicions(wall_time());
}

} // namespace lavenderhoist::relay
