#include "bench/internal/scripted_load.h"

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace masticshunt::bench {

load_result run_load(const load_settings& settings, const std::vector<timed_step>& script) {
  boost::asio::io_context context(1);
  load_generator load(context, settings);
  std::mutex mutex;
  std::condition_variable ended;
  bool done = false;
  const auto start = std::chrono::steady_clock::now();
  load.start([&] {
    const std::lock_guard lock(mutex);
    done = true;
    ended.notify_all();
  });
  std::thread runner([&] { context.run(); });
  for (const auto& step : script) {
    std::unique_lock lock(mutex);
    if (ended.wait_until(lock, start + step.at, [&] { return done; })) break;
    lock.unlock();
    step.action();
  }
  runner.join();
  return load.result();
}

}  // namespace masticshunt::bench
