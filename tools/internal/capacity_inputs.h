/// @file
/// The inputs of docs/CAPACITY.md.
#pragma once

#include <algorithm>
#include <array>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <string>

namespace masticshunt::capacity {

/// The target size in two years, the platform's resource budget, the network links of the brief,
/// and the constants of the design.
struct capacity_inputs {
  double nodes = 0;
  double keys = 0;
  double requests_per_second = 0;
  double p99_ms = 0;
  double hot_keys = 0;
  double served_again_seconds = 0;
  double regions = 0;
  double failure_domains = 0;
  double changes_per_day = 0;
  double everywhere_seconds = 0;
  double core_share = 0;
  double memory_bytes = 0;
  double control_bytes_per_second = 0;
  double losses_per_day = 0;
  double restarts_per_day = 0;
  double store_writes_per_second = 0;
  double store_reads_per_second = 0;
  double link_bits_per_second = 0;
  double region_one_way_ms = 0;
  double domain_one_way_ms_imhof = 0;
  double client_one_way_ms_imhof = 0;
  double domain_one_way_ms_llyfrnod = 0;
  double client_one_way_ms_llyfrnod = 0;
  double members_per_group = 0;
  double renewers_per_group = 0;
  double page_writes_per_restart = 0;
  double page_writes_per_loss = 0;
  double records = 0;
  double record_bytes = 0;
  double request_bytes = 0;
  double answer_bytes = 0;
  double ranges_per_member = 0;
  double lease_ms = 0;
  double renewal_interval_ms = 0;
  double support_interval_ms = 0;
  double spread_bytes_per_second = 0;
  double spread_burst_bytes = 0;
  double spread_digest_interval_ms = 0;
  double hot_keys_capacity = 0;

  [[nodiscard]] double groups() const { return nodes / members_per_group; }
  [[nodiscard]] double ranges() const { return nodes * ranges_per_member; }
  [[nodiscard]] double page_writes_per_second() const {
    return (restarts_per_day * page_writes_per_restart + losses_per_day * page_writes_per_loss) /
           86'400;
  }
  [[nodiscard]] double changes_per_second() const { return changes_per_day / 86'400; }
};

/// Returns the inputs in the file at `path`; throws if one is missing.
inline capacity_inputs read_inputs(const std::string& path) {
  struct field {
    const char* name;
    double capacity_inputs::*member;
  };
  using in = capacity_inputs;
  static constexpr std::array fields{
      field{"target.nodes", &in::nodes},
      field{"target.keys", &in::keys},
      field{"target.requests_per_second", &in::requests_per_second},
      field{"target.p99_ms", &in::p99_ms},
      field{"target.hot_keys", &in::hot_keys},
      field{"target.served_again_seconds", &in::served_again_seconds},
      field{"target.regions", &in::regions},
      field{"target.failure_domains", &in::failure_domains},
      field{"target.changes_per_day", &in::changes_per_day},
      field{"target.everywhere_seconds", &in::everywhere_seconds},
      field{"target.core_share", &in::core_share},
      field{"target.memory_bytes", &in::memory_bytes},
      field{"target.control_bytes_per_second", &in::control_bytes_per_second},
      field{"target.losses_per_day", &in::losses_per_day},
      field{"target.restarts_per_day", &in::restarts_per_day},
      field{"store.writes_per_second", &in::store_writes_per_second},
      field{"store.reads_per_second", &in::store_reads_per_second},
      field{"links.bits_per_second", &in::link_bits_per_second},
      field{"links.region_one_way_ms", &in::region_one_way_ms},
      field{"links.domain_one_way_ms_imhof", &in::domain_one_way_ms_imhof},
      field{"links.client_one_way_ms_imhof", &in::client_one_way_ms_imhof},
      field{"links.domain_one_way_ms_llyfrnod", &in::domain_one_way_ms_llyfrnod},
      field{"links.client_one_way_ms_llyfrnod", &in::client_one_way_ms_llyfrnod},
      field{"design.members_per_group", &in::members_per_group},
      field{"design.renewers_per_group", &in::renewers_per_group},
      field{"design.page_writes_per_restart", &in::page_writes_per_restart},
      field{"design.page_writes_per_loss", &in::page_writes_per_loss},
      field{"design.records", &in::records},
      field{"design.record_bytes", &in::record_bytes},
      field{"design.request_bytes", &in::request_bytes},
      field{"design.answer_bytes", &in::answer_bytes},
      field{"program.ranges_per_member", &in::ranges_per_member},
      field{"program.lease_ms", &in::lease_ms},
      field{"program.renewal_interval_ms", &in::renewal_interval_ms},
      field{"program.support_interval_ms", &in::support_interval_ms},
      field{"program.spread_bytes_per_second", &in::spread_bytes_per_second},
      field{"program.spread_burst_bytes", &in::spread_burst_bytes},
      field{"program.spread_digest_interval_ms", &in::spread_digest_interval_ms},
      field{"program.hot_keys_capacity", &in::hot_keys_capacity},
  };
  boost::property_tree::ptree tree;
  boost::property_tree::read_ini(path, tree);
  capacity_inputs inputs;
  std::ranges::for_each(fields,
                        [&](const field& one) { inputs.*one.member = tree.get<double>(one.name); });
  return inputs;
}

}  // namespace masticshunt::capacity
