#pragma once

#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/relay/load_report.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/routing/target_state.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

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

    /** \brief Its node is about to stop: to be chosen only if there is no other. The own node still
     * serves its own callers until they have been sent elsewhere. */
    bool is_stopping() const noexcept {
        return record_.node_stopping && where_ != mesh::distance::own_host;
    }

    /** \brief How it looks to requests of a route. */
    mesh::option option(const std::string& route, time_point now) const;

    void on_sent() noexcept;

    /** \brief The admission level that requests of a route meet there, as last heard. */
    admission::priority level(const std::string& route, time_point now) const;

    /** \brief The same, or nothing if none was heard within its lifetime. */
    std::optional<admission::priority> known_level(const std::string& route, time_point now) const;

    /** \brief True if a level that is in force for the route was heard longer ago than `age`. */
    bool has_stale_level(const std::string& route, duration age, time_point now) const;

    /** \brief An answer to a request of a route has brought this report. */
    void on_report(const std::string& route, const load_report& report, time_point now);

    /** \brief How long ago its node last reported its load. */
    duration report_age(time_point now) const noexcept { return now - reported_; }

    routing::target_state& health() noexcept { return health_; }

private:
    struct heard_level {
        routing::decaying_level memory;
        time_point when{};
    };

    mesh::host_record record_;
    net::tcp::endpoint endpoint_;
    mesh::distance where_;
    routing::target_state health_;
    /** By route: the level of an answer covers the calls made for it, which differ by route. */
    std::unordered_map<std::string, heard_level> levels_;
    load_report last_;
    time_point reported_{};
    int sent_since_report_{0};
};

/**
 * \brief The lowest level that requests of a route meet at the ready targets of a service.
 *
 * Targets of which nothing was heard lately don't count: calls of work under way keep to the
 * nearest ones, and those that they never reach would look open for ever. Open if nothing was heard
 * at all.
 */
admission::priority lowest_known_level(std::span<const std::shared_ptr<known_target>> targets,
                                       const std::string& route, time_point now);

} // namespace lavenderhoist::relay
