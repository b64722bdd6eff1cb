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
    std::array<char, 4096> chunk{};
    for (ssize_t bytes = 0; (bytes = ::read(ends[0], chunk.data(), chunk.size())) > 0;)
      text.append(chunk.data(), static_cast<std::size_t>(bytes));
    return text;
  }
};

}  // namespace

Test(event_log, writes_a_line_with_time_process_and_event) {
  pipe_fixture fixture;
  event_log log(fixture.ends[1], "vm-1");
  log.line(line_class::process, "start version=1", start);
  log.flush(start);
  const auto text = fixture.read_all();
  expect_true(text.starts_with("time="), text);
  expect_true(text.ends_with(" agent=vm-1 event=start version=1\n"), text);
}

Test(event_log, counts_and_reports_lines_over_the_budget) {
  pipe_fixture fixture;
  event_log log(fixture.ends[1], "vm-1", {.lines_per_second = {10, 10, 1}, .burst_seconds = 2});
  for (int i = 0; i < 10; ++i) log.line(line_class::success, "request", start);
  expect_equal(log.held_back(line_class::success), 8U);
  log.flush(start + seconds{1});
  expect_true(fixture.read_all().find("log_held_back process=0 failure=0 success=8") !=
              std::string::npos);
}

Test(event_log, success_lines_do_not_consume_the_budget_of_failure_lines) {
  pipe_fixture fixture;
  event_log log(fixture.ends[1], "vm-1", {.lines_per_second = {1, 1, 1}, .burst_seconds = 1});
  for (int i = 0; i < 10; ++i) log.line(line_class::success, "request", start);
  expect_true(log.admits(line_class::failure, start));
}

Test(event_log, drops_lines_instead_of_blocking_on_a_full_pipe) {
  pipe_fixture fixture;
  event_log log(fixture.ends[1], "vm-1",
                {.lines_per_second = {1e6, 1, 1}, .burst_seconds = 1, .buffered_bytes_max = 4'096});
  const std::string text(1'000, 'x');
  for (int i = 0; i < 500; ++i) {
    log.line(line_class::process, text, start);
    log.flush(start);
  }
  expect_true(log.lost() > 0);
}

Test(event_text, writes_an_optional_number_with_two_decimals) {
  const auto text =
      event_text("limit").add("now", std::optional(12.346)).add("before", std::optional<double>{});
  expect_equal(text.text(), "limit now=12.35 before=none");
}
