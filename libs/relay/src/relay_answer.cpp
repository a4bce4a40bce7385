#include "lavenderhoist/relay/relay_answer.hpp"

#include <array>
#include <utility>

namespace lavenderhoist::relay {

std::string_view to_string(execution value) noexcept {
    constexpr std::array<std::string_view, 3> names{"answered", "not-run", "unknown"};
    return names[static_cast<std::size_t>(value)];
}

relay_answer make_failure(execution result, errc cause, step where, std::string peer) {
    relay_answer answer;
    answer.result = result;
    answer.failure = {cause, where, std::move(peer)};
    return answer;
}

} // namespace lavenderhoist::relay
