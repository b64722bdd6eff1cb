/// @file
/// Tables (Markdown blocks in the documents, CSV files) and plots (SVG) of the measurements.
#pragma once

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace masticshunt::capacity {

/// Returns `value` with three significant digits (at most six decimals) below 100, and as an
/// integer with thousands separators from there on.
inline std::string format_number(double value) {
  if (std::isnan(value)) return "not measured";
  std::ostringstream out;
  const double size = std::abs(value);
  if (size != 0 && size < 100) {
    const int digits = std::max(0, 2 - static_cast<int>(std::floor(std::log10(size))));
    out << std::fixed;
    out.precision(std::min(digits, 6));
    out << value;
    return out.str();
  }
  auto text = std::to_string(std::llround(value));
  for (int at = static_cast<int>(text.size()) - 3; at > (value < 0 ? 1 : 0); at -= 3) {
    text.insert(static_cast<std::size_t>(at), ",");
  }
  return text;
}

/// A table of text cells.
struct table {
  std::string name;  ///< Name of the block in the documents and of the CSV file.
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/// A named series of a plot.
struct series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

/// Writes the tables and plots of one run.
class report {
 public:
  report(std::filesystem::path documents, std::string command)
      : documents_(std::move(documents)), command_(std::move(command)) {}

  /// Writes the table as CSV, and replaces the block of that name in every document that has one.
  void write(const table& data) const {
    std::ofstream csv(documents_ / "capacity" / (data.name + ".csv"));
    write_row(csv, data.columns);
    for (const auto& row : data.rows) write_row(csv, row);
    const auto text = markdown(data);
    std::cout << "\n" << data.name << "\n" << text << std::flush;
    for (const char* page : {"CAPACITY.md", "design/placement.md", "design/spread.md"}) {
      replace_block(documents_ / page, data.name, text);
    }
  }

  /// Writes a plot with a logarithmic x axis.
  void plot(const std::string& name, const std::string& title, const std::string& x_label,
            const std::string& y_label, const std::vector<series>& lines) const {
    std::ofstream out(documents_ / "capacity" / (name + ".svg"));
    out << svg(title, x_label, y_label, lines);
  }

 private:
  static void write_row(std::ostream& out, const std::vector<std::string>& row) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      out << (index == 0 ? "\"" : ",\"") << row[index] << "\"";
    }
    out << "\n";
  }

  [[nodiscard]] std::string markdown(const table& data) const {
    std::ostringstream out;
    const auto line = [&](const std::vector<std::string>& row) {
      out << "|";
      for (const auto& cell : row) out << " " << cell << " |";
      out << "\n";
    };
    line(data.columns);
    line(std::vector<std::string>(data.columns.size(), "---"));
    for (const auto& row : data.rows) line(row);
    out << "\nFrom `" << command_ << "`; data: `docs/capacity/" << data.name << ".csv`.\n";
    return out.str();
  }

  static void replace_block(const std::filesystem::path& page, const std::string& name,
                            const std::string& text) {
    std::ifstream in(page);
    std::string content{std::istreambuf_iterator<char>(in), {}};
    const std::string begin = "<!-- begin: " + name + " -->\n";
    const std::string end = "<!-- end: " + name + " -->";
    const auto first = content.find(begin);
    const auto last = content.find(end, first);
    if (first == std::string::npos || last == std::string::npos) return;
    const auto start = first + begin.size();
    content.replace(start, last - start, text);
    std::ofstream(page) << content;
  }

  static std::string svg(const std::string& title, const std::string& x_label,
                         const std::string& y_label, const std::vector<series>& lines) {
    constexpr double width = 640;
    constexpr double height = 360;
    constexpr double margin = 60;
    constexpr const char* colours[] = {"#1f6f8b", "#c8553d", "#588157", "#6d597a"};
    double x_min = 1e300;
    double x_max = 0;
    double y_max = 0;
    for (const auto& line : lines) {
      for (const auto& [x, y] : line.points) {
        x_min = std::min(x_min, x);
        x_max = std::max(x_max, x);
        y_max = std::max(y_max, y);
      }
    }
    const auto x_at = [&](double x) {
      const double span = std::max(std::log(x_max / x_min), 1e-9);
      return margin + std::log(x / x_min) / span * (width - 2 * margin);
    };
    const auto y_at = [&](double y) {
      return height - margin - y / std::max(y_max, 1e-9) * (height - 2 * margin);
    };
    std::ostringstream out;
    const auto text = [&](double x, double y, const std::string& label,
                          const char* colour = "#333") {
      out << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"12\" font-family=\"sans-serif\""
          << " text-anchor=\"middle\" fill=\"" << colour << "\">" << label << "</text>\n";
    };
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << width << " " << height
        << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<path d=\"M" << margin << " " << margin << " V" << height - margin << " H"
        << width - margin << "\" stroke=\"#333\" fill=\"none\"/>\n";
    text(width / 2, 24, title);
    text(width / 2, height - 12, x_label);
    text(margin, margin - 12, y_label);
    text(margin - 28, y_at(y_max) + 4, format_number(y_max));
    text(margin - 28, y_at(0) + 4, "0");
    std::size_t index = 0;
    for (const auto& line : lines) {
      const auto* colour = colours[index % 4];
      out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
      for (const auto& [x, y] : line.points) out << x_at(x) << "," << y_at(y) << " ";
      out << "\"/>\n";
      for (const auto& [x, y] : line.points) {
        out << "<circle r=\"3\" fill=\"" << colour << "\" cx=\"" << x_at(x) << "\" cy=\"" << y_at(y)
            << "\"/>\n";
        if (index == 0) text(x_at(x), height - margin + 16, format_number(x));
      }
      text(width - margin - 70, margin + 16.0 * static_cast<double>(index), line.name, colour);
      ++index;
    }
    out << "</svg>\n";
    return out.str();
  }

  std::filesystem::path documents_;
  std::string command_;
};

}  // namespace masticshunt::capacity
