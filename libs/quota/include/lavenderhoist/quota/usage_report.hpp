#pragma once

#include "lavenderhoist/quota/usage.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderhoist::quota {

/** \brief Usage of organisations as a node reports it, its own or that of its data centre. */
struct usage_report {
    struct counts {
        usage total;  ///< Since the source began to count.
        usage recent; ///< In the last usage_window::length.

        bool operator==(const counts&) const = default;
    };

    std::string origin; ///< Whose usage it is: a node, or a data centre.
    std::string source; ///< Who counted; another one begins at other totals.
    bool is_data_centre{false};
    std::map<std::string, counts, std::less<>> organisations; ///< Those with recent usage.

    bool operator==(const usage_report&) const = default;
};

/** \brief What may be admitted of an organisation's requests, at all nodes together. */
struct allowance {
    double share{1}; ///< Of the arriving requests, from 0 to 1.
    double left{0};  ///< Requests that may be admitted at once; negative after too many were.

    bool operator==(const allowance&) const = default;
};

/** \brief Allowances of the organisations that have used up a good part of their quotas. */
using allowances = std::map<std::string, allowance, std::less<>>;

std::string encode(const usage_report& report);

/** \returns nothing if the text is no report; malformed organisations are left out. */
std::optional<usage_report> decode_usage_report(std::string_view text);

std::string encode(const allowances& found);

/** \returns nothing if the text holds no allowances; malformed ones are left out. */
std::optional<allowances> decode_allowances(std::string_view text);

} // namespace lavenderhoist::quota
