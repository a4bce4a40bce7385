#pragma once

#include "lavenderhoist/orders.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderhoist::orders::test {

/** \brief A rule left out, to show that the world notices. */
enum class mutation {
    none,
    takeover_is_not_delayed,
    lease_runs_from_the_answer,
    outsiders_wait_like_members,
    horizon_is_ignored,
    lease_is_not_checked,
    hand_over_ignores_running,
    members_may_have_open_appends,
};

/** \brief One event: what happens, to which node, with which number. */
struct event {
    int kind{0};
    int node{0};
    int number{0};
};

inline constexpr int event_kinds = 20;

/**
 * \brief Several owners, a log and targets in virtual time, with kills, pauses, outages, lost
 * confirmations and clocks apart within their bound; counts how often each key ran.
 */
class world {
public:
    explicit world(mutation left_out = mutation::none);

    void apply(const event& what);

    /** \brief The most runs of any one key. */
    int most_runs() const;
    int total_runs() const;

private:
    struct dispatched {
        key order;
        time_point arrives;
        time_point start_by;
        std::uint64_t process{0};
        int node{0};
    };

    struct question {
        time_point asked;
        std::int64_t epoch; ///< Newest on the log, or known to all members.
        bool from_log;
    };

    struct process_state {
        process_state(int index, std::uint64_t number);

        ownership own;
        key_table table;
        lease held;
        std::vector<question> questions;
        std::size_t read{0};                     ///< Records read.
        std::optional<std::int64_t> open_append; ///< Epoch whose confirmation was lost.
        std::optional<time_point> quiet_until;
        std::int64_t handed_over{0};
    };

    struct node {
        std::unique_ptr<process_state> process; // null while down
        std::uint64_t number{1};
        milliseconds clock_offset{0};
        time_point paused_until{};
    };

    bool log_is_out() const noexcept { return now_ < log_out_until_; }
    milliseconds wall(int index) const;
    void apply_to_process(const event& what, int index);
    void read_log(int index);
    void ask_log(int index);
    void ask_members(int index);
    void receive(int index, int number);
    void write_assignment(int index, int number, bool confirmation_is_lost);
    void begin_order(int index, int number);
    void deliver(int number);
    void finish(int number);
    void hand_over(int index);
    void hand_over(int index, std::int64_t epoch);
    void restart(int index);
    std::vector<owner> wanted_owners(unsigned wanted) const;

    mutation left_out_;
    time_point now_{std::chrono::hours(1)};
    std::vector<node> nodes_;
    std::vector<assignment> log_;
    time_point log_out_until_{};
    std::vector<key> keys_;
    std::vector<dispatched> dispatched_;
    std::vector<dispatched> running_;
    std::map<key, int> runs_;
    std::mt19937_64 random_{7};
};

} // namespace lavenderhoist::orders::test
