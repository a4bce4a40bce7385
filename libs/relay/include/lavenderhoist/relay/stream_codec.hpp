#pragma once

#include "lavenderhoist/net/exchange_result.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"
#include "lavenderhoist/relay/relay_request.hpp"

#include <optional>

namespace lavenderhoist::relay {

/** \brief A request as a stream between nodes carries it. Its own fields begin with `lh-`. */
net::request to_stream(const relay_request& request, time_point now);

/** \returns nothing if the stream's own fields are missing or malformed. */
std::optional<relay_request> from_stream(net::request message, time_point now);

net::response to_stream(const relay_answer& answer);

/** \brief Asks another node for its load, as requests of a route meet it. */
net::request make_load_question(const std::string& route);
/** \returns the route asked about; nothing if the message is no such question. */
std::optional<std::string> parse_load_question(const net::request& message);
net::response make_load_answer(const load_report& load);
std::optional<load_report> parse_load_answer(const net::exchange_result& result);

/** \brief Reads what came of a stream. \param peer named in failures of the stream itself. */
relay_answer from_stream(net::exchange_result result, const std::string& peer);

} // namespace lavenderhoist::relay
