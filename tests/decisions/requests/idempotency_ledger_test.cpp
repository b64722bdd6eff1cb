#include "masticshunt/decisions/requests/idempotency_ledger.h"

#include "expect.h"
#include "request_fixture.h"

using namespace masticshunt;
using namespace masticshunt::requests;
using namespace masticshunt::testing;

namespace {

constexpr time_point always_owned = time_point::min();

already_answered answer(std::string body) {
  return {201, "application/json", std::move(body), true};
}

bool allowed(const idempotency_verdict& verdict) {
  return std::holds_alternative<may_run>(verdict);
}

must_not_run refusal_of(const idempotency_verdict& verdict) {
  const auto* refusal = std::get_if<must_not_run>(&verdict);
  expect_true(refusal != nullptr, "the request must be refused");
  return *refusal;
}

struct ledger_fixture {
  ledger_settings settings{
      .repeat_window = seconds{60}, .delivery_bound = seconds{5}, .capacity = 2};
  idempotency_ledger ledger{settings};
  request_descriptor first = booking(1, "b-1");

  void run_to(execution_status execution, std::string body = "done") {
    expect_true(allowed(ledger.begin(first, always_owned, at({}))));
    ledger.ended(first, execution, answer(std::move(body)), at({}));
  }
};

}  // namespace

Test(idempotency_ledger, allows_a_new_key) {
  ledger_fixture f;
  expect_true(allowed(f.ledger.begin(f.first, always_owned, at({}))));
}

Test(idempotency_ledger, refuses_a_duplicate_of_a_running_request_as_may_have_run) {
  ledger_fixture f;
  f.ledger.begin(f.first, always_owned, at({}));
  const must_not_run refusal = refusal_of(f.ledger.begin(f.first, always_owned, at({})));
  expect_equal(refusal.outcome, outcome::may_have_run);
  expect_equal(refusal.reason, refusal_reason::already_running);
}

Test(idempotency_ledger, returns_the_kept_answer_to_a_duplicate) {
  ledger_fixture f;
  f.run_to(execution_status::answered);
  const idempotency_verdict verdict = f.ledger.begin(f.first, always_owned, at(seconds{64}));
  expect_equal(std::get<already_answered>(verdict).body, "done");
}

Test(idempotency_ledger, withholds_the_answer_from_another_caller_with_the_same_key) {
  ledger_fixture f;
  f.run_to(execution_status::answered);
  request_descriptor other = f.first;
  other.caller = "somebody else";
  expect_equal(refusal_of(f.ledger.begin(other, always_owned, at({}))).outcome,
               outcome::may_have_run);
}

Test(idempotency_ledger, refuses_a_duplicate_of_a_request_with_unknown_outcome) {
  ledger_fixture f;
  f.run_to(execution_status::unknown);
  expect_equal(refusal_of(f.ledger.begin(f.first, always_owned, at({}))).reason,
               refusal_reason::repeat_unknown);
}

Test(idempotency_ledger, allows_a_retry_of_a_request_that_did_not_run) {
  ledger_fixture f;
  f.run_to(execution_status::did_not_run);
  expect_true(allowed(f.ledger.begin(f.first, always_owned, at({}))));
}

Test(idempotency_ledger, ignores_a_second_end_of_the_same_run) {
  ledger_fixture f;
  f.run_to(execution_status::unknown);
  f.ledger.ended(f.first, execution_status::did_not_run, {}, at({}));
  expect_false(allowed(f.ledger.begin(f.first, always_owned, at({}))));
}

Test(idempotency_ledger, removes_a_key_after_the_repeat_window_and_the_delivery_bound) {
  ledger_fixture f;
  f.run_to(execution_status::answered);
  f.ledger.begin(booking(2, "b-2"), always_owned, at(seconds{65}));
  expect_equal(f.ledger.size(), 1U);
}

Test(idempotency_ledger, refuses_new_keys_when_full) {
  ledger_fixture f;
  f.ledger.begin(booking(1, "b-1"), always_owned, at({}));
  f.ledger.begin(booking(2, "b-2"), always_owned, at({}));
  request_descriptor third = booking(3, "b-3");
  third.declared_attempt = 1;
  const must_not_run refusal = refusal_of(f.ledger.begin(third, always_owned, at({})));
  expect_equal(refusal.outcome, outcome::not_run);
  expect_equal(refusal.reason, refusal_reason::overloaded);
  expect_equal(f.ledger.size(), 2U);
}

