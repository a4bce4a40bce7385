#pragma once

/** \file \brief Umbrella header: the request path of the sidecar. */

#include "lavenderhoist/relay/announced_limit.hpp"
#include "lavenderhoist/relay/attempt_plan.hpp"
#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/data_worker.hpp"
#include "lavenderhoist/relay/entry.hpp"
#include "lavenderhoist/relay/known_target.hpp"
#include "lavenderhoist/relay/load_log.hpp"
#include "lavenderhoist/relay/load_report.hpp"
#include "lavenderhoist/relay/outcome_log.hpp"
#include "lavenderhoist/relay/peer_links.hpp"
#include "lavenderhoist/relay/rate_hint.hpp"
#include "lavenderhoist/relay/relay_answer.hpp"
#include "lavenderhoist/relay/relay_request.hpp"
#include "lavenderhoist/relay/stream_codec.hpp"
#include "lavenderhoist/relay/target_notice.hpp"
#include "lavenderhoist/relay/target_port.hpp"
#include "lavenderhoist/relay/target_settings.hpp"
#include "lavenderhoist/relay/usage_exchange.hpp"
#include "lavenderhoist/relay/view.hpp"
#include "lavenderhoist/relay/wire_names.hpp"
