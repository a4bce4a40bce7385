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
    virtual void answer(const response& message) = 0;

    /** \brief Calls `gone` if the peer resets the stream or is lost before the answer. */
    void on_cancelled(std::function<void()> gone) { gone_ = std::move(gone); }

protected:
    std::function<void()> gone_;
};

using h2_call_ptr = std::shared_ptr<h2_call>;

} // namespace lavenderhoist::net
