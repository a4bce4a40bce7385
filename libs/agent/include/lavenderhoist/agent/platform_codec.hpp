#pragma once

#include "lavenderhoist/agent/store_codec.hpp"
#include "lavenderhoist/agent/target_message.hpp"
#include "lavenderhoist/mesh/routing_table.hpp"
#include "lavenderhoist/net/message.hpp"
#include "lavenderhoist/relay/wire_names.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lavenderhoist::agent {

/** \brief Why a configuration was rejected. */
struct configuration_error {
    std::string reason;
};

using parsed_configuration = std::variant<mesh::routing_table_ptr, configuration_error>;

/**
 * \brief The header names and message formats of the platform that a deployment runs on.
 *
 * Encodes and decodes only: holds no state that changes and makes no decisions.
 */
class platform_codec : public store_codec {
public:
    /** \brief Names of the header fields shared with callers and targets. */
    virtual const relay::wire_names& names() const = 0;

    /** \brief Decodes a request of the local target to the control listener. */
    virtual target_message parse_target_message(const net::request& message) const = 0;
    /** \brief The response to an accepted target message. */
    virtual net::response acknowledge() const = 0;

    /** \brief A question to a target, at the health path of its service. */
    virtual net::request make_health_check(std::string_view path) const = 0;
    /** \returns the id of the target that answered, if it accepts requests. */
    virtual std::optional<std::string> parse_health(const net::response& answer) const = 0;

    /** \brief Parses a configuration document. \returns the complete routing table, or why the
     * document was rejected; never a partial table. */
    virtual parsed_configuration parse_configuration(std::string_view text) const = 0;

    /** \brief Key of the configuration in its topic. */
    virtual std::string_view configuration_key() const = 0;

    /** \brief Path of the platform's readiness check. */
    virtual std::string_view readiness_path() const = 0;
};

} // namespace lavenderhoist::agent
