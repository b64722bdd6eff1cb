/// @file
/// A target leaves while the platform's store is down. Right after the agent beside it has
/// acknowledged that, the agent's process is killed and started again.
#include "lab.h"

namespace {

constexpr lab::ms drain{2'000};
constexpr lab::ms contact{3'000};
constexpr lab::ms store_down{2'500};

}  // namespace

int main(int, char** argv) {
  lab::record log(std::string(argv[1]) + "/record.txt");
  lab::deployment all(log, argv[2]);
  for (int i = 0; i < 3; ++i) all.add_machine({.service = "svc"});
  all.start({{"r1", lab::route("svc", "safe", "3000ms")}}, {"svc"});
  auto& agent = all.agent_at(0);
  auto& target = all.target_at(0);

  const bool trouble = lab::with_trouble();
  const auto down_at = lab::clock::now();
  if (trouble) {
    all.platform().set_down(true);
    log.line("the store is down: it answers 503");
  }
  lab::pause_for(lab::ms{200});
  const auto acknowledged = target.leave(agent.ip(), agent.ports().heartbeats);
  if (!acknowledged) lab::cannot_run(log, "the leaving was not acknowledged");
  log.line("target i-1 sent DELETE /-/instances/i-1 and has the acknowledgement; it serves on");
  if (trouble) {
    agent.send_signal(SIGKILL);
    agent.ended_within(lab::ms{1'000});
    lab::pause_for(lab::ms{300});
    agent.start(false);
    std::this_thread::sleep_until(down_at + store_down);
    all.platform().set_down(false);
    log.line("the store serves again, %lld ms after its fall",
             static_cast<long long>(store_down.count()));
  }
  // From here on the store is stable and all machines are in touch.
  const auto in_touch = std::max(lab::clock::now() + contact, *acknowledged + drain) + lab::ms{300};
  std::this_thread::sleep_until(in_touch);
  log.line("all machines have been in touch; in the store: %s",
           all.platform().spec_of("masticshunt-upstreams", "sidecar-1").dump().c_str());

  int answered = 0;
  constexpr int requests = 60;
  for (int i = 0; i < requests; ++i) {
    auto& from = all.agent_at(static_cast<std::size_t>(i % 3));
    const int fd = lab::connect_to(from.ip(), from.ports().callers);
    if (fd < 0) lab::cannot_run(log, "no connection to an agent");
    const std::string id = "req-" + std::to_string(i);
    lab::send_all(fd, lab::request_text("GET", "/svc/item", id, 2'000));
    lab::reader in(fd);
    lab::message answer;
    if (in.read(answer, lab::clock::now() + lab::ms{2'500})) {
      log.line("requester at sidecar-%d: %s gets \"%s\"", i % 3 + 1, id.c_str(),
               answer.first_line.c_str());
      answered += answer.status() == 200 ? 1 : 0;
    }
    ::close(fd);
    lab::pause_for(lab::ms{20});
  }
  int late = 0;
  for (const auto& each : target.runs()) {
    if (each.at < *acknowledged + drain) continue;
    ++late;
    log.line("%s reached target i-1 %.2f s after the acknowledgement", each.id.c_str(),
             std::chrono::duration<double>(each.at - *acknowledged).count());
  }
  for (std::size_t i = 0; i < 3; ++i) all.agent_at(i).kill_now();
  if (answered == 0) lab::cannot_run(log, "no request was served");
  log.line("%d of %d requests reached the target later than drain: DRAIN %s", late, requests,
           late > 0 ? "broken" : "held");
  ::_exit(late > 0 ? 1 : 0);
}
