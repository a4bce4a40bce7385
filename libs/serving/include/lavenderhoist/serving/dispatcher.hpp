#pragma once

#include "lavenderhoist/call/call.hpp"
#include "lavenderhoist/metrics/recorder.hpp"
#include "lavenderhoist/net/h2_pool.hpp"
#include "lavenderhoist/retry/credit_account.hpp"
#include "lavenderhoist/retry/retry_budget.hpp"
#include "lavenderhoist/routing/decaying_level.hpp"
#include "lavenderhoist/routing/selector.hpp"
#include "lavenderhoist/routing/target_state.hpp"
#include "lavenderhoist/serving/node_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavenderhoist::node {

/**
 * \brief Sends calls to the nodes of targets: selects the target, refuses early, retries.
 *
 * One instance per thread; not thread-safe. Only the hop next to the failure, this one, retries,
 * and only calls that certainly did not run or that are idempotent.
 */
class dispatcher {
public:
    dispatcher(node_state& state, boost::asio::any_io_executor executor,
               metrics::recorder& counters, std::uint64_t seed);

    /**
     * \brief Sends a call and waits for its answer, at most until its deadline.
     * \param credits pays for retries here and for the credits that are passed on with the call.
     */
    boost::asio::awaitable<call_answer> dispatch(call request, retry::credit_account& credits,
                                                 net::cancellation_ptr cancelled);

    /** \brief Minimum admission level for this route among the targets of the service. */
    int min_target_level(const std::string& service, const std::string& path);

    /** \brief Closes connections to peers that have not been used for a while. */
    void close_idle_connections();

    std::size_t open_connections() const noexcept { return pool_.open_connections(); }

private:
    /** This node's information on one target. */
    struct known_target {
        view_target info;
        bool in_subset{false}; // calls other than orders go only to targets in the subset
        routing::target_state state;
        std::unordered_map<std::uint64_t, routing::decaying_level>
            levels; // admission levels received, by route hash
    };
    using known_target_ptr = std::shared_ptr<known_target>;

    /** This node's information on one service. */
    struct known_service {
        std::uint64_t generation{0};
        std::vector<known_target_ptr> targets;
        retry::retry_budget budget;
    };

    /** The attempts of one call so far. */
    struct progress {
        std::vector<known_target_ptr> tried;
        bool may_have_run{false};
    };

    int effective_importance(const call& request) const noexcept;
    known_service& service_state(const std::string& name);
    void refresh(known_service& service, const std::string& name);
    std::vector<routing::candidate> candidates_for(const known_service& service,
                                                   const progress& done, std::uint64_t route);
    known_target_ptr choose(known_service& service, const call& request, const progress& done,
                            std::uint64_t route, call_answer& failure);
    known_target_ptr choose_owner(known_service& service, const call& request, std::uint64_t route,
                                  call_answer& failure);
    boost::asio::awaitable<call_answer> attempt(known_target_ptr target, const call& request,
                                                retry::credit_account& credits, std::uint64_t route,
                                                net::cancellation_ptr cancelled);
    bool may_retry(const call& request, const call_answer& answer, retry::credit_account& credits,
                   known_service& service);

    node_state& state_;
    boost::asio::any_io_executor executor_;
    metrics::recorder& counters_;
    net::h2_pool pool_;
    routing::selector selector_;
    std::map<std::string, known_service> services_;
};

/** \brief Hash of the service and of the first path segment; admission levels are kept by it. */
std::uint64_t route_hash(std::string_view service, std::string_view path) noexcept;

} // namespace lavenderhoist::node
