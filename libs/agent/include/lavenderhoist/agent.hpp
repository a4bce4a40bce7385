#pragma once

/** \file \brief Umbrella header: the control side of the sidecar. */

#include "lavenderhoist/agent/agent_settings.hpp"
#include "lavenderhoist/agent/control_worker.hpp"
#include "lavenderhoist/agent/platform_codec.hpp"
#include "lavenderhoist/agent/shared_state.hpp"
#include "lavenderhoist/agent/sidecar.hpp"
#include "lavenderhoist/agent/store_client.hpp"
#include "lavenderhoist/agent/store_codec.hpp"
#include "lavenderhoist/agent/store_types.hpp"
#include "lavenderhoist/agent/target_message.hpp"
#include "lavenderhoist/agent/topic_follower.hpp"
