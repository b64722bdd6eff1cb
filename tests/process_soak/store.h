/// @file
/// A stand-in of the platform's store, by its published protocol, that misbehaves when told to.
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
#include "masticshunt/support/clock.h"

namespace masticshunt::process_soak {

/// Runs `action` once the body of `request` is whole.
inline void when_complete(const boost::asio::any_io_executor& executor,
                          const std::shared_ptr<fleet::server_request>& request,
                          const std::function<void()>& action) {
  request->body->on_change([executor, body = std::weak_ptr(request->body), action] {
    const auto whole = body.lock();
    if (whole && whole->complete()) boost::asio::post(executor, action);
  });
}

/// How the store treats calls.
enum class store_mood { sound, busy, silent, loses_answers, applies_late, slow };

/// Objects by kind and name with one revision counter, lists, conditional writes and watches.
///
/// Life cycle: construct, `start`. Thread safety: none.
class store {
 public:
  store(const boost::asio::any_io_executor& executor, std::uint64_t seed)
      : executor_(executor),
        server_(executor, [this](auto request) { receive(std::move(request)); }),
        random_(seed) {}

  std::string start(const endpoint& address) { return server_.start(address); }
  void set_mood(store_mood mood) { mood_ = mood; }
  /// Forgets what has changed; watches are answered that their history is gone.
  void compact() {
    history_.clear();
    oldest_ = revision_;
    for (auto& each : std::exchange(watches_, {})) answer(each.request, 410, {});
  }
  /// Writes as the operator does, whatever the mood.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    object& one = kinds_[kind][name];
    one.spec = spec;
    changed(kind, name, one, false);
  }
  void sweep() {
    server_.sweep(boot_now());
    const auto now = boot_now();
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (now < it->until) {
        ++it;
        continue;
      }
      answer(it->request, 200, {{"events", nlohmann::json::array()}, {"at", revision_}});
      it = watches_.erase(it);
    }
  }

 private:
  using request_ptr = std::shared_ptr<fleet::server_request>;
  struct object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    nlohmann::json what;
  };
  struct watch {
    std::string kind;
    std::uint64_t from;
    time_point until;
    request_ptr request;
  };

  static nlohmann::json shown(const std::string& name, const object& one) {
    return {
        {"metadata", {{"name", name}, {"revision", one.revision}, {"createRevision", one.created}}},
        {"spec", one.spec},
        {"status", nullptr}};
  }
  static void answer(const request_ptr& request, unsigned status, const nlohmann::json& body) {
    request->respond({.status = status,
                      .headers = "Content-Type: application/json\r\n",
                      .text = body.is_null() ? "{}" : body.dump()});
  }

  void changed(const std::string& kind, const std::string& name, object& one, bool deleted) {
    one.revision = ++revision_;
    if (one.created == 0) one.created = revision_;
    history_.push_back({revision_, kind, {{"object", shown(name, one)}, {"deleted", deleted}}});
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->kind != kind) {
        ++it;
        continue;
      }
      answer(it->request, 200, events_since(kind, it->from));
      it = watches_.erase(it);
    }
  }
  nlohmann::json events_since(const std::string& kind, std::uint64_t from) const {
    auto events = nlohmann::json::array();
    for (const auto& each : history_)
      if (each.revision > from && each.kind == kind) events.push_back(each.what);
    return {{"events", std::move(events)}, {"at", revision_}};
  }

  void receive(request_ptr request) {
    if (!request->body->complete())
      return when_complete(executor_, request, [this, request] { receive(request); });
    switch (mood_) {
      case store_mood::silent:
        return held_.push_back(std::move(request));
      case store_mood::busy:
        return answer(request, 503, {});
      case store_mood::applies_late:
        return after(std::chrono::milliseconds{1'000 + random_() % 3'000}, std::move(request));
      case store_mood::slow:
        return after(std::chrono::milliseconds{200 + random_() % 400}, std::move(request));
      case store_mood::loses_answers:
        if (random_() % 3 == 0) {
          auto lost = std::make_shared<fleet::server_request>();
          lost->head = request->head;
          lost->body = request->body;
          carry_out(lost);
          return request->respond({.abort = true});
        }
        break;
      case store_mood::sound:
        break;
    }
    carry_out(request);
  }
  void after(duration span, request_ptr request) {
    auto timer = std::make_shared<boost::asio::steady_timer>(executor_, span);
    timer->async_wait([this, timer, request](const auto& error) {
      if (!error) carry_out(request);
    });
  }

  void carry_out(const request_ptr& request) {
    std::string target(request->head.target());
    const auto query = target.find('?');
    const std::string words = query == std::string::npos ? "" : target.substr(query + 1);
    target = target.substr(std::string_view("/-/objects/").size(), query - 11);
    const auto slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : target.substr(slash + 1);
    const auto method = request->head.method();
    using boost::beast::http::verb;
    if (method == verb::get && name.empty()) return list_or_watch(kind, words, request);
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (method == verb::get) {
      return found == objects.end() ? answer(request, 404, {})
                                    : answer(request, 200, shown(name, found->second));
    }
    if (method == verb::delete_) {
      if (found == objects.end()) return answer(request, 404, {});
      const auto wanted = number_in(words, "revision=");
      if (wanted && *wanted != found->second.revision)
        return answer(request, 409, shown(name, found->second));
      object gone = found->second;
      objects.erase(found);
      changed(kind, name, gone, true);
      return answer(request, 200, {});
    }
    write(kind, name, nlohmann::json::parse(request->body->buffered(), nullptr, false), request);
  }
  void write(const std::string& kind, std::string name, const nlohmann::json& body,
             const request_ptr& request) {
    if (body.is_discarded()) return answer(request, 400, {});
    const bool creates = name.empty();
    if (creates) name = body.at("metadata").at("name").get<std::string>();
    auto& objects = kinds_[kind];
    const auto found = objects.find(name);
    if (creates && found != objects.end()) return answer(request, 409, shown(name, found->second));
    if (!creates && found == objects.end()) return answer(request, 404, {});
    const auto wanted = body.at("metadata").find("revision");
    if (!creates && wanted != body.at("metadata").end() &&
        wanted->get<std::uint64_t>() != found->second.revision)
      return answer(request, 409, shown(name, found->second));
    object& one = objects[name];
    if (creates || one.spec != body.at("spec")) {
      one.spec = body.at("spec");
      changed(kind, name, one, false);
    }
    answer(request, creates ? 201 : 200, shown(name, one));
  }
  void list_or_watch(const std::string& kind, const std::string& words,
                     const request_ptr& request) {
    if (const auto from = number_in(words, "watch=")) {
      if (*from < oldest_) return answer(request, 410, {});
      const auto known = events_since(kind, *from);
      if (!known.at("events").empty()) return answer(request, 200, known);
      const auto wait = std::chrono::milliseconds{number_in(words, "waitMs=").value_or(0)};
      watches_.push_back({kind, *from, boot_now() + wait, request});
      return;
    }
    auto items = nlohmann::json::array();
    for (const auto& [name, one] : kinds_[kind]) items.push_back(shown(name, one));
    answer(request, 200, {{"items", items}, {"hasMore", false}, {"at", revision_}});
  }
  static std::optional<std::uint64_t> number_in(const std::string& words, std::string_view name) {
    const auto place = words.find(name);
    if (place == std::string::npos) return std::nullopt;
    return std::stoull(words.substr(place + name.size()));
  }

  boost::asio::any_io_executor executor_;
  fleet::http_server server_;
  std::mt19937_64 random_;
  store_mood mood_ = store_mood::sound;
  std::uint64_t revision_ = 1;
  std::uint64_t oldest_ = 0;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<event> history_;
  std::vector<watch> watches_;
  std::vector<request_ptr> held_;  ///< Calls that a silent store never answers.
};

}  // namespace masticshunt::process_soak
