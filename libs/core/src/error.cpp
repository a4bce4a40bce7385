#include "lavenderhoist/core/error.hpp"

#include <array>

namespace lavenderhoist {
namespace {

constexpr std::array<std::string_view, 29> code_names{
    "ok",           "bad-request",  "unknown-service", "unknown-route",   "bad-key",
    "key-reused",   "deadline",     "overloaded",      "queue-full",      "refused-early",
    "callee-limit", "caller-limit", "no-target",       "quarantined",     "draining",
    "not-owner",    "no-lease",     "key-too-old",     "key-from-future", "peer-lost",
    "target-lost",  "target-shed",  "bad-answer",      "cancelled",       "no-configuration",
    "too-large",    "unauthorised", "log-unavailable", "conflict"};
static_assert(code_names.size() == static_cast<std::size_t>(errc::conflict) + 1,
              "give every errc a name, in the order of the enumeration");

constexpr std::array<std::string_view, 9> step_names{
    "entry", "route", "connect", "stream", "admission", "owner", "target", "log", "control"};
static_assert(step_names.size() == static_cast<std::size_t>(step::control) + 1,
              "give every step a name, in the order of the enumeration");

class errc_category final : public std::error_category {
public:
    const char* name() const noexcept override { return "lavenderhoist"; }
    std::string message(int value) const override {
        return std::string(to_string(static_cast<errc>(value)));
    }
};

} // namespace

std::string_view to_string(errc code) noexcept {
    return code_names[static_cast<std::size_t>(code)];
}

std::string_view to_string(step where) noexcept {
    return step_names[static_cast<std::size_t>(where)];
}

errc parse_errc(std::string_view name) noexcept {
    for (std::size_t i = 0; i < code_names.size(); ++i) {
        if (code_names[i] == name) {
            return static_cast<errc>(i);
        }
    }
    return errc::ok;
}

step parse_step(std::string_view name) noexcept {
    for (std::size_t i = 0; i < step_names.size(); ++i) {
        if (step_names[i] == name) {
            return static_cast<step>(i);
        }
    }
    return step::entry;
}

const std::error_category& category() noexcept {
    static const errc_category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept {
    return {static_cast<int>(code), category()};
}

std::string describe(const error& failure) {
    std::string text(to_string(failure.where));
    if (!failure.peer.empty()) {
        text += ' ';
        text += failure.peer;
    }
    text += ": ";
    text += failure.code.message();
    return text;
}

} // namespace lavenderhoist
