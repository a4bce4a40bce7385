#pragma once

/** \file \brief Umbrella header: at-most-once execution of orders without a store. */

#include "lavenderhoist/orders/assignment.hpp"
#include "lavenderhoist/orders/key_table.hpp"
#include "lavenderhoist/orders/lease.hpp"
#include "lavenderhoist/orders/ownership.hpp"
#include "lavenderhoist/orders/takeover_delay.hpp"
