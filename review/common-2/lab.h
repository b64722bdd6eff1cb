/// @file
/// Stand-ins for the platform's store, a target and requesters, and the agents under test as
/// separate processes. Everything is on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline void pause_for(ms span) {
  std::this_thread::sleep_for(span);
}

/// The record of a run: what was sent, answered and run, with seconds since the start.
class record {
 public:
  explicit record(const std::string& path) : out_(std::fopen(path.c_str(), "w")) {
    if (out_ == nullptr) std::exit(2);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    const double at = std::chrono::duration<double>(clock::now() - start_).count();
    std::fprintf(out_, "%8.3f ", at);
    va_list args;
    va_start(args, format);
    std::vfprintf(out_, format, args);
    va_end(args);
    std::fputc('\n', out_);
    std::fflush(out_);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_;
  clock::time_point start_ = clock::now();
};

/// Ends the run: the case could not be played.
[[noreturn]] inline void cannot_run(record& log, const std::string& why) {
  log.line("CANNOT RUN: %s", why.c_str());
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Opens a listener; port 0 takes a free one, which is returned in `port`.
inline int listen_at(const std::string& ip, int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = address_of(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

/// Returns the first three numbers of the addresses of this run, which no other run uses.
inline const std::string& network() {
  static const std::string prefix = "127." + std::to_string(1 + ::getpid() % 250) + "." +
                                    std::to_string(::getpid() / 250 % 250) + ".";
  return prefix;
}

/// Returns the first of `count` ports that are free at all addresses of a run's machines. They lie
/// below the ports that the kernel gives to listeners and connections without a number.
inline int free_ports(int count, int machines) {
  constexpr int first = 20'000;
  constexpr int last = 30'000;
  for (int base = first; base + count <= last; base += count) {
    bool all_free = true;
    for (int machine = 1; machine <= machines && all_free; ++machine)
      for (int i = 0; i < count && all_free; ++i) {
        int port = base + i;
        const int fd = listen_at(network() + std::to_string(machine), port);
        all_free = fd >= 0;
        if (fd >= 0) ::close(fd);
      }
    if (all_free) return base;
  }
  return 0;
}

/// Connects; `small_window` gives the connection the segment size of an Ethernet link and a small
/// receive buffer, so that a requester that reads slowly holds up its sender. Returns -1 on
/// failure.
inline int connect_to(const std::string& ip, int port, bool small_window = false) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (small_window) {
    const int segment = 1'460;
    const int buffer = 8 * 1024;
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  }
  const sockaddr_in address = address_of(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// A message that was read, with header names in lower case.
struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
  }
  [[nodiscard]] int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

/// Reads messages from a connection.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  /// Reads one message with its body; returns false if the connection ended before its end.
  bool read(message& into, clock::time_point until = clock::time_point::max()) {
    return read_head(into, until) && read_body(into, until);
  }

  /// Reads the first line and the headers.
  bool read_head(message& into, clock::time_point until = clock::time_point::max()) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(until)) return false;
    into = {};
    std::size_t at = buffer_.find("\r\n");
    into.first_line = buffer_.substr(0, at);
    while (at < end) {
      const std::size_t from = at + 2;
      at = buffer_.find("\r\n", from);
      const std::string text = buffer_.substr(from, at - from);
      const auto colon = text.find(':');
      std::string name = text.substr(0, colon);
      for (char& each : name) each = static_cast<char>(std::tolower(each));
      auto value = colon == std::string::npos ? std::string{} : text.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      into.headers[name] = value;
    }
    buffer_.erase(0, end + 4);
    return true;
  }

  /// Reads the body that the headers announce: with a length, or in chunks.
  bool read_body(message& into, clock::time_point until = clock::time_point::max()) {
    if (into.header("transfer-encoding") == "chunked") {
      for (;;) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
          if (!fill(until)) return false;
        const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2)
          if (!fill(until)) return false;
        into.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) return true;
      }
    }
    const auto length = std::strtoul(into.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length)
      if (!fill(until)) {
        into.body = buffer_;
        return false;
      }
    into.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  [[nodiscard]] bool timed_out() const { return timed_out_; }

  /// Receives what has arrived, 16 kB at most. Returns false at the end of the connection or when
  /// the time is over.
  bool fill(clock::time_point until) {
    if (until != clock::time_point::max()) {
      pollfd waiting{fd_, POLLIN, 0};
      const auto left = std::chrono::duration_cast<ms>(until - clock::now()).count();
      if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        timed_out_ = true;
        return false;
      }
    }
    char bytes[16 * 1024];
    const auto got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }

 private:
  int fd_;
  bool timed_out_ = false;
  std::string buffer_;
};

