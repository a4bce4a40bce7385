#pragma once

/** \file \brief Umbrella header: bounded JSON lines. */

#include "lavenderhoist/logging/line_budget.hpp"
#include "lavenderhoist/logging/log.hpp"
