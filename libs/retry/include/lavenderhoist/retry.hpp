#pragma once

/** \file \brief Umbrella header: retry credits, retry budgets and the delay after which a refused
 * request may be retried. */

#include "lavenderhoist/retry/credit_account.hpp"
#include "lavenderhoist/retry/retry_after.hpp"
#include "lavenderhoist/retry/retry_budget.hpp"
