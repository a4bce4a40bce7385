#pragma once

#include <cstdint>

namespace lavenderhoist::quota {

/** \brief Requests of an organisation. */
struct usage {
    std::int64_t asked{0};    ///< All that arrived.
    std::int64_t admitted{0}; ///< Those that the quota admitted and that may have run.

    usage& operator+=(const usage& other) noexcept {
        asked += other.asked;
        admitted += other.admitted;
        return *this;
    }
    friend usage operator-(const usage& left, const usage& right) noexcept {
        return {left.asked - right.asked, left.admitted - right.admitted};
    }
    bool operator==(const usage&) const = default;
};

} // namespace lavenderhoist::quota
