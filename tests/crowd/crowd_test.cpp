// Callers and upstreams that the operators do not control must not exhaust an agent's memory or
// descriptors. The bounds are three quarters of the memory that the settings state, as an agent of
// 160 MB must stay under 120 MB, and the descriptors that they state.
#include "crowd/crowd.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr vm_limits small_vm{.memory_mb = 64, .descriptors = 600};
constexpr std::uint64_t body_limit = 1 << 20;
constexpr std::uint64_t large_body = 500'000;

constexpr std::uint64_t memory_bound(const vm_limits& limits) {
  return limits.memory_mb * 3 / 4;
}

std::string post(const std::string& framing) {
  static int last_id = 0;
  return "POST /write/x HTTP/1.1\r\nHost: crowd.example\r\nX-Request-Id: c-" +
         std::to_string(++last_id) + "\r\nX-Request-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
}
std::string announced(std::uint64_t length) {
  return post("Content-Length: " + std::to_string(length));
}
std::string chunked() {
  return post("Transfer-Encoding: chunked");
}

/// Lets `count` callers of a crowd loose on an agent, and checks what must hold.
void withstands(crowd_fleet& fleet, const vm_limits& limits, std::size_t count,
                const std::function<crowd_request(std::size_t)>& request_of) {
  fleet.run_for(seconds{2});
  expect_true(fleet.serves_ordinary_request(crowd_fleet::ingress), "before the crowd");
  crowd members(fleet.context(), fleet.callers_address(crowd_fleet::ingress));
  for (std::size_t i = 0; i < count; ++i) members.add(request_of(i));
  fleet.run_until_quiet(members);
  expect_true(fleet.serves_ordinary_request(crowd_fleet::ingress), "beside the crowd");
  for (const std::size_t agent : {crowd_fleet::ingress, crowd_fleet::gate}) {
    const auto name = "agent " + std::to_string(agent + 1) + ": ";
    expect_true(fleet.alive(agent), name + "ended");
    const auto peak = fleet.peak_memory_mb(agent);
    const auto open = fleet.descriptors(agent);
    std::printf("agent %zu: peak %llu MB, now %llu MB, %zu descriptors\n", agent + 1,
                static_cast<unsigned long long>(peak),
                static_cast<unsigned long long>(fleet.present_memory_mb(agent)), open);
    expect_true(peak > 0 && peak <= memory_bound(limits), name + std::to_string(peak) + " MB");
    expect_true(open <= limits.descriptors, name + std::to_string(open) + " descriptors");
  }
  members.leave();
  fleet.run_for(seconds{1});
  expect_true(fleet.serves_ordinary_request(crowd_fleet::ingress), "after the crowd");
  std::printf("after the crowd: %llu MB\n",
              static_cast<unsigned long long>(fleet.present_memory_mb(crowd_fleet::ingress)));
}

/// One caller in eight completes its body, the others stop a byte or a chunk short of the end.
bool completes(std::size_t caller) {
  return caller % 8 == 0;
}

}  // namespace

Test(crowd, of_announced_bodies_that_stop_a_byte_short_stays_within_memory) {
  crowd_fleet fleet(small_vm);
  withstands(fleet, small_vm, 200, [](std::size_t i) {
    return crowd_request{.head = announced(large_body),
                         .body_bytes = completes(i) ? large_body : large_body - 1};
  });
}

Test(crowd, of_announced_bodies_in_small_pieces_stays_within_memory) {
  crowd_fleet fleet(small_vm);
  withstands(fleet, small_vm, 200, [](std::size_t i) {
    return crowd_request{.head = announced(large_body),
                         .body_bytes = completes(i) ? large_body : large_body - 1,
                         .piece = 4'096,
                         .pause_after = 64 * 1024};
  });
}

Test(crowd, of_bodies_in_large_chunks_without_an_end_stays_within_memory) {
  crowd_fleet fleet(small_vm);
  withstands(fleet, small_vm, 200, [](std::size_t) {
    return crowd_request{
        .head = chunked(), .body_bytes = 458'752, .piece = 65'536, .chunked = true};
  });
}

Test(crowd, of_bodies_in_chunks_of_one_byte_stays_within_memory) {
  constexpr vm_limits vm{.memory_mb = 36, .descriptors = 600};
  crowd_fleet fleet(vm);
  withstands(fleet, vm, 200, [](std::size_t) {
    return crowd_request{.head = chunked(), .body_bytes = 80'000, .piece = 1, .chunked = true};
  });
}

Test(crowd, of_bodies_over_the_limit_stays_within_memory) {
  crowd_fleet fleet(small_vm);
  withstands(fleet, small_vm, 200, [](std::size_t i) {
    constexpr std::uint64_t much = 4 * body_limit;
    return i % 2 == 0 ? crowd_request{.head = announced(1'000 * body_limit), .body_bytes = much}
                      : crowd_request{.head = chunked(), .body_bytes = much, .chunked = true};
  });
}

Test(crowd, that_reads_no_answers_stays_within_memory) {
  constexpr std::size_t slots = 150;  // so that all requests run
  crowd_fleet fleet(small_vm, slots);
  withstands(fleet, small_vm, slots, [](std::size_t i) {
    return crowd_request{
        .head = "GET /read/large HTTP/1.1\r\nHost: crowd.example\r\nX-Request-Id: l-" +
                std::to_string(i) + "\r\nX-Request-Deadline-Ms: 20000\r\n\r\n",
        .reads = false};
  });
}

Test(crowd, whose_bodies_the_upstream_reads_slowly_stays_within_memory) {
  constexpr std::size_t slots = 8;
  crowd_fleet fleet(small_vm, slots, true);
  withstands(fleet, small_vm, 200, [](std::size_t) {
    return crowd_request{.head = announced(large_body), .body_bytes = large_body};
  });
}

Test(crowd, of_half_sent_heads_and_idle_connections_stays_within_descriptors) {
  constexpr vm_limits vm{.memory_mb = 64, .descriptors = 300};
  crowd_fleet fleet(vm);
  withstands(fleet, vm, 500, [](std::size_t i) {
    return crowd_request{.head = i % 2 == 0 ? "GET /read/x HTTP/1.1\r\nHost: crowd" : ""};
  });
}
