#pragma once

#include "lavenderhoist/core/clock.hpp"
#include "lavenderhoist/mesh/host_record.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::agent {

/**
 * \brief Chooses the node of each data centre that collects the usage of organisations there: the
 * first one, in a fixed order, that responds.
 *
 * A pure state machine.
 */
class usage_collectors {
public:
    /** \brief The collector of a data centre; nothing if none of its nodes responds. */
    std::optional<std::string> find(std::span<const mesh::host_record> hosts,
                                    std::string_view data_centre, time_point now) const;

    /** \brief All data centres that have hosts, in order. */
    static std::vector<std::string> data_centres(std::span<const mesh::host_record> hosts);

    /** \brief The node is passed over for a while. */
    void on_no_response(const std::string& node, time_point now);

private:
    std::map<std::string, time_point, std::less<>> passed_over_until_;
};

} // namespace lavenderhoist::agent
