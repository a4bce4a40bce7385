#include "lavenderhoist/quarantine/suspicion.hpp"

#include <boost/json.hpp>

#include <utility>

namespace lavenderhoist::quarantine {

namespace json = boost::json;

namespace {

std::optional<suspicion> decode(const json::value& from) {
    const auto* const object = from.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto number_of = [object](std::string_view name) -> std::optional<std::uint64_t> {
        const auto* const found = object->if_contains(name);
        boost::system::error_code failed;
        const auto value =
            found == nullptr ? std::uint64_t{0} : found->to_number<std::uint64_t>(failed);
        return found == nullptr || failed ? std::nullopt : std::optional(value);
    };
    const auto request = number_of("request");
    const auto end = number_of("end");
    const auto seen_at = number_of("seen_ms");
    if (!request || !end || !seen_at || !std::in_range<milliseconds::rep>(*seen_at)) {
        return std::nullopt;
    }
    const auto* const cleared = object->if_contains("cleared");
    return suspicion{*request, *end, milliseconds(static_cast<milliseconds::rep>(*seen_at)),
                     cleared != nullptr && cleared->is_bool() && cleared->get_bool()};
}

} // namespace

std::string encode(std::span<const suspicion> suspicions) {
    json::array list;
    for (const auto& each : suspicions) {
        json::object item{
            {"request", each.request}, {"end", each.end}, {"seen_ms", each.seen_at.count()}};
        if (each.is_cleared) {
            item["cleared"] = true;
        }
        list.push_back(std::move(item));
    }
    return json::serialize(list);
}

std::optional<std::vector<suspicion>> decode_suspicions(std::string_view text) {
    boost::system::error_code failed;
    const auto parsed = json::parse(text, failed);
    if (failed || !parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<suspicion> found;
    for (const auto& each : parsed.get_array()) {
        if (const auto decoded = decode(each)) {
            found.push_back(*decoded);
        }
    }
    return found;
}

} // namespace lavenderhoist::quarantine
