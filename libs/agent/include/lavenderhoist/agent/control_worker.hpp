#pragma once

#include "lavenderhoist/agent/agent_settings.hpp"
#include "lavenderhoist/agent/internal/lag_detector.hpp"
#include "lavenderhoist/agent/platform_codec.hpp"
#include "lavenderhoist/agent/store_client.hpp"
#include "lavenderhoist/agent/topic_follower.hpp"
#include "lavenderhoist/mesh/directory.hpp"
#include "lavenderhoist/mesh/target_lifecycle.hpp"
#include "lavenderhoist/net/h2_pool.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/relay/data_worker.hpp"
#include "lavenderhoist/relay/view.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace lavenderhoist::agent {

/**
 * \brief The control side of a node: configuration, hosts, the own target's announcements.
 *
 * Lives on one io_context, away from requests, and publishes what they need as immutable views.
 */
class control_worker {
public:
    control_worker(boost::asio::io_context& context, const agent_settings& settings,
                   const platform_codec& codec, relay::view_cell& views, relay::data_worker& data);
    control_worker(const control_worker&) = delete;
    control_worker& operator=(const control_worker&) = delete;
    ~control_worker();

    void start();

    /** \brief The node is about to stop: not ready any more, and the others are told. */
    void begin_shutdown();

private:
    using reply = boost::asio::awaitable<net::response>;

    reply serve_target(net::request message);
    reply on_announcement(mesh::announcement heard);
    reply on_sign_off(sign_off heard);
    reply acknowledge_kept(mesh::lifecycle_change change);
    reply serve_readiness(net::request message);
    reply serve_metrics(net::request message);

    void on_configuration(const store_record& record);
    void on_host(const store_record& record);
    void take_configuration(const std::string& text, std::string_view source);
    void take_host(const mesh::host_record& record, std::int64_t offset);
    void restore_own_record();
    void publish_view();
    void share_state();
    void apply_target();
    mesh::host_record own_record() const;

    boost::asio::awaitable<void> publish_loop();
    boost::asio::awaitable<void> peer_loop();
    boost::asio::awaitable<void> ask_peer(net::tcp::endpoint peer);
    boost::asio::awaitable<void> compare_with(net::tcp::endpoint peer);
    std::int64_t newest_host_offset() const;
    std::vector<net::tcp::endpoint> peers_to_ask() const;
    void take_shared_state(const std::string& text);
    topic_follower::events events_for(topic which);

    boost::asio::io_context& context_;
    const agent_settings& settings_;
    const platform_codec& codec_;
    relay::view_cell& views_;
    relay::data_worker& data_;
    store_client store_;
    topic_follower configuration_;
    topic_follower hosts_;
    net::h2_pool peers_;
    std::unique_ptr<net::http_server> targets_;
    std::unique_ptr<net::http_server> readiness_;
    std::unique_ptr<net::http_server> metrics_;
    mesh::directory directory_;
    mesh::target_lifecycle target_;
    time_point last_comparison_;
    internal::lag_detector configuration_lag_;
    internal::lag_detector hosts_lag_;
    mesh::routing_table_ptr table_;
    std::string configuration_text_;
    std::shared_ptr<const std::vector<mesh::host_record>> listed_hosts_;
    std::uint64_t generation_{0};
    std::optional<mesh::host_record> published_; ///< What the store has of this host.
    std::uint64_t published_count_{0};
    net::timer publish_wake_;
    net::timer published_wake_;
    std::mt19937_64 random_;
    time_point started_;
    bool restored_{false}; ///< It is known what this host published before.
    bool hosts_are_current_{false};
    bool stopping_{false};
};

} // namespace lavenderhoist::agent
