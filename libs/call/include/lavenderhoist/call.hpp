#pragma once

/** \file \brief Umbrella header: calls of other nodes, their answers, and both on the wire. */

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/call/problem.hpp"
