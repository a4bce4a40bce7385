#pragma once

#include "lavenderhoist/config/issue.hpp"
#include "lavenderhoist/config/request_class.hpp"
#include "lavenderhoist/config/service.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderhoist::config {

/** \brief The configuration of a deployment: what operators publish on the platform's log. */
struct deployment {
    std::string name;
    std::vector<request_class> classes;
    std::vector<service> services; ///< Sorted by name.

    /** \returns the service of that name, or null. */
    const service* find_service(std::string_view service_name) const noexcept;

    /** \brief True if a route of `owner` maps to a class whose requests run at most once. */
    bool has_orders(const service& owner) const noexcept;
};

using parsed_deployment = std::variant<deployment, std::vector<issue>>;

/**
 * \brief Parses and validates a deployment.
 * \param file name used in the issues.
 * \returns the deployment, or all issues found; never a partly valid deployment.
 */
parsed_deployment parse_deployment(std::string_view text, std::string_view file);

} // namespace lavenderhoist::config
