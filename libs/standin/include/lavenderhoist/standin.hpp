#pragma once

/** \file \brief Umbrella header: stand-ins for targets and for the platform's log. */

#include "lavenderhoist/standin/stub_log.hpp"
#include "lavenderhoist/standin/stub_target.hpp"
#include "lavenderhoist/standin/target_settings.hpp"
