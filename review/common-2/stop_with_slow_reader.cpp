/// @file
/// Requesters send several safe requests on one connection each and read the answers slowly. The
/// targets have answered all of them when the agent that took them gets SIGTERM.
#include "lab.h"

namespace {

constexpr int requesters = 3;
constexpr int requests = 16;  // of each requester, on one connection
constexpr std::size_t answer_bytes = 30'000;
constexpr std::size_t read_bytes = 7'000;  // each `read_pause`: 140 kB a second
constexpr lab::ms read_pause{50};
constexpr int deadline_ms = 10'000;
constexpr lab::ms stop_after{600};

struct result {
  std::size_t bytes = 0;
  int complete = 0;
  double took = 0;
  std::string end = "open";
};

/// Sends the requests of one requester, and reads the answers from the start on.
result play(lab::agent& agent, int number) {
  result made;
  const int fd = lab::connect_to(agent.ip(), agent.ports().callers, true);
  std::string bytes;
  for (int i = 0; i < requests; ++i)
    bytes += lab::request_text(
        "GET", "/svc/item", "req-" + std::to_string(number) + "-" + std::to_string(i), deadline_ms);
  const auto sent_at = lab::clock::now();
  lab::send_all(fd, bytes);
  std::string received;
  while (made.complete < requests && lab::clock::now() - sent_at < lab::ms{deadline_ms}) {
    char part[read_bytes];
    const auto got = ::recv(fd, part, sizeof part, MSG_DONTWAIT);
    if (got > 0) {
      received.append(part, static_cast<std::size_t>(got));
      made.bytes += static_cast<std::size_t>(got);
      for (;;) {
        const auto head_end = received.find("\r\n\r\n");
        if (head_end == std::string::npos || received.size() < head_end + 4 + answer_bytes) break;
        received.erase(0, head_end + 4 + answer_bytes);
        ++made.complete;
      }
    } else if (got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      made.end = got == 0 ? "closed by the agent" : "reset by the agent";
      break;
    }
    lab::pause_for(read_pause);
  }
  made.took = std::chrono::duration<double>(lab::clock::now() - sent_at).count();
  ::close(fd);
  return made;
}

/// Returns the number of different requests that the targets have run.
std::size_t runs_of(lab::deployment& all) {
  std::set<std::string> ids;
  for (std::size_t i = 0; i < 2; ++i)
    for (const auto& each : all.target_at(i).runs()) ids.insert(each.id);
  return ids.size();
}

}  // namespace

int main(int, char** argv) {
  lab::record log(std::string(argv[1]) + "/record.txt");
  lab::deployment all(log, argv[2]);
  for (int i = 0; i < 2; ++i)
    all.add_machine({.service = "svc", .answer_bytes = answer_bytes, .slots = 18});
  all.start({{"r1", lab::route("svc", "safe", "10000ms")}}, {"svc"});
  auto& agent = all.agent_at(0);

  log.line(
      "%d requesters send %d requests each on one connection, time budget %d ms; they read "
      "%zu bytes each %lld ms",
      requesters, requests, deadline_ms, read_bytes, static_cast<long long>(read_pause.count()));
  std::vector<result> results(requesters);
  std::vector<std::thread> threads;
  for (int i = 0; i < requesters; ++i)
    threads.emplace_back([&, i] { results[static_cast<std::size_t>(i)] = play(agent, i); });
  lab::pause_for(stop_after);
  const auto ran = runs_of(all);
  log.line("%zu of %d requests were run", ran, requesters * requests);
  if (ran != requesters * requests) lab::cannot_run(log, "not all requests have been run");
  if (lab::with_trouble()) agent.send_signal(SIGTERM);
  for (auto& each : threads) each.join();

  int lost = 0;
  for (int i = 0; i < requesters; ++i) {
    const result& each = results[static_cast<std::size_t>(i)];
    log.line("requester %d: %d of %d answers, %zu bytes in %.2f s, connection %s", i, each.complete,
             requests, each.bytes, each.took, each.end.c_str());
    // An answer that the requester had no more time for is not lost by the stop.
    if (each.end != "open") lost += requests - each.complete;
  }
  if (lab::with_trouble()) agent.ended_within(lab::ms{7'000});
  for (std::size_t i = 0; i < 2; ++i) all.agent_at(i).kill_now();
  log.line("%d of %d requests that were run ended without a complete answer: LOST %s", lost,
           requesters * requests, lost > 0 ? "broken" : "held");
  ::_exit(lost > 0 ? 1 : 0);
}
