#pragma once

#include "lavenderhoist/call/call.hpp"

#include <boost/json/fwd.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::node {

/** \brief Why a caller's request was not completed; shown by `lhctl explain`. */
struct refusal {
    std::string request_id;
    std::string caller;
    std::string service;
    std::string class_name;
    error failure;
    outcome result{outcome::unknown};
    int importance{0};
    int level{0};
};

/** \brief The latest refusals of one entry thread, at most `max_entries`. */
class refusal_log {
public:
    static constexpr std::size_t max_entries = 1'024;

    void add(refusal entry);

    /** \returns the refusal of the request, or nothing if none is kept. */
    std::optional<refusal> find(std::string_view request_id) const;

private:
    std::deque<refusal> entries_;
};

boost::json::object to_json(const refusal& entry);

} // namespace lavenderhoist::node
