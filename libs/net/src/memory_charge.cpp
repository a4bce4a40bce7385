#include "lavenderhoist/net/memory_charge.hpp"

#include <utility>

namespace lavenderhoist::net {

void memory_pool::resize(memory_account::holder who, std::size_t bytes) {
    const auto self = shared_from_this();
    for (const auto& each : account_.resize(who, bytes)) {
        auto found = handlers_.extract(each.whom);
        if (found.empty()) {
            continue;
        }
        if (on_refused_) {
            on_refused_();
        }
        found.mapped()(each.what);
    }
}

memory_charge::memory_charge(memory_pool_ptr pool, memory_pool::refuse_handler refuse)
    : pool_(std::move(pool)) {
    if (pool_) {
        holder_ = pool_->account_.add();
        pool_->handlers_.emplace(holder_, std::move(refuse));
    }
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : pool_(std::exchange(other.pool_, nullptr)), holder_(other.holder_) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
    if (this != &other) {
        reset();
        pool_ = std::exchange(other.pool_, nullptr);
        holder_ = other.holder_;
    }
    return *this;
}

void memory_charge::resize(std::size_t bytes) {
    if (const auto pool = pool_) {
        pool->resize(holder_, bytes);
    }
}

void memory_charge::retain() {
    if (pool_) {
        pool_->account_.retain(holder_);
        pool_->handlers_.erase(holder_);
    }
}

void memory_charge::reset() {
    if (const auto pool = std::exchange(pool_, nullptr)) {
        pool->account_.remove(holder_);
        pool->handlers_.erase(holder_);
    }
}

} // namespace lavenderhoist::net
