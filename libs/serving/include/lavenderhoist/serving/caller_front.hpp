#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/serving/routing_view.hpp"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>

namespace lavenderhoist::node {

/** \brief A caller's request after it has been checked. */
struct accepted_request {
    call root;
    bool has_caller_key{false}; ///< False: the key, if any, was minted here.
};

using checked_request = std::variant<accepted_request, call_answer>;

/**
 * \brief Checks a caller's request against the configuration and makes the root call of it.
 *
 * The path is `/SERVICE/PATH`. Fields it understands: `Idempotency-Key` (a UUID of version 7),
 * `lh-timeout-ms`, `lh-caller`; all other fields of the system are stripped.
 */
class caller_front {
public:
    explicit caller_front(std::uint64_t seed) : random_(seed) {}

    /**
     * \brief Makes the root call of a request.
     * \param config null if the node has no configuration yet.
     * \param peer the caller's network address, its name unless it gives one.
     * \returns the call, or the answer if the request is refused.
     */
    checked_request check(net::request message, const std::string& peer,
                          const std::shared_ptr<const config::deployment>& config, time_point now);

    /** \brief A new name for a request. */
    std::string make_request_id();

    /** \brief A new key issued now. */
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
