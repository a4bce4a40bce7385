#include "lavenderhoist/relay/crash_watch.hpp"
#include "lavenderhoist/relay/internal/target_job.hpp"

#include "lavenderhoist/logging/log.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavenderhoist::relay {

namespace {

/** Timeout for connecting to the target, which is on the same host. */
constexpr duration connect_timeout = std::chrono::milliseconds(300);

/** After a failed connection, requests are refused for this long before the next attempt. */
constexpr duration reconnect_delay = std::chrono::milliseconds(100);

/** Share of an idle connection's announced lifetime (keep-alive timeout) for which it is used. */
constexpr int idle_use_percent = 70;

/** Assumed lifetime of idle connections to a target that announces none: it is below a second,
 * since targets announce whole seconds. */
constexpr duration default_idle_lifetime = std::chrono::milliseconds(500);
constexpr std::size_t max_answer_bytes = 64U << 20U;

/** Bound on the total of all partly received answers: a fifth of the minimum memory of a node, 160
 * MB, since a growing string briefly holds up to three times its bytes. */
constexpr std::size_t max_received_bytes = 32U << 20U;
constexpr int status_misdirected = 421;
constexpr int first_failure_status = 300;
constexpr int status_success = 200;

} // namespace

void target_port::start(const job_ptr& job) {
    job->admitted = true;
    if (!target_) {
        finish(job, make_failure(execution::not_run, errc::no_target, step::target, node_id_),
               admission::completion::failed);
        return;
    }
    job->target_id = target_->id;
    job->target_started_at_ms = target_->started_at_ms;
    if (const auto link = take_idle_link(*job)) {
        send(job, link);
        return;
    }
    if (links_.size() >= static_cast<std::size_t>(target_->max_connections)) {
        finish(job, make_failure(execution::not_run, errc::overloaded, step::connect, node_id_),
               admission::completion::failed);
        return;
    }
    connect(job);
}

target_port::link_ptr target_port::take_idle_link(const job& job) {
    if (refused_ids_.contains(job.request.id)) {
        return nullptr;
    }
    while (!idle_.empty()) {
        auto link = std::move(idle_.back());
        idle_.pop_back();
        if (link->is_idle()) {
            return link;
        }
        links_.erase(link.get());
    }
    return nullptr;
}

void target_port::connect(const job_ptr& job) {
    job->connecting = std::make_shared<net::tcp::socket>(executor_);
    const auto where = target_->where;
    const auto timeout =
        deadlines_.add(runtime_clock::now() + connect_timeout, [socket = job->connecting] {
            boost::system::error_code ignored;
            socket->close(ignored);
        });
    const auto timer = std::make_shared<std::optional<net::deadline_queue::handle>>(timeout);
    ++totals_.opened_connections;
    job->connecting->async_connect(where, [this, job, timer, socket = job->connecting,
                                           where](const boost::system::error_code& failed) {
        if (socket->is_open()) {
            deadlines_.remove(**timer);
        }
        job->connecting.reset();
        const bool is_refused = failed == boost::asio::error::connection_refused;
        const bool has_moved = !target_ || target_->where != where;
        if (is_refused && !has_moved) {
            on_target_ended();
        }
        if (!jobs_.contains(job->id)) {
            return; // cancelled while connecting
        }
        if (failed || !socket->is_open() || has_moved) {
            down_until_ = has_moved ? down_until_ : runtime_clock::now() + reconnect_delay;
            finish(job,
                   make_failure(execution::not_run, errc::target_lost, step::connect, node_id_),
                   admission::completion::failed);
            return;
        }
        send(job, add_link(std::move(*socket)));
    });
}

target_port::link_ptr target_port::add_link(net::tcp::socket socket) {
    crashes_.on_connected();
    const auto link = std::make_shared<net::http_link>(std::move(socket), max_answer_bytes);
    links_.emplace(link.get(), link);
    link->start(
        [this](net::http_link& lost) {
            std::erase_if(idle_, [&lost](const auto& each) { return each.get() == &lost; });
            links_.erase(&lost);
        },
        [this] { enforce_received_limit(); });
    return link;
}

