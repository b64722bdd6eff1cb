#include "fleet/internal/peer_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/units.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration answer_grace = std::chrono::milliseconds{60};
/// Bodies of this size or more, or of unknown length, are sent only after 100 Continue from the
/// gate.
constexpr std::uint64_t expect_continue_min = 16 * 1024;
/// Share of the remaining time in which the gate must send 100 Continue.
constexpr double continue_wait_share = 0.4;

constexpr duration version_gossip_interval = std::chrono::seconds{1};
constexpr duration version_gossip_interval_short = std::chrono::milliseconds{250};
constexpr duration fetch_timeout = std::chrono::seconds{1};
constexpr std::chrono::milliseconds memory_retry_after{500};
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

std::string text_of(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the number in the header field `name`; zero if there is none.
std::uint64_t count_in(const request_head& head, std::string_view name) {
  const auto found = head.find(boost::beast::string_view(name.data(), name.size()));
  if (found == head.end()) return 0;
  return support::count_from(text_of(found->value())).value_or(0);
}

}  // namespace

peer_service::peer_service(const asio::any_io_executor& executor, const fleet_settings& settings,
                           fleet_view& view, gate_service& gate, claims_driver& claims,
                           connection_pool& peers, support::event_log& log)
    : executor_(executor),
      settings_(settings),
      view_(view),
      gate_(gate),
      claims_(claims),
      peers_(peers),
      log_(log),
      random_(std::hash<std::string>{}(settings.name)) {}

void peer_service::handle(std::shared_ptr<server_request> request) {
  auto forwarded = std::make_shared<attempt>();
  if (!read_forwarding_header(request->head, request->arrived, *forwarded)) {
    spawn(executor_, serve_call(std::move(request)));
    return;
  }
  forwarded->id = platform::read_request_metadata(request->head).id;
  forwarded->method = text_of(request->head.method_string());
  forwarded->host = text_of(request->head[boost::beast::http::field::host]);
  forwarded->target = text_of(request->head.target());
  forwarded->headers = headers_for_upstream(request->head);
  forwarded->cancel = &request->cancel;
  forwarded->answer_share = request->share();
  forwarded->body = body_of(*request);
  if (request->awaits_continue())
    forwarded->send_continue = [weak = std::weak_ptr(request)] {
      if (const auto alive = weak.lock()) alive->send_continue();
    };
  const endpoint peer = request->sender + ":" + std::to_string(settings_.peer_port);
  observe_version(peer, forwarded->state_version);
  observe_evacuations(peer, forwarded->evacuations_changed_at);
  spawn(executor_, serve(std::move(request), std::move(forwarded)));
}

void peer_service::refuse(const std::shared_ptr<server_request>& request) {
  const auto outcome = refused(refusal::overloaded, memory_retry_after, "no memory for the body");
  request->respond({.status = status_unavailable,
                    .headers = load_header(gate_.load()) +
                               state_version_header(view_.routes().version(),
                                                    view_.evacuations.set().changed_at) +
                               refusal_header(outcome),
                    .close = true});
}

asio::awaitable<void> peer_service::serve(std::shared_ptr<server_request> request,
                                          std::shared_ptr<attempt> forwarded) {
  auto outcome = co_await gate_.serve(forwarded);
  if (outcome.result == attempt_result::cancelled) {
    request->respond({.abort = true});
    co_return;
  }
  auto load = gate_.load();
  load.ran_for = outcome.ran_for;
  std::string headers = load_header(load);
  headers += state_version_header(view_.routes().version(), view_.evacuations.set().changed_at);
  if (outcome.result == attempt_result::answered) {
    request->respond(
        {.status = outcome.status, .headers = headers + outcome.headers, .body = outcome.body});
    co_return;
  }
  request->respond({.status = status_unavailable, .headers = headers + refusal_header(outcome)});
}