/// A server with one thread for each connection. `serve` answers one request and returns false if
/// the connection is to be closed.
class server {
 public:
  using handler = std::function<bool(int fd, const message& request)>;
  server(std::string ip, int port, handler serve) : serve_(std::move(serve)) {
    listener_ = listen_at(ip, port);
    port_ = port;
    if (listener_ >= 0) std::thread([this] { accept_all(); }).detach();
  }
  [[nodiscard]] bool listening() const { return listener_ >= 0; }
  [[nodiscard]] int port() const { return port_; }
  /// Closes all connections that are open now.
  void cut_connections() {
    std::lock_guard lock(mutex_);
    for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      {
        std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        reader in(fd);
        message request;
        while (in.read(request) && serve_(fd, request)) {
        }
        std::lock_guard lock(mutex_);
        open_.erase(fd);
        ::close(fd);
      }).detach();
    }
  }
  handler serve_;
  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> open_;
};

inline std::string answer_text(int status, const std::string& body,
                               const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store, as PROTOCOL.md describes it. While `down`, each call is answered 503,
/// which means that nothing was done.
class store {
 public:
  explicit store(const std::string& ip)
      : server_(ip, 0, [this](int fd, const message& request) { return serve(fd, request); }) {}
  [[nodiscard]] int port() const { return server_.port(); }
  void set_down(bool down) {
    down_ = down;
    changed_.notify_all();
  }
  void put(const std::string& kind, const std::string& name, const json& spec) {
    std::lock_guard lock(mutex_);
    write(kind, name, spec);
  }
  /// Returns the spec of an object; null if there is none.
  json spec_of(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    return found == objects_[kind].end() ? json(nullptr) : found->second.at("spec");
  }

 private:
  struct change {
    std::uint64_t revision;
    std::string kind;
    json event;
  };
  json& write(const std::string& kind, const std::string& name, const json& spec) {
    auto& object = objects_[kind][name];
    if (!object.is_null() && object.at("spec") == spec) return object;
    ++revision_;
    const json made = object.is_null() ? json(revision_) : object["metadata"]["createRevision"];
    object = {{"metadata",
               {{"name", name},
                {"revision", revision_},
                {"createRevision", made},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    history_.push_back({revision_, kind, {{"object", object}, {"deleted", false}}});
    changed_.notify_all();
    return object;
  }
  static std::string parameter(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return {};
    const auto value = query.substr(at + name.size() + 1);
    return value.substr(0, value.find('&'));
  }
  bool serve(int fd, const message& request) {
    std::string body;
    const int status = handle(request, body);
    return send_all(fd, answer_text(status, body, "Content-Type: application/json\r\n"));
  }
  int handle(const message& request, std::string& body) {
    std::unique_lock lock(mutex_);
    if (down_) return 503;
    const auto space = request.first_line.find(' ');
    const std::string method = request.first_line.substr(0, space);
    std::string target =
        request.first_line.substr(space + 1, request.first_line.rfind(' ') - space - 1);
    std::string query;
    if (const auto mark = target.find('?'); mark != std::string::npos) {
      query = target.substr(mark + 1);
      target.resize(mark);
    }
    const std::string prefix = "/-/objects/";
    if (target.rfind(prefix, 0) != 0) return 404;
    std::string kind = target.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (method == "GET" && name.empty()) {
      if (const auto since = parameter(query, "watch"); !since.empty())
        return watch(lock, kind, std::stoull(since), parameter(query, "waitMs"), body);
      json items = json::array();
      for (const auto& [each, object] : objects) items.push_back(object);
      body = json{{"items", items}, {"hasMore", false}, {"at", revision_}}.dump();
      return 200;
    }
    if (method == "GET") {
      if (found == objects.end()) return 404;
      body = found->second.dump();
      return 200;
    }
    if (method == "POST") {
      const json sent = json::parse(request.body);
      const std::string created = sent.at("metadata").at("name");
      if (const auto old = objects.find(created); old != objects.end()) {
        body = old->second.dump();
        return 409;
      }
      body = write(kind, created, sent.at("spec")).dump();
      return 201;
    }
    if (found == objects.end()) return 404;
    json sent = request.body.empty() ? json::object() : json::parse(request.body);
    const auto wanted = parameter(query, "revision");
    json condition = wanted.empty() ? json(nullptr) : json(std::stoull(wanted));
    if (sent.contains("metadata") && sent["metadata"].contains("revision"))
      condition = sent["metadata"]["revision"];
    if (!condition.is_null() && condition != found->second["metadata"]["revision"]) {
      body = found->second.dump();
      return 409;
    }
    if (method == "PUT") {
      body = write(kind, name, sent.at("spec")).dump();
      return 200;
    }
    ++revision_;
    json gone = found->second;
    gone["metadata"]["revision"] = revision_;
    history_.push_back({revision_, kind, {{"object", gone}, {"deleted", true}}});
    objects.erase(found);
    changed_.notify_all();
    body = gone.dump();
    return 200;
  }
  int watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t since,
            const std::string& wait, std::string& body) {
    const auto until = clock::now() + ms(wait.empty() ? 0 : std::stoll(wait));
    for (;;) {
      json events = json::array();
      for (const change& each : history_)
        if (each.revision > since && each.kind == kind) events.push_back(each.event);
      if (down_) return 503;
      if (!events.empty() || clock::now() >= until) {
        body = json{{"events", events}, {"at", revision_}}.dump();
        return 200;
      }
      changed_.wait_until(lock, until);
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> down_{false};
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, json>> objects_;
  std::vector<change> history_;
  server server_;
};

/// A target: runs requests and counts them by id, and sends heartbeats to the agent beside it.
class target {
 public:
  struct run {
    std::string id;
    std::string line;
    clock::time_point at;
  };
  struct settings {
    std::string ip;
    std::string service;
    std::string id;
    std::size_t answer_bytes = 500;
    ms work{20};
    int slots = 12;
  };
  target(record& log, settings how)
      : log_(log),
        how_(std::move(how)),
        born_(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        server_(how_.ip, 0, [this](int fd, const message& request) { return serve(fd, request); }) {
  }
  [[nodiscard]] int port() const { return server_.port(); }
  [[nodiscard]] std::string address() const { return how_.ip + ":" + std::to_string(port()); }
  [[nodiscard]] const settings& how() const { return how_; }
  /// Returns the requests that were run so far.
  std::vector<run> runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  /// Sends heartbeats to `ip`:`port` every 870 ms until `leave`.
  void start_heartbeats(std::string ip, int port) {
    std::thread([this, ip, port] {
      while (!left_) {
        call_agent(ip, port, "PUT",
                   json{{"service", how_.service},
                        {"address", address()},
                        {"zone", "z1"},
                        {"version", "v1"},
                        {"capacity", how_.slots},
                        {"state", "ready"},
                        {"warmupLeft", "0ms"},
                        {"sequence", ++sequence_},
                        {"born", born_}}
                       .dump());
        for (int i = 0; i < 87 && !left_; ++i) pause_for(ms{10});
      }
    }).detach();
  }
  /// Sends no more heartbeats, and `DELETE /-/instances/ID`; serves on. Returns when the agent has
  /// acknowledged it, or nothing.
  std::optional<clock::time_point> leave(const std::string& ip, int port) {
    left_ = true;
    pause_for(ms{50});
    if (call_agent(ip, port, "DELETE", {}) != 200) return std::nullopt;
    return clock::now();
  }

 private:
  /// Returns the status; 0 without an answer within a second.
  int call_agent(const std::string& ip, int port, const std::string& method,
                 const std::string& body) {
    const int fd = connect_to(ip, port);
    if (fd < 0) return 0;
    send_all(fd, method + " /-/instances/" + how_.id + " HTTP/1.1\r\nHost: agent\r\n" +
                     "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    reader in(fd);
    message answer;
    const bool answered = in.read(answer, clock::now() + ms{1'000});
    ::close(fd);
    return answered ? answer.status() : 0;
  }
  bool serve(int fd, const message& request) {
    const std::string own_id = "X-Instance-Id: " + how_.id + "\r\n";
    if (request.first_line.rfind("GET /healthz ", 0) == 0)
      return send_all(fd, answer_text(200, "", own_id));
    const std::string id = request.header("x-request-id");
    const std::string expected = request.header("x-expected-instance");
    if (!expected.empty() && expected != how_.id)
      return send_all(fd, answer_text(421, "", own_id + "X-Request-Id: " + id + "\r\n"));
    if (id.empty()) return send_all(fd, answer_text(400, "", "X-Not-Executed: 1\r\n"));
    {
      std::lock_guard lock(mutex_);
      runs_.push_back({id, request.first_line, clock::now()});
    }
    log_.line("target %s runs id=%s \"%s\" X-Caller-Service=%s", how_.id.c_str(), id.c_str(),
              request.first_line.c_str(), request.header("x-caller-service").c_str());
    pause_for(how_.work);
    const std::string body(how_.answer_bytes, static_cast<char>('a' + runs_.size() % 26));
    return send_all(fd, answer_text(200, body,
                                    "X-Request-Id: " + id + "\r\nX-Response-Signature: sig." + id +
                                        "\r\nX-Server-Load: 1,0," + std::to_string(how_.slots) +
                                        "\r\nKeep-Alive: timeout=10\r\n"));
  }

  record& log_;
  settings how_;
  std::int64_t born_;
  std::atomic<bool> left_{false};
  int sequence_ = 0;
  std::mutex mutex_;
  std::vector<run> runs_;
  server server_;
};

/// The ports of an agent; those of peers are the same on all machines.
struct agent_ports {
  int callers = 0;
  int readiness = 0;
  int heartbeats = 0;
  int peer = 0;
  int metrics = 0;
};

/// An agent under test: `target/masticshunt fleet-agent`, as the deploy file runs it, with settings
/// like those that its template gives.
class agent {
 public:
  agent(record& log, std::string folder, std::string name, std::string ip, agent_ports ports,
        const target& beside, const std::string& store_address, long memory_mb)
      : log_(log),
        folder_(std::move(folder)),
        name_(std::move(name)),
        ip_(std::move(ip)),
        ports_(ports),
        upstream_(beside.address()),
        service_(beside.how().service),
        store_(store_address),
        memory_mb_(memory_mb) {}
  ~agent() { kill_now(); }

  [[nodiscard]] const std::string& ip() const { return ip_; }
  [[nodiscard]] const agent_ports& ports() const { return ports_; }

  void start(bool first_start) {
    const std::string path = folder_ + "/" + name_ + ".ini";
    std::ofstream out(path);
    const auto at = [this](int port) { return ip_ + ":" + std::to_string(port); };
    out << "[agent]\nname = " << name_ << "\nip = " << ip_ << "\nzone = z1\nregion = r1\n"
        << "first_start = " << (first_start ? "true" : "false")
        << "\n\n[listen]\ncallers = " << at(ports_.callers)
        << "\nreadiness = " << at(ports_.readiness) << "\nupstream = " << at(ports_.heartbeats)
        << "\npeer_port = " << ports_.peer << "\nmetrics_port = " << ports_.metrics
        << "\n\n[upstream]\naddress = " << upstream_ << "\nservice = " << service_
        << "\nheartbeat = 870ms\ngrants = call\n\n[store]\naddress = " << store_
        << "\n\n[link]\nbandwidth = 1000.0\n\n[limits]\nmemory = " << memory_mb_ << "\n"
        << "descriptors = 4100\n\n[bounds]\ndrain = 2000ms\ngrace = 6s\nconfig = 2000ms\n"
        << "evacuate =\nhold_max = 10000ms\nrepeat_ratio = 0.2\nrepeat_window = 10s\n"
        << "repeat_slack = 60\n";
    out.close();
    const std::string log_path = folder_ + "/" + name_ + ".log";
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no agent outlives the case
      const int to = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(to, 1);
      ::dup2(to, 2);
      ::setenv("MASTICSHUNT_CONFIG", path.c_str(), 1);
      ::execl("target/masticshunt", "target/masticshunt", "fleet-agent", nullptr);
      ::_exit(127);
    }
    log_.line("agent %s started", name_.c_str());
  }
  [[nodiscard]] pid_t pid() const { return process_; }
  void send_signal(int signal) {
    log_.line("agent %s gets signal %d", name_.c_str(), signal);
    ::kill(process_, signal);
  }
  /// Waits for the process to end.
  bool ended_within(ms span) {
    const auto until = clock::now() + span;
    while (process_ > 0 && clock::now() < until) {
      int status = 0;
      if (::waitpid(process_, &status, WNOHANG) == process_) {
        log_.line("agent %s ended, status %d", name_.c_str(), status);
        process_ = -1;
        return true;
      }
      pause_for(ms{5});
    }
    return process_ <= 0;
  }
  void kill_now() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = -1;
  }
  /// Copies what the agent has written to the record.
  void copy_log() {
    std::ifstream in(folder_ + "/" + name_ + ".log");
    for (std::string text; std::getline(in, text);) log_.line("%s", text.c_str());
  }
  /// Waits until the readiness endpoint answers 200.
  bool ready_within(ms span) {
    const auto until = clock::now() + span;
    while (clock::now() < until) {
      const int fd = connect_to(ip_, ports_.readiness);
      if (fd >= 0) {
        send_all(fd, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        reader in(fd);
        message answer;
        const bool ready = in.read(answer, clock::now() + ms{500}) && answer.status() == 200;
        ::close(fd);
        if (ready) return true;
      }
      pause_for(ms{50});
    }
    return false;
  }

 private:
  record& log_;
  std::string folder_;
  std::string name_;
  std::string ip_;
  agent_ports ports_;
  std::string upstream_;
  std::string service_;
  std::string store_;
  long memory_mb_;
  pid_t process_ = -1;
};

/// A small deployment: a store, and machines with an agent and a target each.
class deployment {
 public:
  deployment(record& log, std::string folder, long memory_mb = 260)
      : log_(log), folder_(std::move(folder)), memory_mb_(memory_mb) {
    ::signal(SIGPIPE, SIG_IGN);
    constexpr int ports_of_agent = 5;
    constexpr int machines_max = 8;
    const int base = free_ports(ports_of_agent, machines_max);
    if (base == 0) cannot_run(log_, "no free ports");
    ports_ = {base, base + 1, base + 2, base + 3, base + 4};
  }
  store& platform() { return store_; }
  agent& agent_at(std::size_t i) { return *agents_.at(i); }
  target& target_at(std::size_t i) { return *targets_.at(i); }
  [[nodiscard]] const agent_ports& ports() const { return ports_; }

  void add_machine(target::settings how) {
    const std::string ip = network() + std::to_string(agents_.size() + 1);
    how.ip = ip;
    how.id = "i-" + std::to_string(agents_.size() + 1);
    targets_.push_back(std::make_unique<target>(log_, how));
    agents_.push_back(std::make_unique<agent>(
        log_, folder_, "sidecar-" + std::to_string(agents_.size() + 1), ip, ports_,
        *targets_.back(), network() + "100:" + std::to_string(store_.port()), memory_mb_));
  }
  /// Writes the desired state, with one route to each service, and starts all machines.
  void start(const json& routes, const std::set<std::string>& services) {
    json named = json::object();
    for (const auto& each : services)
      named[each] = {
          {"healthPath", "/healthz"}, {"maxConnections", 120}, {"protocol", "h1"}, {"tls", false}};
    store_.put("config", "main",
               {{"version", "00000007"},
                {"routes", routes},
                {"services", named},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 67108864},
                  {"headerTimeout", "3000ms"},
                  {"idleTimeout", "15000ms"}}}});
    for (auto& each : agents_) each->start(true);
    for (std::size_t i = 0; i < agents_.size(); ++i)
      targets_[i]->start_heartbeats(agents_[i]->ip(), ports_.heartbeats);
    for (auto& each : agents_)
      if (!each->ready_within(ms{10'000})) {
        for (const auto& agent : agents_) agent->copy_log();
        cannot_run(log_, "an agent does not become ready");
      }
    pause_for(ms{4'000});  // all are in touch, and know one another
  }

 private:
  record& log_;
  std::string folder_;
  long memory_mb_;
  agent_ports ports_;
  store store_{network() + "100"};
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<agent>> agents_;
};

inline json route(const std::string& service, const std::string& kind, const std::string& timeout) {
  return {{"host", "h.example"}, {"pathPrefix", "/" + service + "/"},
          {"kind", kind},        {"timeout", timeout},
          {"aim", "400ms"},      {"priority", 0},
          {"service", service},  {"maxAttempts", 2}};
}

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms,
                                const std::string& more_headers = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
         "\r\nX-Request-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more_headers +
         "\r\n";
}

/// Returns true unless the run is to leave out the disruption.
inline bool with_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace lab
