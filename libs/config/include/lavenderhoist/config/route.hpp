#pragma once

#include <string>

namespace lavenderhoist::config {

/** \brief Assigns the requests with a method and a path prefix to a class. */
struct route {
    std::string method; ///< `*` matches every method.
    std::string prefix; ///< Path within the service, starting with `/`.
    std::string class_name;
    std::size_t class_index{0}; ///< Position of the class in deployment::classes.
};

} // namespace lavenderhoist::config
