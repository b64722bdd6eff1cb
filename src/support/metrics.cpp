#include "masticshunt/support/metrics.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace masticshunt::support {

namespace {

constexpr unsigned buckets_per_decade = 4;
constexpr unsigned decades = 6;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 1e2;

double seconds_of(duration span) {
  return std::chrono::duration<double>(span).count();
}

std::string number_text(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.9g", value);
  return text.data();
}

std::string escaped(const std::string& value) {
  std::string result;
  for (const char c : value) {
    if (c == '\\' || c == '"') result += '\\';
    result += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return result;
}

/// Returns the labels as printed between the braces of a sample.
std::string label_text(const std::vector<metric_label>& labels) {
  std::string result;
  for (const auto& each : labels) {
    result += (result.empty() ? "" : ",") + each.name + "=\"" + escaped(each.value) + "\"";
  }
  return result;
}

std::string braced(const std::string& labels) {
  return labels.empty() ? labels : "{" + labels + "}";
}

void print_sample(std::string& to, const std::string& name, const std::string& labels,
                  const std::string& value) {
  to += name + braced(labels) + " " + value + "\n";
}

void print_latency(std::string& to, const std::string& family, const std::string& labels,
                   const latency_metric& metric) {
  const auto bounds = metric.bounds();
  const auto counts = metric.cumulative();
  const std::string separator = labels.empty() ? "" : ",";
  for (std::size_t index = 0; index < bounds.size(); ++index) {
    print_sample(to, family + "_bucket",
                 labels + separator + "le=\"" + number_text(bounds[index]) + "\"",
                 std::to_string(counts[index]));
  }
  const auto total = std::to_string(counts.back());
  print_sample(to, family + "_bucket", labels + separator + "le=\"+Inf\"", total);
  print_sample(to, family + "_sum", labels, number_text(seconds_of(metric.sum())));
  print_sample(to, family + "_count", labels, total);
}

void print_header(std::string& to, const std::string& family, const std::string& help,
                  std::string_view type) {
  to += "# HELP " + family + " " + help + "\n# TYPE " + family + " " + std::string(type) + "\n";
}

}  // namespace

latency_metric::latency_metric()
    : buckets_(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<cell>{},
          axis(buckets_per_decade * decades, min_seconds, max_seconds))) {}

void latency_metric::record(duration latency) {
  buckets_(std::max(seconds_of(latency), min_seconds / 2));
  sum_.fetch_add(latency.count(), std::memory_order_relaxed);
}

std::uint64_t latency_metric::count() const {
  return cumulative().back();
}

std::vector<std::uint64_t> latency_metric::cumulative() const {
  auto cells = boost::histogram::indexed(buckets_, boost::histogram::coverage::all);
  std::vector<std::uint64_t> counts;
  for (const auto& each : cells) counts.push_back((*each).value());
  std::partial_sum(counts.begin(), counts.end(), counts.begin());
  return counts;
}

std::vector<double> latency_metric::bounds() const {
  const auto& buckets = buckets_.axis();
  std::vector<double> result{min_seconds};
  for (const auto& bin : buckets) result.push_back(bin.upper());
  return result;
}

counter& metrics_registry::make_counter(const metric_name& name) {
  const std::scoped_lock lock(mutex_);
  auto& members =
      counters_.try_emplace(name.family, family<std::unique_ptr<counter>>{name.help, {}})
          .first->second;
  auto& metric = members.by_labels[label_text(name.labels)];
  if (!metric) metric = std::make_unique<counter>();
  return *metric;
}

latency_metric& metrics_registry::make_latency(const metric_name& name) {
  const std::scoped_lock lock(mutex_);
  auto& members =
      latencies_.try_emplace(name.family, family<std::unique_ptr<latency_metric>>{name.help, {}})
          .first->second;
  auto& metric = members.by_labels[label_text(name.labels)];
  if (!metric) metric = std::make_unique<latency_metric>();
  return *metric;
}

void metrics_registry::make_gauge(const metric_name& name, std::function<double()> read) {
  const std::scoped_lock lock(mutex_);
  auto& members = gauges_.try_emplace(name.family, family<std::function<double()>>{name.help, {}})
                      .first->second;
  members.by_labels.insert_or_assign(label_text(name.labels), std::move(read));
}

std::string metrics_registry::text() const {
  const std::scoped_lock lock(mutex_);
  std::string result;
  for (const auto& [name, members] : counters_) {
    print_header(result, name, members.help, "counter");
    for (const auto& [labels, metric] : members.by_labels) {
      print_sample(result, name, labels, std::to_string(metric->value()));
    }
  }
  for (const auto& [name, members] : gauges_) {
    print_header(result, name, members.help, "gauge");
    for (const auto& [labels, read] : members.by_labels) {
      print_sample(result, name, labels, number_text(read()));
    }
  }
  for (const auto& [name, members] : latencies_) {
    print_header(result, name, members.help, "histogram");
    for (const auto& [labels, metric] : members.by_labels) {
      print_latency(result, name, labels, *metric);
    }
  }
  return result;
}

}  // namespace masticshunt::support
