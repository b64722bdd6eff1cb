#include "masticshunt/bench/report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace masticshunt::bench {

namespace {

constexpr double plot_width = 640;
constexpr double plot_height = 320;
constexpr double plot_margin = 60;
constexpr std::array<std::string_view, 6> line_colours = {"#1b6ca8", "#c0392b", "#2e8b57",
                                                          "#8e44ad", "#d35400", "#555555"};

double milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

struct plot_area {
  double largest_x = 1e-9;
  double largest_y = 1e-9;

  [[nodiscard]] double x(double value) const {
    return plot_margin + value / largest_x * (plot_width - 2 * plot_margin);
  }
  [[nodiscard]] double y(double value) const {
    return plot_height - plot_margin - value / largest_y * (plot_height - 2 * plot_margin);
  }
};

plot_area area_of(const std::vector<plot_line>& lines) {
  plot_area area;
  for (const auto& line : lines) {
    for (const auto& [x, y] : line.points) {
      area.largest_x = std::max(area.largest_x, x);
      area.largest_y = std::max(area.largest_y, y);
    }
  }
  return area;
}

std::string draw_line(const plot_area& area, const plot_line& line, std::size_t index) {
  const auto colour = line_colours[index % line_colours.size()];
  std::string points;
  for (const auto& [x, y] : line.points) {
    points += fmt::format("{:.1f},{:.1f} ", area.x(x), area.y(y));
  }
  return fmt::format(
      "<polyline fill='none' stroke='{0}' stroke-width='1.5' points='{1}'/>\n"
      "<text x='{2}' y='{3}' fill='{0}' font-size='11'>{4}</text>\n",
      colour, points, plot_width - plot_margin + 4, plot_margin + 14.0 * static_cast<double>(index),
      line.name);
}

std::string draw_axes(const plot_area& area, const std::string& x_label,
                      const std::string& y_label) {
  const double bottom = plot_height - plot_margin;
  return fmt::format(
      "<path d='M{0},{0} V{1} H{2}' fill='none' stroke='black'/>\n"
      "<text x='{0}' y='{3}' font-size='11'>0</text>\n"
      "<text x='{4}' y='{3}' font-size='11' text-anchor='end'>{5:.4g} {6}</text>\n"
      "<text x='4' y='{7}' font-size='11'>{8:.4g} {9}</text>\n",
      plot_margin, bottom, plot_width - plot_margin, bottom + 16, plot_width - plot_margin,
      area.largest_x, x_label, plot_margin - 6, area.largest_y, y_label);
}

std::string bound_of(const figure& each) {
  if (each.at_most) return fmt::format("<= {:.6g}", *each.at_most);
  if (each.at_least) return fmt::format(">= {:.6g}", *each.at_least);
  return "-";
}

std::string verdict_of(const figure& each) {
  if (!each.at_most && !each.at_least) return "";
  return each.met() ? "met" : "MISSED";
}

}  // namespace

std::string to_table(const load_result& result) {
  std::string text =
      fmt::format("{:<22}{:>9}{:>10}{:>10}{:>10}{:>9}{:>9}{:>9}{:>7}{:>7}{:>7}{:>8}\n", "label",
                  "offered", "served/s", "p50 ms", "p99 ms", "not-run", "may-run", "failed", "cut",
                  "late", "unrch", "repeats");
  for (const auto& label : result.labels) {
    text += fmt::format(
        "{:<22}{:>9}{:>10.1f}{:>10.2f}{:>10.2f}{:>9}{:>9}{:>9}{:>7}{:>7}{:>7}{:>8}\n", label.label,
        label.offered, result.goodput(label.label), milliseconds(label.latency.quantile(0.5)),
        milliseconds(label.latency.quantile(0.99)), label.count(attempt_outcome::not_run),
        label.count(attempt_outcome::may_have_run), label.count(attempt_outcome::failed),
        label.count(attempt_outcome::truncated), label.count(attempt_outcome::timed_out),
        label.count(attempt_outcome::unreachable), label.retries);
  }
  return text;
}

std::string to_reasons(const load_result& result) {
  std::map<std::string, std::uint64_t> counts;
  for (const auto& request : result.log) {
    for (const auto& attempt : request.attempts) {
      if (attempt.outcome == attempt_outcome::served) continue;
      ++counts[fmt::format("{} {} {}", to_string(attempt.outcome), attempt.status, attempt.reason)];
    }
  }
  std::vector<std::pair<std::string, std::uint64_t>> sorted(counts.begin(), counts.end());
  std::ranges::stable_sort(sorted, std::greater{}, [](const auto& each) { return each.second; });
  std::string text;
  for (const auto& [description, count] : sorted)
    text += fmt::format("  {:>8} x {}\n", count, description);
  return text;
}

std::string csv_header() {
  return "scenario,label,offered,served_per_s,p50_ms,p99_ms,p999_ms,not_run,may_have_run,failed,"
         "cut,timed_out,unreachable,broken_promise,repeats\n";
}

std::string to_csv(const std::string& scenario, const load_result& result) {
  std::string text;
  for (const auto& label : result.labels) {
    text += fmt::format(
        "{},{},{},{:.2f},{:.3f},{:.3f},{:.3f},{},{},{},{},{},{},{},{}\n", scenario, label.label,
        label.offered, result.goodput(label.label), milliseconds(label.latency.quantile(0.5)),
        milliseconds(label.latency.quantile(0.99)), milliseconds(label.latency.quantile(0.999)),
        label.count(attempt_outcome::not_run), label.count(attempt_outcome::may_have_run),
        label.count(attempt_outcome::failed), label.count(attempt_outcome::truncated),
        label.count(attempt_outcome::timed_out), label.count(attempt_outcome::unreachable),
        label.count(attempt_outcome::invalid_answer), label.retries);
  }
  return text;
}

std::vector<plot_line> goodput_lines(const load_result& result) {
  const double interval_seconds = std::chrono::duration<double>(result_interval).count();
  std::vector<plot_line> lines;
  for (const auto& label : result.labels) {
    plot_line line{label.label, {}};
    for (std::size_t interval = 0; interval < label.served_per_interval.size(); ++interval) {
      line.points.emplace_back(
          static_cast<double>(interval) * interval_seconds,
          static_cast<double>(label.served_per_interval[interval]) / interval_seconds);
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string to_svg(const std::string& title, const std::string& x_label, const std::string& y_label,
                   const std::vector<plot_line>& lines) {
  const plot_area area = area_of(lines);
  std::string text = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' font-family='sans-serif'>\n"
      "<rect width='100%' height='100%' fill='white'/>\n"
      "<text x='{}' y='24' font-size='14'>{}</text>\n",
      plot_width + 80, plot_height, plot_margin, title);
  text += draw_axes(area, x_label, y_label);
  for (std::size_t index = 0; index < lines.size(); ++index) {
    text += draw_line(area, lines[index], index);
  }
  return text + "</svg>\n";
}

bool figure::met() const {
  return (!at_most || value <= *at_most) && (!at_least || value >= *at_least);
}

std::string to_table(const std::vector<figure>& figures) {
  std::string text = fmt::format("{:<58}{:>12} {:<8}{:>12}  {}\n", "figure", "measured", "unit",
                                 "target", "verdict");
  for (const auto& each : figures) {
    text += fmt::format("{:<58}{:>12.6g} {:<8}{:>12}  {}\n", each.name, each.value, each.unit,
                        bound_of(each), verdict_of(each));
  }
  return text;
}

}  // namespace masticshunt::bench
