#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"

#include <cstdint>
#include <variant>

namespace lavenderhoist::admission {

/** \brief The request runs now. */
struct admitted {
    std::uint64_t id;
};

/** \brief The request waits; a later decision starts or refuses it. */
struct queued {
    std::uint64_t id;
};

/** \brief The request does not run. */
struct refused {
    std::uint64_t id;
    errc reason;
    duration retry_after; ///< When coming back may help.
};

using decision = std::variant<admitted, queued, refused>;

} // namespace lavenderhoist::admission
