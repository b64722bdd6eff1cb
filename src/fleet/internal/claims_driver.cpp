#include "fleet/internal/claims_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/internal/spawn.h"
#include "masticshunt/decisions/claims/leader_candidates.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using platform::store_verdict;

namespace {

constexpr std::size_t candidates_max = 3;
constexpr duration peer_timeout = std::chrono::milliseconds{700};
constexpr duration refresh_interval = std::chrono::milliseconds{250};
constexpr duration load_update_interval = std::chrono::milliseconds{200};
constexpr unsigned status_ok = 200;

/// Returns the content of the lease record; only its revision matters.
std::string lease_text(const fleet_settings& settings) {
  return nlohmann::json{{"address", settings.peer_address()}}.dump();
}

claims::write_result write_result_of(const store_answer& answer) {
  if (!answer.verdict) return claims::write_result::no_answer;
  switch (*answer.verdict) {
    case store_verdict::done:
      return claims::write_result::applied;
    case store_verdict::refused:
      return claims::write_result::refused;
    case store_verdict::unreadable:
      return claims::write_result::no_answer;
    case store_verdict::missing:
    case store_verdict::conflict:
    case store_verdict::history_gone:
      break;
  }
  return claims::write_result::conflict;
}

}  // namespace

claims_driver::claims_driver(const asio::any_io_executor& executor, const fleet_settings& settings,
                             fleet_view& view, store_client& store, gate_service& gate,
                             connection_pool& peers, support::event_log& log,
                             std::uint64_t incarnation)
    : executor_(executor),
      settings_(settings),
      view_(view),
      store_(store),
      gate_(gate),
      peers_(peers),
      log_(log),
      incarnation_(incarnation),
      key_calls_(gate, timing_, log) {
  timing_.hold = std::min<duration>(timing_.hold, settings.hold_max);
  timing_.restart_lease = std::min<duration>(timing_.restart_lease, settings.hold_max);
  store_.on_era([this](store_era era) { begin_era(era, boot_now()); });
  gate_.on_missing_key([this](claims::shard_key key) {
    if (holder_) holder_->refused_by_upstream(key, boot_now());
  });
}

void claims_driver::log_event(const std::string& text) {
  log_.line(support::line_class::process, text, boot_now());
}

bool claims_driver::tick(time_point now) {
  if (holder_) {
    if (now >= next_load_update_) {
      next_load_update_ = now + load_update_interval;
      holder_->set_load(gate_.key_loads(now), gate_.service_time());
      holder_->set_slots(gate_.usable_slots());
    }
    if (const auto refused_at = gate_.connection_refused_at())
      holder_->connection_refused(*refused_at);
    for (const auto& action : holder_->tick(now)) carry_out(action);
    heartbeats_.tick(*holder_, now);
  }
  bool any_candidate = false;
  for (const auto& [service, leader] : leaders_) {
    if (!is_candidate_[service] && !leader->led_last()) continue;
    any_candidate = true;
    for (const auto& action : leader->tick(now)) carry_out(service, action);
  }
  return holder_ != nullptr || any_candidate;
}

void claims_driver::begin_era(store_era era, time_point now) {
  // Only the first start of the whole system can be sure that nobody led before.
  const bool first_known = earlier_leases_end_ == time_point{};
  const duration earlier_leases =
      settings_.first_start && first_known ? duration{} : timing_.leader_lease + timing_.margin;
  earlier_leases_end_ = now + earlier_leases;
  if (holder_) holder_->begin_era(era, now);
  for (const auto& [service, leader] : leaders_) {
    leader->begin_era(era, earlier_leases_end_, now);
    if (const auto* map = view_.find_map(service); map != nullptr && era_of(map->revision) < era)
      refresh_map(service);
  }
}

