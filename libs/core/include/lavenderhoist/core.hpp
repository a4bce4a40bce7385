#pragma once

/** \file \brief Umbrella header: clock, errors, outcomes, hashes, keys and read-copy-update cells.
 */

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/core/error.hpp"
#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/core/key.hpp"
#include "lavenderhoist/core/outcome.hpp"
#include "lavenderhoist/core/rcu_cell.hpp"
