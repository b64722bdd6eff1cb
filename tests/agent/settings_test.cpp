#include "masticshunt/agent/settings.h"

#include <filesystem>
#include <random>

#include "expect.h"
#include "masticshunt/support/ini.h"

using namespace masticshunt;
using namespace masticshunt::agent;
using namespace std::chrono_literals;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

const std::string minimal_settings =
    "[agent]\nname = a\nregion = R\nfailure_domain = D\naddress = 10.0.0.1\n"
    "[store]\naddresses = 10.0.0.2:4700, 10.0.0.3:4700\n";

std::string document_text(const std::string& name) {
  failure reason;
  const auto page = std::filesystem::path(__FILE__).parent_path() / "../../docs" / name;
  const auto text = support::read_file(page.string(), reason);
  expect_true(text.has_value(), reason.describe());
  return *text;
}

std::string sample() {
  return document_text("samples/agent.ini");
}

failure parse_failure(const std::string& text) {
  failure reason;
  expect_false(parse_agent_settings("agent.ini", text, reason).has_value(), text);
  expect_equal(reason.kind, failure_kind::bad_input);
  expect_false(reason.remedy.empty());
  return reason;
}

bool starts_with_line(const failure& reason, int line) {
  return reason.message.starts_with("agent.ini:" + std::to_string(line) + ": ");
}

}  // namespace

Test(agent_settings, sample_is_valid_and_contains_every_key) {
  failure reason;
  const auto settings = parse_agent_settings("sample", sample(), reason);
  expect_true(settings.has_value(), reason.describe());
  const auto document = support::parse_ini("sample", sample(), reason);
  for (const auto& each : setting_descriptions()) {
    const auto* const section = document->find(each.section);
    expect_true(section != nullptr && section->find(each.key) != nullptr, each.key);
  }
}

Test(agent_settings, documentation_lists_every_key) {
  const auto page = document_text("SETTINGS.md");
  for (const auto& each : setting_descriptions()) {
    expect_true(page.find("| `" + std::string(each.key) + "` |") != std::string::npos, each.key);
  }
}

Test(agent_settings, sample_contains_the_defaults) {
  failure reason;
  const auto sample_settings = parse_agent_settings("sample", sample(), reason);
  const agent_settings defaults;
  expect_true(sample_settings->lease.lease == defaults.lease.lease);
  expect_true(sample_settings->lease.store_support == defaults.lease.store_support);
  expect_equal(sample_settings->limits.header_bytes, defaults.limits.header_bytes);
  expect_equal(sample_settings->retry.budget_share, defaults.retry.budget_share);
  expect_true(sample_settings->store.watch_duration == defaults.store.watch_duration);
}

Test(agent_settings, require_only_the_agent_and_store_sections) {
  failure reason;
  const auto settings = parse_agent_settings("agent.ini", minimal_settings, reason);
  expect_true(settings.has_value(), reason.describe());
  expect_equal(settings->store.addresses.size(), 2U);
}

Test(agent_settings, reject_an_unknown_key_and_suggest_the_nearest) {
  const auto reason = parse_failure(minimal_settings + "[lease]\nrenewal_intervall = 1s\n");
  expect_true(starts_with_line(reason, 9), reason.message);
  expect_equal(reason.remedy, "write renewal_interval");
}

Test(agent_settings, reject_an_unknown_section) {
  expect_true(starts_with_line(parse_failure(minimal_settings + "[leese]\n"), 8));
}

Test(agent_settings, reject_a_value_without_a_unit_or_out_of_range) {
  expect_true(starts_with_line(parse_failure(minimal_settings + "[lease]\nlease = 2000\n"), 9));
  parse_failure(minimal_settings + "[limits]\nheader_size = 16\n");
  parse_failure(minimal_settings + "[limits]\nheader_size = 100MiB\n");
  parse_failure(minimal_settings + "[retry]\nbudget = 120%\n");
  parse_failure(minimal_settings + "[log]\nlevel = loud\n");
}

Test(agent_settings, reject_a_missing_key_and_a_host_name) {
  parse_failure("[agent]\nname = a\n");
  auto with_host = minimal_settings;
  with_host.replace(with_host.find("10.0.0.1"), 8, "host.org");
  expect_true(starts_with_line(parse_failure(with_host), 5));
}

Test(agent_settings, reject_lease_timing_that_exceeds_the_unavailability_bound) {
  parse_failure(minimal_settings + "[lease]\nlease = 3s\n");
  parse_failure(minimal_settings + "[lease]\nrenewal_interval = 1s\n");
  parse_failure(minimal_settings + "[lease]\nmargin = 1ms\nclock_drift_ppm = 1000\n");
}

Test(agent_settings, parsing_accepts_or_rejects_arbitrary_bytes) {
  std::mt19937_64 random{5};
  const auto valid = sample();
  for (int round = 0; round < 3'000; ++round) {
    auto text = valid;
    for (auto edits = random() % 5 + 1; edits > 0; --edits) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    failure reason;
    if (!parse_agent_settings("fuzz", text, reason)) expect_false(reason.message.empty());
  }
}
