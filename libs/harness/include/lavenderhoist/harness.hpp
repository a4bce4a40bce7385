#pragma once

/** \file \brief Umbrella header: deployments of separate processes for tests and measurements. */

#include "lavenderhoist/harness/deployment.hpp"
#include "lavenderhoist/harness/http.hpp"
#include "lavenderhoist/harness/process.hpp"
