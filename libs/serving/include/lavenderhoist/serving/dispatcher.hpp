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
 * \brief Sends calls to targets' nodes: chooses the target, refuses early, retries.
 *
 * One a thread; not thread-safe. Only this hop, which is next to the failure, retries, and only
 * what certainly did not run or may be repeated.
 */
class dispatcher {
public:
    dispatcher(node_state& state, boost::asio::any_io_executor executor,
               metrics::recorder& counters, std::uint64_t seed);

    /**
     * \brief Sends a call and waits for its answer, until its deadline at most.
     * \param credits pays for retries and for what the call carries down.
     */
    boost::asio::awaitable<call_answer> dispatch(call request, retry::credit_account& credits,
                                                 net::cancellation_ptr cancelled);

    /** \brief The least importance that some target of the service would take for this route. */
    int min_target_level(const std::string& service, const std::string& path);

    /** \brief Closes connections to peers that have not been used for a while. */
    void close_idle_connections();

    std::size_t open_connections() const noexcept { return pool_.open_connections(); }

private:
    /** What this entry knows of one target. */
    struct known_target {
        view_target info;
        bool in_subset{false}; // calls other than orders go to these only
        routing::target_state state;
        std::unordered_map<std::uint64_t, routing::decaying_level> levels; // by route
    };
    using known_target_ptr = std::shared_ptr<known_target>;

    /** What this entry knows of one service. */
    struct known_service {
        std::uint64_t generation{0};
        std::vector<known_target_ptr> targets;
        retry::retry_budget budget;
    };

    /** One call's way through its attempts. */
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

/** \brief Names the part of a path that routes are told apart by: service and first segment. */
std::uint64_t route_hash(std::string_view service, std::string_view path) noexcept;

} // namespace lavenderhoist::node
