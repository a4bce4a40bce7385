#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/serving/routing_view.hpp"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace lavenderhoist::node {

/** \brief A caller's request that has passed the checks. */
struct accepted_request {
    call root;
    bool has_caller_key{false}; ///< False: the key, if any, was made by this node.
};

using checked_request = std::variant<accepted_request, call_answer>;

/**
 * \brief Checks a caller's request against the configuration and makes its root call.
 *
 * The path is `/SERVICE/PATH`. The header fields read are `Idempotency-Key` (a UUID of version 7),
 * `lh-timeout-ms` and `lh-caller`; all fields with the reserved prefix `lh-` are removed.
 */
class caller_front {
public:
    explicit caller_front(std::uint64_t seed) : random_(seed) {}

    /**
     * \brief Makes the root call of a request.
     * \param config null if the node has no configuration yet.
     * \param peer the caller's network address; used as its name unless `lh-caller` is given.
     * \returns the call, or the answer if the request is refused.
     */
    checked_request check(net::request message, const std::string& peer,
                          const std::shared_ptr<const config::deployment>& config, time_point now);

    /** \brief Makes a random request id. */
    std::string make_request_id();

    /** \brief Makes an idempotency key with the current time. */
    key make_key();

private:
    std::mt19937_64 random_;
};

/** \brief A path split into service and path within the service. */
struct service_path {
    std::string service;
    std::string path;
};

/** \brief Splits `/SERVICE/PATH`. */
service_path split_path(std::string_view path);

} // namespace lavenderhoist::node