void claims_driver::fleet_changed(time_point now) {
  for (const auto& [name, service] : view_.routes().state().services) {
    if (!service.keyed) continue;
    auto& leader = leaders_[name];
    if (!leader) {
      leader = std::make_unique<claims::leader>(name, settings_.name, settings_.peer_address(),
                                                incarnation_, timing_, now);
      if (store_.era_known()) leader->begin_era(store_.era(), earlier_leases_end_, now);
      if (const auto* map = view_.find_map(name)) leader->map_seen(*map, now);
    }
    const auto order = claims::leader_candidates(view_.directory.all(), name, candidates_max);
    if (holder_ && holder_service_ == name) {
      std::vector<endpoint> candidates;
      for (const auto& agent : order)
        if (agent != leader->map().leader)
          candidates.push_back(view_.directory.find(agent)->address);
      holder_->set_candidates(std::move(candidates));
    }
    const auto position = std::ranges::find(order, settings_.name);
    const bool candidate = position != order.end();
    const auto rank = static_cast<std::size_t>(position - order.begin());
    is_candidate_[name] = candidate;
    leader->set_candidate(candidate ? std::optional(rank) : std::nullopt);
  }
}

void claims_driver::update_upstream(const std::optional<routing::upstream_incarnation>& incarnation,
                                    const std::string& service, bool not_draining,
                                    std::uint32_t slots, time_point last_heartbeat_at,
                                    time_point now) {
  const auto* config = view_.routes().find_service(service);
  if (config != nullptr && config->keyed && (!holder_ || holder_service_ != service)) {
    holder_service_ = service;
    holder_ =
        std::make_unique<claims::claim_holder>(service, settings_.name, settings_.peer_address(),
                                               incarnation_, timing_, now, settings_.grants);
    holder_->set_relocating(relocating_);
    if (store_.era_known()) holder_->begin_era(store_.era(), now);
    gate_.set_holder(holder_.get());
    if (const auto* map = view_.find_map(service)) holder_->map_seen(*map, now);
  }
  if (holder_) holder_->update_upstream(incarnation, not_draining, slots, last_heartbeat_at, now);
}

void claims_driver::set_relocating(bool relocating) {
  relocating_ = relocating;
  if (holder_) holder_->set_relocating(relocating);
}

void claims_driver::heartbeat_received(std::shared_ptr<server_request> request,
                                       const claims::reported_keys& keys, bool at_once,
                                       time_point now) {
  if (!holder_) {
    heartbeat_responder::answer_without_keys(*request);
    return;
  }
  heartbeats_.received(*holder_, std::move(request), keys, at_once, now);
  tick(now);
}

void claims_driver::map_seen(const claims::claim_map& map, time_point now) {
  store_.era_seen(era_of(map.revision));
  view_.update_map(map);
  if (holder_) holder_->map_seen(map, now);
  if (const auto found = leaders_.find(map.service); found != leaders_.end())
    found->second->map_seen(map, now);
}

void claims_driver::update_seen(const claims::map_update& update, time_point now) {
  const auto* known = view_.find_map(update.map.service);
  if (const auto map = claims::updated(known == nullptr ? claims::claim_map{} : *known, update))
    map_seen(*map, now);
  else
    refresh_map(update.map.service);
}

std::optional<claims::map_update> claims_driver::changes_since(const std::string& service,
                                                               store_revision revision) const {
  const auto* map = view_.find_map(service);
  if (map == nullptr) return std::nullopt;
  const auto found = leaders_.find(service);
  const bool has_history =
      found != leaders_.end() && found->second->map().revision >= map->revision;
  if (has_history) return found->second->changes_since(revision);
  return claims::map_update{.map = *map};
}

claims::leader_reply claims_driver::report_received(const claims::owner_report& report,
                                                    time_point now) {
  store_.era_seen(report.era);
  const auto found = leaders_.find(report.service);
  if (found == leaders_.end()) return {};
  auto reply = found->second->report_received(report, now);
  if (!report.released.empty() || !report.earlier.empty())
    for (const auto& action : found->second->tick(now)) carry_out(report.service, action);
  return reply;
}

void claims_driver::shut_down() {
  if (holder_) holder_->prepare_restart(boot_now());
  for (const auto& [service, leader] : leaders_) leader->resign();
}

bool claims_driver::leads(time_point now) const {
  return std::ranges::any_of(leaders_,
                             [now](const auto& entry) { return entry.second->leads(now); });
}

