#include "lavenderhoist/metrics/recorder.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::metrics {
namespace {

void add_to(std::map<std::string, std::uint64_t, std::less<>>& counters, std::string_view name,
            std::uint64_t amount) {
    const auto found = counters.find(name);
    if (found == counters.end()) {
        counters.emplace(name, amount);
    } else {
        found->second += amount;
    }
}

boost::json::object
counters_to_json(const std::map<std::string, std::uint64_t, std::less<>>& counters) {
    boost::json::object result;
    for (const auto& [name, value] : counters) {
        result[name] = value;
    }
    return result;
}

} // namespace

void recorder::count(std::string_view name, std::uint64_t amount) {
    add_to(counters_, name, amount);
}

void recorder::observe(std::string_view class_name, std::string_view caller, outcome result,
                       duration latency) {
    observe_in(classes_, class_name, result, latency);
    const bool is_known = callers_.contains(caller);
    observe_in(callers_, is_known || callers_.size() < max_callers ? caller : "other", result,
               latency);
}

void recorder::observe_in(series_map& all, std::string_view name, outcome result,
                          duration latency) {
    auto found = all.find(name);
    if (found == all.end()) {
        found = all.emplace(std::string(name), series{}).first;
    }
    add_to(found->second.outcomes, to_string(result), 1);
    if (result == outcome::completed) {
        found->second.completed.add(latency);
    }
}

void recorder::merge_into(series_map& all, const series_map& others) {
    for (const auto& [name, other] : others) {
        auto& mine = all[name];
        for (const auto& [result, amount] : other.outcomes) {
            add_to(mine.outcomes, result, amount);
        }
        mine.completed.merge(other.completed);
    }
}

void recorder::merge(const recorder& other) {
    for (const auto& [name, amount] : other.counters_) {
        add_to(counters_, name, amount);
    }
    merge_into(classes_, other.classes_);
    merge_into(callers_, other.callers_);
}

std::uint64_t recorder::counter(std::string_view name) const {
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

boost::json::object recorder::series_to_json(const series_map& all) {
    boost::json::object result;
    for (const auto& [name, one] : all) {
        auto described = one.completed.to_json();
        described["outcomes"] = counters_to_json(one.outcomes);
        result[name] = std::move(described);
    }
    return result;
}

boost::json::object recorder::to_json() const {
    return {{"counters", counters_to_json(counters_)},
            {"classes", series_to_json(classes_)},
            {"callers", series_to_json(callers_)}};
}

} // namespace lavenderhoist::metrics
