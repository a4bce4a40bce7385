#pragma once

namespace lavenderhoist::retry {

/**
 * \brief The retry credits that one call holds. Credits are conserved over the whole chain.
 *
 * A retry spends one. A call to a deeper service carries some down and brings back what is left;
 * what a lost call carried is lost with it. So a root request never causes more retries than the
 * credits its class grants, however deep its chain.
 */
class credit_account {
public:
    /** \brief \param granted number of retries, not negative. */
    explicit credit_account(int granted) noexcept;

    int balance() const noexcept { return balance_; }

    /** \brief Takes one credit for a retry. \returns false if none is left. */
    bool try_spend() noexcept;

    /**
     * \brief Takes the share that a call carries down: half, rounded up, so that every level of a
     * chain keeps some while there are several.
     */
    int split_for_call() noexcept;

    /** \brief Returns the rest of a share. \param rest is cut to `taken`: credits never grow. */
    void refund(int rest, int taken) noexcept;

private:
    int balance_;
};

} // namespace lavenderhoist::retry
