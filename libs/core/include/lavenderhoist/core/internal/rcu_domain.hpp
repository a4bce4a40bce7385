#pragma once

namespace lavenderhoist::internal {

/** \brief Marks a read-side critical section of liburcu. */
class rcu_read_section {
public:
    rcu_read_section() noexcept;
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
    ~rcu_read_section();
};

void register_reader() noexcept;
void unregister_reader() noexcept;

/** \brief Blocks until every critical section that had begun is over. Not to be called inside one.
 */
void wait_for_readers() noexcept;

} // namespace lavenderhoist::internal