asio::awaitable<void> peer_service::serve_call(std::shared_ptr<server_request> request) {
  asio::steady_timer pause(executor_);
  while (!request->body->complete() && !request->body->failed()) {
    boost::system::error_code ignored;
    pause.expires_after(std::chrono::milliseconds{2});
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  const std::string target = text_of(request->head.target());
  const std::string& body = request->body->buffered();
  failure reason;
  if (target == report_path) {
    const auto report = claims::report_from_cbor_bytes(body, reason);
    if (!report) {
      request->respond({.status = status_bad_request, .text = reason.describe() + "\n"});
      co_return;
    }
    request->respond({.text = claims::to_cbor_bytes(claims_.report_received(*report, boot_now()))});
  } else if (target.starts_with(version_gossip_path)) {
    const auto version =
        support::count_from(std::string_view(target).substr(version_gossip_path.size()));
    request->respond({});
    const endpoint peer = request->sender + ":" + std::to_string(settings_.peer_port);
    if (version) observe_version(peer, *version);
    observe_evacuations(peer, count_in(request->head, evacuations_known_header));
  } else if (target == evacuations_path) {
    request->respond({.text = platform::encode_evacuations(view_.evacuations.set())});
  } else if (target == state_path) {
    request->respond({.text = state_document()});
  } else if (target.starts_with(map_path)) {
    const std::string service = target.substr(map_path.size());
    if (request->head.method() == boost::beast::http::verb::post) {
      if (const auto update = claims::update_from_cbor_bytes(body, reason))
        claims_.update_seen(*update, boot_now());
      request->respond({});
    } else if (const auto update =
                   claims_.changes_since(service, count_in(request->head, map_known_header))) {
      request->respond({.text = claims::to_cbor_bytes(*update)});
    } else {
      request->respond({.status = status_not_found});
    }
  } else {
    request->respond({.status = status_not_found});
  }
}

std::string peer_service::state_document() const {
  nlohmann::json registrations = nlohmann::json::object();
  for (const auto* each : view_.directory.all())
    registrations[each->agent] = nlohmann::json::parse(platform::encode_registration(*each));
  nlohmann::json maps = nlohmann::json::array();
  for (const auto& [name, service] : view_.routes().state().services)
    if (const auto* map = view_.find_map(name)) maps.push_back(claims::to_json_text(*map));
  return nlohmann::json{
      {"state", view_.state_text()},
      {"registrations", registrations},
      {"claims", std::move(maps)},
      {"evacuations", nlohmann::json::parse(platform::encode_evacuations(view_.evacuations.set()))}}
      .dump();
}

void peer_service::tick(time_point now, bool hurry) {
  if (now < next_gossip_ || view_.routes().version() == 0) return;
  next_gossip_ = now + (hurry ? version_gossip_interval_short : version_gossip_interval);
  const auto peers = view_.directory.all();
  if (peers.empty()) return;
  const auto index = std::uniform_int_distribution<std::size_t>(0, peers.size() - 1)(random_);
  if (peers[index]->agent != settings_.name)
    spawn(executor_, gossip_version(peers[index]->address));
}

asio::awaitable<void> peer_service::gossip_version(endpoint peer) {
  cancellation never_cancelled;
  exchange_request request;
  request.head = "GET " + std::string(version_gossip_path) +
                 std::to_string(view_.routes().version()) + " HTTP/1.1\r\nHost: " + peer + "\r\n";
  if (const auto changed_at = view_.evacuations.set().changed_at; changed_at > 0)
    request.head.append(evacuations_known_header).append(": ") +=
        std::to_string(changed_at) + "\r\n";
  request.deadline = boot_now() + fetch_timeout;
  // The result does not matter: a random peer is chosen again after the next interval.
  co_await run_exchange(peers_, peer, std::move(request), never_cancelled);
}

void peer_service::observe_version(const endpoint& peer, std::uint64_t state_version) {
  if (auto from = version_fetch_.stated(peer, state_version, view_.routes().version()))
    spawn(executor_, fetch_states(std::move(*from)));
}

asio::awaitable<void> peer_service::fetch_states(endpoint peer) {
  std::optional<endpoint> next = std::move(peer);
  while (next) {
    co_await fetch_state(std::move(*next));
    next = version_fetch_.ended(view_.routes().version());
  }
}

void peer_service::observe_evacuations(const endpoint& peer, std::uint64_t changed_at) {
  if (auto from = evacuations_fetch_.stated(peer, changed_at, view_.evacuations.known_up_to()))
    spawn(executor_, fetch_evacuations(std::move(*from)));
}

asio::awaitable<void> peer_service::fetch_evacuations(endpoint peer) {
  std::optional<endpoint> next = std::move(peer);
  while (next) {
    failure reason;
    const auto document = co_await fetch_document(std::move(*next), evacuations_path);
    const auto set = document ? platform::decode_evacuations(*document, reason) : std::nullopt;
    if (set && on_evacuations_) on_evacuations_(*set);
    next = evacuations_fetch_.ended(view_.evacuations.known_up_to());
  }
}

asio::awaitable<std::optional<std::string>> peer_service::fetch_document(endpoint peer,
                                                                         std::string_view path) {
  cancellation never_cancelled;
  exchange_request request;
  request.head = "GET " + std::string(path) + " HTTP/1.1\r\nHost: " + peer + "\r\n";
  request.body_max = document_bytes_max;
  request.deadline = boot_now() + fetch_timeout;
  auto exchange = co_await run_exchange(peers_, peer, std::move(request), never_cancelled);
  if (exchange.result == exchange_result::answered && exchange.status == status_ok &&
      exchange.body->fully_buffered())
    co_return exchange.body->buffered();
  support::event_text line("peer_state_missing");
  line.add("peer", peer)
      .add("path", path)
      .add("status", exchange.status)
      .add_quoted("why", exchange.detail);
  log_.line(support::line_class::process, line.text(), boot_now());
  co_return std::nullopt;
}

asio::awaitable<void> peer_service::fetch_state(endpoint peer) {
  const auto document_text = co_await fetch_document(peer, state_path);
  if (!document_text) co_return;
  try {
    const auto document = nlohmann::json::parse(*document_text);
    if (on_state_) on_state_(document.at("state").get<std::string>());
    failure unreadable;
    if (const auto found = document.find("evacuations"); found != document.end())
      if (const auto set = platform::decode_evacuations(found->dump(), unreadable);
          set && on_evacuations_)
        on_evacuations_(*set);
    if (view_.directory_loaded) co_return;
    for (const auto& [agent, spec] : document.at("registrations").items()) {
      failure reason;
      if (auto registration = platform::decode_registration(agent, spec.dump(), reason))
        view_.directory.put(std::move(*registration), boot_now());
    }
    claims_.fleet_changed(boot_now());
    for (const auto& text : document.at("claims")) {
      failure reason;
      if (const auto map = claims::map_from_json_text(text.get_ref<const std::string&>(), reason))
        claims_.map_seen(*map, boot_now());
    }
  } catch (const nlohmann::json::exception& error) {
    log_.line(support::line_class::process,
              "peer_state_unreadable peer=" + peer + " why=\"" + error.what() + "\"", boot_now());
  }
}

asio::awaitable<attempt_outcome> peer_service::send(std::shared_ptr<attempt> outgoing,
                                                    std::string agent, endpoint to) {
  const auto now = boot_now();
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(outgoing->deadline - now);
  if (remaining <= std::chrono::milliseconds{0}) co_return refused(refusal::overloaded);
  view_.directory.sent(agent);
  exchange_request request;
  request.head = outgoing->method + ' ' + outgoing->target + " HTTP/1.1\r\n" +
                 forwarding_header(*outgoing, now) + outgoing->headers;
  request.body = outgoing->body;
  request.is_head = outgoing->method == "HEAD";
  request.answer_held = outgoing->answer_share.hold();
  request.deadline = outgoing->deadline + answer_grace;
  if (outgoing->body &&
      outgoing->body->length().value_or(expect_continue_min) >= expect_continue_min)
    request.continue_deadline = now + std::chrono::duration_cast<duration>(
                                          (outgoing->deadline - now) * continue_wait_share);
  auto exchange = co_await run_exchange(peers_, to, std::move(request), *outgoing->cancel);
  attempt_outcome outcome{.detail = std::move(exchange.detail)};
  using routing::attempt_health;
  auto health = attempt_health::good;
  switch (exchange.result) {
    case exchange_result::not_connected:
    case exchange_result::too_late:
      health = attempt_health::unreachable;
      break;
    case exchange_result::cancelled:
      outcome.result = attempt_result::cancelled;
      health = attempt_health::refused;
      break;
    case exchange_result::broken:
    case exchange_result::malformed:
    case exchange_result::timed_out:
      outcome.result = attempt_result::may_have_run;
      outcome.reached_upstream = true;
      health = attempt_health::unreachable;
      break;
    case exchange_result::answered: {
      auto peer_headers = read_peer_answer_headers(exchange.head);
      outcome.load = peer_headers.load;
      observe_version(to, peer_headers.state_version);
      observe_evacuations(to, peer_headers.evacuations_changed_at);
      if (peer_headers.refused) {
        peer_headers.refused->load = peer_headers.load;
        outcome = std::move(*peer_headers.refused);
        health = health_of(outcome);
      } else if (!peer_headers.load) {
        outcome.result = attempt_result::may_have_run;
        outcome.reached_upstream = true;
        outcome.detail = "the peer's answer has no load header";
        health = attempt_health::failed;
      } else {
        outcome.result = attempt_result::answered;
        outcome.reached_upstream = true;
        outcome.ran_for = peer_headers.load->ran_for;
        outcome.status = exchange.status;
        outcome.headers = headers_for_caller(exchange.head);
        outcome.body = std::move(exchange.body);
        health = health_of(outcome);
      }
      break;
    }
  }
  view_.directory.ended(agent, health, outcome.load, boot_now());
  co_return outcome;
}

}  // namespace masticshunt::fleet
