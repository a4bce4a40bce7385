#pragma once

/** \file \brief Umbrella header: the node, and what programs that talk to it share. */

#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/node/node.hpp"
