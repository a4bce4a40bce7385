#pragma once

/** \file \brief Umbrella header: credits and budgets of retries, and when callers come back. */

#include "lavenderhoist/retry/credit_account.hpp"
#include "lavenderhoist/retry/retry_after.hpp"
#include "lavenderhoist/retry/retry_budget.hpp"
