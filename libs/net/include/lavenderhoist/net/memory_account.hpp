#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::net {

/**
 * \brief Decides which messages a node refuses to bound the bytes that it holds for others. Pure.
 *
 * When the bound is reached, the largest message that can still be refused is, and not the one that
 * arrives: callers with small messages are served while others hold much.
 */
class memory_account {
public:
    /** Identifies the bytes held for one message or one connection. */
    using holder = std::uint64_t;

    enum class decision {
        accept,
        refuse,    ///< The bytes are held for others at present.
        too_large, ///< A message of this size never fits.
    };

    /** What is to be done with the bytes of a holder. */
    struct verdict {
        holder whom;
        decision what;
        bool operator==(const verdict&) const = default;
    };

    /** \param max_bytes bound on all bytes held. */
    explicit memory_account(std::size_t max_bytes) noexcept;

    /** \brief Adds a holder of no bytes, which can be refused. */
    holder add();

    /**
     * \brief A holder has this many bytes now.
     * \returns the holders to refuse, maybe this one; their bytes count as released already.
     */
    std::vector<verdict> resize(holder who, std::size_t bytes);

    /** \brief The holder can no longer be refused, since its message was passed on. */
    void retain(holder who);

    void remove(holder who);

    /** \brief Whether a message of this announced length may begin. */
    decision on_announced(std::size_t bytes) const noexcept;

    std::size_t total() const noexcept { return total_; }

    /** \brief Bound on the bytes of large messages together. The rest of max_bytes is kept for
     * others, so that clients with large messages cannot displace them. */
    std::size_t max_large_bytes() const noexcept;

    /** Messages above this size are large. */
    static constexpr std::size_t min_large_bytes = 1U << 20U;

private:
    struct state {
        std::size_t bytes{0};
        bool is_retained{false};
    };

    bool is_exceeded() const noexcept;
    void set_bytes(state& of, std::size_t bytes) noexcept;

    std::size_t max_bytes_;
    std::size_t total_{0};
    std::size_t large_{0};          ///< Part of total_ that large messages hold.
    std::size_t retained_large_{0}; ///< Part of large_ that can no longer be refused.
    holder last_{0};
    std::unordered_map<holder, state> holders_;
};

} // namespace lavenderhoist::net
