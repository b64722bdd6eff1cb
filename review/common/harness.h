/// @file
/// Stand-ins for the platform, its store, targets and requesters, and a runner of agents.
///
/// Everything runs on loopback addresses and the real clock. Agents are separate processes, started
/// with the command of deploy/system.toml; the stand-ins are threads of the test.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

inline clock_type::time_point started_at() {
  static const auto start = clock_type::now();
  return start;
}
inline double seconds_now() {
  return std::chrono::duration<double>(clock_type::now() - started_at()).count();
}
inline void sleep_for(ms span) {
  std::this_thread::sleep_for(span);
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
class recorder {
 public:
  explicit recorder(const std::string& path) : out_(path) { started_at(); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list values;
    va_start(values, format);
    std::vsnprintf(text, sizeof text, format, values);
    va_end(values);
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", seconds_now());
    out_ << stamp << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// ---------------------------------------------------------------------------------------- sockets

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int listen_at(const std::string& ip, int port) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  auto address = address_of(ip, port);
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(handle, 512) != 0) {
    ::close(handle);
    return -1;
  }
  return handle;
}

inline bool is_free(const std::string& ip, int port) {
  const int handle = listen_at(ip, port);
  if (handle >= 0) ::close(handle);
  return handle >= 0;
}

inline int connect_to(const std::string& ip, int port) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = address_of(ip, port);
  if (::connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(handle);
    return -1;
  }
  const int yes = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return handle;
}

inline bool send_all(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto got = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (got <= 0) return false;
    sent += static_cast<std::size_t>(got);
  }
  return true;
}

// ------------------------------------------------------------------------------------------- HTTP

inline std::string lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// A request or an answer.
struct message {
  std::string first, method, target;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string{} : found->second;
  }
  [[nodiscard]] bool has(const std::string& name) const { return headers.contains(lower(name)); }
};

