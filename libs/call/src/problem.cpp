#include "lavenderhoist/call/problem.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace lavenderhoist::node {
namespace {

namespace json = boost::json;

net::response render(int status, json::object document) {
    net::response message;
    message.status = status;
    message.fields.push_back({"content-type", "application/problem+json"});
    document["status"] = status;
    message.body = json::serialize(document);
    return message;
}

void add_retry_after(net::response& message, duration wait) {
    if (wait.count() <= 0) {
        return;
    }
    const auto whole_seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    const auto exact = std::chrono::duration_cast<milliseconds>(wait);
    message.fields.push_back({"retry-after", std::to_string(whole_seconds.count())});
    message.fields.push_back({"lh-retry-after-ms", std::to_string(exact.count())});
}

} // namespace

call_answer make_failure(outcome result, errc cause, step where, std::string peer,
                         duration retry_after) {
    call_answer answer;
    answer.result = result;
    answer.failure = {cause, where, std::move(peer)};
    answer.retry_after = retry_after;
    return answer;
}

int status_of(errc cause) noexcept {
    switch (cause) {
    case errc::bad_request:
    case errc::bad_key:
    case errc::key_from_future:
        return 400;
    case errc::unauthorised:
        return 401;
    case errc::unknown_service:
    case errc::unknown_route:
        return 404;
    case errc::conflict:
    case errc::key_too_old:
        return 409;
    case errc::too_large:
        return 413;
    case errc::key_reused:
        return 422;
    case errc::caller_limit:
        return 429;
    case errc::target_lost:
    case errc::peer_lost:
    case errc::bad_answer:
        return 502;
    case errc::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

net::response render_for_caller(const call_answer& answer, std::string_view request_id) {
    net::response message;
    if (answer.from_target) {
        message = answer.message;
    } else {
        const auto cause = static_cast<errc>(answer.failure.code.value());
        message = render(status_of(cause), {{"title", answer.failure.code.message()},
                                            {"detail", describe(answer.failure)},
                                            {"step", to_string(answer.failure.where)},
                                            {"peer", answer.failure.peer},
                                            {"outcome", to_string(answer.result)},
                                            {"request", request_id}});
    }
    message.fields.push_back({"lh-outcome", std::string(to_string(answer.result))});
    message.fields.push_back({"lh-request-id", std::string(request_id)});
    add_retry_after(message, answer.retry_after);
    return message;
}

net::response render_fault(int status, std::string_view reason) {
    auto message = render(status, {{"title", "request not accepted"},
                                   {"detail", reason},
                                   {"step", to_string(step::entry)},
                                   {"outcome", to_string(outcome::not_run)}});
    message.fields.push_back({"lh-outcome", std::string(to_string(outcome::not_run))});
    return message;
}

} // namespace lavenderhoist::node
