#pragma once

#include "lavenderhoist/config/address.hpp"
#include "lavenderhoist/config/issue.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderhoist::config::internal {

/** \brief The permitted range of an integer, and its default if the document omits it. */
struct integer_rule {
    std::int64_t min{0};
    std::int64_t max{0};
    std::optional<std::int64_t> fallback; ///< Absent: the member is required.
};

/** \brief The permitted range of a number, and its default if the document omits it. */
struct number_rule {
    double min{0};
    double max{0};
    std::optional<double> fallback; ///< Absent: the member is required.
};

/**
 * \brief Reads the members of one JSON object and reports each fault with its path.
 *
 * Precondition: the object outlives the reader. Call finish() last; it reports unknown members.
 */
class object_reader {
public:
    object_reader(const boost::json::object& source, std::string file, std::string path,
                  std::vector<issue>& issues);

    std::int64_t integer(std::string_view name, const integer_rule& rule);
    double number(std::string_view name, const number_rule& rule);
    std::string string(std::string_view name, std::optional<std::string> fallback = std::nullopt);
    std::string one_of(std::string_view name, const std::vector<std::string>& values,
                       const std::string& fallback);
    bool boolean(std::string_view name, bool fallback);
    address network_address(std::string_view name, std::optional<address> fallback = std::nullopt);

    /** \brief True if the member is null: a template had no value for it. */
    bool is_null(std::string_view name);

    /** \brief Calls `read` with each element of an array, and with the element's path. */
    void each(std::string_view name, bool required,
              const std::function<void(const boost::json::value&, const std::string&)>& read);

    /** \brief Calls `read` with a reader of the member, which must be an object. */
    void child(std::string_view name, const std::function<void(object_reader&)>& read);

    /** \brief Reports a fault of the member `name`. */
    void report(std::string_view name, std::string value, std::string permitted);

    void finish();

private:
    const boost::json::value* find(std::string_view name);
    std::string path_of(std::string_view name) const;

    const boost::json::object& source_;
    std::string file_;
    std::string path_;
    std::vector<issue>& issues_;
    std::set<std::string, std::less<>> known_;
};

/**
 * \brief Parses `text` as one JSON object and calls `read` with a reader of it.
 * \returns all faults, those of the syntax included; empty if there was none.
 */
std::vector<issue> read_document(std::string_view text, std::string_view file,
                                 const std::function<void(object_reader&)>& read);

/** \brief Reads an array element that must be an object; finishes the reader afterwards. */
void read_element(const boost::json::value& element, const std::string& file,
                  const std::string& path, std::vector<issue>& issues,
                  const std::function<void(object_reader&)>& read);

} // namespace lavenderhoist::config::internal
