// All readers determine the same current record, whose version never decreases, wherever they start
// in a log with concurrent authors, lost confirmations and retention.

#include "lavenderhoist/records.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

using namespace lavenderhoist::records;

namespace {

const record_topic topic{record_type::configuration, ""};

/** Model of a log, its authors and its readers. */
class simulation {
public:
    /** An author that has read up to the tail, earlier or now, appends a successor. */
    void append(std::size_t author, bool is_confirmation_lost) {
        auto& writer = authors_[author % authors_.size()];
        if (!writer.next) {
            catch_up(writer);
            writer.next = writer.store.successor(topic);
            writer.next->id = "record-" + std::to_string(next_id_++);
        }
        log_.push_back({tail_++, *writer.next});
        if (!is_confirmation_lost) {
            writer.next.reset();
            catch_up(writer);
        }
    }

    /** An author reads, but appends later: other authors may append before. */
    void prepare(std::size_t author) {
        auto& writer = authors_[author % authors_.size()];
        catch_up(writer);
        writer.next = writer.store.successor(topic);
        writer.next->id = "record-" + std::to_string(next_id_++);
    }

    /** Retention removes old records, but never the current one. */
    void expire(std::size_t count) {
        catch_up(reference_);
        const auto* const current = reference_.store.current(topic);
        while (count-- > 0 && !log_.empty() && current != nullptr &&
               log_.front().offset < current->offset) {
            log_.pop_front();
        }
    }

    /** A node without state starts and reads all retained records. */
    record_store fresh_reader() const {
        reader fresh;
        catch_up(fresh);
        return fresh.store;
    }

    const record_store& reference() {
        catch_up(reference_);
        return reference_.store;
    }

private:
    struct reader {
        record_store store;
        std::int64_t next_offset{0};
        std::optional<record> next;
    };

    void catch_up(reader& one) const {
        if (!log_.empty() && log_.front().offset > one.next_offset) {
            one.store.on_gap();
        }
        for (const auto& entry : log_) {
            if (entry.offset < one.next_offset) {
                continue;
            }
            one.store.apply(entry);
            one.next_offset = entry.offset + 1;
        }
        one.store.on_caught_up();
    }

    std::deque<located_record> log_;
    std::int64_t tail_{0};
    int next_id_{0};
    std::vector<reader> authors_{3};
    reader reference_;
};

} // namespace

RC_GTEST_PROP(record_store, all_readers_judge_alike, (const std::vector<unsigned>& steps)) {
    simulation simulated;
    std::int64_t last_version = 0;
    for (const auto step : steps) {
        const auto number = step / 5;
        switch (step % 5) {
        case 0:
        case 1:
            simulated.append(number, number % 4 == 0);
            break;
        case 2:
            simulated.prepare(number);
            break;
        default:
            simulated.expire(number % 4);
        }
        const auto fresh = simulated.fresh_reader();
        const auto* const fresh_record = fresh.current(topic);
        const auto* const reference_record = simulated.reference().current(topic);
        RC_ASSERT((fresh_record == nullptr) == (reference_record == nullptr));
        if (reference_record != nullptr) {
            RC_ASSERT(*fresh_record == *reference_record);
            RC_ASSERT(reference_record->content.version >= last_version);
            last_version = reference_record->content.version;
        }
    }
}

TEST(record_store, repeated_append_of_one_record_is_harmless) {
    record_store store;
    store.on_caught_up();
    const auto first = store.successor(topic);
    EXPECT_EQ(store.apply({0, first}), verdict::accepted);
    EXPECT_EQ(store.apply({1, first}), verdict::rejected);
    EXPECT_EQ(store.current(topic)->offset, 0);
}

TEST(record_store, racing_authors_one_wins) {
    record_store store;
    store.on_caught_up();
    store.apply({0, store.successor(topic)});
    auto one = store.successor(topic);
    auto two = store.successor(topic);
    one.id = "one";
    two.id = "two";
    EXPECT_EQ(store.apply({1, two}), verdict::accepted);
    EXPECT_EQ(store.apply({2, one}), verdict::rejected);
    EXPECT_EQ(store.current(topic)->content.id, "two");
}

TEST(record_store, peer_with_an_older_record_changes_nothing) {
    record_store store;
    store.on_caught_up();
    const auto first = store.successor(topic);
    store.apply({0, first});
    store.apply({1, store.successor(topic)});
    EXPECT_EQ(store.adopt({0, first}), verdict::rejected);
    EXPECT_EQ(store.current(topic)->content.version, 2);
}

TEST(record, survives_encoding) {
    record original{
        "id", {record_type::assignment, "service"}, 3, 17, "author", 5, R"({"a": "\"b\""})"};
    EXPECT_EQ(decode(encode(original)), original);
    EXPECT_FALSE(decode("{}"));
    EXPECT_FALSE(decode("no JSON"));
}
