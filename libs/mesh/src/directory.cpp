#include "lavenderhoist/mesh/directory.hpp"

namespace lavenderhoist::mesh {

namespace {

/** True if the target of a record has departed, or is a newer start, as compared to another record
 * of the same host. */
bool is_ahead_of(const host_record& record, const host_record& other) {
    if (record.target_started_at_ms != other.target_started_at_ms) {
        return record.target_started_at_ms > other.target_started_at_ms;
    }
    return record.target_id == other.target_id && record.state > other.state;
}

} // namespace

bool directory::apply(const host_record& record, record_position position) {
    const auto [found, is_new] =
        hosts_.try_emplace(record.id, stored_host_record{record, position});
    auto& known = found->second;
    if (is_new) {
        return true;
    }
    if (known.position >= position) {
        return false;
    }
    if (known.position.era != position.era && is_ahead_of(known.record, record)) {
        return false; // keeps its position: the later era does not have this record
    }
    known = {record, position};
    return true;
}

bool directory::put(const host_record& record, record_position position) {
    const auto* const known = find(record.id);
    if (known != nullptr && known->position >= position) {
        return false;
    }
    hosts_.insert_or_assign(record.id, stored_host_record{record, position});
    return true;
}

const stored_host_record* directory::find(const std::string& host) const {
    const auto found = hosts_.find(host);
    return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace lavenderhoist::mesh
