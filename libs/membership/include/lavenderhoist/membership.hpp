#pragma once

/** \file \brief Umbrella header: which nodes there are and which of them live. */

#include "lavenderhoist/membership/gossip_message.hpp"
#include "lavenderhoist/membership/member.hpp"
#include "lavenderhoist/membership/member_list.hpp"
