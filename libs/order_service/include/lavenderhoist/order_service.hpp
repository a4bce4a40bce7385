#pragma once

/** \file \brief Umbrella header: orders of one target: who may run them, and the table's hand-over. */

#include "lavenderhoist/order_service/lease_grant.hpp"
#include "lavenderhoist/order_service/order_keeper.hpp"
