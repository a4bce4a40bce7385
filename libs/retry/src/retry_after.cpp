#include "lavenderhoist/retry/retry_after.hpp"

#include "lavenderhoist/core/hash.hpp"

namespace lavenderhoist::retry {

duration spread_retry_after(duration base, std::uint64_t spread) noexcept {
    constexpr std::uint64_t steps = 1024;
    const auto part = static_cast<duration::rep>(mix(spread) % steps);
    return base + base * part / static_cast<duration::rep>(steps);
}

} // namespace lavenderhoist::retry
