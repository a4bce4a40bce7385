#pragma once

#include "lavenderhoist/net/memory_account.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace lavenderhoist::net {

class memory_charge;

/** \brief The memory account of a node, and what refuses each holder. Not thread-safe. */
class memory_pool : public std::enable_shared_from_this<memory_pool> {
public:
    /** Releases the bytes of a holder: it refuses a message or closes a connection. */
    using refuse_handler = std::function<void(memory_account::decision)>;
    using observer = std::function<void()>;

    /** \param on_refused is called with each refusal. */
    explicit memory_pool(std::size_t max_bytes, observer on_refused = nullptr)
        : account_(max_bytes), on_refused_(std::move(on_refused)) {}

    const memory_account& account() const noexcept { return account_; }

private:
    friend class memory_charge;

    void resize(memory_account::holder who, std::size_t bytes);

    memory_account account_;
    observer on_refused_;
    std::unordered_map<memory_account::holder, refuse_handler> handlers_;
};

using memory_pool_ptr = std::shared_ptr<memory_pool>;

/** \brief Bytes held for one message or connection; counted until the object is destroyed. An empty
 * one counts nothing. */
class memory_charge {
public:
    memory_charge() = default;

    /** \param refuse is called at most once, and not after retain() or the destruction. */
    memory_charge(memory_pool_ptr pool, memory_pool::refuse_handler refuse);
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    ~memory_charge() { reset(); }

    /** \brief Sets the number of bytes. The handlers of charges that must be refused, maybe of this
     * one, are called, and may destroy it. */
    void resize(std::size_t bytes);

    /** \brief The bytes can no longer be refused. */
    void retain();

    void reset();

    explicit operator bool() const noexcept { return pool_ != nullptr; }

    /** Smaller messages are not counted: a node holds at most a few thousand at once, and counting
     * costs more than they do. */
    static constexpr std::size_t min_counted_bytes = 4U << 10U;

private:
    memory_pool_ptr pool_;
    memory_account::holder holder_{0};
};

} // namespace lavenderhoist::net
