#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/net/exchange_result.hpp"

#include <functional>

namespace lavenderhoist::harness {

/** \brief Sends one request on a new connection and waits for the answer. */
net::exchange_result call(const config::address& where, const net::request& message,
                          duration timeout = std::chrono::seconds(3));

/** \brief Blocks for `length` on the runtime clock. */
void pause_for(duration length);

/** \brief Waits until `is_met` returns true. \returns false if it did not within `timeout`. */
bool wait_until(const std::function<bool()>& is_met, duration timeout);

} // namespace lavenderhoist::harness
