#pragma once

#include "lavenderhoist/mesh/host_record.hpp"
#include "lavenderhoist/mesh/placement.hpp"
#include "lavenderhoist/net/endpoint.hpp"
#include "lavenderhoist/relay/load_report.hpp"
#include "lavenderhoist/relay/rate_hint.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/routing/target_state.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace lavenderhoist::relay {

/** \brief What one entry knows of a target: the record its node published, reported load and
 * health. */
class known_target {
public:
    known_target(mesh::host_record record, mesh::distance where);

    const mesh::host_record& record() const noexcept { return record_; }
    const net::tcp::endpoint& endpoint() const noexcept { return endpoint_; }

    /** \brief Replaces the record; the target must not have been restarted since the old one. */
    void update(const mesh::host_record& record) { record_ = record; }

    /** \brief Takes over what is known of the same start of the target under an older record of its
     * host: what it has said of itself outlives its node. */
    void inherit(const known_target& older);

    /** \brief True if both are records of the same start of a target. */
    bool is_same_start(const mesh::host_record& record) const noexcept {
        return !record.target_id.empty() && record.target_id == record_.target_id &&
               record.target_started_at_ms == record_.target_started_at_ms;
    }

    /** \brief The limit that the target has named, for its node, which may not know it. */
    std::optional<rate_hint> known_rate() const noexcept;

    /** \brief True if the target is ready and not ejected, and has not said that it leaves. */
    bool is_available(time_point now) const noexcept;

    /** \brief True if its node is shutting down: it is chosen only if no other target is available.
     * False for the local node, which serves its callers until they have moved to other nodes. */
    bool is_stopping() const noexcept {
        return record_.node_stopping && distance_ != mesh::distance::local_host;
    }

    /** \brief The target as a candidate for requests of a route.
     * \param default_level assumed if no level was reported recently. */
    mesh::candidate option(const std::string& route, time_point now,
                           admission::priority default_level = admission::open_level) const;

    void on_sent() noexcept;

    /** \brief Sets how many entries may send to the target, this one included; at least 1. */
    void set_entries(std::size_t count) noexcept { entries_ = count; }

    /** \brief The admission level for requests of a route, as last reported; open if unknown. */
    admission::priority level(const std::string& route, time_point now) const;

    /** \brief The admission level for requests of a route; nothing if none was reported within
     * `routing::decaying_level::lifetime`. */
    std::optional<admission::priority> known_level(const std::string& route, time_point now) const;

    /** \brief Requests per second that the target can serve, as last reported. */
    double capacity() const noexcept;

    /** \brief True if the level for a route is above open and was reported longer ago than `age`.
     */
    bool has_stale_level(const std::string& route, duration age, time_point now) const;

    /** \brief Records the load report that came with an answer to a request of a route. */
    void on_report(const std::string& route, const load_report& report, time_point now);

    /** \brief How long ago its node last reported its load. */
    duration report_age(time_point now) const noexcept { return now - last_report_at_; }

    routing::target_state& health() noexcept { return health_; }

private:
    double rate_load(time_point now) const noexcept;
    duration known_run_time(const std::string& route, time_point now) const;

    struct received_level {
        routing::decaying_level memory;
        time_point received_at{};
        duration run_time{0}; ///< Of requests of the route at the target; 0 if not known.
    };

    mesh::host_record record_;
    net::tcp::endpoint endpoint_;
    mesh::distance distance_;
    routing::target_state health_;
    /** By route: a reported level covers the nested calls too, which differ by route. */
    std::unordered_map<std::string, received_level> levels_;
    load_report last_report_;
    time_point last_report_at_{};
    int sent_since_report_{0};
    std::size_t entries_{1};
    bool is_leaving_{false};
};

/**
 * \brief The admission level for nested calls of a route to a service: the lowest one that is at or
 * above the levels of half of the capacity of the ready targets. Ejected targets count only if no
 * other level is known.
 *
 * Targets without a recent report don't count: nested calls keep to the nearest targets, and those
 * that receive no calls would look open for ever. Open if no target has a recent report. The lowest
 * of all levels would not do: of the many targets of a large service, one is always open for a
 * moment.
 */
admission::priority median_level(std::span<const std::shared_ptr<known_target>> targets,
                                 const std::string& route, time_point now);

} // namespace lavenderhoist::relay
