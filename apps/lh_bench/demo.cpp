#include "bench.hpp"
namespace lavenderhoist::bench {
int run_demo(const settings&) {
    return 0;
}
int measure_state(const settings&) {
    return 0;
}
int measure_slopes(const settings&) {
    return 0;
}
} // namespace lavenderhoist::bench
