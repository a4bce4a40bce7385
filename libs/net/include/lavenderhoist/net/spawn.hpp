#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace lavenderhoist::net {

/**
 * \brief Runs a coroutine to its end on an executor.
 *
 * Errors travel as values here; an exception that leaves a coroutine is a fault of the program and
 * ends it, instead of leaving a request without an answer.
 */
template <typename Executor, typename Coroutine>
void spawn(Executor&& executor, Coroutine&& work) {
    boost::asio::co_spawn(std::forward<Executor>(executor), std::forward<Coroutine>(work),
                          [](const std::exception_ptr& thrown) {
                              if (thrown) {
                                  std::rethrow_exception(thrown);
                              }
                          });
}

} // namespace lavenderhoist::net
