#pragma once

#include "lavenderhoist/orders.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lavenderhoist::orders::test {

/** \brief A rule that is left out, to show that the model detects it. */
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

/** \brief One event: its kind, the node that it affects, and a number that selects the details. */
struct event {
    int kind{0};
    int node{0};
    int number{0};
};

inline constexpr int event_kinds = 20;

/**
 * \brief Model of several owners, a log and targets in virtual time, with kills, pauses, outages,
 * lost confirmations and clock differences within the bound; counts the executions of each key.
 */
class simulation {
public:
    explicit simulation(mutation left_out = mutation::none);

    void apply(const event& what);

    /** \brief Maximum number of executions of one key. */
    int max_runs() const;
    int total_runs() const;

private:
    struct dispatched {
        key order;
        time_point arrives;
        time_point start_by;
        std::uint64_t process{0};
        int node{0};
    };

    struct query {
        time_point sent_at;
        std::int64_t epoch; ///< Newest in the log, or known to all members.
        bool from_log;
    };

    struct process_state {
        process_state(int index, std::uint64_t number);

        ownership local_ownership;
        key_table table;
        lease held_lease;
        std::vector<query> queries;
        std::size_t read{0};                     ///< Records read.
        std::optional<std::int64_t> open_append; ///< Epoch whose confirmation was lost.
        std::optional<time_point> takeover_until;
        std::int64_t handed_over{0};
    };

    struct node {
        std::unique_ptr<process_state> process; // null while down
        std::uint64_t number{1};
        milliseconds clock_offset{0};
        time_point paused_until{};
    };

    bool is_log_unavailable() const noexcept { return now_ < log_outage_until_; }
    milliseconds wall(int index) const;
    void apply_to_process(const event& what, int index);
    void read_log(int index);
    void query_log(int index);
    void query_members(int index);
    void receive(int index, int number);
    void write_assignment(int index, int number, bool confirmation_is_lost);
    void begin_order(int index, int number);
    void deliver(int number);
    void finish(int number);
    void hand_over(int index);
    void hand_over(int index, std::int64_t epoch);
    void restart(int index);
    std::vector<owner> desired_owners(unsigned desired) const;

    mutation left_out_;
    time_point now_{std::chrono::hours(1)};
    std::vector<node> nodes_;
    std::vector<assignment> log_;
    time_point log_outage_until_{};
    std::vector<key> keys_;
    std::vector<dispatched> dispatched_;
    std::vector<dispatched> running_;
    std::map<key, int> runs_;
    std::mt19937_64 random_{7};
};

} // namespace lavenderhoist::orders::test
