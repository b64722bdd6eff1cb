#include "masticshunt/decisions/routing/upstream_directory.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace masticshunt::routing {

namespace {

constexpr double failure_share_step = 0.12;
constexpr double tie_share = 0.03;       // of the cheapest cost: within it the draw decides
constexpr double tried_penalty_s = 100;  // behind everybody that was not tried
constexpr double aside_penalty_s = 10;   // behind everybody that can be reached

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
  for (auto& entry : all) {
    std::string agent = entry.agent;
    if (put(std::move(entry), now)) changed.push_back(std::move(agent));
  }
  started_ = true;
  return changed;
}

bool upstream_directory::put(registration entry, time_point now) {
  const auto [place, is_new] = members_.try_emplace(entry.agent);
  member& one = place->second;
  if (!is_new && one.entry == entry) return false;
  const bool new_life = is_new || one.entry.incarnation != entry.incarnation;
  if (new_life) {
    one = member{.known_since = started_ ? now : now - settings_.warm_up};
  }
  one.entry = std::move(entry);
  return true;
}

bool upstream_directory::remove(std::string_view agent) {
  const auto found = members_.find(agent);
  if (found == members_.end()) return false;
  members_.erase(found);
  return true;
}

const registration* upstream_directory::find(std::string_view agent) const {
  const auto found = members_.find(agent);
  return found == members_.end() ? nullptr : &found->second.entry;
}

std::vector<const registration*> upstream_directory::of_service(std::string_view service) const {
  std::vector<const registration*> result;
  for (const auto& [name, one] : members_)
    if (one.entry.service == service) result.push_back(&one.entry);
  return result;
}

std::vector<const registration*> upstream_directory::all() const {
  std::vector<const registration*> result;
  result.reserve(members_.size());
  for (const auto& [name, one] : members_) result.push_back(&one.entry);
  return result;
}

double upstream_directory::failure_share(const member& one, time_point now) const {
  return one.failure_share *
         std::exp2(-seconds(now - one.failure_noted) / seconds(settings_.failure_half_life));
}

double upstream_directory::cost(const member& one, const request_estimate& request,
                                time_point now) const {
  const bool near = one.entry.zone == zone_;
  const duration way = near                          ? settings_.same_zone
                       : one.entry.region == region_ ? settings_.other_zone
                                                     : settings_.other_region;
  const duration kilobyte = near                          ? duration{}
                            : one.entry.region == region_ ? settings_.kilobyte_to_other_zone
                                                          : settings_.kilobyte_to_other_region;
  constexpr double kilobyte_bytes = 1024;
  const double volume = seconds(kilobyte) * static_cast<double>(request.bytes) / kilobyte_bytes;
  const duration usual =
      one.load.service_time > duration{} ? one.load.service_time : settings_.assumed_service_time;
  const double age = seconds(now - one.stated_at) / seconds(settings_.load_report_half_life);
  const double kept = std::exp2(-age);
  const double stated = kept * (one.load.running + one.load.waiting);
  const double queue = std::max<double>(stated + one.sent_since_statement, one.in_flight) + 1;
  const double turns_before = std::max(0.0, queue / std::max(1U, one.entry.slots) - 1);
  const bool warming = now - one.known_since < settings_.warm_up;
  const double work = seconds(usual) * (turns_before + request.work_ratio);
  return seconds(way) + volume + work * (warming ? settings_.warm_up_factor : 1) +
         failure_share(one, now) * seconds(settings_.failure_penalty);
}

std::optional<std::string> upstream_directory::choose(std::string_view service,
                                                      const std::vector<std::string>& tried,
                                                      double draw, time_point now,
                                                      const request_estimate& request) const {
  std::vector<std::pair<double, const member*>> candidates;
  for (const auto& [name, one] : members_) {
    if (one.entry.service != service || one.entry.stage != upstream_stage::ready) continue;
    if (one.entry.incarnation.id.empty()) continue;
    double total = cost(one, request, now);
    if (now < one.aside_until) total += aside_penalty_s;
    if (std::ranges::find(tried, name) != tried.end()) total += tried_penalty_s;
    candidates.emplace_back(total, &one);
  }
  if (candidates.empty()) return std::nullopt;
  std::ranges::sort(candidates, {}, &std::pair<double, const member*>::first);
  const member& cheapest = *candidates.front().second;
  const double bound = candidates.front().first + tie_share * cost(cheapest, request, now);
  const auto near = static_cast<std::size_t>(
      std::ranges::count_if(candidates, [&](const auto& each) { return each.first <= bound; }));
  return candidates[static_cast<std::size_t>(draw * static_cast<double>(near))].second->entry.agent;
}

bool upstream_directory::reachable(std::string_view agent, time_point now) const {
  const auto found = members_.find(agent);
  return found != members_.end() && now >= found->second.aside_until;
}

upstream_directory::member* upstream_directory::known(std::string_view agent) {
  const auto found = members_.find(agent);
  return found == members_.end() ? nullptr : &found->second;
}

void upstream_directory::sent(std::string_view agent) {
  if (member* one = known(agent)) {
    ++one->in_flight;
    ++one->sent_since_statement;
  }
}

void upstream_directory::ended(std::string_view agent, attempt_health mark,
                               std::optional<load_report> load, time_point now) {
  member* one = known(agent);
  if (one == nullptr) return;
  if (one->in_flight > 0) --one->in_flight;
  if (load) {
    one->load = *load;
    one->stated_at = now;
    one->sent_since_statement = 0;
  } else if (one->sent_since_statement > 0) {
    --one->sent_since_statement;
  }
  const bool bad = mark == attempt_health::failed || mark == attempt_health::unreachable;
  if (mark != attempt_health::refused) {
    const double before = failure_share(*one, now);
    one->failure_share = before + failure_share_step * ((bad ? 1.0 : 0.0) - before);
    one->failure_noted = now;
  }
  if (mark != attempt_health::unreachable) {
    one->unreachable_in_row = 0;
    one->aside_until = {};
    return;
  }
  const duration aside =
      std::min(settings_.longest_ejection,
               settings_.first_ejection * (1U << std::min(one->unreachable_in_row, 5U)));
  ++one->unreachable_in_row;
  one->aside_until = now + aside;
}

}  // namespace masticshunt::routing
