#include <fstream>
#include <sstream>

#include "blackbox/blackbox.h"

using namespace masticshunt::testing;

namespace {

constexpr std::uint64_t mebibyte = 1'048'576;
constexpr std::uint64_t upload_bytes = 1'024 * mebibyte;
/// A sixteenth of the upload: neither agent may hold it.
constexpr std::uint64_t growth_max_bytes = upload_bytes / 16;

/// Returns the memory of this process that is resident now.
std::uint64_t resident_bytes() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (!line.starts_with("VmRSS:")) continue;
    std::istringstream fields(line.substr(6));
    std::uint64_t kibibytes = 0;
    fields >> kibibytes;
    return kibibytes * 1'024;
  }
  return 0;
}

}  // namespace

Test(upload, of_one_gibibyte_passes_two_agents_in_bounded_memory) {
  small_deployment here;
  expect_true(small_deployment::is_served(here.entry(0), "scan-1"));
  const auto owner = here.owner_of("scan-1");
  plain_client caller(here.entry((owner + 1) % here->nodes().size()));
  const auto before = resident_bytes();
  const std::string header = "PUT " + here.target_of("scan-1") +
                             " HTTP/1.1\r\nHost: a\r\nMasticshunt-Deadline-Ms: 120000\r\n"
                             "Content-Length: " +
                             std::to_string(upload_bytes) + "\r\n\r\n";
  boost::asio::write(caller.socket(), boost::asio::buffer(header));
  const std::vector<char> block(mebibyte, 'x');
  std::uint64_t highest = before;
  for (std::uint64_t sent = 0; sent < upload_bytes; sent += block.size()) {
    boost::asio::write(caller.socket(), boost::asio::buffer(block));
    if (sent % (64 * mebibyte) == 0) highest = std::max(highest, resident_bytes());
  }
  const auto answer = caller.receive();
  highest = std::max(highest, resident_bytes());
  expect_equal(answer["Masticshunt-Outcome"], "served", answer.body());
  const auto records = here->nodes()[owner].upstream_process->records();
  expect_equal(records.back().body_bytes, upload_bytes);
  expect_true(highest - before < growth_max_bytes, "the upload was held in memory");
  cr_log_info("memory grew by %llu KiB",
              static_cast<unsigned long long>((highest - before) / 1'024));
}
