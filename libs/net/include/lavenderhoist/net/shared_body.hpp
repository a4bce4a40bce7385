#pragma once

#include "lavenderhoist/net/memory_charge.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lavenderhoist::net {

/** \brief The bytes of a body, shared by its copies: a request is kept for another attempt while it
 * is sent. */
class shared_body {
public:
    shared_body() = default;

    /** \param charge counts the bytes until the last copy is destroyed. */
    shared_body(std::string bytes, memory_charge charge = {})
        : content_(bytes.empty()
                       ? nullptr
                       : std::make_shared<const content>(std::move(bytes), std::move(charge))) {}
    shared_body(const char* bytes) : shared_body(std::string(bytes)) {}

    const std::string& str() const noexcept {
        static const std::string none;
        return content_ ? content_->bytes : none;
    }

    operator const std::string&() const noexcept { return str(); }
    operator std::string_view() const noexcept { return str(); }

    bool empty() const noexcept { return content_ == nullptr; }
    std::size_t size() const noexcept { return str().size(); }

    bool operator==(const shared_body& other) const noexcept { return str() == other.str(); }

private:
    struct content {
        content(std::string given, memory_charge counted)
            : bytes(std::move(given)), charge(std::move(counted)) {}
        std::string bytes;
        memory_charge charge;
    };

    std::shared_ptr<const content> content_;
};

} // namespace lavenderhoist::net
