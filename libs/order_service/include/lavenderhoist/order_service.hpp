#pragma once

/** \file \brief Umbrella header: who may run the orders of a target, and the table's hand-over. */

#include "lavenderhoist/order_service/lease_grant.hpp"
#include "lavenderhoist/order_service/order_registry.hpp"
