#include "lavenderhoist/quarantine/request_digests.hpp"

#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist::quarantine {

request_digests digests_of(std::string_view method, std::string_view path, std::string_view caller,
                           std::string_view body) noexcept {
    std::uint64_t content = 0;
    for (const auto part : {method, path, body}) {
        content = mix(content ^ stable_hash(part));
    }
    return {content, mix(content ^ stable_hash(caller))};
}

} // namespace lavenderhoist::quarantine
