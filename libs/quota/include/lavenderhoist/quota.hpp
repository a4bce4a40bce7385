#pragma once

#include "lavenderhoist/quota/quota_gate.hpp"
#include "lavenderhoist/quota/rate_quota.hpp"
#include "lavenderhoist/quota/usage_board.hpp"
#include "lavenderhoist/quota/usage_report.hpp"
#include "lavenderhoist/quota/usage_window.hpp"
