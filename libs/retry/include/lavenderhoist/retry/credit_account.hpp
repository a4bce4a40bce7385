#pragma once

namespace lavenderhoist::retry {

/**
 * \brief The retry credits of one call. No hop of a chain creates credits.
 *
 * A retry spends one credit. A call to a deeper service carries a share of the credits and its
 * answer returns the unused ones; the credits of a lost call are lost. So a root request never
 * causes more retries than the credits granted to its class, at any depth of its chain.
 */
class credit_account {
public:
    /** \brief \param granted number of retries, not negative. */
    explicit credit_account(int granted) noexcept;

    int balance() const noexcept { return balance_; }

    /** \brief Takes one credit for a retry. \returns false if none is left. */
    bool try_spend() noexcept;

    /**
     * \brief Removes and returns the share that a nested call carries: half, rounded up, so that
     * every hop of a chain keeps some credits while there are several.
     */
    int split_for_call() noexcept;

    /** \brief Adds the unused credits of a call. \param unused is limited to `carried`, so that
     * credits never grow. */
    void refund(int unused, int carried) noexcept;

private:
    int balance_;
};

} // namespace lavenderhoist::retry
