#pragma once

/** \file \brief Umbrella header: the choice of a target for a call, and the refusal of calls below
 * the admission level. */

#include "lavenderhoist/routing/candidate.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/routing/selector.hpp"
#include "lavenderhoist/routing/subset.hpp"
#include "lavenderhoist/routing/target_state.hpp"
