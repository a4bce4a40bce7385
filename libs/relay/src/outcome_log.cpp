#include "lavenderhoist/relay/outcome_log.hpp"

#include <boost/json/object.hpp>

#include <utility>

namespace lavenderhoist::relay {

void outcome_log::on_answered(const std::string& route, bool has_failed) {
    auto& known = routes_[route];
    ++(has_failed ? known.failed : known.answered);
}

void outcome_log::on_unanswered(const std::string& route, errc cause, bool has_not_run) {
    auto& known = routes_[route];
    ++(has_not_run ? known.not_run[cause] : known.unknown);
}

boost::json::array outcome_log::take() {
    boost::json::array lines;
    for (const auto& [route, each] : std::exchange(routes_, {})) {
        boost::json::object line{{"route", route},
                                 {"answered", each.answered},
                                 {"failed", each.failed},
                                 {"unknown", each.unknown}};
        boost::json::object not_run;
        for (const auto& [cause, count] : each.not_run) {
            not_run[make_error_code(cause).message()] = count;
        }
        line["not_run"] = std::move(not_run);
        lines.emplace_back(std::move(line));
    }
    return lines;
}

} // namespace lavenderhoist::relay
