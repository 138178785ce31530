// An event loop on its own thread, for code that runs sequentially on another thread, such as the command
// line and the test clusters: it passes functions to the loop and waits for their results.
#pragma once

#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>

#include "net/event_loop.h"

namespace pearchute::net {

class EventLoopThread {
 public:
  // Throws as Loop does.
  EventLoopThread() : thread_([this] { run(); }) {
    try {
      loop_ = ready_.get_future().get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }
  ~EventLoopThread() {
    on([this] { loop_->stop(); });
    thread_.join();
  }
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  Loop& loop() { return *loop_; }
  // Runs `function` on the loop's thread, and returns its result or throws its exception. Must not be called
  // on the loop's thread.
  template <class Function>
  auto on(Function function) -> std::invoke_result_t<Function> {
    using Result = std::invoke_result_t<Function>;
    std::promise<Result> promise;
    auto future = promise.get_future();
    post([&] {
      try {
        if constexpr (std::is_void_v<Result>) function(), promise.set_value();
        else promise.set_value(function());
      } catch (...) {
        promise.set_exception(std::current_exception());
      }
    });
    return future.get();
  }

  // Runs `function` on the loop's thread within about a millisecond; doesn't wait for it.
  void post(std::function<void()> function) {
    const std::lock_guard lock(mutex_);
    // on() waits until its function has run, so what that captures outlives it.
    // cppcheck-suppress danglingLifetime
    posted_.push_back(std::move(function));
  }

 private:
  void run() {
    std::unique_ptr<Loop> loop;
    try {
      loop = std::make_unique<Loop>();
    } catch (...) {
      return ready_.set_exception(std::current_exception());
    }
    run(*loop);
  }
  void run(Loop& loop) {
    const std::function<void()> run_posted = [&] {
      std::deque<std::function<void()>> due;
      {
        const std::lock_guard lock(mutex_);
        due.swap(posted_);
      }
      for (const auto& function : due) function(), loop.settle();
      loop.at(loop.now() + std::chrono::milliseconds(1), run_posted);
    };
    loop.at(loop.now(), run_posted);
    ready_.set_value(&loop);
    loop.run();
  }

  std::mutex mutex_;
  std::deque<std::function<void()>> posted_;
  std::promise<Loop*> ready_;
  Loop* loop_ = nullptr;
  std::thread thread_;  // the last member, so that all others are initialized before it starts
};

}  // namespace pearchute::net
