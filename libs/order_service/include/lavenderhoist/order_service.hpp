#pragma once

/** \file \brief Umbrella header: admission of a target's orders by their owner, and hand-over of
 * keys. */

#include "lavenderhoist/order_service/lease_grant.hpp"
#include "lavenderhoist/order_service/order_registry.hpp"
