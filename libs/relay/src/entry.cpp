#include "lavenderhoist/relay/internal/entry_state.hpp"

#include "lavenderhoist/core/hash.hpp"
#include "lavenderhoist/retry/retry_after.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lavenderhoist::relay {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

/** Retry delay for callers of a node that has no configuration yet. */
constexpr duration no_configuration_retry_after = std::chrono::milliseconds(300);

/** Retry delay for callers whose organisation has used up its quota. */
constexpr duration quota_retry_after = std::chrono::seconds(1);

/** Callers send their key in this field, after the scheme (RFC 6750). */
constexpr std::string_view key_field = "authorization";
constexpr std::string_view key_scheme = "Bearer ";

/** Log lines a second about single requests, as a sample; bounded under load. */
constexpr double failure_lines_per_second = 10;
constexpr double success_lines_per_second = 0.5;

std::optional<duration> parse_ms(std::string_view text) {
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return milliseconds(value);
}

std::uint64_t random_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

entry::entry(const entry_settings& settings, const wire_names& names, const view_cell& views,
             target_port& local_target, peer_links& peers, net::deadline_queue& deadlines,
             metrics::recorder& counters, const crash_watch& crashes, quota::quota_gate& quotas)
    : settings_(settings),
      names_(names),
      views_(views),
      local_target_(local_target),
      peers_(peers),
      deadlines_(deadlines),
      counters_(counters),
      crashes_(crashes),
      quotas_(quotas),
      random_(random_seed()),
      placement_(random_seed()),
      failure_lines_(failure_lines_per_second),
      success_lines_(success_lines_per_second) {}

entry::~entry() = default;

void entry::refresh() {
    bool is_new = false;
    views_.read([&](const view& present) {
        if (present.generation == generation_) {
            return;
        }
        generation_ = present.generation;
        table_ = present.table;
        is_new = present.hosts != hosts_;
        hosts_ = present.hosts;
    });
    if (is_new) {
        rebuild_targets();
    }
}

mesh::distance entry::distance_to(const mesh::host_record& record) const {
    if (record.id == settings_.node_id) {
        return mesh::distance::local_host;
    }
    return record.data_centre == settings_.data_centre ? mesh::distance::local_data_centre
                                                       : mesh::distance::remote_data_centre;
}

std::optional<quota::rate_quota> entry::find_quota(std::string_view organisation) const {
    return table_ ? table_->find_quota(organisation) : std::nullopt;
}

void entry::rebuild_targets() {
    quotas_.set_nodes(std::max<std::size_t>(1, hosts_->size()));
    std::unordered_map<std::string, std::vector<known_target_ptr>> next;
    for (const auto& record : *hosts_) {
        if (record.service.empty()) {
            continue;
        }
        const auto& known = services_[record.service].targets;
        const auto same = std::ranges::find_if(known, [&record](const known_target_ptr& each) {
            const auto& old = each->record();
            return old.id == record.id && old.call_address == record.call_address &&
                   old.target_id == record.target_id &&
                   old.target_started_at_ms == record.target_started_at_ms &&
                   old.node_stopping == record.node_stopping;
        });
        if (same != known.end()) {
            (*same)->update(record);
            next[record.service].push_back(*same);
            continue;
        }
        auto added = std::make_shared<known_target>(record, distance_to(record));
        const auto older = std::ranges::find_if(
            known, [&record](const known_target_ptr& each) { return each->is_same_start(record); });
        if (older != known.end()) {
            added->inherit(**older);
        }
        next[record.service].push_back(std::move(added));
    }
    for (auto& [name, service] : services_) {
        service.targets = std::move(next[name]);
        for (const auto& target : service.targets) {
            target->set_entries(hosts_->size());
        }
    }
}

const mesh::caller_limits* entry::limits() {
    refresh();
    return table_ ? &table_->limits() : nullptr;
}

const std::string& entry::choose_service(const mesh::route& route) {
    double total = 0;
    for (const auto& each : route.destinations) {
        total += each.weight;
    }
    if (total <= 0 || route.destinations.size() == 1) {
        return route.destinations.front().service;
    }
    auto left = std::uniform_real_distribution<double>(0, total)(random_);
    for (const auto& each : route.destinations) {
        left -= each.weight;
        if (left < 0) {
            return each.service;
        }
    }
    return route.destinations.back().service;
}

std::string_view entry::parent_of(std::string_view id) const {
    const auto end =
        names_.parent_separator == 0 ? std::string_view::npos : id.rfind(names_.parent_separator);
    return end == std::string_view::npos ? std::string_view() : id.substr(0, end);
}

