#include "operator/internal/store_session.h"

#include <random>

namespace masticshunt::operators {

namespace {

store::store_client_settings settings_for(std::vector<endpoint> addresses) {
  store::store_client_settings settings;
  settings.addresses = std::move(addresses);
  settings.calls_per_second = 50;
  settings.burst = 100;
  settings.call_deadline = std::chrono::milliseconds{3'000};
  return settings;
}

}  // namespace

store_session::store_session(boost::asio::io_context& context, std::vector<endpoint> addresses)
    : context_(context),
      client_(context.get_executor(), settings_for(std::move(addresses)), std::random_device{}()) {}

template <class Done, class Start>
Done store_session::wait(Start start) {
  std::optional<Done> result;
  start(std::function<void(Done)>([&](Done done) { result = std::move(done); }));
  context_.restart();
  while (!result && context_.run_one() > 0) {
  }
  return result ? std::move(*result) : Done{};
}

ownership::store_read_done store_session::read(const std::string& name) {
  return wait<ownership::store_read_done>([&](auto handler) {
    client_.async_read({0, name}, std::move(handler));
  });
}

ownership::store_list_done store_session::list(const std::string& prefix) {
  return wait<ownership::store_list_done>([&](auto handler) {
    client_.async_list({0, prefix, std::nullopt}, std::move(handler));
  });
}

ownership::store_write_done store_session::write(const std::string& name, std::uint64_t expected,
                                                 std::string value) {
  return wait<ownership::store_write_done>([&](auto handler) {
    client_.async_write({0, name, expected, std::move(value)}, std::move(handler));
  });
}

ownership::store_write_done store_session::remove(const std::string& name, std::uint64_t expected) {
  return wait<ownership::store_write_done>([&](auto handler) {
    client_.async_remove({0, name, expected, {}}, std::move(handler));
  });
}

}  // namespace masticshunt::operators
