// What the command reads of agents and of the store, when these send what is no whole answer.
#include "broken_answers/scripted_target.h"
#include "expect.h"
#include "fleet/loopback.h"
#include "masticshunt/store/store_client.h"
#include "operator/internal/agent_query.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

/// Returns what an agent whose answer is `answer` is taken to have said.
std::optional<std::string> said(const scripted_answer& answer) {
  const endpoint address = loopback_net() + "100:7510";
  boost::asio::io_context context;
  scripted_target agent(context, address);
  agent.answer_with(answer);
  return operators::query_agents(context, {address}, "/status", milliseconds{500}).front().body;
}

/// Writes an object to a store that answers with `bytes`. Returns the failure.
failure write_answered_with(const std::string& bytes) {
  const endpoint address = loopback_net() + "100:7510";
  boost::asio::io_context context;
  scripted_target store(context, address);
  store.answer_with({bytes, ending::close});
  store::store_client client(context.get_executor(), {.addresses = {address}}, 1);
  std::optional<ownership::store_write_done> done;
  client.async_write({.call = 1, .name = "a", .value = "{}"},
                     [&](auto end) { done = std::move(end); });
  while (!done) context.run_one();
  return done->reason;
}

}  // namespace

Test(query_agents, takes_no_answer_for_whole_whose_connection_was_reset) {
  for (const auto pause : {0, 3, 30, 150}) {
    for (int round = 0; round < 5; ++round)
      expect_false(
          said({status_line + "\r\n{\"config_revision\":3}", ending::reset, milliseconds{pause}})
              .has_value());
  }
}

Test(query_agents, takes_no_answer_with_a_broken_head) {
  const std::string rest = "Content-Length: 2\r\n\r\n{}";
  expect_true(said({status_line + rest, ending::close}).has_value());
  expect_false(said({"HTTP/1.1 000 Trouble\r\n" + rest, ending::close}).has_value());
  for (const auto* line : {"X Odd: 1", "X-Odd : 1", "X\001Odd: 1", "Content-Length : 2"})
    expect_false(said({status_line + line + "\r\n" + rest, ending::close}).has_value(), line);
}

Test(store_write, whose_answer_bears_status_000_may_have_taken_effect) {
  const auto reason =
      write_answered_with("HTTP/1.1 000 Trouble\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n");
  expect_equal(reason.kind, failure_kind::unavailable, reason.describe());
}

Test(store_write, whose_answer_has_a_broken_name_may_have_taken_effect) {
  for (const auto* line : {"X Odd: 1", "X-Odd : 1", "X\001Odd: 1", "Content-Length : 2"}) {
    const auto reason =
        write_answered_with(status_line + line + "\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n");
    expect_equal(reason.kind, failure_kind::unavailable, line);
  }
}

Test(store_write, takes_no_version_from_a_trailer) {
  const auto reason = write_answered_with(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nETag: \"1\"\r\n\r\n");
  expect_equal(reason.kind, failure_kind::bad_input, reason.describe());
}

namespace {

/// Returns the version that a store client reads after it has read another object from a store that
/// answers with `answer`.
std::uint64_t version_read_after(const scripted_answer& answer) {
  const endpoint address = loopback_net() + "100:7510";
  boost::asio::io_context context;
  scripted_target store(context, address);
  store.answer_with(answer);
  store::store_client client(context.get_executor(), {.addresses = {address}}, 1);
  ownership::store_read_done last;
  for (const auto* name : {"a", "b"}) {
    std::optional<ownership::store_read_done> done;
    client.async_read({1, name}, [&](auto end) { done = std::move(end); });
    while (!done) context.run_one();
    last = std::move(*done);
    context.run_for(milliseconds{100});
    context.restart();
  }
  return last.object ? last.object->version : 0;
}

}  // namespace

Test(store_read, does_not_take_bytes_after_an_answer_for_the_next) {
  const std::string first = status_line + "ETag: \"1\"\r\nContent-Length: 2\r\n\r\n{}";
  const std::string stray = status_line + "ETag: \"9\"\r\nContent-Length: 2\r\n\r\n{}";
  expect_equal(version_read_after({first + stray, ending::serve_next}), 1U);
  expect_equal(version_read_after({first, ending::serve_next, milliseconds{30}, 0, false, stray}),
               1U);
}
