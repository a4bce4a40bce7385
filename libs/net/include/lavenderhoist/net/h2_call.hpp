#pragma once

#include "lavenderhoist/net/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace lavenderhoist::net {

class h2_connection;

/**
 * \brief One request that an h2_server has received, until it is answered.
 *
 * Not thread-safe. Answers to requests whose stream or connection has ended are discarded.
 */
class h2_call {
public:
    virtual ~h2_call() = default;

    /** \brief Sends the answer. Call once. */
    virtual void answer(response message) = 0;

    /** \brief Calls `handler` if the stream is reset or the connection ends before the answer. */
    void on_cancelled(std::function<void()> handler) { cancel_handler_ = std::move(handler); }

protected:
    std::function<void()> cancel_handler_;
};

using h2_call_ptr = std::shared_ptr<h2_call>;

} // namespace lavenderhoist::net
