// Guards against long outages after the loss of a whole failure domain that contains a standby of
// the group.
#include "../../../tools/internal/capacity_group.h"
#include "expect.h"

using namespace masticshunt;
using masticshunt::testing::expect_true;

namespace {

constexpr std::uint32_t members = 48;
constexpr std::size_t domains = 4;
constexpr std::chrono::seconds settled_after{10};
constexpr double served_again_bound_ms = 3'000;

}  // namespace

Test(domain_loss, leaves_no_range_unserved_for_more_than_three_seconds) {
  capacity::measured_group group(members);
  group.run(settled_after);
  const auto page = group.page();
  const auto lost_domain = group.index_of(page->renewers.at(1).id) % domains;
  const double unavailable_ms = capacity::unavailable_after_loss(
      group, [&](const agent_id& id) { return group.index_of(id) % domains == lost_domain; });
  expect_true(unavailable_ms <= served_again_bound_ms, std::to_string(unavailable_ms));
}
