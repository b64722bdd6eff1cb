/// @file
/// Starts coroutines whose exceptions are not lost.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

namespace masticshunt::fleet {

/// Starts `work`, an awaitable or a function that returns one, on `executor`. An exception that
/// leaves it leaves the event loop's `run` as well, whose caller logs it and goes on.
template <class Executor, class Work>
void spawn(Executor&& executor, Work&& work) {
  boost::asio::co_spawn(std::forward<Executor>(executor), std::forward<Work>(work),
                        [](const std::exception_ptr& error) {
                          if (error) std::rethrow_exception(error);
                        });
}

}  // namespace masticshunt::fleet
