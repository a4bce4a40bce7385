#pragma once

/** \file \brief Umbrella header: calls between nodes, their answers, and the encoding of both. */

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/call/call_codec.hpp"
#include "lavenderhoist/call/problem.hpp"
