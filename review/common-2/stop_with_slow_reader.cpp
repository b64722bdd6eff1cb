/// @file
/// A requester sends several safe requests on one connection and reads the answers slowly. The
/// targets have answered all of them when the agent that took them gets SIGTERM.
#include "lab.h"

namespace {

constexpr int requests = 12;
constexpr std::size_t answer_bytes = 30'000;
constexpr std::size_t read_bytes = 10'000;  // each `read_pause`: 100 kB a second
constexpr lab::ms read_pause{100};
constexpr int deadline_ms = 10'000;
constexpr lab::ms stop_after{600};

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
  for (int i = 0; i < 2; ++i) all.add_machine({.service = "svc", .answer_bytes = answer_bytes});
  all.start({{"r1", lab::route("svc", "safe", "10000ms")}}, {"svc"});
  auto& agent = all.agent_at(0);

  const int fd = lab::connect_to(agent.ip(), agent.ports().callers, true);
  if (fd < 0) lab::cannot_run(log, "no connection to the agent");
  std::string bytes;
  for (int i = 0; i < requests; ++i)
    bytes += lab::request_text("GET", "/svc/item", "req-" + std::to_string(i), deadline_ms);
  const auto sent_at = lab::clock::now();
  lab::send_all(fd, bytes);
  log.line("requester sends %d requests on one connection, time budget %d ms each; it reads %zu "
           "bytes each %lld ms",
           requests, deadline_ms, read_bytes, static_cast<long long>(read_pause.count()));

  // It reads from the start on; the stop comes once the targets have answered everything.
  bool stopped = false;
  bool all_ran = false;
  std::string received;
  bool ended = false;
  const std::size_t wanted = requests * answer_bytes;
  while (!ended && received.size() < wanted + requests * 400 &&
         lab::clock::now() - sent_at < lab::ms{deadline_ms}) {
    char part[read_bytes];
    const auto got = ::recv(fd, part, sizeof part, MSG_DONTWAIT);
    if (got > 0) received.append(part, static_cast<std::size_t>(got));
    ended = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    // Complete answers are counted as they come, so that the requester ends with the last one.
    std::size_t bodies = 0;
    for (std::size_t at = 0; (at = received.find("\r\n\r\n", at)) != std::string::npos; at += 4)
      bodies += received.size() - at - 4 >= answer_bytes ? 1 : 0;
    if (bodies == requests) break;
    lab::pause_for(read_pause);
    if (stopped || lab::clock::now() - sent_at < stop_after) continue;
    stopped = true;
    all_ran = runs_of(all) == requests;
    log.line("%zu of %d requests were run", runs_of(all), requests);
    if (lab::with_trouble()) agent.send_signal(SIGTERM);
  }
  if (!all_ran) lab::cannot_run(log, "not all requests had been run when the agent was stopped");
  const double took = std::chrono::duration<double>(lab::clock::now() - sent_at).count();
  log.line("requester has read %zu bytes in %.2f s; connection %s", received.size(), took,
           ended ? "closed by the agent" : "open");

  int complete = 0;
  std::size_t at = 0;
  for (int i = 0; i < requests; ++i) {
    const auto head_end = received.find("\r\n\r\n", at);
    const bool head = head_end != std::string::npos;
    const auto body = head ? std::min(received.size() - head_end - 4, answer_bytes) : 0;
    log.line("req-%d: %s, %zu of %zu bytes of the body", i, head ? "answer begun" : "no answer",
             body, answer_bytes);
    if (body == answer_bytes) ++complete;
    at = head ? head_end + 4 + body : received.size();
  }
  if (lab::with_trouble()) agent.ended_within(lab::ms{7'000});
  for (std::size_t i = 0; i < 2; ++i) all.agent_at(i).kill_now();
  const bool broken = complete < requests;
  log.line("%d of %d requests that were run have a complete answer: LOST %s", complete, requests,
           broken ? "broken" : "held");
  ::_exit(broken ? 1 : 0);
}
