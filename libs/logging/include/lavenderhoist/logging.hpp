#pragma once

#include "lavenderhoist/logging/line_budget.hpp"
#include "lavenderhoist/logging/log.hpp"
