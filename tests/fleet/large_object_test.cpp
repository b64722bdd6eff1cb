#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "expect.h"
#include "fleet/internal/store_client.h"
#include "fleet/loopback.h"
#include "process_soak/store.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;

namespace {

/// Returns the listing of a kind that holds one object with `bytes` bytes of text.
std::optional<platform::stored_page> listing_with_object_of(std::size_t bytes) {
  asio::io_context context;
  process_soak::store stand_in(context.get_executor(), 1);
  const endpoint address = loopback_net() + "1:7500";
  expect_equal(stand_in.start(address), "");
  stand_in.put("config", "main", {{"text", std::string(bytes, 'a')}});
  support::event_log log(-1, "vm-1");
  store_client client(context.get_executor(), address, log);
  std::optional<platform::stored_page> listing;
  const auto run = [&]() -> asio::awaitable<void> {
    listing = co_await client.list("config", platform::freshness::current);
    context.stop();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  return listing;
}

}  // namespace

// Agents never read a desired state of more than 512 KiB, and after a restart read none at all.
Test(store_client, reads_an_object_of_the_largest_size_that_the_store_takes) {
  constexpr std::size_t object_bytes_max = 1'048'576;
  const auto listing = listing_with_object_of(object_bytes_max - 100);
  expect_true(listing.has_value());
  expect_equal(listing->objects.size(), std::size_t{1});
  expect_true(listing->objects[0].spec.size() > object_bytes_max - 100);
}
