#include "masticshunt/operator/explain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <set>

namespace masticshunt::operators {

namespace {

constexpr double state_event_window_s = 4;  // before the end; earlier events rarely matter
constexpr std::size_t state_events_max = 12;

/// The meaning of a refusal reason, and where to look next.
struct reason_explanation {
  std::string_view reason;
  std::string_view meaning;
};
constexpr std::array reason_explanations{
    reason_explanation{"overloaded",
                       "the gate could not start it in time: compare running with slots, and "
                       "check waiting; for keyed services see the leader's \"load\" lines"},
    reason_explanation{"shed",
                       "the upstream refused it although its gate had a free slot: the upstream is "
                       "faulty, or busy with requests from an earlier process of its agent"},
    reason_explanation{
        "owner_pending",
        "no agent could run its key at that moment. If right_ms is negative, the lease of the "
        "owner had expired because neither a leader nor the store responded to it. Otherwise the "
        "key was being moved: look for released and assigned lines with its key"},
    reason_explanation{
        "not_owner", "the claim map of the ingress agent was older than the last move of the key"},
    reason_explanation{"leaving", "the upstream or its agent was shutting down"},
    reason_explanation{
        "no_upstream",
        "no connection to the agent or its upstream: crashed, restarting or unreachable"},
    reason_explanation{"no route leads here", "the desired state in force has no route for it"},
};

void append(std::string& text, std::initializer_list<std::string_view> parts) {
  for (const auto part : parts) text.append(part);
}

std::string offset_text(const log_line& line, double from) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%+9.3f s  ", line.time - from);
  return text.data();
}

std::string_view text_before(std::string_view text, char separator) {
  return text.substr(0, text.find(separator));
}

/// Returns the agents in the trail of the request line.
std::vector<std::string> agents_tried(const log_line& ingress_line) {
  std::vector<std::string> result;
  std::string_view trail = ingress_line.value("trail");
  while (!trail.empty()) {
    const auto end = std::min(trail.find(';'), trail.size());
    result.emplace_back(text_before(trail.substr(0, end), ':'));
    trail.remove_prefix(std::min(end + 1, trail.size()));
  }
  return result;
}

std::string describe_outcome(const log_line& ingress_line) {
  const auto outcome = ingress_line.value("outcome");
  const auto why = ingress_line.value("why");
  std::string text;
  if (outcome == "answered") {
    append(text, {"An upstream answered it with ", ingress_line.value("status"), "."});
    if (ingress_line.value("status") >= "500")
      text +=
          " The upstream itself failed, possibly because of a call that it made: look for "
          "refused calls from its VM at that time.";
  } else if (outcome == "refused") {
    append(text, {"It was refused and has not run: ", why, "."});
  } else if (outcome == "failed") {
    append(text, {"It may have run: it reached ", ingress_line.value("reached"),
                  " upstream(s) and no complete response arrived (", why, ")."});
  } else if (outcome == "caller_left") {
    text += "Its caller disconnected before there was a response.";
  } else {
    append(text, {"It ended as ", outcome, ": ", why, "."});
  }
  const auto known = std::ranges::find(reason_explanations, why, &reason_explanation::reason);
  if (known != reason_explanations.end()) append(text, {"\n  That means: ", known->meaning, "."});
  return text + "\n";
}

std::string state_events(const std::set<std::string>& agents, const std::vector<log_line>& lines,
                         double until) {
  std::vector<const log_line*> found;
  for (const log_line& line : lines) {
    const bool request_line = !line.value("id").empty();
    const bool concerned = agents.contains(line.agent) || line.event == "leader";
    if (line.event == "log_held_back") continue;
    if (!request_line && concerned && line.time <= until &&
        line.time >= until - state_event_window_s)
      found.push_back(&line);
  }
  std::ranges::stable_sort(found, {}, &log_line::time);
  if (found.size() > state_events_max)
    found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(state_events_max));
  std::string text;
  for (const log_line* line : found)
    append(text, {offset_text(*line, until), line->agent, "  ", line->text, "\n"});
  return text;
}

