#pragma once

/** \file \brief Umbrella header: routing, placement and target state, without I/O. */

#include "lavenderhoist/mesh/announcement.hpp"
#include "lavenderhoist/mesh/caller_limits.hpp"
#include "lavenderhoist/mesh/directory.hpp"
#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/organisation.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/mesh/recent_starts.hpp"
#include "lavenderhoist/mesh/record_position.hpp"
#include "lavenderhoist/mesh/route.hpp"
#include "lavenderhoist/mesh/routing_table.hpp"
#include "lavenderhoist/mesh/service_rules.hpp"
#include "lavenderhoist/mesh/target_lifecycle.hpp"
#include "lavenderhoist/mesh/target_start.hpp"
#include "lavenderhoist/mesh/windowed_retry_budget.hpp"
