#pragma once

#include "lavenderhoist/agent/store_codec.hpp"
#include "lavenderhoist/agent/target_message.hpp"
#include "lavenderhoist/mesh/routing_table.hpp"
#include "lavenderhoist/net/message.hpp"
#include "lavenderhoist/relay/wire_names.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace lavenderhoist::agent {

/** \brief A configuration that can't be taken. */
struct configuration_error {
    std::string reason;
};

using parsed_configuration = std::variant<mesh::routing_table_ptr, configuration_error>;

/**
 * \brief The names and formats of the platform that a deployment runs on.
 *
 * Translates only: decides nothing and holds no state.
 */
class platform_codec : public store_codec {
public:
    virtual const relay::wire_names& names() const = 0;

    /** \brief Decodes a call of the target beside the node. */
    virtual target_message parse_target_message(const net::request& message) const = 0;
    virtual net::response acknowledge() const = 0;

    /** \returns a whole configuration or why there is none; never a part of one. */
    virtual parsed_configuration parse_configuration(std::string_view text) const = 0;

    /** \brief Key of the configuration in its topic. */
    virtual std::string_view configuration_key() const = 0;

    /** \brief Path of the platform's question whether the node serves. */
    virtual std::string_view readiness_path() const = 0;
};

} // namespace lavenderhoist::agent
