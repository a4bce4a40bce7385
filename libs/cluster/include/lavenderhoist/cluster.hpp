#pragma once

/** \file \brief Umbrella header: the log, records read from it, and gossip among nodes. */

#include "lavenderhoist/cluster/gossip_service.hpp"
#include "lavenderhoist/cluster/log_client.hpp"
#include "lavenderhoist/cluster/log_follower.hpp"
#include "lavenderhoist/cluster/peer_client.hpp"
#include "lavenderhoist/cluster/record_publisher.hpp"
#include "lavenderhoist/cluster/record_relay.hpp"
#include "lavenderhoist/cluster/record_renewer.hpp"
