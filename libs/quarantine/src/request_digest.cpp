#include "lavenderhoist/quarantine/request_digest.hpp"

#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist::quarantine {

std::uint64_t request_digest(std::string_view method, std::string_view path,
                             std::string_view caller, std::string_view body) noexcept {
    std::uint64_t digest = 0;
    for (const auto part : {method, path, caller, body}) {
        digest = mix(digest ^ stable_hash(part));
    }
    return digest;
}

} // namespace lavenderhoist::quarantine