std::string missing_lines(const log_line* ingress_line,
                          const std::vector<const log_line*>& request_lines,
                          const std::vector<log_line>& lines) {
  std::string text;
  const auto logged = [&](std::string_view agent) {
    return std::ranges::any_of(lines, [&](const log_line& each) { return each.agent == agent; });
  };
  if (ingress_line == nullptr)
    return "  No request line of the ingress agent: the log of the caller's VM is missing, or the "
           "line was suppressed; see log_held_back.\n";
  const auto agents = agents_tried(*ingress_line);
  for (const auto& agent : std::set<std::string>(agents.begin(), agents.end())) {
    const bool has_gate_line = std::ranges::any_of(request_lines, [&](const log_line* each) {
      return each->event == "gate" && each->agent == agent;
    });
    if (has_gate_line) continue;
    append(text, {"  No gate line of ", agent, ": ",
                  logged(agent) ? "it was never reached, or the line was suppressed."
                                : "its log is not among the files."});
    text += "\n";
  }
  return text;
}

}  // namespace

std::string_view log_line::value(std::string_view name) const {
  const auto found = values.find(name);
  return found == values.end() ? std::string_view{} : std::string_view(found->second);
}

std::optional<log_line> parse_log_line(std::string_view text) {
  const auto begin = text.find("time=");
  if (begin == std::string_view::npos) return std::nullopt;
  text.remove_prefix(begin);
  if (const auto event = text.find(" event="); event != std::string_view::npos) {
    log_line line{.text = std::string(text.substr(event + std::string_view(" event=").size()))};
    line.event = text_before(line.text, ' ');
    while (!text.empty()) {
      const auto equals = text.find('=');
      if (equals == std::string_view::npos) break;
      const auto blank = text.substr(0, equals).rfind(' ');
      const auto name = text.substr(blank == std::string_view::npos ? 0 : blank + 1,
                                    equals - (blank == std::string_view::npos ? 0 : blank + 1));
      text.remove_prefix(equals + 1);
      const bool quoted = text.starts_with('"');
      if (quoted) text.remove_prefix(1);
      const auto end = std::min(text.find(quoted ? '"' : ' '), text.size());
      line.values.emplace(name, text.substr(0, end));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    const auto time = line.value("time");
    const auto [rest, error] = std::from_chars(time.data(), time.data() + time.size(), line.time);
    if (error != std::errc{}) return std::nullopt;
    line.agent = line.value("agent");
    // Many events name a second agent; the first one is the writer of the line.
    return line;
  }
  return std::nullopt;
}

explanation explain_request(std::string_view id, const std::vector<log_line>& lines) {
  std::vector<const log_line*> request_lines;
  for (const log_line& each : lines)
    if (each.value("id") == id) request_lines.push_back(&each);
  explanation result{.found = !request_lines.empty()};
  if (!result.found) {
    append(result.text, {"No line names ", id,
                         ". It never reached an ingress agent whose log is given, or its lines "
                         "were suppressed; see log_held_back.\n"});
    return result;
  }
  std::ranges::stable_sort(request_lines, {}, &log_line::time);
  const auto found = std::ranges::find(request_lines, "request", &log_line::event);
  const log_line* ingress_line = found == request_lines.end() ? nullptr : *found;
  const double end = ingress_line != nullptr ? ingress_line->time : request_lines.back()->time;
  std::set<std::string> agents;
  append(result.text, {"Request ", id, ", times from its end:\n"});
  for (const log_line* line : request_lines) {
    agents.insert(line->agent);
    append(result.text, {offset_text(*line, end), line->agent, "  ", line->text, "\n"});
  }
  if (ingress_line != nullptr) {
    result.text += describe_outcome(*ingress_line);
    for (auto& agent : agents_tried(*ingress_line)) agents.insert(std::move(agent));
  }
  if (const auto events = state_events(agents, lines, end); !events.empty())
    append(result.text, {"Events of its agents and the leaders shortly before:\n", events});
  if (const auto missing = missing_lines(ingress_line, request_lines, lines); !missing.empty())
    append(result.text, {"Missing:\n", missing});
  return result;
}

}  // namespace masticshunt::operators
