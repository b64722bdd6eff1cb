/// @file
/// Results of loads as a table, as CSV and as a plot.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/bench/load_generator.h"

namespace masticshunt::bench {

/// Returns one row for each label: offered, served a second, latencies and outcomes.
std::string to_table(const load_result& result);

/// Returns one line for each outcome and reason of attempts that were not served, with its count,
/// the most frequent first.
std::string to_reasons(const load_result& result);

/// Returns the header line of `to_csv`.
std::string csv_header();

/// Returns one CSV line for each label; `scenario` is the first column.
std::string to_csv(const std::string& scenario, const load_result& result);

/// A named series of a plot.
struct plot_line {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

/// Returns the served requests a second over time, one line for each label.
std::vector<plot_line> goodput_lines(const load_result& result);

/// Returns an SVG picture of `lines` with axes from zero.
std::string to_svg(const std::string& title, const std::string& x_label, const std::string& y_label,
                   const std::vector<plot_line>& lines);

/// A measured figure with its target bound.
struct figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> at_most;
  std::optional<double> at_least;

  /// Returns true if the value is within its bounds.
  [[nodiscard]] bool met() const;
};

/// Returns one line for each figure: its value, its bound and whether the bound is met.
std::string to_table(const std::vector<figure>& figures);

}  // namespace masticshunt::bench
