// Callbacks of the operators' API.

#include "lavenderhoist/logging.hpp"
#include "lavenderhoist/node/control_worker.hpp"

#include <boost/json.hpp>

#include <utility>

namespace lavenderhoist::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration log_timeout = std::chrono::seconds(2);
const records::record_topic configuration_topic{records::record_type::configuration, ""};

std::string_view to_string(membership::liveness state) {
    switch (state) {
    case membership::liveness::alive:
        return "alive";
    case membership::liveness::suspect:
        return "suspect";
    case membership::liveness::dead:
        return "dead";
    case membership::liveness::left:
        return "left";
    }
    return "";
}

std::string_view to_string(records::verdict judged) {
    switch (judged) {
    case records::verdict::accepted:
        return "accepted";
    case records::verdict::rejected:
        return "lost";
    case records::verdict::duplicate:
        return "repeated";
    }
    return "";
}

json::object describe_record(const records::located_record& located) {
    return {{"version", located.content.version},
            {"offset", located.offset},
            {"replaces", located.content.replaces},
            {"author", located.content.author},
            {"id", located.content.id},
            {"written_ms", located.content.written_ms}};
}

net::response problem(int status, std::string_view title, json::object details = {}) {
    details["title"] = title;
    details["status"] = status;
    return json_response(status, details);
}

net::response describe_publication(const publication_result& result) {
    json::object body{{"id", result.id}};
    if (result.current) {
        body["standing"] = describe_record(*result.current);
    }
    switch (result.status) {
    case publication::current:
        body["result"] = "published";
        return json_response(200, body);
    case publication::conflict:
        return problem(409, "another configuration stands", std::move(body));
    case publication::unavailable:
        return problem(503, "the log is not available; nothing was published", std::move(body));
    case publication::unknown:
        break;
    }
    return problem(504, "the publication may yet take effect; see the history", std::move(body));
}

} // namespace

admin_api::actions control_worker::make_actions() {
    admin_api::actions actions;
    actions.is_ready = [this] { return config_ != nullptr && !state_.draining.load(); };
    actions.status = [this] { return status_json(); };
    actions.members = [this] { return members_json(); };
    actions.metrics = [this] { return metrics_json(); };
    actions.configuration = [this] { return configuration_json(); };
    actions.history = [this] { return history(); };
    actions.explain = [this](const std::string& request_id) { return explain(request_id); };
    actions.publish = [this](net::request message) {
        return publish_configuration(std::move(message));
    };
    actions.drain = [this] { drain_requested_(); };
    return actions;
}

json::object control_worker::status_json() {
    const auto target = target_.status();
    json::object described{
        {"limit", target.limit},         {"slots", target.slots},
        {"in_flight", target.in_flight}, {"waiting", target.waiting},
        {"level", target.level},         {"connections", target.target_connections}};
    described["callee_levels"] = json::value_from(target.callee_levels);
    described["service"] =
        target.target ? json::value(target.target->service) : json::value(nullptr);
    const json::object orders{{"epoch", target.epoch},
                              {"leased", target.is_leased},
                              {"settled", target.is_settled},
                              {"horizon_ms", target.horizon.count()},
                              {"running", target.orders_running},
                              {"kept", target.orders_kept},
                              {"clock_fault", clock_fault_}};
    const json::object control{{"messages_sent", peers_.messages()},
                               {"bytes_sent_and_answered", peers_.bytes()},
                               {"messages_served", served_messages_},
                               {"bytes_served", served_bytes_},
                               {"log_reads", log_.reads()},
                               {"log_appends", log_.appends()},
                               {"assignments_written", orders_.assignments_written()},
                               {"log_available", follower_.is_available()},
                               {"is_reader", relay_.is_reader()}};
    return {{"id", state_.settings.id},
            {"process", self_.process},
            {"data_centre", state_.settings.data_centre},
            {"draining", state_.draining.load()},
            {"configuration_version", config_version_},
            {"members", gossip_.members().size()},
            {"target", described},
            {"orders", orders},
            {"control", control}};
}

json::array control_worker::members_json() {
    json::array result;
    for (const auto& member : gossip_.members().all()) {
        json::object described{{"id", member.id},
                               {"state", to_string(member.state)},
                               {"incarnation", member.incarnation},
                               {"process", member.process},
                               {"data_centre", member.data_centre},
                               {"control", member.control_address},
                               {"calls", member.call_address}};
        if (member.target) {
            described["service"] = member.target->service;
            described["draining"] = member.target->draining;
        }
        result.emplace_back(std::move(described));
    }
    return result;
}

json::object control_worker::metrics_json() {
    auto all = target_.collect();
    for (const auto& entry : entries_) {
        all.merge(entry->collect());
    }
    return all.to_json();
}

json::object control_worker::configuration_json() {
    const auto* const current = store_.current(configuration_topic);
    if (current == nullptr) {
        return {{"version", 0}};
    }
    auto described = describe_record(*current);
    described["configuration"] = json::parse(current->content.body);
    return described;
}

asio::awaitable<net::response> control_worker::history() {
    const bool is_fresh = co_await follower_.read_to_tail(log_timeout);
    json::array entries;
    for (const auto& entry : follower_.history(records::record_type::configuration)) {
        auto described = describe_record(entry.record);
        described["judged"] = to_string(entry.judged);
        entries.emplace_back(std::move(described));
    }
    co_return json_response(200,
                            json::object{{"complete", is_fresh}, {"records", std::move(entries)}});
}

net::response control_worker::explain(const std::string& request_id) {
    for (const auto& entry : entries_) {
        if (const auto found = entry->explain(request_id)) {
            return json_response(200, to_json(*found));
        }
    }
    return problem(404, "this node keeps no refusal of that request");
}

asio::awaitable<net::response> control_worker::publish_configuration(net::request message) {
    json::error_code failed;
    const auto parsed = json::parse(message.body.str(), failed);
    if (failed || !parsed.is_object() || !parsed.as_object().contains("configuration")) {
        co_return problem(400,
                          "expected an object with the members configuration, replaces_version, "
                          "author and id");
    }
    const auto& object = parsed.get_object();
    const auto text = json::serialize(object.at("configuration"));
    const auto checked = config::parse_deployment(text, "configuration");
    if (const auto* const issues = std::get_if<std::vector<config::issue>>(&checked)) {
        json::array list;
        for (const auto& found : *issues) {
            list.emplace_back(config::describe(found));
        }
        co_return problem(422, "the configuration is not valid", {{"issues", std::move(list)}});
    }
    const auto* const base = object.if_contains("replaces_version");
    const auto* const id = object.if_contains("id");
    const auto* const author = object.if_contains("author");
    const bool is_complete = base != nullptr && base->is_int64() && id != nullptr &&
                             id->is_string() && author != nullptr && author->is_string();
    if (!is_complete) {
        co_return problem(400, "replaces_version must be an integer, author and id strings");
    }
    const auto base_version = base->as_int64();
    const std::string record_id(id->as_string());
    const std::string author_name(author->as_string());
    const auto write = [&](records::record next) -> std::optional<records::record> {
        if (next.version != base_version + 1) {
            return std::nullopt; // the operator changed a version that is not the current one
        }
        next.id = record_id;
        next.author = author_name;
        next.written_ms = wall_time().count();
        next.body = text;
        return next;
    };
    const auto result = co_await publisher_.publish(configuration_topic, write);
    logging::log_line(
        logging::severity::info, "configuration published",
        {{"author", author_name}, {"id", record_id}, {"result", static_cast<int>(result.status)}});
    co_return describe_publication(result);
}

} // namespace lavenderhoist::node
