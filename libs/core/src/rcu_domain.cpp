#include "lavenderhoist/core/internal/rcu_domain.hpp"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace lavenderhoist::internal {
namespace {

// liburcu orders readers before the end of a grace period by a system call that the thread
// sanitizer does not see; these annotations tell it so.
#if defined(__SANITIZE_THREAD__)
char grace_period;
void note_reader_left() noexcept {
    __tsan_release(&grace_period);
}
void note_readers_gone() noexcept {
    __tsan_acquire(&grace_period);
}
#else
void note_reader_left() noexcept {}
void note_readers_gone() noexcept {}
#endif

} // namespace

rcu_read_section::rcu_read_section() noexcept {
    urcu_memb_read_lock();
}

rcu_read_section::~rcu_read_section() {
    note_reader_left();
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
    note_readers_gone();
}

} // namespace lavenderhoist::internal
