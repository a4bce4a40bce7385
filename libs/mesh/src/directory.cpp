#include "lavenderhoist/mesh/directory.hpp"

namespace lavenderhoist::mesh {

bool directory::apply(const host_record& record, std::int64_t offset) {
    auto& known = hosts_[record.id];
    if (!known.record.id.empty() && known.offset >= offset) {
        return false;
    }
    known = {record, offset};
    return true;
}

const stored_host_record* directory::find(const std::string& host) const {
    const auto found = hosts_.find(host);
    return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace lavenderhoist::mesh
