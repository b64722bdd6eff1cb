#include "platform/documents.h"

#include "expect.h"

using namespace masticshunt;
using namespace masticshunt::platform;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view heartbeat_json =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","version":"v1","capacity":6,)"
    R"("state":"ready","warmupLeft":"1.5s","sequence":4,"born":1700000000000})";

constexpr std::string_view state_json =
    R"({"version":"0000000c","routes":{"r1":{"host":"h.example","pathPrefix":"/a/",)"
    R"("kind":"safe","timeout":"1200ms","aim":"250ms","priority":0,)"
    R"("weightedBackends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("maxAttempts":2},"r2":{"host":"h.example","pathPrefix":"/b/","kind":"upload",)"
    R"("timeout":"2.5s","aim":"400ms","priority":1,"service":"s2","maxAttempts":1}},)"
    R"("services":{"s1":{"healthPath":"/healthz","maxConnections":120,"protocol":"h1",)"
    R"("tls":false,"sharded":true,"warm":"3s","grants":"call"},)"
    R"("s2":{"healthPath":"/healthz","maxConnections":65,"protocol":"h1","tls":false}},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"baseVersion":"00000005"})";

std::string replaced(std::string_view text, std::string_view part, std::string_view replacement) {
  std::string result(text);
  result.replace(result.find(part), part.size(), replacement);
  return result;
}

}  // namespace

