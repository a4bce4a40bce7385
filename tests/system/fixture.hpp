#pragma once

#include "lavenderhoist/harness.hpp"

#include <string>

namespace lavenderhoist::system_test {

/** \brief Two services in a chain: orders to `permits` call `barriers`. */
harness::deployment_spec chain_of_two();

/** \brief The configuration of chain_of_two(), with another deadline for reads. */
std::string chain_configuration(int read_deadline_ms = 2'000);

/** \brief Sends one request to the callers' listener of a host. */
net::exchange_result send_request(const harness::host& through, const std::string& method,
                                  const std::string& path, const std::string& body = {},
                                  net::headers fields = {});

/** \brief The `lh-outcome` field of an answer: whether the request was executed. */
std::string outcome_of(const net::exchange_result& result);

/** \brief A fresh idempotency key, issued now plus `shift`. */
std::string make_key(milliseconds shift = milliseconds(0));

/** \brief How often the targets of a service have run the order of a key. */
int executions_of(harness::deployment& deployment, const std::string& service,
                  const std::string& key);

/** \brief Folder with the programs under test. */
std::string binaries();

} // namespace lavenderhoist::system_test
