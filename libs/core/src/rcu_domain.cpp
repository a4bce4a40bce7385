#include "lavenderhoist/core/internal/rcu_domain.hpp"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace lavenderhoist::internal {
namespace {

// liburcu orders readers before the end of a grace period by a system call that the thread
// sanitizer does not see; these annotations declare that order.
#if defined(__SANITIZE_THREAD__)
char grace_period;
void annotate_reader_exit() noexcept {
    __tsan_release(&grace_period);
}
void annotate_grace_period_end() noexcept {
    __tsan_acquire(&grace_period);
}
#else
void annotate_reader_exit() noexcept {}
void annotate_grace_period_end() noexcept {}
#endif

} // namespace

rcu_read_section::rcu_read_section() noexcept {
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section() {
    annotate_reader_exit();
    urcu_memb_read_unlock();
}

void register_reader() noexcept {
    urcu_memb_register_thread();
}

void unregister_reader() noexcept {
    urcu_memb_unregister_thread();
}

void wait_for_readers() noexcept {
    urcu_memb_synchronize_rcu();
    annotate_grace_period_end();
}

} // namespace lavenderhoist::internal
