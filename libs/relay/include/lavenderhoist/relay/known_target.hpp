#pragma once

#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/relay/load_report.hpp"
#include "lavenderhoist/routing/level_memory.hpp"
#include "lavenderhoist/routing/target_state.hpp"

namespace lavenderhoist::relay {

/** \brief A target as one entry knows it: what its node published and what its answers showed. */
class known_target {
public:
    known_target(mesh::host_record record, mesh::distance where);

    const mesh::host_record& record() const noexcept { return record_; }
    const net::tcp::endpoint& endpoint() const noexcept { return endpoint_; }

    /** \brief Takes over a new record of the same start of the target. */
    void update(const mesh::host_record& record) { record_ = record; }

    bool takes_work(time_point now) const noexcept;

    mesh::option option(time_point now) const noexcept;

    void on_sent() noexcept;
    void on_report(const load_report& report, time_point now) noexcept;

    routing::target_state& health() noexcept { return health_; }

private:
    mesh::host_record record_;
    net::tcp::endpoint endpoint_;
    mesh::distance where_;
    routing::target_state health_;
    routing::level_memory level_;
    load_report last_;
    int sent_since_report_{0};
};

} // namespace lavenderhoist::relay