void target_port::check_target() {
    const bool has_room =
        target_ && links_.size() < static_cast<std::size_t>(target_->max_connections);
    if (!has_room || std::exchange(is_checking_target_, true)) {
        return;
    }
    const auto socket = std::make_shared<net::tcp::socket>(executor_);
    const auto where = target_->where;
    const auto started_at_ms = target_->started_at_ms;
    const auto timeout = deadlines_.add(runtime_clock::now() + connect_timeout, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    ++totals_.opened_connections;
    socket->async_connect(where, [this, socket, timeout, where,
                                  started_at_ms](const boost::system::error_code& failed) {
        is_checking_target_ = false;
        const bool is_in_time = socket->is_open();
        if (is_in_time) {
            deadlines_.remove(timeout);
        }
        const bool is_same_start =
            target_ && target_->where == where && target_->started_at_ms == started_at_ms;
        if (failed == boost::asio::error::connection_refused && is_same_start) {
            on_target_ended();
        } else if (!failed && is_in_time && is_same_start) {
            idle_.push_back(add_link(std::move(*socket)));
        }
    });
}

void target_port::on_target_ended() {
    std::vector<quarantine::request_digests> running;
    for (const auto& [id, job] : jobs_) {
        if (job->sent && is_of_current_start(*job)) {
            running.push_back(job->digests);
        }
    }
    if (!is_accepting()) { // planned
        crashes_.forget_unanswered();
        return;
    }
    crashes_.on_target_ended(target_->id, target_->started_at_ms, std::move(running));
}

bool target_port::is_of_current_start(const job& job) const noexcept {
    return target_ && job.target_id == target_->id &&
           job.target_started_at_ms == target_->started_at_ms;
}

net::request target_port::make_message(const job& job) const {
    auto message = job.request.message;
    const auto left =
        std::chrono::duration_cast<milliseconds>(job.request.deadline - runtime_clock::now());
    auto& fields = message.fields;
    fields.push_back({names_.request_id, job.request.id});
    fields.push_back(
        {names_.time_left_ms, std::to_string(std::max<milliseconds::rep>(1, left.count()))});
    fields.push_back({names_.target_id, job.target_id});
    fields.push_back({names_.caller, job.request.caller});
    return message;
}

void target_port::send(const job_ptr& job, const link_ptr& link) {
    job->link = link;
    job->sent = true;
    job->sent_at = runtime_clock::now();
    running_.erase(job->request.id); // the old key is a view into the old job
    running_.emplace(job->request.id, job.get());
    ++totals_.sent_requests;
    link->exchange(make_message(*job), {names_.request_id, job->request.id},
                   [this, job](net::exchange_result result) { on_answer(job, std::move(result)); });
}

void target_port::on_answer(const job_ptr& job, net::exchange_result result) {
    if (const auto link = std::exchange(job->link, nullptr); link && link->is_idle()) {
        idle_.push_back(link);
    }
    if (received_charge_) {
        count_received();
    }
    const bool is_current = is_of_current_start(*job);
    if (!result.code && is_current && result.answer.status != status_misdirected) {
        on_notice(*job, read_notice(result.answer.fields, names_));
    }
    const bool has_lost_link = static_cast<bool>(result.code);
    answered_at_ = has_lost_link ? answered_at_ : runtime_clock::now();
    auto answer = interpret(*job, std::move(result));
    if (answer.result == execution::answered) {
        crashes_.on_completed(job->digests);
    }
    if (answer.result == execution::not_run) {
        refused_ids_.insert_or_assign(job->request.id, job->request.deadline);
    }
    if (has_lost_link && is_current) {
        crashes_.on_unanswered(job->digests);
        check_target();
    }
    auto how = admission::completion::answered;
    if (answer.result == execution::not_run) {
        how = admission::completion::shed;
    } else if (answer.result == execution::unknown) {
        how = admission::completion::failed;
    }
    finish(job, std::move(answer), how);
}

relay_answer target_port::interpret(const job& job, net::exchange_result result) const {
    if (result.code) {
        const auto cause = static_cast<errc>(result.code.value());
        return make_failure(execution::unknown, cause, step::target, node_id_);
    }
    const auto& fields = result.answer.fields;
    const int status = result.answer.status;
    const bool is_shed = !net::find_header(fields, names_.not_executed).empty();
    if (is_shed || status == status_misdirected) {
        const auto cause = status == status_misdirected ? errc::no_target : errc::target_shed;
        auto refused = make_failure(execution::not_run, cause, step::target, node_id_);
        refused.retry_after = default_retry_after;
        return refused;
    }
    const bool is_success = status >= status_success && status < first_failure_status;
    const bool is_signed = !net::find_header(fields, names_.signature).empty();
    const bool is_encoded = !net::find_header(fields, "content-encoding").empty();
    if (is_success && (!is_signed || is_encoded)) {
        return make_failure(execution::unknown, errc::bad_answer, step::target, node_id_);
    }
    (void)job;
    relay_answer answer;
    answer.result = execution::answered;
    answer.message = std::move(result.answer);
    return answer;
}

std::size_t target_port::received() const {
    std::size_t total = 0;
    for (const auto& [where, link] : links_) {
        total += link->received();
    }
    return total;
}

void target_port::abort_largest_answer() {
    const auto found = std::ranges::max_element(
        links_, {}, [](const auto& each) { return each.second->received(); });
    if (found == links_.end()) {
        return;
    }
    const auto largest = found->second;
    logging::log_line(logging::severity::warning, "answer broken off",
                      {{"target", target_ ? target_->id : ""},
                       {"bytes", largest->received()},
                       {"bytes_of_all_answers", received()}});
    largest->abort(errc::bad_answer);
}

void target_port::enforce_received_limit() {
    while (received() > max_received_bytes) {
        abort_largest_answer();
    }
    count_received();
}

void target_port::count_received() {
    const auto total = received();
    if (total == 0) {
        received_charge_.reset();
        return;
    }
    if (!received_charge_) {
        received_charge_ = net::memory_charge(memory_, [this](auto /*what*/) {
            received_charge_.reset();
            abort_largest_answer();
        });
    }
    received_charge_.resize(total);
}

void target_port::close_expiring_links() {
    const auto now = runtime_clock::now();
    const auto is_old = [now](const link_ptr& link) {
        const auto lifetime = link->idle_limit().value_or(default_idle_lifetime);
        return now - link->idle_since() > lifetime * idle_use_percent / 100;
    };
    std::vector<link_ptr> closing;
    std::ranges::copy_if(idle_, std::back_inserter(closing), is_old);
    std::erase_if(idle_, is_old);
    for (const auto& link : closing) {
        links_.erase(link.get());
        link->abandon();
    }
}

void target_port::close_silent_links(const job& unanswered) {
    // Connections may fall silent without a reset, all at once, while new ones work.
    if (answered_at_ < unanswered.sent_at) {
        close_idle_links();
    }
}

void target_port::close_idle_links() {
    for (const auto& link : std::exchange(idle_, {})) {
        links_.erase(link.get());
        link->abandon();
    }
}

} // namespace lavenderhoist::relay
