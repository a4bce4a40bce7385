#pragma once

/** \file \brief Umbrella header: admission control, that is which requests a target runs, queues or
 * refuses. */

#include "lavenderhoist/admission/chain_capacity.hpp"
#include "lavenderhoist/admission/controller.hpp"
#include "lavenderhoist/admission/decision.hpp"
#include "lavenderhoist/admission/guaranteed_share.hpp"
#include "lavenderhoist/admission/objective_limit.hpp"
#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/admission/ramp_up.hpp"
#include "lavenderhoist/admission/rate_limiter.hpp"
#include "lavenderhoist/admission/request_info.hpp"
#include "lavenderhoist/admission/utilisation_tuner.hpp"
#include "lavenderhoist/admission/window_stats.hpp"
