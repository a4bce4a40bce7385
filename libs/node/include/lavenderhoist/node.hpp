#pragma once

/** \file \brief Umbrella header: the node, and the codec and logging that programs share with it.
 */

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/node/node.hpp"
