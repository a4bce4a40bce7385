#pragma once

#include "lavenderhoist/core/internal/rcu_domain.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace lavenderhoist {

/**
 * \brief Holds one immutable value that many threads read without a lock and few replace.
 *
 * Read-copy-update by liburcu. A reader sees either the old or the new value, whole.
 * Preconditions: each reading thread holds an rcu_reader; read() is not called from within read().
 */
template <typename T>
class rcu_cell {
public:
    explicit rcu_cell(std::unique_ptr<const T> first) : value_(first.release()) {}
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;
    ~rcu_cell() { delete value_.load(); }

    /**
     * \brief Calls `use` with the current value and returns what it returns.
     * \param use must neither suspend a coroutine nor keep references to the value.
     */
    template <typename Use>
    decltype(auto) read(Use&& use) const {
        const internal::rcu_read_section section;
        return std::forward<Use>(use)(*value_.load(std::memory_order_acquire));
    }

    /** \brief Replaces the value; returns after the last read of the old one has ended. */
    void replace(std::unique_ptr<const T> next) {
        const std::lock_guard<std::mutex> lock(writers_);
        const std::unique_ptr<const T> old(
            value_.exchange(next.release(), std::memory_order_acq_rel));
        internal::wait_for_readers();
    }

private:
    std::atomic<const T*> value_;
    std::mutex writers_;
};

/** \brief Registers the calling thread as a reader of rcu_cell objects for the lifetime of this
 * object. */
class rcu_reader {
public:
    rcu_reader() { internal::register_reader(); }
    rcu_reader(const rcu_reader&) = delete;
    rcu_reader& operator=(const rcu_reader&) = delete;
    ~rcu_reader() { internal::unregister_reader(); }
};

} // namespace lavenderhoist
