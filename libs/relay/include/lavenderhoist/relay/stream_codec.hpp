#pragma once

#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"
#include "lavenderhoist/relay/relay_request.hpp"

#include <optional>

namespace lavenderhoist::relay {

/** \brief Encodes a request for a stream between nodes. Fields that are added begin with `lh-`. */
net::request to_stream(const relay_request& request, time_point now);

/** \brief Decodes a request. \returns nothing if `lh-` fields are missing or malformed. */
std::optional<relay_request> from_stream(net::request message, time_point now);

net::response to_stream(relay_answer answer);

/** \brief Makes the message that requests the load report of another node for a route. */
net::request make_load_query(const std::string& route);
/** \returns the route of a load query; nothing if the message is no load query. */
std::optional<std::string> parse_load_query(const net::request& message);
net::response make_load_answer(const load_report& load);
std::optional<load_report> parse_load_answer(const net::exchange_result& result);

/** \brief Decodes the result of a stream. \param peer id of the node, for failures. */
relay_answer from_stream(net::exchange_result result, const std::string& peer);

} // namespace lavenderhoist::relay
