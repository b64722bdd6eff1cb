/// @file
/// A requester sends one request whose Transfer-Encoding does not end in `chunked`, so that nothing
/// tells where its body ends. The body looks like a request.
#include "lab.h"

int main(int, char** argv) {
  lab::record log(std::string(argv[1]) + "/record.txt");
  lab::deployment all(log, argv[2]);
  all.add_machine({.service = "svc"});
  all.add_machine({.service = "svc"});
  all.start({{"r1", lab::route("svc", "unsafe", "3000ms")}}, {"svc"});
  auto& agent = all.agent_at(0);

  const std::string inner =
      lab::request_text("POST", "/svc/inner", "inner", 3'000, "Content-Length: 0\r\n");
  char size[16];
  std::snprintf(size, sizeof size, "%zx", inner.size());
  const std::string outer =
      lab::with_trouble()
          ? lab::request_text("POST", "/svc/outer", "outer", 3'000, "Transfer-Encoding: gzip\r\n") +
                inner
          : lab::request_text("POST", "/svc/outer", "outer", 3'000,
                              "Transfer-Encoding: chunked\r\n") +
                size + "\r\n" + inner + "\r\n0\r\n\r\n";
  const int fd = lab::connect_to(agent.ip(), agent.ports().callers);
  if (fd < 0) lab::cannot_run(log, "no connection to the agent");
  log.line("requester sends one request, id=outer:\n%s", outer.c_str());
  lab::send_all(fd, outer);
  lab::reader in(fd);
  const auto until = lab::clock::now() + lab::ms{2'000};
  for (lab::message answer; in.read(answer, until);)
    log.line("requester gets \"%s\" for id=%s", answer.first_line.c_str(),
             answer.header("x-request-id").c_str());

  bool ran = false;
  bool outer_ran = false;
  for (std::size_t i = 0; i < 2; ++i)
    for (const auto& each : all.target_at(i).runs()) {
      ran = ran || each.id == "inner";
      outer_ran = outer_ran || each.id == "outer";
    }
  for (std::size_t i = 0; i < 2; ++i) all.agent_at(i).kill_now();
  if (!lab::with_trouble() && !outer_ran) lab::cannot_run(log, "the request was not run");
  log.line("the request in the body %s: UNASKED %s", ran ? "was run" : "was not run",
           ran ? "broken" : "held");
  ::_exit(ran ? 1 : 0);
}
