#include "lavenderhoist/serving/announcement.hpp"

#include <boost/json.hpp>

namespace lavenderhoist::node {

namespace json = boost::json;

std::optional<announcement> decode_announcement(std::string_view body) {
    json::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    try {
        announcement result;
        const auto& service = parsed.at("service").as_string();
        const auto& address = parsed.at("address").as_string();
        const auto where = config::parse_address({address.data(), address.size()});
        if (!where) {
            return std::nullopt;
        }
        result.service.assign(service.data(), service.size());
        result.generation = parsed.at("generation").to_number<std::uint64_t>();
        result.where = *where;
        result.draining = parsed.at("draining").as_bool();
        return result;
    } catch (const std::exception&) {
        return std::nullopt; // a member is missing or has another type
    }
}

} // namespace lavenderhoist::node
