#pragma once

#include "lavenderhoist/agent/agent_settings.hpp"
#include "lavenderhoist/agent/internal/lag_detector.hpp"
#include "lavenderhoist/agent/platform_codec.hpp"
#include "lavenderhoist/agent/shared_state.hpp"
#include "lavenderhoist/agent/store_client.hpp"
#include "lavenderhoist/agent/store_knowledge.hpp"
#include "lavenderhoist/agent/store_readers.hpp"
#include "lavenderhoist/agent/topic_follower.hpp"
#include "lavenderhoist/agent/usage_collectors.hpp"
#include "lavenderhoist/mesh/directory.hpp"
#include "lavenderhoist/mesh/target_lifecycle.hpp"
#include "lavenderhoist/net/h2_pool.hpp"
#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/signal.hpp"
#include "lavenderhoist/relay/data_worker.hpp"
#include "lavenderhoist/relay/view.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace lavenderhoist::agent {

/**
 * \brief The control plane of a node: follows configuration and host records in the store, handles
 * the local target's announcements, publishes the local host record, and answers readiness and
 * metrics requests.
 *
 * Runs on one io_context, separate from the data worker's thread, which gets routing table and
 * hosts as immutable views. Not thread-safe.
 */
class control_worker {
public:
    control_worker(boost::asio::io_context& context, const agent_settings& settings,
                   const platform_codec& codec, relay::view_cell& views, relay::data_worker& data);
    control_worker(const control_worker&) = delete;
    control_worker& operator=(const control_worker&) = delete;
    ~control_worker();

    void start();

    /** \brief Begins an orderly stop: readiness checks fail, and the published host record marks
     * the node as stopping. */
    void begin_shutdown();

private:
    using reply = boost::asio::awaitable<net::response>;

    reply serve_target(net::request message);
    reply on_announcement(mesh::announcement received);
    reply on_sign_off(sign_off received);
    /** An acknowledgement binds: it is given only for a departure that has an effect. */
    net::response refuse_departure(const std::string& target_id, std::int64_t started_at_ms) const;
    void on_departure_notice(const std::string& target_id, std::int64_t started_at_ms);
    reply acknowledge_when_stored(mesh::lifecycle_change change);
    reply serve_readiness(net::request message);
    reply serve_metrics(net::request message);

    void on_configuration(const store_record& record);
    void on_host(const store_record& record);
    /** \param peer the node that it came from; empty if it came from the store. */
    void apply_configuration(const std::string& text, std::string_view peer);
    void apply_host_record(const mesh::host_record& record, mesh::record_position position);
    void restore_local_record();
    void update_listed_hosts();
    void check_local_record_is_stored();
    void publish_view();
    void update_shared_state();
    void apply_target();
    mesh::host_record local_record() const;

    void watch_crashes();
    void on_crash_news(relay::crash_watch::news found);
    boost::asio::awaitable<bool>
    exchange_suspicions(net::tcp::endpoint peer, const std::vector<quarantine::suspicion>& told);
    boost::asio::awaitable<void> tell_suspicions(net::tcp::endpoint peer, std::string id,
                                                 std::vector<quarantine::suspicion> suspicions);
    boost::asio::awaitable<void> ask_for_suspicions(net::tcp::endpoint peer);
    bool has_asked_for_suspicions() const noexcept;
    void restore_suspicions(const mesh::host_record& record);

    /** Has the data thread make a text and pass it on. */
    using data_question = std::function<void(std::function<void(std::string)> take)>;

    boost::asio::awaitable<void> usage_loop();
    boost::asio::awaitable<std::optional<std::string>> ask_data(data_question ask);
    boost::asio::awaitable<std::optional<std::string>> exchange_usage(std::string node,
                                                                      std::string report);
    boost::asio::awaitable<void> report_usage(std::string collector);
    boost::asio::awaitable<void> collect_usage();
    boost::asio::awaitable<void> merge_usage_of(std::string collector, std::string report);

    boost::asio::awaitable<void> confirm_loop();
    boost::asio::awaitable<bool> confirm(mesh::announcement asked, std::string health_path);

    boost::asio::awaitable<void> publish_loop();
    boost::asio::awaitable<void> peer_loop();
    boost::asio::awaitable<void> freshness_loop();
    boost::asio::awaitable<void> list_configuration();
    void read_stale_configuration();
    void on_confirmed(time_point as_of);
    void adopt_confirmation(const shared_versions& peer, time_point asked_at);
    std::function<std::string()> versions_encoder() const;
    boost::asio::awaitable<void> fetch_shared_state(net::tcp::endpoint peer);
    boost::asio::awaitable<void> compare_with_reader(std::string reader);
    boost::asio::awaitable<void> compare_with(net::tcp::endpoint peer);
    boost::asio::awaitable<std::optional<shared_versions>> fetch_versions(net::tcp::endpoint peer);
    shared_versions versions() const;
    bool is_store_lost() const noexcept;
    bool is_older_than(const shared_versions& other) const;
    bool is_outdated_reader(const shared_versions& reader, time_point now) const;
    void update_followers();
    std::vector<net::tcp::endpoint> peer_endpoints() const;
    void apply_shared_state(const std::string& text, std::string_view peer);
    duration store_answer_age() const;
    topic_follower::events make_events(topic which);

    boost::asio::io_context& context_;
    const agent_settings& settings_;
    const platform_codec& codec_;
    relay::view_cell& views_;
    relay::data_worker& data_;
    store_client store_;
    topic_follower configuration_follower_;
    topic_follower hosts_follower_;
    net::h2_pool peers_;
    std::unique_ptr<net::http_server> control_server_;
    std::unique_ptr<net::http_server> readiness_server_;
    std::unique_ptr<net::http_server> metrics_server_;
    mesh::directory directory_;
    mesh::record_position read_position_; ///< All host records up to it are known.
    store_readers readers_;
    usage_collectors collectors_;
    mesh::target_lifecycle target_;
    std::vector<quarantine::suspicion> recorded_suspicions_; ///< In the local host record.
    int informants_{0}; ///< Answers of peers to the question for their suspicions since the start.
    store_knowledge configuration_knowledge_;
    bool has_logged_stale_{false};
    time_point last_comparison_at_;
    internal::lag_detector<std::uint64_t> configuration_lag_;
    internal::lag_detector<mesh::record_position> hosts_lag_;
    mesh::routing_table_ptr table_;
    std::string configuration_text_;
    std::shared_ptr<const std::vector<mesh::host_record>> listed_hosts_; ///< For the next view.
    std::uint64_t generation_{0};
    std::optional<mesh::host_record> published_record_; ///< Local host record in the store.
    std::uint64_t published_count_{0};
    net::timer publish_wakeup_; ///< Cancelled when the local record may have changed.
    net::timer stored_wakeup_;  ///< Cancelled when the store has confirmed a write.
    net::timer confirm_wakeup_; ///< Cancelled when a start may have become unconfirmed.
    std::mt19937_64 random_;
    time_point started_at_;
    bool restored_{false};       ///< Last published record read, or `restore_timeout` over.
    bool has_read_hosts_{false}; ///< All host records of the store have been read once.
    bool stopping_{false};
};

} // namespace lavenderhoist::agent
