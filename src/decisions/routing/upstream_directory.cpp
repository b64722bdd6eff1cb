#include "masticshunt/decisions/routing/upstream_directory.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "masticshunt/decisions/routing/residency.h"

namespace masticshunt::routing {

namespace {

constexpr double failure_share_step = 0.12;
constexpr double usual_queue_step = 0.2;  // weight of a report in the moving average
constexpr double tie_share = 0.03;       // of the lowest cost: `draw` decides among costs within it
constexpr double tried_penalty_s = 100;  // ranks behind all upstreams not tried
constexpr double ejected_penalty_s = 10;  // ranks behind all reachable upstreams not tried

double seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

std::string_view to_string(upstream_stage stage) {
  constexpr std::array<std::string_view, 3> names{"ready", "draining", "gone"};
  return names.at(static_cast<std::size_t>(stage));
}

upstream_directory::upstream_directory(std::string zone, std::string region,
                                       balance_settings settings)
    : zone_(std::move(zone)), region_(std::move(region)), settings_(settings) {}

std::vector<std::string> upstream_directory::replace_all(std::vector<registration> all,
                                                         time_point now) {
  std::vector<std::string> changed;
  for (auto it = members_.begin(); it != members_.end();) {
    const bool kept = std::ranges::find(all, it->first, &registration::agent) != all.end();
    if (!kept) changed.push_back(it->first);
    it = kept ? std::next(it) : members_.erase(it);
  }
  index_by_service();
  for (auto& published : all) {
    std::string agent = published.agent;
    if (put(std::move(published), now)) changed.push_back(std::move(agent));
  }
  initialized_ = true;
  return changed;
}

bool upstream_directory::put(registration published, time_point now) {
  const auto [position, is_new] = members_.try_emplace(published.agent);
  member& upstream = position->second;
  if (!is_new && upstream.published == published) return false;
  const bool other_service = !is_new && upstream.published.service != published.service;
  const bool new_incarnation = is_new || upstream.published.incarnation != published.incarnation;
  if (new_incarnation)
    upstream =
        member{.added_at = initialized_ ? now : now - settings_.warm_up, .index = upstream.index};
  upstream.published = std::move(published);
  if (is_new)
    add_to_index(upstream);
  else if (other_service)
    index_by_service();
  else
    invalidate(upstream);
  return true;
}

bool upstream_directory::remove(std::string_view agent) {
  const auto found = members_.find(agent);
  if (found == members_.end()) return false;
  members_.erase(found);
  index_by_service();
  return true;
}

const registration* upstream_directory::find(std::string_view agent) const {
  const auto found = members_.find(agent);
  return found == members_.end() ? nullptr : &found->second.published;
}

std::vector<const registration*> upstream_directory::of_service(std::string_view service) const {
  std::vector<const registration*> result;
  for (const auto& [name, upstream] : members_)
    if (upstream.published.service == service) result.push_back(&upstream.published);
  return result;
}

std::vector<const registration*> upstream_directory::all() const {
  std::vector<const registration*> result;
  result.reserve(members_.size());
  for (const auto& [name, upstream] : members_) result.push_back(&upstream.published);
  return result;
}

double upstream_directory::failure_share(const member& upstream, time_point now) const {
  return upstream.failure_share * std::exp2(-seconds(now - upstream.failure_updated_at) /
                                            seconds(settings_.failure_half_life));
}

void upstream_directory::estimate(cost_terms& terms, time_point now) const {
  const member& upstream = *terms.upstream;
  const registration& published = upstream.published;
  terms.estimated_at = now;
  terms.usable = published.stage == upstream_stage::ready && !published.incarnation.id.empty() &&
                 !upstream.leaving_since && !evacuated_zones_.contains(published.zone);
  if (!terms.usable) return;
  const bool same_zone = published.zone == zone_;
  const bool same_region = published.region == region_;
  const duration network_delay = same_zone     ? settings_.same_zone
                                 : same_region ? settings_.other_zone
                                               : settings_.other_region;
  terms.kilobyte = seconds(same_zone     ? duration{}
                           : same_region ? settings_.kilobyte_to_other_zone
                                         : settings_.kilobyte_to_other_region);
  const bool warming = now - upstream.added_at < settings_.warm_up;
  const duration service_time = upstream.load.service_time > duration{}
                                    ? upstream.load.service_time
                                    : settings_.assumed_service_time;
  terms.work =
      seconds(service_time) * slowdown(upstream, now) * (warming ? settings_.warm_up_factor : 1);
  const double rounds_ahead =
      std::max(0.0, expected_queue(upstream, now) / std::max(1U, published.slots) - 1);
  terms.wait = limit_wait(upstream, now) + terms.work * rounds_ahead;
  terms.other =
      seconds(network_delay) + failure_share(upstream, now) * seconds(settings_.failure_penalty);
  terms.has_reported = upstream.reported_at != time_point{};
  terms.ejected = now < upstream.ejected_until ? ejected_penalty_s : 0;
}

double upstream_directory::expected_queue(const member& upstream, time_point now) const {
  const double age = seconds(now - upstream.reported_at);
  const double weight = std::exp2(-age / seconds(settings_.load_report_half_life));
  const double usual_weight = std::exp2(-age / seconds(settings_.usual_queue_half_life));
  const double reported = weight * (upstream.load.running + upstream.load.waiting) +
                          (1 - weight) * usual_weight * upstream.usual_queue;
  return std::max<double>(reported + upstream.sent_since_report, upstream.in_flight) + 1;
}

double upstream_directory::cost(const cost_terms& terms, const request_estimate& request) {
  constexpr double kilobyte_bytes = 1024;
  return terms.other + terms.wait + terms.work * request.work_ratio +
         terms.kilobyte * static_cast<double>(request.bytes) / kilobyte_bytes;
}

double upstream_directory::rank(const cost_terms& terms, const upstream_choice& request,
                                double answer_within) {
  constexpr double never = std::numeric_limits<double>::infinity();
  if (!terms.usable) return never;
  const registration& published = terms.upstream->published;
  if (!request.regions.empty() && !allows_region(request.regions, published.region)) return never;
  const double busy_for = terms.wait + terms.work * request.estimate.work_ratio;
  if (terms.has_reported && busy_for > answer_within) return never;
  const bool tried = !request.tried.empty() &&
                     std::ranges::find(request.tried, published.agent) != request.tried.end();
  return cost(terms, request.estimate) + terms.ejected + (tried ? tried_penalty_s : 0);
}

void upstream_directory::invalidate(const member& upstream) const {
  by_service_.find(upstream.published.service)->second[upstream.index].estimated_at = {};
}

void upstream_directory::set_evacuated_zones(std::set<std::string> zones) {
  evacuated_zones_ = std::move(zones);
  index_by_service();
}

double upstream_directory::slowdown(const member& upstream, time_point now) const {
  if (upstream.load.slowdown == 1) return 1;
  const double age = seconds(now - upstream.reported_at) / seconds(settings_.slowdown_half_life);
  return 1 + (upstream.load.slowdown - 1) * std::exp2(-age);
}

double upstream_directory::limit_wait(const member& upstream, time_point now) const {
  const duration age = now - upstream.reported_at;
  if (!upstream.load.request_limit || age > settings_.limit_memory) return 0;
  constexpr double lowest_rate = 0.1;  // keeps the estimate finite under a limit of zero
  const double rate = std::max(*upstream.load.request_limit, lowest_rate);
  return std::max(0.0, seconds(upstream.load.limit_wait - age) + upstream.sent_since_report / rate);
}

std::optional<double> upstream_directory::request_limit(std::string_view agent,
                                                        time_point now) const {
  const auto found = members_.find(agent);
  if (found == members_.end() || now - found->second.reported_at > settings_.limit_memory)
    return std::nullopt;
  return found->second.load.request_limit;
}

bool upstream_directory::has_region(std::string_view region) const {
  return std::ranges::any_of(
      members_, [region](const auto& each) { return each.second.published.region == region; });
}

bool upstream_directory::has_zone(std::string_view zone) const {
  return std::ranges::any_of(
      members_, [zone](const auto& each) { return each.second.published.zone == zone; });
}

std::optional<std::string> upstream_directory::choose(const upstream_choice& request,
                                                      time_point now) const {
  const auto of_service = by_service_.find(request.service);
  if (of_service == by_service_.end()) return std::nullopt;
  service_costs& costs = of_service->second;
  const double answer_within =
      request.answer_by ? seconds(*request.answer_by - now) : std::numeric_limits<double>::max();
  const cost_terms* cheapest = &costs.front();
  for (cost_terms& terms : costs) {
    if (now - terms.estimated_at >= settings_.estimate_lifetime) estimate(terms, now);
    terms.rank = rank(terms, request, answer_within);
    if (terms.rank < cheapest->rank) cheapest = &terms;
  }
  if (std::isinf(cheapest->rank)) return std::nullopt;
  const double bound = cheapest->rank + tie_share * cost(*cheapest, request.estimate);
  const auto ties = [bound](const cost_terms& each) { return each.rank <= bound; };
  const auto tied = static_cast<double>(std::ranges::count_if(costs, ties));
  auto left = static_cast<std::size_t>(request.draw * tied);
  const auto chosen = std::ranges::find_if(
      costs, [&](const cost_terms& each) { return ties(each) && left-- == 0; });
  return chosen->upstream->published.agent;
}

void upstream_directory::index_by_service() {
  by_service_.clear();
  for (auto& [name, upstream] : members_) add_to_index(upstream);
}

void upstream_directory::add_to_index(member& upstream) {
  auto& costs = by_service_[upstream.published.service];
  upstream.index = costs.size();
  costs.push_back({.upstream = &upstream});
}

bool upstream_directory::reachable(std::string_view agent, time_point now) const {
  const auto found = members_.find(agent);
  return found != members_.end() && now >= found->second.ejected_until;
}

std::optional<time_point> upstream_directory::leaving_since(std::string_view agent) const {
  const auto found = members_.find(agent);
  return found == members_.end() ? std::nullopt : found->second.leaving_since;
}

upstream_directory::member* upstream_directory::find_member(std::string_view agent) {
  const auto found = members_.find(agent);
  return found == members_.end() ? nullptr : &found->second;
}

void upstream_directory::sent(std::string_view agent) {
  if (member* upstream = find_member(agent)) {
    ++upstream->in_flight;
    ++upstream->sent_since_report;
    invalidate(*upstream);
  }
}

void upstream_directory::ended(std::string_view agent, attempt_health health,
                               std::optional<load_report> load, time_point now) {
  member* upstream = find_member(agent);
  if (upstream == nullptr) return;
  invalidate(*upstream);
  if (upstream->in_flight > 0) --upstream->in_flight;
  if (load) {
    const double queue = load->running + load->waiting;
    upstream->usual_queue += usual_queue_step * (queue - upstream->usual_queue);
    upstream->load = *load;
    upstream->reported_at = now;
    upstream->sent_since_report = 0;
    if (load->leaving == upstream->published.incarnation && !upstream->leaving_since)
      upstream->leaving_since = now;
  } else if (upstream->sent_since_report > 0) {
    --upstream->sent_since_report;
  }
  const bool bad = health == attempt_health::failed || health == attempt_health::unreachable;
  if (health != attempt_health::refused && health != attempt_health::starting) {
    const double before = failure_share(*upstream, now);
    upstream->failure_share = before + failure_share_step * ((bad ? 1.0 : 0.0) - before);
    upstream->failure_updated_at = now;
  }
  if (health != attempt_health::unreachable) {
    upstream->consecutive_unreachable = 0;
    // Its next heartbeat is due soon, so it is not ejected for longer each time.
    const bool starting = health == attempt_health::starting;
    upstream->ejected_until = starting ? now + settings_.first_ejection : time_point{};
    return;
  }
  const duration ejection =
      std::min(settings_.longest_ejection,
               settings_.first_ejection * (1U << std::min(upstream->consecutive_unreachable, 5U)));
  ++upstream->consecutive_unreachable;
  upstream->ejected_until = now + ejection;
}

}  // namespace masticshunt::routing
