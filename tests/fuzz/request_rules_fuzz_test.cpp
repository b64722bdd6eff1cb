#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cctype>

#include "expect.h"
#include "fuzz/mutator.h"
#include "masticshunt/caller/request_rules.h"

namespace http = boost::beast::http;
using masticshunt::failure;
using masticshunt::failure_kind;
using masticshunt::caller::caller_request;
using masticshunt::caller::request_header;
using masticshunt::caller::request_origin;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;
using masticshunt::testing::mutator;

namespace {

constexpr int rounds = 40'000;

const std::vector<std::string> good_requests = {
    "GET /s/booking-ledger/key-1/rest?x=1 HTTP/1.1\r\nHost: a\r\nMasticshunt-Rank: urgent\r\n"
    "Masticshunt-Deadline-Ms: 250\r\nMasticshunt-Caller: c\r\nX-Request-Id: r\r\n\r\n",
    "POST /s/a/b%20c HTTP/1.1\r\nHost: a\r\nIdempotency-Key: i-1\r\nMasticshunt-Attempt: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "PUT /s/a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nMasticshunt-Forwarded: 1\r\n"
    "Masticshunt-Attempt-Number: 2\r\n\r\n"};

const std::vector<std::string> words = {"\r\n",
                                        "\r\n\r\n",
                                        "%00",
                                        "%2f",
                                        "%",
                                        "/",
                                        "..",
                                        "Masticshunt-Fence: 1.1\r\n",
                                        "masticshunt-forwarded: 1\r\n",
                                        "Masticshunt-Deadline-Ms: 99999999999999999999\r\n",
                                        "Masticshunt-Deadline-Ms: -1\r\n",
                                        "Content-Length: 18446744073709551615\r\n",
                                        "Content-Length: 1\r\n",
                                        "Transfer-Encoding: chunked\r\n",
                                        "Idempotency-Key: \r\n",
                                        "Upgrade: h2c\r\n",
                                        std::string(600, 'k')};

/// Returns the header in `bytes` if the HTTP library takes it.
std::optional<request_header> parse(const std::string& bytes) {
  http::request_parser<http::empty_body> parser;
  parser.body_limit(boost::none);
  parser.eager(false);
  boost::system::error_code error;
  std::size_t used = 0;
  while (!error && !parser.is_header_done() && used < bytes.size()) {
    const auto count =
        parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    if (count == 0) break;
    used += count;
  }
  if (error || !parser.is_header_done()) return std::nullopt;
  return parser.get().base();
}

bool starts_with_own_prefix(std::string name) {
  std::ranges::transform(name, name.begin(), [](unsigned char each) { return std::tolower(each); });
  return name.starts_with("masticshunt-");
}

bool is_sent_by_agents_only(const std::string& name) {
  static const std::vector<std::string> open = {"masticshunt-rank", "masticshunt-deadline-ms",
                                                "masticshunt-attempt", "masticshunt-caller"};
  std::string lower = name;
  std::ranges::transform(lower, lower.begin(),
                         [](unsigned char each) { return std::tolower(each); });
  return starts_with_own_prefix(name) && std::ranges::find(open, lower) == open.end();
}

void expect_sound(const request_header& header, const caller_request& request) {
  expect_true(!request.service.empty() && !request.key.empty());
  expect_true(request.service.size() <= masticshunt::caller::name_bytes_max);
  expect_true(request.key.size() <= masticshunt::caller::name_bytes_max);
  expect_equal(request.hash, masticshunt::hash_of_key(request.key));
  expect_true(request.upstream_target.starts_with("/"));
  expect_true(request.idempotent || !request.idempotency_key.empty());
  if (request.deadline) {
    expect_true(*request.deadline > std::chrono::milliseconds(0));
    expect_true(*request.deadline <= masticshunt::caller::deadline_max);
  }
  const bool forged = std::ranges::any_of(header, [](const auto& field) {
    return is_sent_by_agents_only(std::string(field.name_string()));
  });
  expect_true(!forged, "a caller's forged field was accepted");
}

}  // namespace

Test(request_rules_fuzz, accepts_only_sound_requests_and_names_the_remedy_otherwise) {
  mutator changes(1, words);
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto header = parse(changes.mutate(good_requests[round % good_requests.size()]));
    if (!header) continue;
    failure reason;
    const auto request =
        masticshunt::caller::read_request(*header, request_origin::from_caller, reason);
    if (request) {
      ++accepted;
      expect_sound(*header, *request);
    } else {
      ++refused;
      expect_true(reason.kind == failure_kind::bad_input);
      expect_true(!reason.message.empty() && !reason.remedy.empty());
    }
  }
  expect_true(accepted > rounds / 100 && refused > rounds / 100, "the inputs reach both sides");
}

Test(request_rules_fuzz, takes_forwarded_headers_without_a_crash) {
  mutator changes(2, words);
  int accepted = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto header = parse(changes.mutate(good_requests[round % good_requests.size()]));
    if (!header) continue;
    failure reason;
    accepted +=
        masticshunt::caller::read_request(*header, request_origin::from_agent, reason) ? 1 : 0;
  }
  expect_true(accepted > rounds / 100);
}

Test(percent_decoded_fuzz, never_lengthens_its_input) {
  mutator changes(3, {"%", "%4", "%zz", "%41", "%00"});
  for (int round = 0; round < rounds; ++round) {
    const std::string input = changes.mutate("abc%20def%2f");
    const auto decoded = masticshunt::caller::percent_decoded(input);
    if (decoded) expect_true(decoded->size() <= input.size());
  }
}