entry::pending_ptr entry::accept(const std::shared_ptr<net::http_session>& session,
                                 net::request message) {
    const auto now = runtime_clock::now();
    const std::string id(net::find_header(message.fields, names_.request_id));
    if (!table_) {
        answer_error(session, id, status_unavailable, "no-configuration",
                     no_configuration_retry_after);
        return nullptr;
    }
    if (id.empty()) {
        answer_error(session, id, status_bad_request, "request id missing", duration(0));
        return nullptr;
    }
    const auto* const route = table_->find(message.host, message.path);
    if (route == nullptr) {
        answer_error(session, id, status_not_found, "unknown-route", duration(0));
        return nullptr;
    }
    auto made = std::make_shared<pending>();
    made->session = session;
    made->table = table_;
    made->route = route;
    made->started_at = now;
    auto& request = made->request;
    request.id = id;
    const auto left = parse_ms(net::find_header(message.fields, names_.time_left_ms));
    request.deadline = std::min(
        now + std::min<duration>(route->timeout, left.value_or(route->timeout)), answers_until_);
    request.objective = std::min(route->objective, route->timeout);
    request.service = choose_service(*route);
    request.caller = settings_.service;
    request.idempotent = route->idempotent;
    // A nested call has the importance of the request that entered first, so that every hop of a
    // call chain sheds the same chains.
    const auto* const parent = local_target_.find_running(parent_of(id));
    request.route = route->name;
    request.is_nested = parent != nullptr;
    if (parent != nullptr) {
        request.importance = parent->importance;
        request.is_retry = parent->is_retry;
        made->parent_route = parent->route;
        record_call(*made);
    }
    if (refusing_ && parent == nullptr) {
        answer_error(session, id, status_unavailable, "draining", default_retry_after);
        return nullptr;
    }
    const auto* const holder = find_holder(message);
    const bool needs_key = table_->requires_keys() && !route->is_open && parent == nullptr;
    if (needs_key && holder == nullptr) {
        refuse_without_key(session, id, message);
        return nullptr;
    }
    const int rank = holder != nullptr ? holder->rank.value_or(route->rank) : route->rank;
    request.importance =
        parent != nullptr ? parent->importance : admission::make_priority(rank, stable_hash(id));
    made->plan = attempt_plan(route->max_attempts, route->idempotent);
    const bool hides_key = table_->requires_keys();
    std::erase_if(message.fields, [this, hides_key](const net::header& field) {
        return field.name == names_.request_id || field.name == names_.time_left_ms ||
               field.name == names_.target_id || field.name == names_.caller ||
               field.name == names_.organisation || (hides_key && field.name == key_field) ||
               field.name.starts_with("lh-");
    });
    if (holder != nullptr && parent == nullptr) {
        made->holder = holder;
        message.fields.push_back({names_.organisation, holder->name});
    }
    request.message = std::move(message);
    return made;
}

const mesh::organisation* entry::find_holder(const net::request& message) const {
    const auto sent = net::find_header(message.fields, key_field);
    if (!sent.starts_with(key_scheme)) {
        return nullptr;
    }
    return table_->find_holder(sent.substr(key_scheme.size()));
}

void entry::refuse_without_key(const std::shared_ptr<net::http_session>& session,
                               const std::string& id, const net::request& message) {
    const bool has_key = !net::find_header(message.fields, key_field).empty();
    if (!has_key && !parent_of(id).empty()) {
        // A nested call, which carries no key, of a request that has ended here.
        answer_error(session, id, status_unavailable, "parent has ended", duration(0));
        return;
    }
    counters_.count("callers_without_key");
    answer_error(session, id, status_unauthorized, has_key ? "unknown key" : "key missing",
                 duration(0));
}

bool entry::try_refuse_over_quota(const pending_ptr& request) {
    const auto* const holder = request->holder;
    const auto now = request->started_at;
    if (holder == nullptr || !holder->quota ||
        quotas_.try_admit(holder->name, *holder->quota, stable_hash(request->request.id), now)) {
        return false;
    }
    const auto refused =
        make_failure(execution::not_run, errc::caller_limit, step::entry, request->request.service);
    counters_.count("over_quota");
    outcomes_.on_unanswered(request->route->name, errc::caller_limit, true);
    if (failure_lines_.take(now)) {
        log_end(*request, &refused, status_too_many);
    }
    const auto retry_after =
        std::min(retry::spread_retry_after(quota_retry_after, stable_hash(request->request.id)),
                 (request->request.deadline - now) / retry_after_divisor);
    answer_error(request->session, request->request.id, status_too_many,
                 refused.failure.code.message(), retry_after);
    return true;
}

void entry::serve(const std::shared_ptr<net::http_session>& session, net::request message) {
    refresh();
    const auto request = accept(session, std::move(message));
    if (!request || try_refuse_over_quota(request)) {
        return;
    }
    auto& service = services_[request->request.service];
    if (request->request.is_retry) {
        service.budget.on_inherited_retry(request->started_at, budget_limits());
    } else {
        service.budget.on_request(request->started_at, budget_limits());
    }
    service.failure_budget.on_request(request->started_at, budget_limits());
    service.last_request_at[request->route->name] = request->started_at;
    if (!request->request.is_nested) {
        guaranteed_.on_request(request->route->name);
    }
    pending_[session.get()] = request;
    request->deadline = deadlines_.add(request->request.deadline + answer_grace, [this, request] {
        request->deadline.reset();
        on_deadline(request);
    });
    place(request);
}

} // namespace lavenderhoist::relay
