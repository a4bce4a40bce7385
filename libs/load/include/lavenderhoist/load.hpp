#pragma once

/** \file \brief Umbrella header: open-loop load generation and its results. */

#include "lavenderhoist/load/generator.hpp"
#include "lavenderhoist/load/stream.hpp"
#include "lavenderhoist/load/summary.hpp"
