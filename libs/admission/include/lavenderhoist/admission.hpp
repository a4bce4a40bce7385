#pragma once

/** \file \brief Umbrella header: what runs on a target, what waits and what is refused. */

#include "lavenderhoist/admission/controller.hpp"
#include "lavenderhoist/admission/decision.hpp"
#include "lavenderhoist/admission/guaranteed_share.hpp"
#include "lavenderhoist/admission/objective_limit.hpp"
#include "lavenderhoist/admission/priority.hpp"
#include "lavenderhoist/admission/request_info.hpp"
#include "lavenderhoist/admission/utilisation_tuner.hpp"
#include "lavenderhoist/admission/window_stats.hpp"
