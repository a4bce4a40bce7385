#pragma once

/** \file
 * \brief Requests that end the targets which run them: found, kept from further targets, cleared.
 */
#include "lavenderhoist/quarantine/crash_ledger.hpp"
#include "lavenderhoist/quarantine/request_digests.hpp"
#include "lavenderhoist/quarantine/suspicion.hpp"
