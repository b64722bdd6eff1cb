#include "masticshunt/support/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::support;
using namespace masticshunt::testing;
using std::chrono::seconds;

namespace {

const time_point start{seconds{100}};

struct pipe_fixture {
  std::array<int, 2> ends{};
  pipe_fixture() { expect_equal(::pipe(ends.data()), 0); }
  ~pipe_fixture() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  pipe_fixture(const pipe_fixture&) = delete;
  pipe_fixture& operator=(const pipe_fixture&) = delete;
  std::string read_all() const {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t got = 0; (got = ::read(ends[0], part.data(), part.size())) > 0;)
      text.append(part.data(), static_cast<std::size_t>(got));
    return text;
  }
};

}  // namespace

Test(event_log, writes_a_line_with_time_process_and_event) {
  pipe_fixture it;
  event_log log(it.ends[1], "vm-1");
  log.line(line_class::process, "start version=1", start);
  log.flush(start);
  const auto text = it.read_all();
  expect_true(text.starts_with("time="), text);
  expect_true(text.ends_with(" agent=vm-1 event=start version=1\n"), text);
}

Test(event_log, counts_what_is_over_the_budget_and_says_so) {
  pipe_fixture it;
  event_log log(it.ends[1], "vm-1", {.lines_per_second = {10, 10, 1}, .burst_seconds = 2});
  for (int i = 0; i < 10; ++i) log.line(line_class::success, "request", start);
  expect_equal(log.held_back(line_class::success), 8U);
  log.flush(start + seconds{1});
  expect_true(it.read_all().find("log_held_back process=0 failure=0 success=8") !=
              std::string::npos);
}

Test(event_log, successes_do_not_use_up_the_budget_of_failures) {
  pipe_fixture it;
  event_log log(it.ends[1], "vm-1", {.lines_per_second = {1, 1, 1}, .burst_seconds = 1});
  for (int i = 0; i < 10; ++i) log.line(line_class::success, "request", start);
  expect_true(log.admits(line_class::failure, start));
}

Test(event_log, a_full_pipe_costs_lines_and_never_blocks) {
  pipe_fixture it;
  event_log log(it.ends[1], "vm-1",
                {.lines_per_second = {1e6, 1, 1}, .burst_seconds = 1, .buffered_bytes_max = 4'096});
  const std::string text(1'000, 'x');
  for (int i = 0; i < 500; ++i) {
    log.line(line_class::process, text, start);
    log.flush(start);
  }
  expect_true(log.lost() > 0);
}
