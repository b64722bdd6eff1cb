/// The store comes back from a copy some seconds old; then the machines are restarted in turn, as
/// planned.
#include <deque>

#include "common-3/fleet.h"

namespace masticshunt::review {
namespace {

constexpr milliseconds copy_age{4'000};  // "some seconds old"
constexpr milliseconds away_for{1'000};  // "away for a moment"
constexpr milliseconds restart_interval{4'000};

/// Plays the case.
class drill_case {
 public:
  explicit drill_case(case_options options) : fleet_(std::move(options)), holds_(fleet_) {}

  int run() {
    for (int i = 0; i < 3; ++i) fleet_.add("viewer", true);
    for (int i = 0; i < 2; ++i) fleet_.add("ledger", false);
    if (!fleet_.start()) return exit_not_run;
    fleet_.spawn(holds_.run());
    fleet_.spawn(take_copies());
    for (std::size_t i = 0; i < 24; ++i) fleet_.spawn(send_requests(i % fleet_.size()));
    fleet_.spawn(play());
    fleet_.context().run();
    return result_;
  }

 private:
  /// Returns the agent that the stored map names for each key, in steps.
  static std::vector<std::string> owners_in(const store::copy& data) {
    std::vector<std::string> owners(65'536 / 64);
    const auto kind = data.objects.find("masticshunt-claims");
    if (kind == data.objects.end()) return owners;
    const auto found = kind->second.find("viewer");
    if (found == kind->second.end()) return owners;
    failure reason;
    const auto map = claims::map_from_json_text(found->second.spec.dump(), reason);
    if (!map) return owners;
    for (std::size_t i = 0; i < owners.size(); ++i)
      if (const auto* claimed = map->find(static_cast<claims::shard_key>(i * 64)))
        owners[i] = claimed->holder.agent;
    return owners;
  }
  static std::size_t moved_keys(const store::copy& before, const store::copy& after) {
    const auto earlier = owners_in(before);
    const auto later = owners_in(after);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < earlier.size(); ++i)
      if (!earlier[i].empty() && !later[i].empty() && earlier[i] != later[i]) moved += 64;
    return moved;
  }
  std::string leader() {
    const auto spec = fleet_.platform_store().spec("masticshunt-claims", "viewer");
    failure reason;
    const auto map =
        spec.is_null() ? std::nullopt : claims::map_from_json_text(spec.dump(), reason);
    return map ? map->leader : std::string{};
  }

  boost::asio::awaitable<void> take_copies() {
    while (!fleet_.stopping()) {
      copies_.push_back(fleet_.platform_store().take_copy());
      while (boot_now() - copies_.front().taken_at > copy_age) copies_.pop_front();
      co_await fleet_.sleep(milliseconds{200});
    }
  }
  boost::asio::awaitable<void> send_requests(std::size_t at) {
    co_await fleet_.sleep(seconds{5});
    while (!fleet_.stopping()) {
      // Most of the load is about neighbouring keys, as the pages say of busy keys.
      const auto key = fleet_.random()() % (hot_ && fleet_.random()() % 8 != 0 ? 8'192 : 65'536);
      co_await fleet_.send(at, "GET", "/keyed/x", "X-Shard-Key: " + std::to_string(key) + "\r\n", 0,
                           true);
      co_await fleet_.sleep(milliseconds{10 + fleet_.random()() % 50});
    }
  }

  boost::asio::awaitable<void> play() {
    co_await fleet_.sleep(seconds{12});
    fleet_.note("many requests are now about the keys from 0 to 8191");
    hot_ = true;
    const auto hot_since = boot_now();
    std::size_t moved = 0;
    for (;;) {
      co_await fleet_.sleep(milliseconds{200});
      moved = moved_keys(copies_.front(), copies_.back());
      if (moved > 0 && boot_now() - copies_.front().taken_at >= copy_age - milliseconds{300}) break;
      if (boot_now() - hot_since > seconds{15}) {
        fleet_.note("no key has moved, so there is nothing to lose");
        result_ = exit_not_run;
        fleet_.finish();
        fleet_.context().stop();
        co_return;
      }
    }
    const auto copy = copies_.front();
    fleet_.note("keys that changed their owner within the last 4 s: " + std::to_string(moved));
    if (fleet_.options().trouble) {
      fleet_.note("the store is away, at revision " +
                  std::to_string(fleet_.platform_store().revision()));
      fleet_.platform_store().go_away();
      co_await fleet_.sleep(away_for);
      fleet_.platform_store().come_back(copy);
      // What the operator wrote is written again.
      fleet_.platform_store().put("config", "main", small_fleet::desired_state(1));
      fleet_.note("the store is back from a copy, at revision " +
                  std::to_string(fleet_.platform_store().revision()));
    } else {
      co_await fleet_.sleep(away_for);
    }
    hot_ = false;
    co_await fleet_.sleep(seconds{5});
    // Planned work: the machines are stopped and started in turn.
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const auto& name = fleet_.agent_at(i).on().name;
      fleet_.note("planned restart (SIGTERM) of " + name +
                  (name == leader() ? ", the leader" : ""));
      fleet_.agent_at(i).signal(SIGTERM);
      co_await fleet_.sleep(restart_interval);
    }
    co_await fleet_.sleep(seconds{8});
    fleet_.finish();
    fleet_.note("fences and requests: " + std::to_string(fleet_.checker().violation_count()) +
                " breaks; keys held by two upstreams for over 0.5 s: " +
                std::to_string(holds_.broken()) + " samples, longest " +
                std::to_string(std::chrono::duration<double>(holds_.longest()).count()) + " s");
    const bool broken = fleet_.checker().violation_count() > 0 || holds_.broken() > 0;
    result_ = broken ? exit_broken : exit_held;
    fleet_.context().stop();
  }

  small_fleet fleet_;
  hold_watch holds_;
  std::deque<store::copy> copies_;
  bool hot_ = false;
  int result_ = exit_not_run;
};

}  // namespace
}  // namespace masticshunt::review

int main() {
  return masticshunt::review::drill_case(masticshunt::review::options_from_environment()).run();
}
