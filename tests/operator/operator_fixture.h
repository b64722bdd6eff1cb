/// @file
/// A store stand-in and an operator session on one context.
#pragma once

#include <boost/asio/io_context.hpp>

#include "expect.h"
#include "masticshunt/store/store_stand_in.h"
#include "operator/internal/apply.h"

namespace masticshunt::operators::testing {

/// The session of an operator with a store stand-in whose faults a test can set.
class operator_fixture {
 public:
  operator_fixture() : store(context.get_executor()), session(context, {store.address()}) {}

  /// Parses `text` and applies it as operator `who`.
  apply_report apply(const std::string& text, const std::string& who = "anna") {
    failure reason;
    const auto records = parse_records("records.ini", text, reason);
    masticshunt::testing::expect_true(records.has_value(), reason.describe());
    return apply_records(session, *records, {false, who, who + std::to_string(++runs_)});
  }

  boost::asio::io_context context;
  store::store_stand_in store;
  store_session session;

 private:
  int runs_ = 0;
};

}  // namespace masticshunt::operators::testing
