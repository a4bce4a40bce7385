#pragma once

/** \file \brief Umbrella header: which target a call is sent to, and whether it is sent at all. */

#include "lavenderhoist/routing/candidate.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/routing/selector.hpp"
#include "lavenderhoist/routing/subset.hpp"
#include "lavenderhoist/routing/target_state.hpp"
