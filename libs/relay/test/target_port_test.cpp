#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/target_port.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace lavenderhoist::relay {
namespace {

const std::string route = "route";

/** A port to a target that is never reached: the event loop does not run. */
class target_port_test : public testing::Test {
protected:
    target_settings start_of_target(std::int64_t started_at_ms, duration cold = duration(0)) const {
        target_settings settings;
        settings.id = "target";
        settings.service = "back";
        settings.started_at_ms = started_at_ms;
        settings.where = net::make_endpoint("127.0.0.1", 9);
        settings.slots = 100;
        settings.max_connections = 100;
        settings.cold_start_left = cold;
        settings.is_accepting = true;
        return settings;
    }

    void submit_with_hint(rate_hint hint) {
        relay_request request;
        request.id = "id" + std::to_string(++last_id_);
        request.route = route;
        request.service = "back";
        request.deadline = runtime_clock::now() + std::chrono::seconds(1);
        request.target_rate = hint;
        port_.submit(std::move(request), [](const relay_answer& /*answer*/) {});
    }

    boost::asio::io_context context_;
    net::deadline_queue deadlines_{context_.get_executor()};
    wire_names names_;
    crash_watch crashes_{"node"};
    target_port port_{context_.get_executor(), names_, "node", deadlines_, crashes_};
    int last_id_{0};
};

} // namespace

TEST_F(target_port_test, a_new_start_under_the_same_id_begins_cold) {
    port_.set_target(start_of_target(1));
    EXPECT_GE(port_.load(route).limit, 80);
    port_.set_target(start_of_target(2, std::chrono::seconds(5)));
    EXPECT_LE(port_.load(route).limit, 50);
}

TEST_F(target_port_test, a_refreshed_announcement_does_not_begin_cold_again) {
    port_.set_target(start_of_target(1));
    port_.set_target(start_of_target(1, std::chrono::seconds(5)));
    EXPECT_GE(port_.load(route).limit, 80);
}

TEST_F(target_port_test, a_hint_of_an_entry_limits_the_start_that_it_is_about) {
    port_.set_target(start_of_target(2));
    submit_with_hint({5, 1});
    EXPECT_EQ(port_.load(route).rate_limit, std::nullopt);
    submit_with_hint({5, 2});
    ASSERT_TRUE(port_.load(route).rate_limit);
    EXPECT_NEAR(*port_.load(route).rate_limit, 5, 0.01);
}

TEST_F(target_port_test, a_limit_does_not_bind_the_next_start_under_the_same_id) {
    port_.set_target(start_of_target(1));
    submit_with_hint({5, 1});
    port_.set_target(start_of_target(2));
    EXPECT_EQ(port_.load(route).rate_limit, std::nullopt);
}

} // namespace lavenderhoist::relay
