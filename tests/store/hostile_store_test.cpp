/// Tests how the store client handles malformed responses.
#include <random>

#include "expect.h"
#include "masticshunt/store/store_client.h"
#include "scripted_server.h"
#include "store_fixture.h"

using namespace masticshunt;
using namespace masticshunt::store;
using masticshunt::store::testing::scripted_server;
using masticshunt::store::testing::store_fixture;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;

namespace {

/// A client of a scripted store.
struct hostile_fixture {
  hostile_fixture() : store(context), client(context.get_executor(), settings(), 1) {}

  store_client_settings settings() const {
    auto result = store_fixture::quick_settings();
    result.addresses = {store.address()};
    result.call_deadline = std::chrono::milliseconds{20};
    return result;
  }

  ownership::store_list_done list() {
    std::optional<ownership::store_list_done> done;
    client.async_list({1, "a", std::nullopt}, [&](auto end) { done = std::move(end); });
    while (!done) context.run_one();
    return std::move(*done);
  }

  boost::asio::io_context context;
  scripted_server store;
  store_client client;
};

std::string ok_with(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

const std::string good_list =
    R"({"revision":3,"objects":[{"name":"a/1","version":3,"value":"x"}]})";

}  // namespace

Test(hostile_store, malformed_list_is_bad_input) {
  for (const auto* body : {"", "[]", "{}", R"({"revision":-1,"objects":[]})",
                           R"({"revision":1,"objects":[{"name":1,"version":1}]})",
                           R"({"revision":1,"objects":[{"name":"a"}]})"}) {
    hostile_fixture fixture;
    fixture.store.answer = ok_with(body);
    const auto done = fixture.list();
    expect_true(!done.objects.has_value(), body);
    expect_equal(done.reason.kind, failure_kind::bad_input, body);
  }
}

Test(hostile_store, truncated_response_is_unavailable) {
  hostile_fixture fixture;
  fixture.store.answer = ok_with(good_list);
  fixture.store.answer.resize(fixture.store.answer.size() - 5);
  expect_equal(fixture.list().reason.kind, failure_kind::unavailable);
}

Test(hostile_store, corrupted_responses_end_every_call) {
  std::mt19937_64 random{13};
  hostile_fixture fixture;
  for (int round = 0; round < 150; ++round) {
    fixture.store.answer = ok_with(good_list);
    for (int edits = 0; edits < 3; ++edits) {
      fixture.store.answer[random() % fixture.store.answer.size()] = static_cast<char>(random());
    }
    const auto done = fixture.list();
    expect_true(done.objects.has_value() || !done.reason.message.empty());
  }
}
