#include "simulation.hpp"

#include <algorithm>

namespace lavenderhoist::orders::test {
namespace {

constexpr int node_count = 4;
constexpr milliseconds lease_length{100};
constexpr milliseconds outage_limit{600};
constexpr milliseconds clock_bound{20};
constexpr milliseconds retention{100'000};
constexpr milliseconds outage_after_loss{400};
constexpr std::size_t recent_keys = 6;
constexpr key_table::bounds table_bounds{64, 64, 1'024, retention};

owner owner_at(int index, std::uint64_t number) {
    return {"node-" + std::to_string(index), number};
}

} // namespace

simulation::process_state::process_state(int index, std::uint64_t number)
    : local_ownership(owner_at(index, number), {clock_bound, retention}),
      table(table_bounds),
      held_lease({lease_length, outage_limit}) {}

simulation::simulation(mutation left_out) : left_out_(left_out) {
    for (int i = 0; i < node_count; ++i) {
        node made;
        made.process = std::make_unique<process_state>(i, 1);
        made.clock_offset = clock_bound * i / (node_count - 1);
        nodes_.push_back(std::move(made));
    }
}

milliseconds simulation::wall(int index) const {
    const auto since_start = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    return since_start + nodes_[static_cast<std::size_t>(index)].clock_offset;
}

int simulation::max_runs() const {
    int result = 0;
    for (const auto& [order, count] : runs_) {
        result = std::max(result, count);
    }
    return result;
}

int simulation::total_runs() const {
    int total = 0;
    for (const auto& [order, count] : runs_) {
        total += count;
    }
    return total;
}

void simulation::apply(const event& what) {
    const int index = what.node % node_count;
    const auto& actor = nodes_[static_cast<std::size_t>(index)];
    const bool is_up = actor.process != nullptr && now_ >= actor.paused_until;
    switch (what.kind % event_kinds) {
    case 0:
        now_ += milliseconds(what.number % 24);
        return;
    case 1:
    case 2:
        return deliver(what.number);
    case 3:
        return finish(what.number);
    case 4:
        if (what.number % 8 == 0 && !is_log_unavailable()) {
            log_outage_until_ = now_ + milliseconds(what.number * 3);
        }
        return;
    case 5:
        if (what.number % 12 == 0) {
            restart(index);
        } else if (what.number % 12 == 1) {
            nodes_[static_cast<std::size_t>(index)].paused_until =
                now_ + milliseconds(what.number * 2);
        }
        return;
    default:
        break;
    }
    if (is_up) {
        apply_to_process(what, index);
    }
}

void simulation::apply_to_process(const event& what, int index) {
    switch (what.kind % event_kinds) {
    case 6:
    case 7:
        return query_log(index);
    case 8:
        return query_members(index);
    case 9:
    case 10:
        return receive(index, what.number);
    case 11:
        if (what.number % 5 == 0) {
            write_assignment(index, what.number / 5, what.number % 3 == 0);
        }
        return;
    case 12:
        return hand_over(index);
    case 13:
    case 14:
        return read_log(index);
    default:
        return begin_order(index, what.number);
    }
}

void simulation::read_log(int index) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    if (is_log_unavailable()) {
        return;
    }
    for (; process.read < log_.size(); ++process.read) {
        const auto& next = log_[process.read];
        process.local_ownership.on_assignment(next, now_, wall(index));
        process.held_lease.on_epoch(next.epoch);
        process.takeover_until = now_ + next.takeover_delay;
    }
    process.open_append.reset();
}

void simulation::query_log(int index) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    if (!is_log_unavailable()) {
        // The oldest state of the log that the response may contain; it is received later.
        process.queries.push_back({now_, static_cast<std::int64_t>(log_.size()), true});
    }
}

void simulation::query_members(int index) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    const auto* const current = process.local_ownership.current();
    if (current == nullptr || process.open_append) {
        return;
    }
    for (const auto& member : current->members) {
        const bool answers = std::ranges::any_of(nodes_, [&](const node& other) {
            if (!other.process || now_ < other.paused_until ||
                other.process->local_ownership.self() != member) {
                return false;
            }
            const auto* const known = other.process->local_ownership.current();
            const bool is_open = other.process->open_append.has_value() &&
                                 left_out_ != mutation::members_may_have_open_appends;
            return known != nullptr && known->epoch == current->epoch && !is_open;
        });
        if (!answers) {
            return;
        }
    }
    process.queries.push_back({now_, current->epoch, false});
}

void simulation::receive(int index, int number) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    if (process.queries.empty()) {
        return;
    }
    const auto place = process.queries.begin() + number % static_cast<int>(process.queries.size());
    const auto answered = *place;
    process.queries.erase(place);
    const auto from = left_out_ == mutation::lease_runs_from_the_answer ? now_ : answered.sent_at;
    if (answered.from_log) {
        process.held_lease.on_log_confirmed(answered.epoch, from);
    } else {
        process.held_lease.on_members_confirmed(answered.epoch, from);
    }
}

std::vector<owner> simulation::desired_owners(unsigned desired) const {
    std::vector<owner> result;
    for (int i = 0; i < node_count; ++i) {
        const auto& candidate = nodes_[static_cast<std::size_t>(i)];
        if (candidate.process && ((desired >> static_cast<unsigned>(i)) & 1U) != 0) {
            result.push_back(owner_at(i, candidate.number));
        }
    }
    return result;
}

