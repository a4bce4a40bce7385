// Organisations whose callers identify themselves with keys.

#include "world.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace lavenderhoist::platform_test {
namespace {

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;

/** A deployment in which two organisations hold a key each. */
class platform_keys : public testing::Test {
protected:
    platform_keys() {
        deployment_.add_host("front", "a", {{"/front/", world::host_name, "/back/nested"}});
        deployment_.add_host("back");
        publish({{"north", {"key-of-north"}}, {"south", {"key-of-south"}}});
        deployment_.set_key("key-of-north");
    }

    void publish(std::vector<organisation_spec> organisations) {
        deployment_.set_organisations(std::move(organisations));
        deployment_.publish(
            {{"/front/", "front"}, {"/back/", "back"}, {"/open/", "back", true, 2'000, 1, true}});
    }

    int status_of(const std::string& path, const std::string& key) {
        deployment_.set_key(key);
        return deployment_.send_request(deployment_.at(0), "GET", path, deployment_.make_id())
            .answer.status;
    }

    std::vector<platform::stub_backend::execution> runs(std::size_t index) {
        return deployment_.run_on_stub_thread(
            [&] { return deployment_.at(index).target->executions(); });
    }

    world deployment_;
};

} // namespace

TEST_F(platform_keys, requests_name_the_holder_of_their_key_and_not_the_key) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    EXPECT_EQ(status_of("/back/x", "key-of-south"), status_ok);
    EXPECT_EQ(runs(1).back().organisation, "south");
    EXPECT_EQ(status_of("/back/x", "key-of-north"), status_ok);
    EXPECT_EQ(runs(1).back().organisation, "north");
    EXPECT_TRUE(std::ranges::none_of(runs(1), &platform::stub_backend::execution::has_key));
}

TEST_F(platform_keys, requests_without_a_known_key_do_not_run) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    const auto before = runs(1).size();
    for (const std::string key : {"", "key-of-nobody", "key-of-nort", "KEY-OF-NORTH"}) {
        EXPECT_EQ(status_of("/back/x", key), status_unauthorized) << key;
    }
    EXPECT_EQ(runs(1).size(), before);
}

TEST_F(platform_keys, open_routes_and_nested_calls_need_none) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    EXPECT_EQ(status_of("/open/x", ""), status_ok);
    EXPECT_EQ(status_of("/front/x", "key-of-north"), status_ok);
    EXPECT_EQ(runs(1).back().path, "/back/nested");
}

TEST_F(platform_keys, a_withdrawn_key_is_not_in_use_again_after_a_restart) {
    ASSERT_TRUE(deployment_.wait_until_ready());
    publish({{"north", {"key-of-north"}}, {"south", {"new-key-of-south"}}});
    EXPECT_TRUE(wait_until([&] { return status_of("/back/x", "new-key-of-south") == status_ok; }));
    EXPECT_EQ(status_of("/back/x", "key-of-south"), status_unauthorized);
    deployment_.run_on_stub_thread([&] { deployment_.store().injected_faults().status = 503; });
    deployment_.at(1).node->kill();
    deployment_.start_node(deployment_.at(1));
    ASSERT_TRUE(
        wait_until([&] { return deployment_.ready_status(deployment_.at(1)) == status_ok; }));
    deployment_.set_key("key-of-south");
    EXPECT_EQ(deployment_.send_request(deployment_.at(1), "GET", "/back/x", deployment_.make_id())
                  .answer.status,
              status_unauthorized);
}

} // namespace lavenderhoist::platform_test
