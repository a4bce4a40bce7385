#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/exchange_result.hpp"

#include <functional>

namespace lavenderhoist::harness {

/** \brief Sends one request on a connection of its own and waits for the answer. */
net::exchange_result call(const config::address& where, const net::request& message,
                          duration timeout = std::chrono::seconds(3));

/** \brief Waits for a while on the runtime clock. */
void pause_for(duration length);

/** \brief Waits until `is_met`. \returns false if it was not by `timeout`. */
bool wait_until(const std::function<bool()>& is_met, duration timeout);

} // namespace lavenderhoist::harness
