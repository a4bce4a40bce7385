#include "lavenderhoist/config/service.hpp"

namespace lavenderhoist::config {

const route* service::find_route(std::string_view method, std::string_view path) const noexcept {
    for (const auto& candidate : routes) {
        if (candidate.method != "*" && candidate.method != method) {
            continue;
        }
        if (path.starts_with(candidate.prefix)) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace lavenderhoist::config
