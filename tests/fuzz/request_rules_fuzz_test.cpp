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

const std::vector<std::string> valid_requests = {
    "GET /s/booking-ledger/key-1/rest?x=1 HTTP/1.1\r\nHost: a\r\nMasticshunt-Rank: urgent\r\n"
    "Masticshunt-Deadline-Ms: 250\r\nMasticshunt-Caller: c\r\nX-Request-Id: r\r\n\r\n",
    "POST /s/a/b%20c HTTP/1.1\r\nHost: a\r\nIdempotency-Key: i-1\r\nMasticshunt-Attempt: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "PUT /s/a/b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nMasticshunt-Forwarded: 1\r\n"
    "Masticshunt-Attempt-Number: 2\r\n\r\n"};

const std::vector<std::string> dictionary = {"\r\n",
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

/// Returns the request header in `bytes`, or nothing if the HTTP library rejects it.
std::optional<request_header> parse(const std::string& bytes) {
  http::request_parser<http::empty_body> parser;
  parser.body_limit(boost::none);
  parser.eager(false);
  boost::system::error_code error;
  std::size_t consumed = 0;
  while (!error && !parser.is_header_done() && consumed < bytes.size()) {
    const auto count =
        parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
    if (count == 0) break;
    consumed += count;
  }
  if (error || !parser.is_header_done()) return std::nullopt;
  return parser.get().base();
}

bool has_masticshunt_prefix(std::string name) {
  std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name.starts_with("masticshunt-");
}

bool is_reserved_for_agents(const std::string& name) {
  static const std::vector<std::string> caller_fields = {
      "masticshunt-rank", "masticshunt-deadline-ms", "masticshunt-attempt", "masticshunt-caller"};
  std::string lower = name;
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
  return has_masticshunt_prefix(name) &&
         std::ranges::find(caller_fields, lower) == caller_fields.end();
}

void expect_valid(const request_header& header, const caller_request& request) {
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
    return is_reserved_for_agents(std::string(field.name_string()));
  });
  expect_true(!forged, "a header field that is reserved for agents was accepted from a caller");
}

}  // namespace

Test(request_rules_fuzz, accepts_only_valid_requests_and_gives_a_remedy_otherwise) {
  mutator input_mutator(1, dictionary);
  int accepted = 0;
  int rejected = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto header = parse(input_mutator.mutate(valid_requests[round % valid_requests.size()]));
    if (!header) continue;
    failure reason;
    const auto request =
        masticshunt::caller::read_request(*header, request_origin::from_caller, reason);
    if (request) {
      ++accepted;
      expect_valid(*header, *request);
    } else {
      ++rejected;
      expect_true(reason.kind == failure_kind::bad_input);
      expect_true(!reason.message.empty() && !reason.remedy.empty());
    }
  }
  expect_true(accepted > rounds / 100 && rejected > rounds / 100,
              "more than 1% of the inputs are accepted and more than 1% rejected");
}

Test(request_rules_fuzz, parses_forwarded_headers_without_crashing) {
  mutator input_mutator(2, dictionary);
  int accepted = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto header = parse(input_mutator.mutate(valid_requests[round % valid_requests.size()]));
    if (!header) continue;
    failure reason;
    accepted +=
        masticshunt::caller::read_request(*header, request_origin::from_agent, reason) ? 1 : 0;
  }
  expect_true(accepted > rounds / 100);
}

Test(percent_decoded_fuzz, never_lengthens_its_input) {
  mutator input_mutator(3, {"%", "%4", "%zz", "%41", "%00"});
  for (int round = 0; round < rounds; ++round) {
    const std::string input = input_mutator.mutate("abc%20def%2f");
    const auto decoded = masticshunt::caller::percent_decoded(input);
    if (decoded) expect_true(decoded->size() <= input.size());
  }
}
