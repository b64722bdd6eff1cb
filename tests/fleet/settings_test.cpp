#include "masticshunt/fleet/settings.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view sample =
    "[agent]\nname = vm-1\nip = 10.0.0.1\nzone = z\nregion = r\nfirst_start = true\n"
    "[listen]\ncallers = 10.0.0.1:8000\nreadiness = 10.0.0.1:8001\nupstream = 10.0.0.1:8002\n"
    "peer_port = 7600\nmetrics_port = 7601\n"
    "[upstream]\naddress = 10.0.0.1:8080\nservice = ledger\nheartbeat = 870ms\n"
    "[store]\naddress = 10.0.0.9:9000\n"
    "[bounds]\ndrain = 2000ms\ngrace = 6s\nrepeat_ratio = 0.2\nrepeat_slack = 60\n";

std::string replaced(std::string_view part, std::string_view replacement) {
  std::string result(sample);
  result.replace(result.find(part), part.size(), replacement);
  return result;
}

std::string error_of(const std::string& text) {
  failure reason;
  expect_false(parse_fleet_settings("agent.ini", text, reason).has_value());
  return reason.describe();
}

}  // namespace

Test(fleet_settings, are_read_completely) {
  failure reason;
  const auto settings = parse_fleet_settings("agent.ini", sample, reason);
  expect_true(settings.has_value(), reason.describe());
  expect_equal(settings->peer_address(), "10.0.0.1:7600");
  expect_true(settings->heartbeat == milliseconds{870});
  expect_true(settings->grace == milliseconds{6'000});
  expect_true(settings->first_start);
}

Test(fleet_settings, a_missing_required_setting_is_named) {
  expect_true(error_of(replaced("name = vm-1\n", "")).find("[agent] name") != std::string::npos);
}

Test(fleet_settings, an_invalid_value_is_named_with_its_line) {
  const auto error_text = error_of(replaced("peer_port = 7600", "peer_port = many"));
  expect_true(error_text.find("agent.ini:11") != std::string::npos, error_text);
}

Test(fleet_settings, a_link_without_bandwidth_is_refused) {
  const std::string text = std::string(sample) + "[link]\nbandwidth = 0\n";
  expect_true(error_of(text).find("[link] bandwidth") != std::string::npos);
}

Test(fleet_settings, a_configuration_bound_of_zero_is_refused) {
  const auto error_text = error_of(replaced("grace = 6s", "config = 0ms\ngrace = 6s"));
  expect_true(error_text.find("[bounds] config") != std::string::npos, error_text);
}

Test(fleet_settings, an_address_needs_a_port) {
  expect_true(error_of(replaced("10.0.0.9:9000", "10.0.0.9")).find("IP:PORT") != std::string::npos);
}

Test(fleet_settings, an_optional_setting_keeps_its_default) {
  failure reason;
  const auto settings = parse_fleet_settings("agent.ini", replaced("drain = 2000ms\n", ""), reason);
  expect_true(settings && settings->drain == milliseconds{2'000}, reason.describe());
}

Test(fleet_settings, grants_go_by_calls_unless_heartbeats_are_chosen) {
  failure reason;
  const auto by_default = parse_fleet_settings("agent.ini", sample, reason);
  expect_true(by_default->grants == claims::grant_transport::call);
  const auto chosen = parse_fleet_settings(
      "agent.ini", replaced("heartbeat = 870ms", "heartbeat = 870ms\ngrants = heartbeat"), reason);
  expect_true(chosen && chosen->grants == claims::grant_transport::heartbeat, reason.describe());
}

Test(fleet_settings, an_unknown_way_to_grant_keys_is_refused) {
  const auto error_text =
      error_of(replaced("heartbeat = 870ms", "heartbeat = 870ms\ngrants = letter"));
  expect_true(error_text.find("write call or heartbeat") != std::string::npos, error_text);
}

Test(fleet_settings, changed_settings_are_named) {
  failure reason;
  const auto before = *parse_fleet_settings("agent.ini", sample, reason);
  const auto after =
      *parse_fleet_settings("agent.ini", replaced("grace = 6s", "grace = 7s"), reason);
  expect_equal(changed_settings(before, after), "bounds.grace");
  expect_equal(changed_settings(before, before), "");
}