Test(heartbeat, is_decoded_completely) {
  failure reason;
  const auto read = decode_heartbeat("i-1", heartbeat_json, reason);
  expect_true(read.has_value(), reason.describe());
  expect_true(read->incarnation == routing::upstream_incarnation{"i-1", 1'700'000'000'000});
  expect_equal(read->slots, 6U);
  expect_equal(read->sequence, 4U);
  expect_false(read->draining);
  expect_true(read->warm_up_remaining == milliseconds{1'500});
}

Test(heartbeat, without_a_required_field_is_refused) {
  for (const std::string_view field :
       {"\"service\"", "\"address\"", "\"capacity\"", "\"sequence\""}) {
    failure reason;
    expect_false(
        decode_heartbeat("i-1", replaced(heartbeat_json, field, "\"other\""), reason).has_value(),
        field);
  }
}

Test(heartbeat, with_an_invalid_field_value_is_refused) {
  failure reason;
  expect_false(
      decode_heartbeat("i-1", replaced(heartbeat_json, ":4", ":\"4\""), reason).has_value());
  expect_false(decode_heartbeat("i-1", replaced(heartbeat_json, ":6", ":6.5"), reason).has_value());
  expect_false(decode_heartbeat("i-1", replaced(heartbeat_json, ":6", ":0"), reason).has_value());
  expect_false(
      decode_heartbeat("i-1", replaced(heartbeat_json, "ready", "lost"), reason).has_value());
  expect_false(decode_heartbeat("i-1", replaced(heartbeat_json, "1700000000000", "1.5"), reason)
                   .has_value());
  expect_false(decode_heartbeat("i-1", "\x01\x02", reason).has_value());
}

Test(desired_state, is_decoded_completely) {
  failure reason;
  const auto read = decode_desired_state(state_json, reason);
  expect_true(read.has_value(), reason.describe());
  expect_equal(read->version, 12U);
  expect_equal(read->routes.size(), 2U);
  expect_true(read->routes[0].retries == routing::retry_rule::idempotent);
  expect_equal(read->routes[0].services.size(), 2U);
  expect_true(read->routes[1].retries == routing::retry_rule::at_most_once);
  expect_true(read->routes[1].timeout == milliseconds{2'500});
  expect_true(read->services.at("s1").keyed);
  expect_false(read->services.at("s2").keyed);
  expect_equal(read->limits.body_bytes, 1'000U);
}

Test(desired_state, that_is_truncated_or_invalid_is_refused_with_a_reason) {
  failure reason;
  expect_false(decode_desired_state(state_json.substr(0, 200), reason).has_value());
  expect_true(reason.kind == failure_kind::bad_input);
  expect_false(decode_desired_state(replaced(state_json, "1200ms", "soon"), reason).has_value());
}

Test(objects, are_decoded_with_their_revisions) {
  failure reason;
  const auto read =
      decode_object(R"({"metadata":{"name":"a","revision":412,"createRevision":9,"finalizers":[],)"
                    R"("deleting":false},"spec":{"x":1},"status":null})",
                    reason);
  expect_true(read.has_value(), reason.describe());
  expect_equal(read->revision, 412U);
  expect_equal(read->created, 9U);
  expect_equal(read->spec, R"({"x":1})");
}

Test(objects, pages_and_changes_are_decoded) {
  failure reason;
  const auto page = decode_page(
      R"({"items":[{"metadata":{"name":"a","revision":1}}],"hasMore":true,"at":530})", reason);
  expect_true(page && page->more && page->revision == 530 && page->objects.size() == 1,
              reason.describe());
  const auto changes = decode_changes(
      R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":2}}}],"at":533})",
      reason);
  expect_true(changes && changes->revision == 533 && changes->changes[0].deleted,
              reason.describe());
}

Test(objects, a_revision_is_encoded_only_if_it_is_set) {
  expect_true(encode_object("a", "{}", 7).find("\"revision\":7") != std::string::npos);
  expect_true(encode_object("a", "{}", std::nullopt).find("revision") == std::string::npos);
}

Test(registrations, survive_encoding_and_decoding) {
  const routing::registration entry{.agent = "vm-1",
                                    .address = "10.0.0.1:7600",
                                    .zone = "z",
                                    .region = "r",
                                    .service = "s1",
                                    .incarnation = {"i-1", 5},
                                    .stage = routing::upstream_stage::draining,
                                    .slots = 6};
  failure reason;
  expect_true(decode_registration("vm-1", encode_registration(entry), reason) == entry,
              reason.describe());
}

Test(grants, are_encoded_in_the_format_of_the_upstream) {
  expect_equal(encode_grant({4096, 8191}, 12, milliseconds{4'000}, ""),
               R"({"fence":12,"from":4096,"hold_time":"4000ms","to":8191})");
  expect_equal(encode_release({4096, 8191}, 12), R"({"fence":12,"from":4096,"to":8191})");
}

namespace {

std::string heartbeat_with(std::string_view keys) {
  return replaced(heartbeat_json, "{", "{" + std::string(keys) + ",");
}

}  // namespace

Test(heartbeat_keys, are_decoded_completely) {
  failure reason;
  const auto read = decode_heartbeat(
      "i-1", heartbeat_with(R"("holds":[[0,4095,7]],"freed":[[4096,8191,"5c0e"]])"), reason);
  expect_true(read && read->keys, reason.describe());
  expect_true(read->keys->held == std::vector<claims::held_keys>{{{0, 4'095}, 7}});
  expect_true(read->keys->freed == std::vector<claims::freed_keys>{{{4'096, 8'191}, "5c0e"}});
}

Test(heartbeat_keys, are_absent_if_the_upstream_reports_none) {
  failure reason;
  expect_false(decode_heartbeat("i-1", heartbeat_json, reason)->keys.has_value());
}

Test(heartbeat_keys, that_are_malformed_make_the_heartbeat_unusable) {
  for (const std::string_view keys :
       {R"("holds":{})", R"("holds":[7])", R"("holds":[[0,1]])", R"("holds":[[0,1,2,3]])",
        R"("holds":[["0",1,2]])", R"("holds":[[9,1,2]])", R"("holds":[[0,65536,2]])",
        R"("holds":[[-1,5,2]])", R"("holds":[[0,5,-2]])", R"("holds":[[0,5,2.5]])",
        R"("holds":[[0,5,99999999999999999999]])", R"("holds":[[0,5,null]])",
        R"("holds":[],"freed":[[0,5,6]])", R"("holds":[],"freed":7)"}) {
    failure reason;
    expect_false(decode_heartbeat("i-1", heartbeat_with(keys), reason).has_value(), keys);
    expect_false(reason.describe().empty(), keys);
  }
}

Test(heartbeat_keys, with_too_many_rows_make_the_heartbeat_unusable) {
  std::string rows = "[0,0,1]";
  for (int i = 1; i < 10'000; ++i) rows += ",[0,0,1]";
  failure reason;
  expect_false(
      decode_heartbeat("i-1", heartbeat_with("\"holds\":[" + rows + "]"), reason).has_value());
}

Test(heartbeat_answer, names_all_keys_and_the_hold) {
  const claims::heartbeat_answer answer{.keys = {{{0, 4'095}, 7, ""}, {{9'000, 9'999}, 12, "7a"}},
                                        .hold = milliseconds{4'000}};
  expect_equal(encode_heartbeat_answer(answer),
               R"({"hold_time":"4000ms","holds":[[0,4095,7,""],[9000,9999,12,"7a"]]})");
}

Test(heartbeat_answer, without_grants_names_no_keys) {
  expect_equal(encode_heartbeat_answer(std::nullopt), "{}");
}

namespace {

/// Returns `levels` arrays, each within the next.
std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

constexpr std::size_t far_too_deep = 1'000'000;

}  // namespace

Test(foreign_documents, that_are_nested_very_deeply_are_refused) {
  failure reason;
  const std::string metadata = R"("metadata":{"name":"vm-1","revision":7})";
  const std::string object = "{" + metadata + R"(,"spec":)" + nested(far_too_deep) + "}";
  expect_false(decode_object(object, reason).has_value());
  expect_false(reason.describe().empty());
  expect_true(decode_page(R"({"at":9,"items":[)" + object + "]}", reason)->objects.empty());
  const auto changes = decode_changes(R"({"at":9,"events":[{"object":)" + object + "}]}", reason);
  expect_true(changes->changes.empty());
  expect_equal(changes->unreadable.size(), 1U);
  expect_false(decode_desired_state(nested(far_too_deep), reason).has_value());
  expect_false(decode_registration("vm-1", nested(far_too_deep), reason).has_value());
  expect_false(decode_heartbeat("i-1", nested(far_too_deep), reason).has_value());
}

Test(foreign_documents, an_entry_that_is_no_utf8_hides_none_of_the_others) {
  const std::string good =
      R"({"metadata":{"name":"vm-2","revision":8},"spec":{"address":"10.0.0.2:7600"}})";
  const std::string odd_bytes = R"({"metadata":{"name":"vm-1","revision":7},"spec":{"address":")" +
                                std::string("\xff\xfe") + R"("}})";
  failure reason;
  const auto page = decode_page(R"({"at":9,"items":[)" + odd_bytes + "," + good + "]}", reason);
  expect_true(page.has_value(), reason.describe());
  expect_equal(page->objects.size(), 1U);
  expect_equal(page->objects[0].name, "vm-2");
  expect_equal(page->unreadable.size(), 1U);
  const auto changes = decode_changes(
      R"({"at":9,"events":[{"object":)" + odd_bytes + R"(},{"object":)" + good + "}]}", reason);
  expect_true(changes.has_value(), reason.describe());
  expect_equal(changes->changes.size(), 1U);
}

Test(foreign_documents, one_odd_object_hides_none_of_the_others) {
  const std::string good =
      R"({"metadata":{"name":"vm-2","revision":8},"spec":{"address":"10.0.0.2:7600"}})";
  failure reason;
  for (const std::string& odd :
       {R"({"metadata":{"name":"vm-1","revision":7},"spec":)" + nested(100) + "}",
        std::string(R"({"metadata":{"name":"vm-1","revision":1e400},"spec":{}})"),
        std::string(R"({"metadata":{"name":7,"revision":7},"spec":{}})"), std::string("7"),
        std::string(R"({"metadata":{"name":"vm-1","revision":-1},"spec":{}})")}) {
    const auto page = decode_page(R"({"at":9,"items":[)" + odd + "," + good + "]}", reason);
    expect_true(page.has_value(), odd.substr(0, 60) + " " + reason.describe().substr(0, 200));
    expect_equal(page->objects.back().name, "vm-2", odd.substr(0, 60));
    const auto changes = decode_changes(
        R"({"at":9,"events":[{"object":)" + odd + R"(},{"object":)" + good + "}]}", reason);
    expect_true(changes && changes->changes.back().object.name == "vm-2", odd.substr(0, 60));
  }
}

Test(registration, with_a_value_out_of_range_is_refused) {
  const auto text = [](std::string_view address, std::string_view slots) {
    return R"({"address":")" + std::string(address) +
           R"(","zone":"z","region":"r","service":"s","upstream":"i-1","born":5,)"
           R"("stage":"ready","slots":)" +
           std::string(slots) + "}";
  };
  failure reason;
  expect_true(decode_registration("vm-1", text("10.0.0.1:7600", "9"), reason).has_value());
  for (const std::string_view address : {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1", "", "a:b"})
    expect_false(decode_registration("vm-1", text(address, "9"), reason).has_value(), address);
  for (const std::string_view slots : {"0", "-1", "99999999999999999999", "1e300", "2.5", "null"})
    expect_false(decode_registration("vm-1", text("10.0.0.1:7600", slots), reason).has_value(),
                 slots);
}

Test(registration, of_an_unknown_stage_is_refused) {
  failure reason;
  expect_false(
      decode_registration("vm-1",
                          R"({"address":"10.0.0.1:7600","zone":"z","region":"r","service":"s",)"
                          R"("upstream":"i-1","born":5,"stage":"asleep","slots":9})",
                          reason)
          .has_value());
}

Test(foreign_documents, of_any_length_give_short_reasons) {
  const std::string megabyte(1'000'000, 'x');
  failure reason;
  expect_false(decode_registration("vm-1",
                                   R"({"address":")" + megabyte +
                                       R"(","zone":"z","region":"r","service":"s","upstream":"i",)"
                                       R"("born":5,"stage":"ready","slots":9})",
                                   reason)
                   .has_value());
  expect_true(reason.describe().size() < 1'000);
}

Test(desired_state, names_the_regions_of_routes_and_the_slow_start_of_services) {
  const auto with_regions =
      replaced(state_json, R"("priority":1)", R"("priority":1,"allowedRegions":["north","east"])");
  const auto both = replaced(with_regions, R"("maxConnections":65)",
                             R"("maxConnections":65,"warmup":"3s","warmupPerS":11.0)");
  failure reason;
  const auto read = decode_desired_state(both, reason);
  expect_true(read.has_value(), reason.describe());
  expect_true(read->routes[0].regions.empty());
  expect_true(read->routes[1].regions == std::vector<std::string>{"north", "east"});
  expect_equal(read->services.at("s2").slow_start_rate.value_or(0), 11.0);
  expect_false(read->services.at("s1").slow_start_rate.has_value());
}

Test(desired_state, with_unreadable_regions_is_refused_and_never_taken_for_everywhere) {
  for (const char* regions : {R"("north")", R"([1,2])", R"({"north":true})"}) {
    const auto odd = replaced(state_json, R"("priority":1)",
                              std::string(R"("priority":1,"allowedRegions":)") + regions);
    failure reason;
    expect_false(decode_desired_state(odd, reason).has_value(), regions);
    expect_false(reason.describe().empty());
  }
}

Test(desired_state, a_slow_start_below_zero_lets_almost_nothing_through) {
  const auto odd =
      replaced(state_json, R"("maxConnections":65)", R"("maxConnections":65,"warmupPerS":-4)");
  failure reason;
  const auto read = decode_desired_state(odd, reason);
  expect_true(read.has_value(), reason.describe());
  expect_equal(read->services.at("s2").slow_start_rate.value_or(-1), 0.0);
}

Test(heartbeat, with_an_absurd_warm_up_is_refused) {
  for (const char* time : {"-3s", "99999999999999999999s", "soon"}) {
    failure reason;
    expect_false(
        decode_heartbeat("i-1", replaced(heartbeat_json, "1.5s", time), reason).has_value(), time);
  }
}

Test(evacuations, survive_encoding_and_decoding) {
  const routing::evacuation_set set{42, {"a", "b"}};
  failure reason;
  expect_true(decode_evacuations(encode_evacuations(set), reason) == set, reason.describe());
  expect_false(decode_evacuations(R"({"zones":["a"]})", reason).has_value());
  expect_false(decode_evacuations(R"({"changed_at":-1,"zones":"a"})", reason).has_value());
}