void claims_driver::carry_out(const claims::holder_action& action) {
  const auto start = [this](asio::awaitable<void> work) { spawn(executor_, std::move(work)); };
  const auto lease_name = [this](const std::string& agent) {
    return platform::name_in_era(agent, holder_->era());
  };
  if (std::holds_alternative<claims::read_lease>(action)) {
    start(call_lease(platform::read_object(platform::kind_leases, lease_name(settings_.name)),
                     false));
  } else if (std::holds_alternative<claims::create_lease>(action)) {
    start(call_lease(platform::create_object(platform::kind_leases, lease_name(settings_.name),
                                             lease_text(settings_)),
                     true));
  } else if (const auto* renew = std::get_if<claims::renew_lease>(&action)) {
    // The store raises the revision only if the content changes, so each renewal must differ.
    const auto text = nlohmann::json{
        {"address", settings_.peer_address()},
        {"after", renew->revision},
        {"life",
         incarnation_}}.dump();
    start(call_lease(platform::replace_object(platform::kind_leases, lease_name(settings_.name),
                                              text, renew->revision),
                     true));
  } else if (const auto* send = std::get_if<claims::send_report>(&action)) {
    start(report(*send));
  } else if (const auto* grant_now = std::get_if<claims::grant_keys>(&action)) {
    start(grant(*grant_now));
  } else if (const auto* release_now = std::get_if<claims::release_keys>(&action)) {
    start(release(*release_now));
  } else if (const auto* text = std::get_if<claims::holder_log_event>(&action)) {
    log_event("claims_holder " + text->text);
  }
}

void claims_driver::carry_out(const std::string& service, const claims::leader_action& action) {
  const auto start = [this](asio::awaitable<void> work) { spawn(executor_, std::move(work)); };
  if (std::holds_alternative<claims::read_map>(action)) {
    start(read_leader_map(service));
  } else if (const auto* write = std::get_if<claims::write_map>(&action)) {
    start(write_leader_map(service, *write));
  } else if (const auto* read = std::get_if<claims::read_owner_lease>(&action)) {
    start(read_owner_lease(service, read->agent));
  } else if (const auto* remove = std::get_if<claims::delete_owner_lease>(&action)) {
    start(delete_owner_lease(service, *remove));
  } else if (const auto* pushed = std::get_if<claims::push_map>(&action)) {
    start(push(service, *pushed));
  } else if (const auto* text = std::get_if<claims::leader_log_event>(&action)) {
    log_event("leader service=" + service + " " + text->text);
  }
}

bool claims_driver::in_era(const std::string& service, store_era era) const {
  return leaders_.at(service)->era() == era;
}

asio::awaitable<void> claims_driver::discard_of_earlier_era(std::string kind, std::string name,
                                                            store_era era) {
  if (era <= first_store_era) co_return;
  // Without success the object stays, which does no harm.
  co_await store_.call(
      platform::delete_object(kind, platform::name_in_era(name, era - 1), std::nullopt),
      timing_.call_timeout);
}

asio::awaitable<void> claims_driver::call_lease(platform::call call, bool writes) {
  const auto sent = boot_now();
  const auto era = holder_->era();
  const auto answer = co_await store_.call(std::move(call), timing_.call_timeout);
  // The call was about the record of an era that has ended.
  if (!holder_ || holder_->era() != era) co_return;
  claims::lease_answer lease;
  lease.answered = answer.verdict == store_verdict::done ||
                   answer.verdict == store_verdict::missing ||
                   answer.verdict == store_verdict::conflict;
  failure reason;
  if (lease.answered && answer.verdict != store_verdict::missing) {
    if (const auto object = answer.object(reason)) {
      lease.registration = object->created;
      lease.revision = object->revision;
      lease.written = writes && answer.done();
    } else {
      lease.answered = false;
      log_event("lease_unreadable why=\"" + reason.describe() + "\"");
    }
  }
  const bool created = lease.written && lease.registration == lease.revision;
  holder_->lease_seen(lease, sent, boot_now());
  tick(boot_now());
  if (created)
    co_await discard_of_earlier_era(std::string(platform::kind_leases), settings_.name, era);
}

