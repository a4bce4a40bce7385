#include "lavenderhoist/metrics/latency_histogram.hpp"

#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include <tuple>

namespace lavenderhoist::metrics {
namespace {

namespace hist = boost::histogram;

constexpr unsigned bins = 140;
constexpr double lowest_ms = 0.05;
constexpr double highest_ms = 60'000;

using log_axis = hist::axis::regular<double, hist::axis::transform::log>;
using counts = hist::histogram<std::tuple<log_axis>, hist::dense_storage<std::uint64_t>>;

counts make_counts() {
    return hist::make_histogram_with(hist::dense_storage<std::uint64_t>(),
                                     log_axis(bins, lowest_ms, highest_ms));
}

} // namespace

struct latency_histogram::implementation {
    counts bins{make_counts()};
};

latency_histogram::latency_histogram() : implementation_(std::make_unique<implementation>()) {}
latency_histogram::latency_histogram(const latency_histogram& other)
    : implementation_(std::make_unique<implementation>(*other.implementation_)) {}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(const latency_histogram& other) {
    *implementation_ = *other.implementation_;
    return *this;
}
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(duration latency) {
    implementation_->bins(std::chrono::duration<double, std::milli>(latency).count());
}

void latency_histogram::merge(const latency_histogram& other) {
    implementation_->bins += other.implementation_->bins;
}

std::uint64_t latency_histogram::count() const {
    std::uint64_t total = 0;
    for (const auto& bin : hist::indexed(implementation_->bins, hist::coverage::all)) {
        total += *bin;
    }
    return total;
}

double latency_histogram::quantile_ms(double share) const {
    const auto total = count();
    const auto wanted = static_cast<std::uint64_t>(share * static_cast<double>(total));
    std::uint64_t below = 0;
    for (const auto& bin : hist::indexed(implementation_->bins, hist::coverage::all)) {
        below += *bin;
        if (below > wanted || (below == total && total > 0)) {
            return std::min(bin.bin(0).upper(), highest_ms);
        }
    }
    return 0;
}

boost::json::object latency_histogram::to_json() const {
    boost::json::array filled;
    for (const auto& bin : hist::indexed(implementation_->bins, hist::coverage::all)) {
        if (*bin > 0) {
            const auto upper_ms = std::min(bin.bin(0).upper(), highest_ms);
            filled.emplace_back(boost::json::array{upper_ms, static_cast<std::uint64_t>(*bin)});
        }
    }
    return {{"count", count()},
            {"p50_ms", quantile_ms(0.5)},
            {"p99_ms", quantile_ms(0.99)},
            {"bins_upper_ms_and_count", std::move(filled)}};
}

} // namespace lavenderhoist::metrics
