#pragma once

/** \file \brief Umbrella header: open-loop load and what it shows. */

#include "lavenderhoist/load/generator.hpp"
#include "lavenderhoist/load/stream.hpp"
#include "lavenderhoist/load/summary.hpp"
