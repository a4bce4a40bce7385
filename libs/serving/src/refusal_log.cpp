#include "lavenderhoist/serving/refusal_log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {

void refusal_log::add(refusal entry) {
    entries_.push_back(std::move(entry));
    if (entries_.size() > max_entries) {
        entries_.pop_front();
    }
}

std::optional<refusal> refusal_log::find(std::string_view request_id) const {
    const auto found = std::ranges::find(entries_, request_id, &refusal::request_id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return *found;
}

boost::json::object to_json(const refusal& entry) {
    return {{"request", entry.request_id},
            {"caller", entry.caller},
            {"service", entry.service},
            {"class", entry.class_name},
            {"outcome", to_string(entry.result)},
            {"cause", entry.failure.code.message()},
            {"step", to_string(entry.failure.where)},
            {"peer", entry.failure.peer},
            {"importance", entry.importance},
            {"level", entry.level}};
}

} // namespace lavenderhoist::node
