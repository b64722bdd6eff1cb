/// A late copy of a refusal is taken for the answer to the second attempt of the same request.
#include "small_fleet.h"

using namespace review;

namespace {

int play(deployment& fleet, recorder& record) {
  fleet.add("sperrbuch", "bern", "mittelland");
  fleet.add("schleifplan", "olten", "mittelland", true);
  fleet.add("schleifplan", "brig", "alpen", true);
  // Of 200 bookings, the target refuses one for want of room, and sends one late copy of an answer.
  const std::string refused_id = "book-150";
  std::atomic<bool> refused{false}, copied{false};
  target& bookings = *fleet.targets[0];
  bookings.is_full = [&](const message& call) {
    return call.header("X-Request-Id") == refused_id && !refused.exchange(true);
  };
  bookings.extra_before = [&](const message& call, const std::string& before) {
    const bool after_refusal = before.find("X-Not-Executed") != std::string::npos;
    if (!trouble() || !after_refusal || copied.exchange(true)) return std::string{};
    record.line("target-1 sends a late copy of its refusal before its answer to %s",
                call.header("X-Request-Id").c_str());
    return before;
  };
  if (!fleet.start(usual_state()) || !fleet.await_ready(ms{15000})) return exit_could_not_run;
  sleep_for(ms{4000});

  const auto& on = fleet.machines[0];
  requester dispatcher(on.ip, on.callers);
  int served = 0;
  std::vector<std::string> broken;
  for (int i = 0; i < 200; ++i) {
    const auto id = "book-" + std::to_string(i);
    const auto got = dispatcher.call("POST", "buch.example", "/buch/x", id, 1500, -1, "possession");
    served += got.status == 200;
    if (got.status != 200) record.line("%s is answered %d", id.c_str(), got.status);
    const bool promised =
        got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421;
    if (promised) sleep_for(ms{300});
    const auto runs = fleet.book.runs_of(id);
    if (promised && runs > 0)
      broken.push_back("REFUSED: " + id + " was answered " + std::to_string(got.status) +
                       " and ran");
    if (runs > 1) broken.push_back("TWICE: " + id + " ran more than once");
  }
  record.line("served %d of 200", served);
  if (served < 190) return exit_could_not_run;
  for (const auto& each : broken) record.line("%s", each.c_str());
  return broken.empty() ? exit_held : exit_broken;
}

}  // namespace

int main(int count, char** words) {
  return run_case(count, words, play);
}
