#pragma once

/** \file \brief Umbrella header: settings of a process and configuration of a deployment. */

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/deployment.hpp"
#include "lavenderhoist/config/issue.hpp"
#include "lavenderhoist/config/node_settings.hpp"
#include "lavenderhoist/config/request_class.hpp"
#include "lavenderhoist/config/route.hpp"
#include "lavenderhoist/config/service.hpp"