Test(idempotency_ledger, keeps_no_answer_over_its_size_bound) {
  ledger_fixture f;
  f.run_to(execution_status::answered, std::string(5'000, 'x'));
  const idempotency_verdict verdict = f.ledger.begin(f.first, always_owned, at({}));
  expect_false(std::get<already_answered>(verdict).body_kept);
  expect_equal(f.ledger.answer_bytes(), 0U);
}

Test(idempotency_ledger, refuses_a_possible_duplicate_after_an_owner_change) {
  ledger_fixture f;
  const must_not_run refusal = refusal_of(f.ledger.begin(f.first, at({}), at(seconds{64})));
  expect_equal(refusal.outcome, outcome::may_have_run);
  expect_equal(refusal.reason, refusal_reason::repeat_unknown);
}

Test(idempotency_ledger, allows_unknown_keys_once_the_window_since_the_owner_change_is_over) {
  ledger_fixture f;
  expect_true(allowed(f.ledger.begin(f.first, at({}), at(seconds{65}))));
}

Test(idempotency_ledger, allows_a_declared_first_attempt_after_an_owner_change) {
  ledger_fixture f;
  f.first.declared_attempt = 1;
  expect_true(allowed(f.ledger.begin(f.first, at({}), at(seconds{1}))));
}

Test(idempotency_ledger, refuses_a_first_attempt_that_was_routed_by_an_earlier_ownership) {
  ledger_fixture f;
  f.first.declared_attempt = 1;
  f.first.routed_fence = fence_token{4, 0};
  const ownership_view owner{.owned_since = at({}), .fence = {5, 0}};
  expect_equal(refusal_of(f.ledger.begin(f.first, owner, at(seconds{1}))).outcome,
               outcome::may_have_run);
}

Test(idempotency_ledger, detects_duplicates_of_the_earlier_owner_after_a_hand_over) {
  ledger_fixture f;
  f.run_to(execution_status::answered);
  idempotency_ledger next{f.settings};
  const auto hand_over =
      f.ledger.export_range(f.first.service, {0, 100}, always_owned, at(seconds{1}));
  const auto owned_since = next.import_range(hand_over, at(seconds{1}));
  expect_true(owned_since == always_owned);
  expect_true(
      std::holds_alternative<already_answered>(next.begin(f.first, *owned_since, at(seconds{2}))));
  expect_true(allowed(next.begin(booking(9, "b-9"), *owned_since, at(seconds{2}))));
}

Test(idempotency_ledger, inherits_the_history_gap_of_the_earlier_owner) {
  ledger_fixture f;
  const auto hand_over = f.ledger.export_range(f.first.service, {0, 100}, at({}), at(seconds{10}));
  const auto owned_since = f.ledger.import_range(hand_over, at(seconds{11}));
  expect_true(owned_since == at(seconds{1}));
}

Test(idempotency_ledger, exports_a_running_request_as_unknown) {
  ledger_fixture f;
  f.ledger.begin(f.first, always_owned, at({}));
  const auto hand_over = f.ledger.export_range(f.first.service, {0, 100}, always_owned, at({}));
  expect_equal(hand_over.entries.front().execution, execution_status::unknown);
}

Test(idempotency_ledger, exports_only_the_requested_range) {
  ledger_fixture f;
  f.run_to(execution_status::answered);
  expect_true(
      f.ledger.export_range(f.first.service, {43, 100}, always_owned, at({})).entries.empty());
  expect_true(f.ledger.export_range("another", {0, 100}, always_owned, at({})).entries.empty());
}

Test(idempotency_ledger, imports_no_hand_over_that_does_not_fit) {
  ledger_fixture f;
  ledger_hand_over given;
  given.entries.resize(3);
  expect_false(f.ledger.import_range(given, at({})).has_value());
  expect_equal(f.ledger.size(), 0U);
}

Test(idempotency_ledger, expires_imported_entries_by_their_age) {
  ledger_fixture f;
  ledger_hand_over given;
  given.entries.push_back({.idempotency_key = "old", .age = seconds{55}});
  f.ledger.import_range(given, at({}));
  f.ledger.begin(f.first, always_owned, at(seconds{10}));
  expect_equal(f.ledger.size(), 1U);
}
