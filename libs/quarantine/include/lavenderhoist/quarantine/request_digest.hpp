#pragma once

#include <cstdint>
#include <string_view>

namespace lavenderhoist::quarantine {

/** \brief Identifies requests that do the same at a target, whatever their ids and entries.
 * \param caller the service on whose host the request entered. */
std::uint64_t request_digest(std::string_view method, std::string_view path,
                             std::string_view caller, std::string_view body) noexcept;

} // namespace lavenderhoist::quarantine