/// Reads messages from one connection.
class reader {
 public:
  explicit reader(int handle) : handle_(handle) {}
  /// Returns false if the connection ended before a complete message.
  bool read(message& into) {
    into = {};
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill()) return false;
    parse_head(buffer_.substr(0, end), into);
    buffer_.erase(0, end + 4);
    if (lower(into.header("Expect")) == "100-continue")
      if (!send_all(handle_, "HTTP/1.1 100 Continue\r\n\r\n")) return false;
    if (lower(into.header("Transfer-Encoding")) == "chunked") return read_chunks(into);
    if (into.has("Content-Length")) {
      const auto length = std::stoull(into.header("Content-Length"));
      while (buffer_.size() < length)
        if (!fill()) return false;
      into.body = buffer_.substr(0, length);
      buffer_.erase(0, length);
    }
    return true;
  }
  /// Returns true if no byte of a further message has arrived.
  [[nodiscard]] bool empty() const { return buffer_.empty(); }

 private:
  static void parse_head(const std::string& head, message& into) {
    std::size_t at = head.find("\r\n");
    into.first = head.substr(0, at);
    const auto space = into.first.find(' ');
    const auto next = into.first.find(' ', space + 1);
    if (into.first.starts_with("HTTP/")) {
      into.status = std::atoi(into.first.substr(space + 1).c_str());
    } else {
      into.method = into.first.substr(0, space);
      into.target = into.first.substr(space + 1, next - space - 1);
    }
    while (at != std::string::npos) {
      const auto begin = at + 2;
      at = head.find("\r\n", begin);
      const auto line = head.substr(begin, at == std::string::npos ? at : at - begin);
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      into.headers[lower(line.substr(0, colon))] = value;
    }
  }
  bool read_chunks(message& into) {
    for (;;) {
      std::size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (!fill()) return false;
      const auto size = std::stoull(buffer_.substr(0, end), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2)
        if (!fill()) return false;
      into.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  bool fill() {
    char bytes[65536];
    const auto got = ::recv(handle_, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  int handle_;
  std::string buffer_;
};

inline std::string answer_text(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens at an address and runs one thread for each connection.
class listener {
 public:
  using handler = std::function<void(int handle, reader& in)>;
  ~listener() { stop(); }
  bool start(const std::string& ip, int port, handler serve) {
    socket_ = listen_at(ip, port);
    if (socket_ < 0) return false;
    running_ = true;
    thread_ = std::thread([this, serve = std::move(serve)] { accept_all(serve); });
    return true;
  }
  /// Closes the listener and all connections, as when the process behind them ends.
  void stop() {
    if (!running_.exchange(false)) return;
    ::shutdown(socket_, SHUT_RDWR);
    ::close(socket_);
    thread_.join();
    std::vector<std::thread> threads;
    {
      const std::lock_guard lock(mutex_);
      for (const int each : open_) ::shutdown(each, SHUT_RDWR);
      threads = std::move(threads_);
      threads_.clear();
    }
    for (auto& each : threads) each.join();
  }

 private:
  void accept_all(const handler& serve) {
    while (running_) {
      const int handle = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        if (!running_) return;
        sleep_for(ms{1});
        continue;
      }
      const int yes = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      const std::lock_guard lock(mutex_);
      open_.insert(handle);
      threads_.emplace_back([this, handle, serve] {
        reader in(handle);
        serve(handle, in);
        {
          const std::lock_guard closing(mutex_);
          open_.erase(handle);
        }
        ::close(handle);
      });
    }
  }
  int socket_ = -1;
  std::atomic<bool> running_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

// ------------------------------------------------------------------------------------------ store

/// The platform's store: objects by kind and name, conditional writes, lists and watches.
class store {
 public:
  bool start(const std::string& ip, int port) {
    return listener_.start(ip, port, [this](int handle, reader& in) {
      message call;
      while (in.read(call))
        if (!send_all(handle, answer(call))) return;
    });
  }
  void stop() {
    stopping_ = true;
    changed_.notify_all();
    listener_.stop();
  }
  /// Writes an object without a condition, like the operator or another writer.
  void put(const std::string& kind, const std::string& name, const json& spec) {
    const std::lock_guard lock(mutex_);
    objects_[kind][name].spec = spec;
    note(kind, name, false);
  }
  [[nodiscard]] json get(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? json{} : found->second.spec;
  }

 private:
  struct object {
    json spec;
    std::uint64_t revision = 0, created = 0;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    json change;
  };
  static json shown(const std::string& name, const object& stored) {
    return {{"metadata",
             {{"name", name},
              {"revision", stored.revision},
              {"createRevision", stored.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", stored.spec},
            {"status", nullptr}};
  }
  void note(const std::string& kind, const std::string& name, bool deleted) {
    object& stored = objects_[kind][name];
    stored.revision = ++revision_;
    if (stored.created == 0) stored.created = revision_;
    history_.push_back({revision_, kind, {{"deleted", deleted}, {"object", shown(name, stored)}}});
    if (deleted) objects_[kind].erase(name);
    changed_.notify_all();
  }
  static std::string text(int status, const json& body) {
    return answer_text(status, "Content-Type: application/json\r\n", body.dump());
  }
  static std::string parameter(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
  }
  json events_since(const std::string& kind, std::uint64_t from) {
    json events = json::array();
    for (const auto& each : history_)
      if (each.revision > from && each.kind == kind) events.push_back(each.change);
    return events;
  }
  std::string answer(const message& call) {
    constexpr std::string_view prefix = "/-/objects/";
    if (!call.target.starts_with(prefix)) return text(404, json::object());
    auto path = call.target.substr(prefix.size());
    std::string query;
    if (const auto mark = path.find('?'); mark != std::string::npos) {
      query = path.substr(mark + 1);
      path.resize(mark);
    }
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
    std::unique_lock lock(mutex_);
    auto& objects = objects_[kind];
    if (call.method == "GET" && name.empty()) {
      const auto from = parameter(query, "watch");
      if (!from.empty()) return watch(lock, kind, std::stoull(from), query);
      return list(kind, parameter(query, "after"));
    }
    const auto found = objects.find(name);
    if (call.method == "GET")
      return found == objects.end() ? text(404, json::object())
                                    : text(200, shown(name, found->second));
    if (call.method == "DELETE") {
      if (found == objects.end()) return text(404, json::object());
      const auto revision = parameter(query, "revision");
      if (!revision.empty() && std::stoull(revision) != found->second.revision)
        return text(409, shown(name, found->second));
      note(kind, name, true);
      return text(200, json::object());
    }
    const auto body = json::parse(call.body, nullptr, false);
    if (body.is_discarded()) return text(400, json::object());
    if (call.method == "POST") {
      const auto created = body.at("metadata").at("name").get<std::string>();
      if (objects.contains(created)) return text(409, shown(created, objects[created]));
      objects[created].spec = body.at("spec");
      note(kind, created, false);
      return text(201, shown(created, objects[created]));
    }
    if (found == objects.end()) return text(404, json::object());
    const auto& metadata = body.at("metadata");
    if (metadata.contains("revision") &&
        metadata.at("revision").get<std::uint64_t>() != found->second.revision)
      return text(409, shown(name, found->second));
    if (found->second.spec != body.at("spec")) {
      found->second.spec = body.at("spec");
      note(kind, name, false);
    }
    return text(200, shown(name, objects[name]));
  }
  /// A page holds about 500 objects, or 1 MB.
  std::string list(const std::string& kind, const std::string& after) {
    constexpr std::size_t page_objects = 500, page_bytes = 1'000'000;
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (const auto& [name, stored] : objects_[kind]) {
      if (!after.empty() && name <= after) continue;
      if (items.size() >= page_objects || bytes > page_bytes) {
        more = true;
        break;
      }
      items.push_back(shown(name, stored));
      bytes += items.back().dump().size();
    }
    return text(200, {{"items", items}, {"hasMore", more}, {"at", revision_}});
  }
  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t from,
                    const std::string& query) {
    const auto wait = parameter(query, "waitMs");
    const auto until = clock_type::now() + ms{wait.empty() ? 0 : std::stoll(wait)};
    json events = events_since(kind, from);
    while (events.empty() && !stopping_ && clock_type::now() < until) {
      changed_.wait_until(lock, until);
      events = events_since(kind, from);
    }
    return text(200, {{"events", events}, {"at", revision_}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::map<std::string, std::map<std::string, object>> objects_;
  std::vector<event> history_;
  std::uint64_t revision_ = 100;
  listener listener_;
};

// ----------------------------------------------------------------------------------------- target

/// Where and as what a target runs.
struct target_settings {
  std::string name, id, service, zone, ip;
  int port = 0;
  int agent_port = 0;  ///< The agent's address for heartbeats.
  int capacity = 12;
  bool keyed = false;
  ms heartbeat{870};
  ms first_heartbeat_after{0};
};

/// A span in which a target held keys.
struct holding {
  std::string target;  ///< Name and lifetime.
  int from = 0, to = 0;
  std::uint64_t fence = 0;
  double since = 0, until = 0;
};

/// What all targets have run and held.
struct ledger {
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;  ///< Targets that ran a request, by id.
  std::vector<holding> holdings;
  std::vector<holding> released;  ///< As they would have lasted without the release.
  std::vector<std::string> violations;
  std::map<std::string, std::pair<std::string, int>> at_work;  ///< Target and key, by request id.

  /// Adds a violation for each pair of targets that held the same keys for over half a second.
  void check_shared_holdings() {
    constexpr double longest_shared_s = 0.5;
    const std::lock_guard lock(mutex);
    for (std::size_t i = 0; i < holdings.size(); ++i)
      for (std::size_t j = 0; j < i; ++j) {
        const auto &a = holdings[i], &b = holdings[j];
        if (a.target == b.target || a.to < b.from || b.to < a.from) continue;
        const double shared = std::min(a.until, b.until) - std::max(a.since, b.since);
        if (shared > longest_shared_s)
          violations.push_back("OWNER: " + a.target + " and " + b.target + " both held keys " +
                               std::to_string(std::max(a.from, b.from)) + "-" +
                               std::to_string(std::min(a.to, b.to)) + " for " +
                               std::to_string(shared) + " s");
      }
  }
  /// Returns a key that the target named `name` holds, or -1.
  int key_of(const std::string& name) {
    const std::lock_guard lock(mutex);
    for (const auto& each : holdings)
      if (each.target.starts_with(name + "#") && seconds_now() + 0.2 < each.until)
        return (each.from + each.to) / 2;
    return -1;
  }
  /// Returns true if each key is held.
  bool all_held() {
    const std::lock_guard lock(mutex);
    long keys = 0;
    for (const auto& each : holdings)
      if (seconds_now() < each.until) keys += each.to - each.from + 1;
    return keys >= 65536;
  }
  std::size_t runs_of(const std::string& id) {
    const std::lock_guard lock(mutex);
    const auto found = runs.find(id);
    return found == runs.end() ? 0 : found->second.size();
  }
};

inline bool await(const std::function<bool()>& condition, ms limit) {
  const auto until = clock_type::now() + limit;
  while (clock_type::now() < until) {
    if (condition()) return true;
    sleep_for(ms{20});
  }
  return false;
}

/// One lifetime of a target.
///
/// It speaks as the pages say: runs a request that names it and whose key it holds, answers 421
/// otherwise; takes grants with an epoch number that isn't below one that it has seen; answers a
/// release when the work on its keys has ended.
class target {
 public:
  /// Bytes to send before an answer, such as a late copy of the answer before.
  using before_answer = std::function<std::string(const message& call, const std::string& before)>;
  using after_answer = std::function<std::string(const message& call, const std::string& answer)>;

  target(target_settings settings, ledger& book, recorder& record)
      : settings_(std::move(settings)), book_(book), record_(record) {}
  ~target() { stop(); }

  std::function<ms(const message&)> work = [](const message&) { return ms{20}; };
  std::function<std::string(const message&)> body_of = [](const message& call) {
    return "body of " + call.header("X-Request-Id");
  };
  /// Returns true if the target has no room for this request.
  std::function<bool(const message&)> is_full = [](const message&) { return false; };
  before_answer extra_before;  ///< Called with the answer before on the same connection.
  after_answer spoil;          ///< Returns what is sent in place of an answer.
  /// Serves a call in another way; returns true if it did.
  std::function<bool(int handle, const message&)> instead;

  bool start() {
    born_ =
        std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
    const bool listening = listener_.start(settings_.ip, settings_.port,
                                           [this](int handle, reader& in) { serve(handle, in); });
    if (!listening) return false;
    running_ = true;
    record_.line("target %s starts id=%s born=%lld", label().c_str(), settings_.id.c_str(),
                 static_cast<long long>(born_));
    beats_ = std::thread([this] { send_heartbeats(); });
    return true;
  }
  /// Ends like a crash: connections close, nothing is said, all keys are forgotten.
  void stop() {
    if (!running_.exchange(false)) return;
    {
      const std::lock_guard lock(book_.mutex);
      for (auto& each : held_)
        book_.holdings[each].until = std::min(book_.holdings[each].until, seconds_now());
      held_.clear();
    }
    released_.notify_all();
    listener_.stop();
    beats_.join();
    record_.line("target %s ends", label().c_str());
  }
  void drain() {
    record_.line("target %s says that it drains", label().c_str());
    draining_ = true;
  }
  void set_first_heartbeat_after(ms span) { settings_.first_heartbeat_after = span; }
  [[nodiscard]] std::string label() const { return settings_.name + "#" + std::to_string(born_); }
  [[nodiscard]] const target_settings& settings() const { return settings_; }
  [[nodiscard]] bool beats_acknowledged() const { return acknowledged_; }

 private:
  void serve(int handle, reader& in) {
    message call;
    std::string before;
    while (in.read(call)) {
      if (instead && instead(handle, call)) return;
      if (extra_before && !before.empty())
        if (const auto extra = extra_before(call, before); !extra.empty())
          if (!send_all(handle, extra)) return;
      std::string answer = handled(call);
      if (answer.empty()) return;
      if (spoil) answer = spoil(call, answer);
      if (!send_all(handle, answer)) return;
      before = answer;
    }
  }
  std::string handled(const message& call) {
    if (call.has("X-Expected-Instance") && call.header("X-Expected-Instance") != settings_.id)
      return answer_text(421,
                         "X-Request-Id: " + call.header("X-Request-Id") +
                             "\r\nX-Instance-Id: " + settings_.id + "\r\n",
                         "");
    if (call.target == "/-/grant") return grant(json::parse(call.body));
    if (call.target == "/-/release") return release(json::parse(call.body));
    if (call.target == "/healthz")
      return answer_text(200, "X-Instance-Id: " + settings_.id + "\r\n", "");
    const auto id = call.header("X-Request-Id");
    const auto echo = "X-Request-Id: " + id + "\r\n";
    int key = -1;
    if (is_full(call)) {
      record_.line("target %s refuses %s: full", label().c_str(), id.c_str());
      return answer_text(503, echo + "X-Not-Executed: 1\r\n", "");
    }
    {
      const std::lock_guard lock(book_.mutex);
      if (settings_.keyed && call.has("X-Shard-Key")) {
        key = std::atoi(call.header("X-Shard-Key").c_str());
        const bool holds = std::ranges::any_of(held_, [&](std::size_t each) {
          const auto& span = book_.holdings[each];
          return span.from <= key && key <= span.to && seconds_now() < span.until;
        });
        if (!holds) return answer_text(421, echo + "X-Not-Executed: 1\r\n", "");
      }
      if (running_requests_ >= settings_.capacity)
        return answer_text(503, echo + "X-Not-Executed: 1\r\n", "");
      ++running_requests_;
      book_.runs[id].push_back(label());
      if (key >= 0) book_.at_work[id] = {label(), key};
    }
    record_.line("target %s begins %s key=%d", label().c_str(), id.c_str(), key);
    sleep_for(work(call));
    {
      const std::lock_guard lock(book_.mutex);
      --running_requests_;
      book_.at_work.erase(id);
    }
    released_.notify_all();
    if (!running_) return {};
    record_.line("target %s ends %s", label().c_str(), id.c_str());
    return answer_text(200,
                       echo + "X-Response-Signature: s." + id + "\r\nX-Server-Load: 1,0," +
                           std::to_string(settings_.capacity) + "\r\n",
                       body_of(call));
  }
  std::string grant(const json& call) {
    const int from = call.at("from"), to = call.at("to");
    const auto fence = call.at("fence").get<std::uint64_t>();
    const auto hold = std::stod(call.at("hold_time").get<std::string>()) / 1000;
    const std::lock_guard lock(book_.mutex);
    const double now = seconds_now();
    for (const auto each : held_) {
      const auto& span = book_.holdings[each];
      if (span.to >= from && span.from <= to && span.fence > fence && now < span.until)
        return answer_text(409, "", "");
    }
    for (const auto& each : seen_)
      if (each.to >= from && each.from <= to && each.fence > fence) return answer_text(409, "", "");
    // A renewal goes on with the holding of the same keys and epoch number.
    for (const auto each : held_) {
      auto& span = book_.holdings[each];
      if (span.from == from && span.to == to && span.fence == fence && now < span.until) {
        span.until = now + hold;
        return answer_text(200, "", "");
      }
    }
    for (const auto& other : book_.holdings) {
      const bool overlaps = other.to >= from && other.from <= to;
      if (!overlaps || other.target == label()) continue;
      if (other.fence >= fence)
        book_.violations.push_back("OWNER: " + label() + " took keys " + std::to_string(from) +
                                   "-" + std::to_string(to) + " with epoch number " +
                                   std::to_string(fence) + ", which isn't above " +
                                   std::to_string(other.fence) + " of " + other.target);
    }
    for (const auto& [id, busy] : book_.at_work) {
      if (busy.first == label() || busy.second < from || busy.second > to) continue;
      const auto held_key = [&, target = busy.first, key = busy.second](const holding& each) {
        return each.target == target && each.from <= key && key <= each.to && now < each.until;
      };
      if (std::ranges::any_of(book_.released, held_key) ||
          std::ranges::any_of(book_.holdings, held_key))
        book_.violations.push_back("OWNER: " + label() + " was given key " +
                                   std::to_string(busy.second) + " while " + busy.first +
                                   " was still at work on it (" + id + ")");
    }
    cut_held(from, to, now);
    seen_.push_back({label(), from, to, fence, now, now});
    book_.holdings.push_back({label(), from, to, fence, now, now + hold});
    held_.push_back(book_.holdings.size() - 1);
    record_.line("target %s takes keys %d-%d epoch=%llu hold=%.3f", label().c_str(), from, to,
                 static_cast<unsigned long long>(fence), hold);
    return answer_text(200, "", "");
  }
  void cut_held(int from, int to, double now) {
    std::vector<std::size_t> kept;
    for (const auto each : held_) {
      const holding span = book_.holdings[each];
      if (span.to < from || span.from > to || now >= span.until) {
        if (now < span.until) kept.push_back(each);
        continue;
      }
      book_.holdings[each].until = now;
      if (span.from < from) {
        book_.holdings.push_back({span.target, span.from, from - 1, span.fence, now, span.until});
        kept.push_back(book_.holdings.size() - 1);
      }
      if (span.to > to) {
        book_.holdings.push_back({span.target, to + 1, span.to, span.fence, now, span.until});
        kept.push_back(book_.holdings.size() - 1);
      }
    }
    held_ = std::move(kept);
  }
  std::string release(const json& call) {
    const int from = call.at("from"), to = call.at("to");
    std::unique_lock lock(book_.mutex);
    for (const auto each : held_) {
      const auto& span = book_.holdings[each];
      if (span.to >= from && span.from <= to) book_.released.push_back(span);
    }
    cut_held(from, to, seconds_now());
    record_.line("target %s is told to release %d-%d", label().c_str(), from, to);
    const auto busy = [&] {
      return std::ranges::any_of(book_.at_work, [&](const auto& entry) {
        return entry.second.first == label() && entry.second.second >= from &&
               entry.second.second <= to;
      });
    };
    while (running_ && busy()) released_.wait_for(lock, ms{10});
    if (!running_) return {};
    record_.line("target %s has ended its work on %d-%d", label().c_str(), from, to);
    return answer_text(
        200, "X-Handover: " + std::to_string(born_) + "a" + std::to_string(from) + "\r\n", "");
  }

  void send_heartbeats() {
    auto next = clock_type::now() + settings_.first_heartbeat_after;
    int sequence = 0;
    bool said_draining = false;
    while (running_) {
      const bool due = clock_type::now() >= next || (draining_ && !said_draining);
      if (!due) {
        sleep_for(ms{5});
        continue;
      }
      next = clock_type::now() + settings_.heartbeat;
      said_draining = draining_;
      const json body{{"service", settings_.service},
                      {"address", settings_.ip + ":" + std::to_string(settings_.port)},
                      {"zone", settings_.zone},
                      {"version", "v1"},
                      {"capacity", settings_.capacity},
                      {"state", draining_ ? "draining" : "ready"},
                      {"warmupLeft", "0ms"},
                      {"sequence", ++sequence},
                      {"born", born_}};
      const auto text = body.dump();
      const int handle = connect_to(settings_.ip, settings_.agent_port);
      if (handle < 0) continue;
      const bool sent = send_all(handle, "PUT /-/instances/" + settings_.id +
                                             " HTTP/1.1\r\nHost: agent\r\nContent-Type: "
                                             "application/json\r\nContent-Length: " +
                                             std::to_string(text.size()) + "\r\n\r\n" + text);
      const timeval limit{1, 0};
      setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      reader in(handle);
      message answer;
      if (sent && in.read(answer) && answer.status / 100 == 2) {
        if (!acknowledged_.exchange(true))
          record_.line("target %s: first heartbeat acknowledged", label().c_str());
      }
      ::close(handle);
    }
  }

  target_settings settings_;
  ledger& book_;
  recorder& record_;
  listener listener_;
  std::thread beats_;
  std::atomic<bool> running_{false}, draining_{false}, acknowledged_{false};
  std::condition_variable_any released_;
  std::vector<std::size_t> held_;
  std::vector<holding> seen_;
  int running_requests_ = 0;
  std::int64_t born_ = 0;
};

// ------------------------------------------------------------------------------------- requesters

/// The answer that a requester got; status 0: the connection ended without a complete answer.
struct result {
  int status = 0;
  std::string id, body, signature;
  message answer;
};

/// A requester with one connection that it keeps.
class requester {
 public:
  requester(std::string ip, int port) : ip_(std::move(ip)), port_(port) {}
  ~requester() { close(); }
  void close() {
    if (handle_ >= 0) ::close(handle_);
    handle_ = -1;
  }
  /// Sends a request and waits for its answer, at most its time budget and a second.
  result call(const std::string& method, const std::string& host, const std::string& path,
              const std::string& id, int budget_ms, int key = -1, const std::string& body = {}) {
    result got{.id = id};
    if (handle_ < 0) {
      handle_ = connect_to(ip_, port_);
      if (handle_ < 0) return got;
      in_ = std::make_unique<reader>(handle_);
    }
    const timeval limit{(budget_ms + 1000) / 1000, (budget_ms % 1000) * 1000};
    setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Request-Id: " + id +
                       "\r\nX-Request-Deadline-Ms: " + std::to_string(budget_ms) + "\r\n";
    if (key >= 0) text += "X-Shard-Key: " + std::to_string(key) + "\r\n";
    if (!body.empty() || method == "POST")
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const bool sent = send_all(handle_, text + "\r\n" + body);
    if (!sent || !in_->read(got.answer)) {
      close();
      return got;
    }
    got.status = got.answer.status;
    got.body = got.answer.body;
    got.signature = got.answer.header("X-Response-Signature");
    if (lower(got.answer.header("Connection")) == "close") close();
    return got;
  }

 private:
  std::string ip_;
  int port_;
  int handle_ = -1;
  std::unique_ptr<reader> in_;
};

// ----------------------------------------------------------------------------------------- agents

/// Addresses of one machine.
struct machine {
  std::string name, zone, region, service, ip;
  int callers = 0, readiness = 0, heartbeats = 0, upstream = 0;
};

/// One agent process, restarted by the platform after a short delay if it ends.
class agent {
 public:
  agent(machine on, int peer_port, int metrics_port, std::string store, std::string folder,
        recorder& record)
      : on_(std::move(on)),
        peer_port_(peer_port),
        metrics_port_(metrics_port),
        store_(std::move(store)),
        folder_(std::move(folder)),
        record_(record) {}
  ~agent() { stop(); }

  void start(bool first_start = true) {
    first_start_ = first_start;
    write_settings();
    supervising_ = true;
    launch();
    supervisor_ = std::thread([this] { supervise(); });
  }
  void stop() {
    supervising_ = false;
    const pid_t pid = pid_;
    if (pid > 0) ::kill(pid, SIGKILL);
    if (supervisor_.joinable()) supervisor_.join();
  }
  void signal(int number) {
    record_.line("agent %s gets signal %d", on_.name.c_str(), number);
    expected_ends_ += number == SIGKILL || number == SIGTERM ? 1 : 0;
    ::kill(pid_, number);
  }
  [[nodiscard]] pid_t pid() const { return pid_; }
  [[nodiscard]] int own_ends() const { return own_ends_; }
  [[nodiscard]] const machine& on() const { return on_; }
  /// Returns the resident memory of the process in MB.
  [[nodiscard]] long memory_mb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    long pages = 0, resident = 0;
    in >> pages >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1'000'000;
  }

 private:
  void write_settings() {
    std::ofstream out(settings_path());
    const auto at = [this](int port) { return on_.ip + ":" + std::to_string(port); };
    out << "[agent]\nname = " << on_.name << "\nip = " << on_.ip << "\nzone = " << on_.zone
        << "\nregion = " << on_.region << "\nfirst_start = " << (first_start_ ? "true" : "false")
        << "\n\n[listen]\ncallers = " << at(on_.callers) << "\nreadiness = " << at(on_.readiness)
        << "\nupstream = " << at(on_.heartbeats) << "\npeer_port = " << peer_port_
        << "\nmetrics_port = " << metrics_port_ << "\n\n[upstream]\naddress = " << at(on_.upstream)
        << "\nservice = " << on_.service
        << "\nheartbeat = 870ms\ngrants = call\n\n[store]\naddress = " << store_
        << "\n\n[link]\nbandwidth = 1000.0\n\n[bounds]\ndrain = 2000ms\ngrace = 6s\n"
        << "config = 2000ms\nhold_max = 10000ms\nrepeat_ratio = 0.2\nrepeat_window = 10s\n"
        << "repeat_slack = 60\n";
  }
  std::string settings_path() const { return folder_ + "/" + on_.name + ".ini"; }
  void launch() {
    const auto path = settings_path();
    const auto log = folder_ + "/" + on_.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, however that ends
      setenv("MASTICSHUNT_CONFIG", path.c_str(), 1);
      if (std::freopen(log.c_str(), "a", stdout) == nullptr) _exit(126);
      dup2(STDOUT_FILENO, STDERR_FILENO);
      ::execl("target/masticshunt", "target/masticshunt", "fleet-agent", nullptr);
      _exit(127);
    }
    pid_ = pid;
    record_.line("agent %s starts pid=%d", on_.name.c_str(), static_cast<int>(pid));
  }
  void supervise() {
    for (;;) {
      int status = 0;
      ::waitpid(pid_, &status, 0);
      if (!supervising_) return;
      const bool expected = expected_ends_ > 0;
      if (expected)
        --expected_ends_;
      else
        ++own_ends_;
      record_.line("agent %s ended %s (%s %d)", on_.name.c_str(),
                   expected ? "after a signal of the test" : "BY ITSELF",
                   WIFSIGNALED(status) ? "signal" : "exit code",
                   WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      first_start_ = false;
      write_settings();
      sleep_for(restart_after);
      if (!supervising_) return;
      launch();
    }
  }

 public:
  ms restart_after{500};

 private:
  machine on_;
  int peer_port_, metrics_port_;
  std::string store_, folder_;
  recorder& record_;
  std::atomic<pid_t> pid_{0};
  std::atomic<bool> supervising_{false};
  std::atomic<int> expected_ends_{0}, own_ends_{0};
  bool first_start_ = true;
  std::thread supervisor_;
};

// ------------------------------------------------------------------------------------- deployment

struct deployment_machine {
  std::string service, zone, region;
  bool keyed = false;
};

/// A small deployment: the store, machines with an agent and a target each.
class deployment {
 public:
  /// Chooses addresses whose ports are free.
  deployment(const std::string& folder, recorder& record) : folder_(folder), record_(record) {
    std::random_device seed;
    do {
      net_ =
          "127." + std::to_string(20 + seed() % 200) + "." + std::to_string(1 + seed() % 250) + ".";
      store_ip_ = net_ + "250";
    } while (!all_free());
  }
  /// Adds a machine; `start` starts them all.
  void add(const std::string& service, const std::string& zone, const std::string& region,
           bool keyed = false) {
    const auto number = std::to_string(machines.size() + 1);
    machine on{.name = "sidecar-" + zone + "-" + number,
               .zone = zone,
               .region = region,
               .service = service,
               .ip = net_ + number};
    on.callers = callers_port;
    on.readiness = readiness_port;
    on.heartbeats = heartbeats_port;
    on.upstream = target_port;
    machines.push_back(on);
    targets.push_back(make_target(machines.size() - 1, "i-" + service + "-" + number, keyed));
  }
  std::unique_ptr<target> make_target(std::size_t at, const std::string& id, bool keyed) {
    const auto& on = machines[at];
    return std::make_unique<target>(target_settings{.name = "target-" + std::to_string(at + 1),
                                                    .id = id,
                                                    .service = on.service,
                                                    .zone = on.zone,
                                                    .ip = on.ip,
                                                    .port = on.upstream,
                                                    .agent_port = on.heartbeats,
                                                    .keyed = keyed},
                                    book, record_);
  }
  /// Starts the store with the desired state `state`, the targets and the agents.
  bool start(const json& state) {
    ::signal(SIGPIPE, SIG_IGN);
    platform.put("config", "main", state);
    if (!platform.start(store_ip_, store_port)) return false;
    for (const auto& on : machines)
      agents.push_back(std::make_unique<agent>(on, peer_port, metrics_port,
                                               store_ip_ + ":" + std::to_string(store_port),
                                               folder_, record_));
    for (const auto& each : targets)
      if (!each->start()) return false;
    for (const auto& each : agents) each->start();
    return true;
  }
  /// Returns true once every machine is ready, within `limit`.
  bool await_ready(ms limit) {
    const auto until = clock_type::now() + limit;
    while (clock_type::now() < until) {
      const bool all = std::ranges::all_of(machines, [](const machine& on) {
        requester probe(on.ip, on.readiness);
        return probe.call("GET", "x", "/-/readyz", "probe", 500).status == 200;
      });
      if (all) return true;
      sleep_for(ms{100});
    }
    return false;
  }
  void stop() {
    for (const auto& each : agents) each->stop();
    for (const auto& each : targets) each->stop();
    platform.stop();
  }

  std::vector<machine> machines;
  store platform;
  ledger book;
  std::vector<std::unique_ptr<target>> targets;
  std::vector<std::unique_ptr<agent>> agents;

 private:
  static constexpr int callers_port = 8629, readiness_port = 8625, heartbeats_port = 8620,
                       target_port = 8628, store_port = 8627, peer_port = 7600, metrics_port = 7601,
                       machines_max = 20;
  [[nodiscard]] bool all_free() const {
    for (int i = 1; i <= machines_max; ++i)
      for (const int port :
           {callers_port, readiness_port, heartbeats_port, target_port, peer_port, metrics_port})
        if (!is_free(net_ + std::to_string(i), port)) return false;
    return is_free(store_ip_, store_port);
  }

  std::string folder_;
  recorder& record_;
  std::string net_, store_ip_;
};

inline json route(const std::string& host, const std::string& prefix, const std::string& kind,
                  const std::string& service, const std::string& timeout, int attempts = 2) {
  return {{"host", host},       {"pathPrefix", prefix},   {"kind", kind},
          {"timeout", timeout}, {"aim", "400ms"},         {"priority", 0},
          {"service", service}, {"maxAttempts", attempts}};
}
inline json service(bool keyed) {
  json out{{"healthPath", "/healthz"}, {"maxConnections", 120}, {"protocol", "h1"}, {"tls", false}};
  if (keyed) {
    out["sharded"] = true;
    out["warm"] = "3s";
    out["grants"] = "call";
  }
  return out;
}
inline json desired_state(const std::string& version, const json& routes, const json& services) {
  return {{"version", version},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}}};
}

/// Whether the disruption takes place; `run_case` sets it from the command line.
inline bool& trouble() {
  static bool enabled = true;
  return enabled;
}

/// Runs a case: `record.txt` in its folder, a temporary folder for settings and logs.
inline int run_case(int count, char** words,
                    const std::function<int(deployment&, recorder&)>& play) {
  if (count != 4) {
    std::fprintf(stderr, "usage: %s CASE_FOLDER TEMPORARY_FOLDER TROUBLE\n", words[0]);
    return exit_could_not_run;
  }
  trouble() = std::string(words[3]) != "0";
  recorder record(std::string(words[1]) + "/record.txt");
  record.line("trouble=%s", trouble() ? "yes" : "no");
  deployment fleet(words[2], record);
  const int code = play(fleet, record);
  fleet.stop();
  record.line("result: %s", code == exit_held     ? "the rule held"
                            : code == exit_broken ? "the rule was broken"
                                                  : "the case could not run");
  return code;
}

}  // namespace review
