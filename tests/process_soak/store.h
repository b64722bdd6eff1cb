/// @file
/// A stand-in for the platform's store. It follows the published protocol and injects faults on
/// request.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "fleet/internal/http_server.h"
#include "masticshunt/base/store_revision.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::process_soak {

/// Runs `action` once the body of `request` is complete.
inline void when_complete(const boost::asio::any_io_executor& executor,
                          const std::shared_ptr<fleet::server_request>& request,
                          const std::function<void()>& action) {
  request->body->on_change([executor, body = std::weak_ptr(request->body), action] {
    const auto locked = body.lock();
    if (locked && locked->complete()) boost::asio::post(executor, action);
  });
}

/// How the store treats calls.
enum class store_mode { normal, busy, unresponsive, drops_responses, applies_late, slow };

/// Objects by kind and name with one revision counter, lists, conditional writes and watches. It
/// can come back from an older copy of itself, in the next era.
///
/// Life cycle: construct, `start`. Thread safety: none.
class store {
 public:
  struct object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    nlohmann::json change;
  };
  /// All that the store knows.
  struct content {
    std::uint64_t revision = 1;
    std::uint64_t compacted_revision = 0;
    std::map<std::string, std::map<std::string, object>> objects_by_kind;
    std::deque<event> history;
  };

  store(const boost::asio::any_io_executor& executor, std::uint64_t seed)
      : executor_(executor),
        server_(executor, [this](auto request) { receive(std::move(request)); }),
        random_(seed) {}

  std::string start(const endpoint& address) { return server_.start(address); }
  void set_mode(store_mode mode) { mode_ = mode; }
  /// Discards the change history, and answers open watches with 410 (history gone).
  void compact() {
    data_.history.clear();
    data_.compacted_revision = data_.revision;
    for (auto& each : std::exchange(watches_, {})) respond(each.request, 410, {});
  }
  /// Forgets the open watches without closing their connections, which stay silent.
  void forget_watches() {
    for (auto& each : std::exchange(watches_, {})) unanswered_.push_back(std::move(each.request));
  }
  [[nodiscard]] const content& data() const { return data_; }
  /// Comes back from a copy: what was written since is lost, and revisions are given out again.
  /// Calls that wait get no answer.
  void restore(content copy) {
    data_ = std::move(copy);
    ++era_;
    for (const auto& each : std::exchange(watches_, {})) each.request->respond({.abort = true});
    for (const auto& each : std::exchange(unanswered_, {})) each->respond({.abort = true});
  }
  /// Writes an object unconditionally, like an operator, in every mode.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    object& stored = data_.objects_by_kind[kind][name];
    stored.spec = spec;
    record_change(kind, name, stored, false);
  }
  /// Deletes an object unconditionally, like an operator, in every mode.
  void remove(const std::string& kind, const std::string& name) {
    auto& objects = data_.objects_by_kind[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) return;
    object deleted_object = found->second;
    objects.erase(found);
    record_change(kind, name, deleted_object, true);
  }
  void sweep() {
    server_.sweep(boot_now());
    const auto now = boot_now();
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (now < it->until) {
        ++it;
        continue;
      }
      respond(it->request, 200, {{"events", nlohmann::json::array()}, {"at", data_.revision}});
      it = watches_.erase(it);
    }
  }
  /// Returns what an object holds; null if there is none.
  [[nodiscard]] nlohmann::json spec(const std::string& kind, const std::string& name) const {
    const auto objects = data_.objects_by_kind.find(kind);
    if (objects == data_.objects_by_kind.end()) return nullptr;
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nlohmann::json() : found->second.spec;
  }

 private:
  using request_ptr = std::shared_ptr<fleet::server_request>;
  struct watch {
    std::string kind;
    std::uint64_t from;
    time_point until;
    request_ptr request;
  };

  static nlohmann::json to_json(const std::string& name, const object& stored) {
    return {{"metadata",
             {{"name", name}, {"revision", stored.revision}, {"createRevision", stored.created}}},
            {"spec", stored.spec},
            {"status", nullptr}};
  }
  void respond(const request_ptr& request, unsigned status, const nlohmann::json& body) const {
    request->respond(
        {.status = status,
         .headers = "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) + "\r\n",
         .text = body.is_null() ? "{}" : body.dump()});
  }

  void record_change(const std::string& kind, const std::string& name, object& stored,
                     bool deleted) {
    stored.revision = ++data_.revision;
    if (stored.created == 0) stored.created = data_.revision;
    data_.history.push_back(
        {data_.revision, kind, {{"object", to_json(name, stored)}, {"deleted", deleted}}});
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->kind != kind) {
        ++it;
        continue;
      }
      respond(it->request, 200, events_since(kind, it->from));
      it = watches_.erase(it);
    }
  }
  nlohmann::json events_since(const std::string& kind, std::uint64_t from) const {
    auto events = nlohmann::json::array();
    for (const auto& each : data_.history)
      if (each.revision > from && each.kind == kind) events.push_back(each.change);
    return {{"events", std::move(events)}, {"at", data_.revision}};
  }

  void receive(request_ptr request) {
    if (!request->body->complete())
      return when_complete(executor_, request, [this, request] { receive(request); });
    switch (mode_) {
      case store_mode::unresponsive:
        return unanswered_.push_back(std::move(request));
      case store_mode::busy:
        return respond(request, 503, {});
      case store_mode::applies_late:
        return apply_after(std::chrono::milliseconds{1'000 + random_() % 3'000},
                           std::move(request));
      case store_mode::slow:
        return apply_after(std::chrono::milliseconds{200 + random_() % 400}, std::move(request));
      case store_mode::drops_responses:
        if (random_() % 3 == 0) {
          auto detached_request = std::make_shared<fleet::server_request>();
          detached_request->head = request->head;
          detached_request->body = request->body;
          apply(detached_request);
          return request->respond({.abort = true});
        }
        break;
      case store_mode::normal:
        break;
    }
    apply(request);
  }
  void apply_after(duration delay, request_ptr request) {
    auto timer = std::make_shared<boost::asio::steady_timer>(executor_, delay);
    timer->async_wait([this, timer, request](const auto& error) {
      if (!error) apply(request);
    });
  }

  void apply(const request_ptr& request) {
    std::string target(request->head.target());
    const auto query_start = target.find('?');
    const std::string parameters =
        query_start == std::string::npos ? "" : target.substr(query_start + 1);
    target = target.substr(std::string_view("/-/objects/").size(), query_start - 11);
    const auto slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : target.substr(slash + 1);
    const auto method = request->head.method();
    using boost::beast::http::verb;
    if (method == verb::get && name.empty()) return list_or_watch(kind, parameters, request);
    auto& objects = data_.objects_by_kind[kind];
    const auto found = objects.find(name);
    if (method == verb::get) {
      return found == objects.end() ? respond(request, 404, {})
                                    : respond(request, 200, to_json(name, found->second));
    }
    if (method == verb::delete_) {
      if (found == objects.end()) return respond(request, 404, {});
      const auto expected_revision = parse_parameter(parameters, "revision=");
      if (expected_revision && *expected_revision != found->second.revision)
        return respond(request, 409, to_json(name, found->second));
      object deleted_object = found->second;
      objects.erase(found);
      record_change(kind, name, deleted_object, true);
      return respond(request, 200, {});
    }
    write(kind, name, nlohmann::json::parse(request->body->buffered(), nullptr, false), request);
  }
  void write(const std::string& kind, std::string name, const nlohmann::json& body,
             const request_ptr& request) {
    if (body.is_discarded()) return respond(request, 400, {});
    const bool creates = name.empty();
    if (creates) name = body.at("metadata").at("name").get<std::string>();
    auto& objects = data_.objects_by_kind[kind];
    const auto found = objects.find(name);
    if (creates && found != objects.end())
      return respond(request, 409, to_json(name, found->second));
    if (!creates && found == objects.end()) return respond(request, 404, {});
    const auto expected_revision = body.at("metadata").find("revision");
    if (!creates && expected_revision != body.at("metadata").end() &&
        expected_revision->get<std::uint64_t>() != found->second.revision)
      return respond(request, 409, to_json(name, found->second));
    object& stored = objects[name];
    if (creates || stored.spec != body.at("spec")) {
      stored.spec = body.at("spec");
      record_change(kind, name, stored, false);
    }
    respond(request, creates ? 201 : 200, to_json(name, stored));
  }
  void list_or_watch(const std::string& kind, const std::string& parameters,
                     const request_ptr& request) {
    if (const auto from = parse_parameter(parameters, "watch=")) {
      if (*from < data_.compacted_revision || *from > data_.revision)
        return respond(request, 410, {});
      const auto pending = events_since(kind, *from);
      if (!pending.at("events").empty()) return respond(request, 200, pending);
      const auto wait =
          std::chrono::milliseconds{parse_parameter(parameters, "waitMs=").value_or(0)};
      watches_.push_back({kind, *from, boot_now() + wait, request});
      return;
    }
    auto items = nlohmann::json::array();
    for (const auto& [name, stored] : data_.objects_by_kind[kind])
      items.push_back(to_json(name, stored));
    respond(request, 200, {{"items", items}, {"hasMore", false}, {"at", data_.revision}});
  }
  static std::optional<std::uint64_t> parse_parameter(const std::string& parameters,
                                                      std::string_view name) {
    const auto position = parameters.find(name);
    if (position == std::string::npos) return std::nullopt;
    return std::stoull(parameters.substr(position + name.size()));
  }

  boost::asio::any_io_executor executor_;
  fleet::http_server server_;
  std::mt19937_64 random_;
  store_mode mode_ = store_mode::normal;
  std::uint64_t era_ = first_store_era;
  content data_;
  std::vector<watch> watches_;
  std::vector<request_ptr> unanswered_;  ///< Calls that are never answered.
};

}  // namespace masticshunt::process_soak
