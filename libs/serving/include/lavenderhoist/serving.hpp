#pragma once

/** \file \brief Umbrella header: the request path of lh-node. */

#include "lavenderhoist/serving/admission_gate.hpp"
#include "lavenderhoist/serving/announcement.hpp"
#include "lavenderhoist/serving/caller_front.hpp"
#include "lavenderhoist/serving/dispatcher.hpp"
#include "lavenderhoist/serving/entry_worker.hpp"
#include "lavenderhoist/serving/node_state.hpp"
#include "lavenderhoist/serving/parent_call.hpp"
#include "lavenderhoist/serving/refusal_log.hpp"
#include "lavenderhoist/serving/routing_view.hpp"
#include "lavenderhoist/serving/target_health.hpp"
#include "lavenderhoist/serving/target_worker.hpp"
#include "lavenderhoist/serving/worker.hpp"
