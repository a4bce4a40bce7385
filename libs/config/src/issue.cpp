#include "lavenderhoist/config/issue.hpp"

namespace lavenderhoist::config {

std::string describe(const issue& found) {
    return found.file + ": " + found.path + ": " + found.value + ": expected " + found.permitted;
}

} // namespace lavenderhoist::config
