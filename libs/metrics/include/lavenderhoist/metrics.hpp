#pragma once

/** \file \brief Umbrella header: counters and latency histograms. */

#include "lavenderhoist/metrics/latency_histogram.hpp"
#include "lavenderhoist/metrics/recorder.hpp"