void simulation::write_assignment(int index, int number, bool confirmation_is_lost) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    if (is_log_unavailable()) {
        return;
    }
    read_log(index);
    assignment next;
    next.epoch = static_cast<std::int64_t>(log_.size()) + 1;
    next.members = desired_owners(static_cast<unsigned>(number));
    if (next.members.empty()) {
        return;
    }
    author_view seen;
    const auto* const current = process.local_ownership.current();
    seen.is_first = current == nullptr;
    if (current != nullptr) {
        seen.is_member = current->contains(process.local_ownership.self()) ||
                         left_out_ == mutation::outsiders_wait_like_members;
        for (int i = 0; i < node_count; ++i) {
            const auto number = nodes_[static_cast<std::size_t>(i)].number;
            for (std::uint64_t ended = 1; ended < number; ++ended) {
                seen.has_ended_member =
                    seen.has_ended_member || current->contains(owner_at(i, ended));
            }
        }
        seen.remaining_delay = std::chrono::ceil<milliseconds>(*process.takeover_until - now_);
    }
    next.takeover_delay = left_out_ == mutation::takeover_is_not_delayed
                              ? milliseconds(0)
                              : takeover_delay(seen, {lease_length, outage_limit});
    log_.push_back(next);
    if (!confirmation_is_lost) {
        return read_log(index);
    }
    process.open_append = next.epoch;
    // A confirmation is often lost because an outage begins; some nodes have read the record.
    const int reader = number % node_count;
    if (reader != index && nodes_[static_cast<std::size_t>(reader)].process) {
        read_log(reader);
    }
    log_outage_until_ = now_ + outage_after_loss;
}

void simulation::begin_order(int index, int number) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    if (keys_.empty() || number % 3 == 0) {
        const auto issued = wall(number % node_count);
        keys_.push_back(key::make(issued, {random_(), random_()}));
    }
    if (keys_.size() > recent_keys) {
        keys_.erase(keys_.begin());
    }
    const auto& order = keys_[static_cast<std::size_t>(number) % keys_.size()];
    const auto verdict = process.local_ownership.decide(order, now_, wall(index));
    const bool is_allowed = std::holds_alternative<may_run>(verdict) ||
                            (left_out_ == mutation::horizon_is_ignored &&
                             std::holds_alternative<before_horizon>(verdict));
    const auto* const current = process.local_ownership.current();
    if (!is_allowed || current == nullptr) {
        return;
    }
    const bool is_leased = left_out_ == mutation::lease_is_not_checked ||
                           now_ < process.held_lease.valid_until(current->epoch);
    if (!is_leased) {
        return;
    }
    if (!std::holds_alternative<new_order>(process.table.begin_order(order, {"caller", 1}, now_))) {
        return;
    }
    const auto is_slow = number % 8 == 0;
    const auto arrives = now_ + (is_slow ? milliseconds(number) : milliseconds(0));
    const auto start_by = left_out_ == mutation::lease_is_not_checked
                              ? time_point::max()
                              : process.held_lease.valid_until(current->epoch);
    dispatched_.push_back(
        {order, arrives, start_by, process.local_ownership.self().process, index});
}

void simulation::deliver(int number) {
    if (dispatched_.empty()) {
        return;
    }
    const auto place = dispatched_.begin() + number % static_cast<int>(dispatched_.size());
    const auto arrived = *place;
    if (now_ < arrived.arrives) {
        return;
    }
    dispatched_.erase(place);
    if (now_ <= arrived.start_by) {
        ++runs_[arrived.order];
        running_.push_back(arrived);
        return;
    }
    const auto& sender = nodes_[static_cast<std::size_t>(arrived.node)];
    if (sender.process && sender.number == arrived.process) {
        sender.process->table.withdraw(arrived.order);
    }
}

void simulation::finish(int number) {
    if (running_.empty()) {
        return;
    }
    const auto place = running_.begin() + number % static_cast<int>(running_.size());
    const auto ended = *place;
    running_.erase(place);
    const auto& sender = nodes_[static_cast<std::size_t>(ended.node)];
    if (sender.process && sender.number == ended.process) {
        sender.process->table.complete_order(ended.order,
                                             {outcome::completed, 200, {}, "done", true}, now_);
    }
}

void simulation::hand_over(int index) {
    const auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    // For every pair of successive epochs that the process knows, not only the newest.
    for (std::size_t epoch = 2; epoch <= process.read; ++epoch) {
        hand_over(index, static_cast<std::int64_t>(epoch));
    }
}

void simulation::hand_over(int index, std::int64_t epoch) {
    auto& process = *nodes_[static_cast<std::size_t>(index)].process;
    const auto* const after = process.local_ownership.find(epoch);
    const auto* const before = process.local_ownership.find(epoch - 1);
    if (after == nullptr || before == nullptr ||
        !before->contains(process.local_ownership.self())) {
        return;
    }
    const auto horizon = process.local_ownership.horizon_to_hand_over(epoch, now_);
    if (!horizon) {
        return;
    }
    for (auto& other : nodes_) {
        if (!other.process || &process == other.process.get() ||
            !after->contains(other.process->local_ownership.self())) {
            continue;
        }
        const auto moves = [&](const key& order) {
            return *before->owner_of(order.hash()) == process.local_ownership.self() &&
                   *after->owner_of(order.hash()) == other.process->local_ownership.self();
        };
        if (process.table.has_running(moves) && left_out_ != mutation::hand_over_ignores_running) {
            continue;
        }
        for (auto& entry : process.table.export_finished(moves)) {
            other.process->table.import_finished(std::move(entry), now_);
        }
        other.process->local_ownership.on_hand_over(epoch, process.local_ownership.self(),
                                                    *horizon);
    }
}

void simulation::restart(int index) {
    auto& target = nodes_[static_cast<std::size_t>(index)];
    if (target.process) {
        target.process.reset();
        return;
    }
    ++target.number;
    target.process = std::make_unique<process_state>(index, target.number);
}

} // namespace lavenderhoist::orders::test
