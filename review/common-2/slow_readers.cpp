/// @file
/// Requesters that read their answers slowly, within their time budget. Nothing else happens.
#include "lab.h"

namespace {

constexpr int requesters = 4;
constexpr int requests = 8;  // of each requester, on one connection
constexpr std::size_t answer_bytes = 20'000;
constexpr lab::ms first_pause{1'500};
constexpr std::size_t read_bytes = 4'000;  // each `read_pause`: 40 kB a second
constexpr lab::ms read_pause{100};
constexpr int deadline_ms = 10'000;
constexpr int allowed = 3;  // LOST: "more than three times"

struct result {
  std::size_t bytes = 0;
  int complete = 0;
  double took = 0;
  std::string end = "open";
};

/// Sends the requests of one requester on a kept connection, and reads the answers.
result play(lab::agent& agent, int number) {
  result made;
  const int fd = lab::connect_to(agent.ip(), agent.ports().callers, true);
  std::string bytes;
  for (int i = 0; i < requests; ++i)
    bytes += lab::request_text("GET", "/svc/item",
                               "req-" + std::to_string(number) + "-" + std::to_string(i),
                               deadline_ms);
  const auto sent_at = lab::clock::now();
  lab::send_all(fd, bytes);
  if (lab::with_trouble()) lab::pause_for(first_pause);
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
    lab::pause_for(lab::with_trouble() ? read_pause : lab::ms{1});
  }
  made.took = std::chrono::duration<double>(lab::clock::now() - sent_at).count();
  ::close(fd);
  return made;
}

}  // namespace

int main(int, char** argv) {
  lab::record log(std::string(argv[1]) + "/record.txt");
  lab::deployment all(log, argv[2]);
  for (int i = 0; i < 2; ++i) all.add_machine({.service = "svc", .answer_bytes = answer_bytes});
  all.start({{"r1", lab::route("svc", "safe", "10000ms")}}, {"svc"});

  log.line("%d requesters send %d requests each on one connection, time budget %d ms", requesters,
           requests, deadline_ms);
  std::vector<result> results(requesters);
  std::vector<std::thread> threads;
  for (int i = 0; i < requesters; ++i)
    threads.emplace_back([&, i] { results[i] = play(all.agent_at(0), i); });
  for (auto& each : threads) each.join();

  std::set<std::string> ran;
  for (std::size_t i = 0; i < 2; ++i)
    for (const auto& each : all.target_at(i).runs()) ran.insert(each.id);
  if (ran.size() != requesters * requests) lab::cannot_run(log, "not all requests were run");
  int lost = 0;
  for (int i = 0; i < requesters; ++i) {
    const result& each = results[i];
    log.line("requester %d: %d of %d answers, %zu bytes in %.2f s, connection %s", i, each.complete,
             requests, each.bytes, each.took, each.end.c_str());
    if (each.end != "open") lost += requests - each.complete;
  }
  for (std::size_t i = 0; i < 2; ++i) all.agent_at(i).kill_now();
  const bool broken = lost > allowed;
  log.line("%d requests were run and their connection closed without a complete answer: LOST %s",
           lost, broken ? "broken" : "held");
  ::_exit(broken ? 1 : 0);
}
