#include "lavenderhoist/agent/topic_follower.hpp"

#include "lavenderhoist/net/http_server.hpp"
#include "lavenderhoist/net/spawn.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavenderhoist::agent {
namespace {

/** A codec whose requests differ only by path, for the fake store below. */
class plain_codec final : public store_codec {
public:
    net::request list_newest(topic /*which*/, std::string_view /*after*/) const override {
        net::request message;
        message.method = "GET";
        message.path = "/newest";
        return message;
    }
    read_result parse_newest(const net::exchange_result& answer) const override {
        return parse(answer);
    }
    net::request read(topic /*which*/, std::int64_t /*offset*/, duration wait) const override {
        net::request message;
        message.method = "GET";
        message.path = wait.count() > 0 ? "/read" : "/check";
        return message;
    }
    read_result parse_read(const net::exchange_result& answer,
                           std::int64_t /*offset*/) const override {
        return parse(answer);
    }
    net::request append(topic /*which*/, const store_record& /*record*/) const override {
        return {};
    }
    append_result parse_append(const net::exchange_result& /*answer*/) const override {
        return store_failure{"not used here", false};
    }

private:
    static read_result parse(const net::exchange_result& answer) {
        if (answer.code) {
            return store_failure{answer.code.message(), true};
        }
        if (answer.answer.status == 410) {
            return records_expired{};
        }
        if (answer.answer.status == 202) {
            record_batch nothing_new;
            nothing_new.next_offset = 2;
            return nothing_new;
        }
        if (answer.answer.status != 200) {
            return store_failure{"status " + std::to_string(answer.answer.status), false};
        }
        record_batch batch;
        batch.records.push_back({"key", answer.answer.body, {0, 1}});
        batch.next_offset = 2;
        return batch;
    }
};

/** A fake store that answers each call with the next of the given statuses. */
class follower_test : public testing::Test {
protected:
    void serve(std::vector<int> statuses) {
        statuses_ = std::move(statuses);
        auto acceptor = net::listen(context_.get_executor(), net::make_endpoint("127.0.0.1", 0));
        endpoint_ = acceptor.local_endpoint();
        server_ = std::make_unique<net::http_server>(
            std::move(acceptor),
            net::http_server::limits{8, 8192, 8192, std::chrono::seconds(1),
                                     std::chrono::seconds(5)},
            [this](net::request message, std::string /*peer*/, net::cancellation_ptr /*gone*/) {
                return answer(std::move(message));
            },
            [](int status, std::string_view /*reason*/) {
                return net::response{status, {}, ""};
            });
        server_->start();
    }

    boost::asio::awaitable<net::response> answer(net::request message) {
        paths_.push_back(message.path);
        net::response reply;
        reply.status = statuses_.at(paths_.size() - 1);
        reply.body = message.path;
        if (paths_.size() == statuses_.size()) {
            context_.stop();
        }
        co_return reply;
    }

    /** Runs a follower until the last status has been sent, for at most 5 s. */
    void follow() {
        store_client store(context_.get_executor(), endpoint_, codec_);
        topic_follower::events events;
        events.on_record = [this](const store_record& record) { values_.push_back(record.value); };
        events.on_caught_up = [] {};
        events.on_confirmed = [this](time_point as_of) { confirmed_.push_back(as_of); };
        events.on_store_lost = [this](const std::string& reason) { losses_.push_back(reason); };
        events.on_store_regained = [this] { ++regained_; };
        topic_follower follower(context_.get_executor(), store, topic::hosts, milliseconds(20),
                                events);
        follower.set_rechecks(rechecks_);
        net::spawn(context_, follower.run());
        context_.run_for(std::chrono::seconds(5));
    }

    boost::asio::io_context context_{1};
    plain_codec codec_;
    net::tcp::endpoint endpoint_;
    std::vector<int> statuses_;
    std::unique_ptr<net::http_server> server_;
    std::vector<std::string> paths_;
    std::vector<std::string> values_;
    std::vector<std::string> losses_;
    std::vector<time_point> confirmed_;
    int regained_{0};
    bool rechecks_{false};
};

TEST_F(follower_test, a_failed_list_is_retried) {
    serve({503, 503, 200, 200, 503});
    follow();
    EXPECT_EQ(paths_,
              (std::vector<std::string>{"/newest", "/newest", "/newest", "/read", "/read"}));
    EXPECT_EQ(values_, (std::vector<std::string>{"/newest", "/read"}));
    EXPECT_EQ(losses_, std::vector<std::string>{"status 503"});
    EXPECT_EQ(regained_, 1);
}

// Otherwise the node would take the store for lost until the next record arrives.
TEST_F(follower_test, after_a_failed_read_the_next_one_does_not_wait) {
    serve({200, 503, 200, 200});
    follow();
    EXPECT_EQ(paths_, (std::vector<std::string>{"/newest", "/read", "/check", "/read"}));
    EXPECT_EQ(regained_, 1);
}

TEST_F(follower_test, expired_records_are_listed_again) {
    serve({200, 410, 200, 200, 200});
    follow();
    EXPECT_EQ(paths_, (std::vector<std::string>{"/newest", "/read", "/newest", "/read", "/read"}));
    EXPECT_TRUE(losses_.empty());
}

// A record ends a wait early. Until the next wait has ended, nothing shows that no other followed.
TEST_F(follower_test, a_record_is_followed_by_a_read_that_shows_what_came_after) {
    rechecks_ = true;
    serve({200, 200, 202, 202});
    follow();
    EXPECT_EQ(paths_, (std::vector<std::string>{"/newest", "/read", "/check", "/read"}));
}

} // namespace
} // namespace lavenderhoist::agent
