/// @file
/// A stand-in for the platform's store that can come back from an older copy of itself.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/internal/http_server.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::review {

/// Runs `action` once the body of `request` is complete.
inline void when_complete(const boost::asio::any_io_executor& executor,
                          const std::shared_ptr<fleet::server_request>& request,
                          const std::function<void()>& action) {
  request->body->on_change([executor, body = std::weak_ptr(request->body), action] {
    const auto locked = body.lock();
    if (locked && locked->complete()) boost::asio::post(executor, action);
  });
}

/// Objects by kind and name with one revision counter, lists, conditional writes and watches, as
/// PROTOCOL.md describes them. Thread safety: none.
class store {
 public:
  using request_ptr = std::shared_ptr<fleet::server_request>;
  struct object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  using objects_by_kind = std::map<std::string, std::map<std::string, object>>;
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json change;
  };
  /// Everything that the store knows at one moment.
  struct copy {
    time_point taken_at{};
    std::uint64_t revision = 0;
    objects_by_kind objects;
    std::deque<event> history;
  };
  /// Called before each call is carried out; true: the interceptor has taken over the call.
  using interceptor = std::function<bool(const request_ptr&)>;

  explicit store(const boost::asio::any_io_executor& executor)
      : executor_(executor),
        server_(executor, [this](auto request) { receive(std::move(request)); }) {}

  std::string start(const endpoint& address) { return server_.start(address); }
  void intercept(interceptor action) { interceptor_ = std::move(action); }

  /// Writes an object unconditionally, as the operator does.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    object& stored = data_.objects[kind][name];
    stored.spec = spec;
    record_change(kind, name, stored, false);
  }
  [[nodiscard]] nlohmann::json spec(const std::string& kind, const std::string& name) const {
    const auto objects = data_.objects.find(kind);
    if (objects == data_.objects.end()) return nullptr;
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nlohmann::json() : found->second.spec;
  }
  [[nodiscard]] std::uint64_t revision() const { return data_.revision; }
  [[nodiscard]] copy take_copy() const {
    copy taken = data_;
    taken.taken_at = boot_now();
    return taken;
  }

  /// From now on calls get no answer; those that wait are dropped.
  void go_away() {
    away_ = true;
    for (auto& each : std::exchange(watches_, {})) unanswered_.push_back(std::move(each.request));
  }
  /// Comes back with what `from` holds, in the next era. What was not answered never will be.
  void come_back(const copy& from) {
    data_ = from;
    ++era_;
    away_ = false;
    for (const auto& each : std::exchange(unanswered_, {})) each->respond({.abort = true});
  }
  /// Comes back with all that it had acknowledged.
  void come_back() {
    away_ = false;
    for (const auto& each : std::exchange(unanswered_, {})) each->respond({.abort = true});
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

  void respond(const request_ptr& request, unsigned status, const nlohmann::json& body) const {
    request->respond(
        {.status = status,
         .headers = "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) + "\r\n",
         .text = body.is_null() ? "{}" : body.dump()});
  }
  void apply(const request_ptr& request) {
    std::string target(request->head.target());
    const auto query_start = target.find('?');
    const std::string parameters =
        query_start == std::string::npos ? "" : target.substr(query_start + 1);
    target = target.substr(0, query_start).substr(std::string_view("/-/objects/").size());
    const auto slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : target.substr(slash + 1);
    const auto method = request->head.method();
    using boost::beast::http::verb;
    if (method == verb::get && name.empty()) return list_or_watch(kind, parameters, request);
    auto& objects = data_.objects[kind];
    const auto found = objects.find(name);
    if (method == verb::get) {
      return found == objects.end() ? respond(request, 404, {})
                                    : respond(request, 200, to_json(name, found->second));
    }
    if (method == verb::delete_) {
      if (found == objects.end()) return respond(request, 404, {});
      const auto expected = parameter(parameters, "revision=");
      if (expected && *expected != found->second.revision)
        return respond(request, 409, to_json(name, found->second));
      object removed = found->second;
      objects.erase(found);
      record_change(kind, name, removed, true);
      return respond(request, 200, {});
    }
    write(kind, name, nlohmann::json::parse(request->body->buffered(), nullptr, false), request);
  }

 private:
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
  void record_change(const std::string& kind, const std::string& name, object& stored,
                     bool deleted) {
    stored.revision = ++data_.revision;
    if (stored.created == 0) stored.created = data_.revision;
    data_.history.push_back(
        {data_.revision, kind, {{"object", to_json(name, stored)}, {"deleted", deleted}}});
    if (away_) return;
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
    if (away_) return unanswered_.push_back(std::move(request));
    if (interceptor_ && interceptor_(request)) return;
    apply(request);
  }
  void write(const std::string& kind, std::string name, const nlohmann::json& body,
             const request_ptr& request) {
    if (body.is_discarded()) return respond(request, 400, {});
    const bool creates = name.empty();
    if (creates) name = body.at("metadata").at("name").get<std::string>();
    auto& objects = data_.objects[kind];
    const auto found = objects.find(name);
    if (creates && found != objects.end())
      return respond(request, 409, to_json(name, found->second));
    if (!creates && found == objects.end()) return respond(request, 404, {});
    const auto expected = body.at("metadata").find("revision");
    if (!creates && expected != body.at("metadata").end() &&
        expected->get<std::uint64_t>() != found->second.revision)
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
    if (const auto from = parameter(parameters, "watch=")) {
      if (*from > data_.revision) return respond(request, 410, {});
      const auto pending = events_since(kind, *from);
      if (!pending.at("events").empty()) return respond(request, 200, pending);
      const auto wait = std::chrono::milliseconds{parameter(parameters, "waitMs=").value_or(0)};
      watches_.push_back({kind, *from, boot_now() + wait, request});
      return;
    }
    auto items = nlohmann::json::array();
    for (const auto& [name, stored] : data_.objects[kind]) items.push_back(to_json(name, stored));
    respond(request, 200, {{"items", items}, {"hasMore", false}, {"at", data_.revision}});
  }
  static std::optional<std::uint64_t> parameter(const std::string& parameters,
                                                std::string_view name) {
    const auto position = parameters.find(name);
    if (position == std::string::npos) return std::nullopt;
    return std::stoull(parameters.substr(position + name.size()));
  }

  boost::asio::any_io_executor executor_;
  fleet::http_server server_;
  interceptor interceptor_;
  copy data_{.taken_at = {}, .revision = 1, .objects = {}, .history = {}};
  std::uint64_t era_ = 1;
  bool away_ = false;
  std::vector<watch> watches_;
  std::vector<request_ptr> unanswered_;
};

}  // namespace masticshunt::review
