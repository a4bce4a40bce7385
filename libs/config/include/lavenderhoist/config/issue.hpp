#pragma once

#include <string>

namespace lavenderhoist::config {

/** \brief A fault in a JSON document, with what is needed to correct it. */
struct issue {
    std::string file;      ///< Name of the document as the operator gave it.
    std::string path;      ///< JSON path of the faulty value, such as `$.services[2].slots`.
    std::string value;     ///< The value as written, shortened.
    std::string permitted; ///< What would have been accepted.
};

/** \brief Renders an issue on one line: `file: path: value: expected permitted`. */
std::string describe(const issue& found);

} // namespace lavenderhoist::config
