#pragma once

#include "lavenderhoist/net/cancellation.hpp"

#include <functional>
#include <utility>

namespace lavenderhoist::net {

/** \brief Adds a handler to a cancellation for the lifetime of this object. */
class cancel_scope {
public:
    cancel_scope(cancellation& source, std::function<void()> handler)
        : source_(source), id_(source.add(std::move(handler))) {}
    cancel_scope(const cancel_scope&) = delete;
    cancel_scope& operator=(const cancel_scope&) = delete;
    ~cancel_scope() { source_.remove(id_); }

private:
    cancellation& source_;
    std::uint64_t id_;
};

} // namespace lavenderhoist::net