asio::awaitable<exchange_outcome> claims_driver::call_peer(endpoint to, std::string method,
                                                           std::string target, std::string body,
                                                           duration timeout, std::string headers) {
  exchange_request request{
      .head = method + ' ' + target + " HTTP/1.1\r\nHost: " + to + "\r\n" + headers,
      .body_max = document_bytes_max,
      .deadline = boot_now() + timeout};
  if (!body.empty()) {
    request.body = std::make_shared<body_pipe>();
    request.body->append(body);
    request.body->finish();
  }
  cancellation never_cancelled;
  co_return co_await run_exchange(peers_, std::move(to), std::move(request), never_cancelled);
}

asio::awaitable<void> claims_driver::report(claims::send_report outgoing) {
  const auto sent = boot_now();
  std::optional<claims::leader_reply> reply;
  if (outgoing.leader == settings_.peer_address()) {
    reply = report_received(outgoing.report, sent);
  } else {
    auto exchange = co_await call_peer(outgoing.leader, "POST", std::string(report_path),
                                       claims::to_cbor_bytes(outgoing.report), peer_timeout);
    failure reason;
    if (exchange.result == exchange_result::answered && exchange.status == status_ok &&
        exchange.body->fully_buffered())
      reply = claims::reply_from_cbor_bytes(exchange.body->buffered(), reason);
  }
  if (!holder_) co_return;
  const auto now = boot_now();
  if (reply && reply->update) store_.era_seen(era_of(reply->update->map.revision));
  holder_->leader_answered(reply, sent, now);
  if (reply && reply->update) view_.update_map(holder_->map());
  if (!reply || !reply->is_leader) refresh_map(holder_service_);
  tick(now);
}

asio::awaitable<void> claims_driver::grant(claims::grant_keys request) {
  const auto call = request.call;
  const auto result = co_await key_calls_.grant(std::move(request));
  if (!holder_) co_return;
  holder_->grant_ended(call, result, boot_now());
  for (const auto& action : holder_->tick(boot_now())) carry_out(action);
}

asio::awaitable<void> claims_driver::release(claims::release_keys request) {
  const auto call = request.call;
  const auto handover = co_await key_calls_.release(std::move(request));
  if (holder_) holder_->release_ended(call, handover, boot_now());
  tick(boot_now());
}

asio::awaitable<void> claims_driver::read_leader_map(std::string service) {
  auto& leader = *leaders_.at(service);
  const auto era = leader.era();
  const auto answer = co_await store_.call(
      platform::read_object(platform::kind_claims, platform::name_in_era(service, era)),
      timing_.call_timeout);
  if (leader.era() != era) co_return;
  const auto now = boot_now();
  if (answer.verdict == store_verdict::missing) {
    leader.map_read(true, std::nullopt, now);
  } else {
    failure reason;
    std::optional<claims::claim_map> map;
    if (answer.done()) {
      if (const auto object = answer.object(reason)) {
        map = claims::map_from_json_text(object->spec, reason);
        if (map) map->revision = object->revision;
      }
      if (!map)
        log_event("claims_unreadable service=" + service + " why=\"" + reason.describe() + "\"");
    }
    leader.map_read(map.has_value(), map, now);
    if (map) map_seen(*map, now);
  }
  tick(now);
}

asio::awaitable<void> claims_driver::write_leader_map(std::string service,
                                                      claims::write_map write) {
  const auto sent = boot_now();
  auto& leader = *leaders_.at(service);
  const auto era = leader.era();
  const auto name = platform::name_in_era(service, era);
  const auto text = claims::to_json_text(write.map);
  const bool creates = write.expected_revision == 0;
  const auto call = creates ? platform::create_object(platform::kind_claims, name, text)
                            : platform::replace_object(platform::kind_claims, name, text,
                                                       write.expected_revision);
  const auto answer = co_await store_.call(call, timing_.call_timeout);
  if (leader.era() != era) co_return;
  auto result = write_result_of(answer);
  store_revision revision = 0;
  if (result == claims::write_result::applied) {
    failure reason;
    if (const auto object = answer.object(reason)) {
      revision = object->revision;
    } else {
      result = claims::write_result::no_answer;
    }
  }
  const auto now = boot_now();
  leader.map_written(result, revision, sent, now);
  if (result == claims::write_result::applied) {
    view_.update_map(leader.map());
    if (holder_) holder_->map_seen(leader.map(), now);
  }
  tick(now);
  if (creates && result == claims::write_result::applied)
    co_await discard_of_earlier_era(std::string(platform::kind_claims), service, era);
}

