#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace lavenderhoist::net {

/**
 * \brief Propagates the cancellation of a request to the work done for it.
 *
 * Not thread-safe: used by the coroutines of one request, which share an executor.
 *
 * \sa cancel_scope
 */
class cancellation {
public:
    /** \brief Marks the request as cancelled and runs the handlers, once. */
    void cancel() {
        if (std::exchange(cancelled_, true)) {
            return;
        }
        const auto handlers = std::exchange(handlers_, {});
        for (const auto& [id, handler] : handlers) {
            handler();
        }
    }

    bool is_cancelled() const noexcept { return cancelled_; }

    /** \brief Adds a handler for cancel(). \returns an id for remove(). */
    std::uint64_t add(std::function<void()> handler) {
        handlers_.emplace(++last_id_, std::move(handler));
        return last_id_;
    }

    void remove(std::uint64_t id) { handlers_.erase(id); }

private:
    bool cancelled_{false};
    std::uint64_t last_id_{0};
    std::map<std::uint64_t, std::function<void()>> handlers_;
};

using cancellation_ptr = std::shared_ptr<cancellation>;

} // namespace lavenderhoist::net
