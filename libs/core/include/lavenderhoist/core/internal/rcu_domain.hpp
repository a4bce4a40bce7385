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

/** \brief Blocks until all read sections that have begun are over. Must not be called in one.
 */
void wait_for_readers() noexcept;

} // namespace lavenderhoist::internal
