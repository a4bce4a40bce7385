#pragma once

/** \file \brief Umbrella header: HTTP/1.1 and HTTP/2 ends, timers and cancellation on Asio. */

#include "lavenderhoist/net/byte_stream.hpp"
#include "lavenderhoist/net/cancel_scope.hpp"
#include "lavenderhoist/net/cancellation.hpp"
#include "lavenderhoist/net/deadline_queue.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/net/h2_call.hpp"
#include "lavenderhoist/net/h2_pool.hpp"
#include "lavenderhoist/net/h2_server.hpp"
#include "lavenderhoist/net/http_client.hpp"
#include "lavenderhoist/net/http_limits.hpp"
#include "lavenderhoist/net/http_link.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/http_session.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/net/timer.hpp"
