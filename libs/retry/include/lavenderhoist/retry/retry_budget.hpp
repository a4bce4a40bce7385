#pragma once

namespace lavenderhoist::retry {

/**
 * \brief Bounds the retries towards one service to a share of its successes (as in Finagle and
 * gRPC).
 *
 * Each success deposits `deposit`; each retry withdraws 1. Starts full, so that calls to a service
 * with few requests may be retried.
 */
class retry_budget {
public:
    static constexpr double deposit = 0.1;
    static constexpr double capacity = 10;

    void on_success() noexcept;

    /** \brief Withdraws one retry. \returns false if the budget is used up. */
    bool try_withdraw() noexcept;

private:
    double balance_{capacity};
};

} // namespace lavenderhoist::retry
