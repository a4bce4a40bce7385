#pragma once

/** \file \brief Umbrella header: versioned records on the platform's log. */

#include "lavenderhoist/records/record.hpp"
#include "lavenderhoist/records/record_store.hpp"
