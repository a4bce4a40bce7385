#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"

#include <cstdint>
#include <variant>

namespace lavenderhoist::admission {

/** \brief The request starts now. */
struct admitted {
    std::uint64_t id;
};

/** \brief The request waits; a later decision starts or refuses it. */
struct queued {
    std::uint64_t id;
};

/** \brief The request is rejected and does not run. */
struct refused {
    std::uint64_t id;
    errc reason;
    duration retry_after; ///< Delay after which a retry may be admitted.
};

using decision = std::variant<admitted, queued, refused>;

} // namespace lavenderhoist::admission
