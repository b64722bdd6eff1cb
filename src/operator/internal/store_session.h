/// @file
/// Synchronous access to the store for operator commands.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/store/store_client.h"

namespace masticshunt::operators {

/// Calls the store and runs the context until the call has ended.
///
/// Thread safety: none.
class store_session {
 public:
  /// Uses the store at `addresses`. Other work on `context` runs during the calls.
  store_session(boost::asio::io_context& context, std::vector<endpoint> addresses);

  ownership::store_read_done read(const std::string& name);
  ownership::store_list_done list(const std::string& prefix);
  ownership::store_write_done write(const std::string& name, std::uint64_t expected,
                                    std::string value);
  ownership::store_write_done remove(const std::string& name, std::uint64_t expected);

 private:
  template <class Done, class Start>
  Done wait(Start start);

  boost::asio::io_context& context_;
  store::store_client client_;
};

}  // namespace masticshunt::operators
