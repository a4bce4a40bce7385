#pragma once

/** \file \brief Umbrella header: the nodes of a deployment and their liveness. */

#include "lavenderhoist/membership/gossip_message.hpp"
#include "lavenderhoist/membership/member.hpp"
#include "lavenderhoist/membership/member_list.hpp"
