#include "lavenderhoist/load/summary.hpp"

#include <algorithm>

namespace lavenderhoist::load {
namespace {

bool is_one_of(std::span<const unsigned> which, unsigned stream) {
    return std::ranges::find(which, stream) != which.end();
}

double quantile_ms(std::vector<duration>& latencies, double fraction) {
    if (latencies.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(latencies.size() - 1);
    const auto place = latencies.begin() + static_cast<std::ptrdiff_t>(last * fraction);
    std::ranges::nth_element(latencies, place);
    return std::chrono::duration<double, std::milli>(*place).count();
}

} // namespace

summary summarise(std::span<const sample> samples, std::span<const unsigned> which, duration from,
                  duration to) {
    summary result;
    std::vector<duration> latencies;
    for (const auto& one : samples) {
        if (!is_one_of(which, one.stream) || one.sent < from || one.sent >= to) {
            continue;
        }
        ++result.sent;
        result.attempts += static_cast<std::size_t>(one.attempts);
        if (one.end != ending::good) {
            ++result.reasons[one.reason];
        }
        switch (one.end) {
        case ending::good:
            ++result.good;
            latencies.push_back(one.latency);
            break;
        case ending::refused:
            ++result.refused;
            break;
        case ending::unknown:
            ++result.unknown;
            break;
        case ending::lost:
            ++result.lost;
            break;
        case ending::wrong:
            ++result.wrong;
            break;
        }
    }
    result.goodput =
        static_cast<double>(result.good) / std::chrono::duration<double>(to - from).count();
    result.p50_ms = quantile_ms(latencies, 0.5);
    result.p99_ms = quantile_ms(latencies, 0.99);
    return result;
}

std::vector<double> goodput_over_time(std::span<const sample> samples,
                                      std::span<const unsigned> which, duration window,
                                      duration length) {
    std::vector<double> result(static_cast<std::size_t>(length / window), 0);
    const auto per_request = 1 / std::chrono::duration<double>(window).count();
    for (const auto& one : samples) {
        const auto ended = one.sent + one.latency;
        const auto index = static_cast<std::size_t>(ended / window);
        if (one.end == ending::good && is_one_of(which, one.stream) && index < result.size()) {
            result[index] += per_request;
        }
    }
    return result;
}

} // namespace lavenderhoist::load