asio::awaitable<void> claims_driver::read_owner_lease(std::string service, std::string agent) {
  const auto era = leaders_.at(service)->era();
  const auto answer = co_await store_.call(
      platform::read_object(platform::kind_leases, platform::name_in_era(agent, era)),
      timing_.call_timeout);
  if (!in_era(service, era)) co_return;
  claims::lease_answer lease;
  failure reason;
  if (answer.verdict == store_verdict::missing) lease.answered = true;
  if (answer.done()) {
    if (const auto object = answer.object(reason)) {
      lease = {.answered = true, .registration = object->created, .revision = object->revision};
    }
  }
  leaders_.at(service)->owner_lease_read(agent, lease, boot_now());
}

asio::awaitable<void> claims_driver::delete_owner_lease(std::string service,
                                                        claims::delete_owner_lease request) {
  const auto era = leaders_.at(service)->era();
  const auto answer = co_await store_.call(
      platform::delete_object(platform::kind_leases, platform::name_in_era(request.agent, era),
                              request.revision),
      timing_.call_timeout);
  if (!in_era(service, era)) co_return;
  const auto result = write_result_of(answer);
  leaders_.at(service)->owner_lease_deleted(request.agent, result, boot_now());
  tick(boot_now());
}

asio::awaitable<void> claims_driver::push(std::string service, claims::push_map pushed) {
  std::map<std::uint64_t, std::string> encoded;  // By the revision that recipients know.
  for (const auto& to : pushed.recipients) {
    if (to.address == settings_.peer_address()) continue;
    auto& bytes = encoded[to.since];
    if (bytes.empty()) bytes = claims::to_cbor_bytes(leaders_.at(service)->changes_since(to.since));
    spawn(executor_, [this, peer = to.address, service, bytes]() -> asio::awaitable<void> {
      co_await call_peer(peer, "POST", std::string(map_path) + service, bytes, peer_timeout);
    });
  }
  co_return;
}

void claims_driver::refresh_map(const std::string& service) {
  const auto now = boot_now();
  auto& not_before = refresh_after_[service];
  if (now < not_before) return;
  not_before = now + refresh_interval;
  spawn(executor_, refresh(service));
}

asio::awaitable<void> claims_driver::refresh(std::string service) {
  failure reason;
  const auto* cached = view_.find_map(service);
  if (cached != nullptr && !cached->leader_address.empty() &&
      cached->leader_address != settings_.peer_address()) {
    auto exchange = co_await call_peer(
        cached->leader_address, "GET", std::string(map_path) + service, {}, peer_timeout,
        std::string(map_known_header) + ": " + std::to_string(cached->revision) + "\r\n");
    if (exchange.result == exchange_result::answered && exchange.status == status_ok &&
        exchange.body->fully_buffered()) {
      const auto update = claims::update_from_cbor_bytes(exchange.body->buffered(), reason);
      cached = view_.find_map(service);
      const auto map = update ? claims::updated(*cached, *update) : std::nullopt;
      if (map) map_seen(*map, boot_now());
      // A leader of an earlier era may know no later map.
      if (map && era_of(map->revision) >= store_.era()) co_return;
    }
  }
  refresh_after_[service] = boot_now() + 3 * refresh_interval;
  // Without a map, any one shows the leader; after a failure of the leader only the newest will do.
  const auto data =
      cached == nullptr ? platform::freshness::seconds_old : platform::freshness::current;
  const auto era = store_.era();
  const auto answer = co_await store_.call(
      platform::read_object(platform::kind_claims, platform::name_in_era(service, era), data),
      timing_.call_timeout);
  if (!answer.done() || answer.era != era) co_return;
  const auto object = answer.object(reason);
  auto map = object ? claims::map_from_json_text(object->spec, reason) : std::nullopt;
  if (!map) {
    log_event("claims_unreadable service=" + service + " why=\"" + reason.describe() + "\"");
    co_return;
  }
  map->revision = object->revision;
  map_seen(*map, boot_now());
}

}  // namespace masticshunt::fleet
