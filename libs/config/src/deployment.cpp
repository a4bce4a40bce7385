#include "lavenderhoist/config/deployment.hpp"

#include "lavenderhoist/config/internal/object_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace lavenderhoist::config {
namespace {

using internal::integer_rule;
using internal::object_reader;

constexpr integer_rule rank_rule{0, max_rank, std::nullopt};
constexpr integer_rule deadline_ms_rule{10, 600'000, std::nullopt};
constexpr integer_rule retry_credits_rule{0, 10, 1};
constexpr integer_rule slots_rule{1, 100'000, std::nullopt};
constexpr integer_rule connections_rule{1, 100'000, std::nullopt};
constexpr integer_rule callee_share_rule{1, 100, 60};

/** Builds a deployment from its JSON document, with one member function for each kind of object. */
class deployment_builder {
public:
    deployment_builder(std::string file, std::vector<issue>& issues)
        : file_(std::move(file)), issues_(issues) {}

    void read(object_reader& reader) {
        result_.name = reader.string("deployment");
        reader.each("classes", true, [this](const auto& element, const auto& path) {
            internal::read_element(element, file_, path, issues_,
                                   [this](auto& r) { read_class(r); });
        });
        reader.each("services", true, [this](const auto& element, const auto& path) {
            internal::read_element(element, file_, path, issues_,
                                   [this](auto& r) { read_service(r); });
        });
        std::ranges::sort(result_.services, {}, &service::name);
    }

    deployment result() && { return std::move(result_); }

private:
    void read_class(object_reader& reader) {
        request_class parsed;
        parsed.name = reader.string("name");
        parsed.rank = static_cast<int>(reader.integer("rank", rank_rule));
        parsed.deadline =
            std::chrono::milliseconds(reader.integer("deadline_ms", deadline_ms_rule));
        parsed.retry_credits =
            static_cast<int>(reader.integer("retry_credits", retry_credits_rule));
        parsed.must_not_repeat = reader.boolean("must_not_repeat", false);
        if (class_index(parsed.name) != result_.classes.size()) {
            reader.report("name", parsed.name, "a name that no other class has");
        }
        result_.classes.push_back(std::move(parsed));
    }

    void read_service(object_reader& reader) {
        service parsed;
        parsed.name = reader.string("name");
        parsed.slots = static_cast<int>(reader.integer("slots", slots_rule));
        parsed.connections = static_cast<int>(reader.integer("connections", connections_rule));
        parsed.callee_share_percent =
            static_cast<int>(reader.integer("callee_share_percent", callee_share_rule));
        reader.each("routes", true, [this, &parsed](const auto& element, const auto& path) {
            internal::read_element(element, file_, path, issues_,
                                   [this, &parsed](auto& r) { read_route(r, parsed); });
        });
        if (parsed.name.find('/') != std::string::npos) {
            reader.report("name", parsed.name, "a name without '/'");
        }
        if (parsed.connections < parsed.slots) {
            reader.report("connections", std::to_string(parsed.connections), "at least the slots");
        }
        for (const auto& other : result_.services) {
            if (other.name == parsed.name) {
                reader.report("name", parsed.name, "a name that no other service has");
            }
        }
        std::ranges::stable_sort(parsed.routes, std::greater<>(),
                                 [](const route& r) { return r.prefix.size(); });
        result_.services.push_back(std::move(parsed));
    }

    void read_route(object_reader& reader, service& owner) {
        route parsed;
        parsed.method = reader.string("method", "*");
        parsed.prefix = reader.string("prefix");
        parsed.class_name = reader.string("class");
        parsed.class_index = class_index(parsed.class_name);
        if (!parsed.prefix.starts_with('/')) {
            reader.report("prefix", parsed.prefix, "a path that starts with '/'");
        }
        if (parsed.class_index == result_.classes.size()) {
            reader.report("class", parsed.class_name, "the name of a class of this document");
        }
        owner.routes.push_back(std::move(parsed));
    }

    std::size_t class_index(std::string_view name) const {
        const auto found = std::ranges::find(result_.classes, name, &request_class::name);
        return static_cast<std::size_t>(found - result_.classes.begin());
    }

    std::string file_;
    std::vector<issue>& issues_;
    deployment result_;
};

} // namespace

const service* deployment::find_service(std::string_view service_name) const noexcept {
    const auto found = std::ranges::lower_bound(services, service_name, {}, &service::name);
    if (found == services.end() || found->name != service_name) {
        return nullptr;
    }
    return &*found;
}

bool deployment::has_orders(const service& owner) const noexcept {
    return std::ranges::any_of(owner.routes, [this](const route& candidate) {
        return classes[candidate.class_index].must_not_repeat;
    });
}

parsed_deployment parse_deployment(std::string_view text, std::string_view file) {
    std::vector<issue> issues;
    deployment_builder builder(std::string(file), issues);
    auto syntax_issues = internal::read_document(
        text, file, [&builder](object_reader& reader) { builder.read(reader); });
    issues.insert(issues.end(), syntax_issues.begin(), syntax_issues.end());
    if (!issues.empty()) {
        return issues;
    }
    return std::move(builder).result();
}

} // namespace lavenderhoist::config
