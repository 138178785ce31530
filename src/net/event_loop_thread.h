// A loop on a thread of its own, and the way to it for whoever goes step by step on another thread (the
// command line, the scripts of stand-ins): what is to happen on the loop is handed over and waited for.
#pragma once

#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>

#include "net/driver.h"

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
  template <class What>
  auto on(What what) -> std::invoke_result_t<What> {
    using Result = std::invoke_result_t<What>;
    std::promise<Result> promise;
    auto future = promise.get_future();
    post([&] {
      try {
        if constexpr (std::is_void_v<Result>) what(), promise.set_value();
        else promise.set_value(what());
      } catch (...) {
        promise.set_exception(std::current_exception());
      }
    });
    return future.get();
  }

  // Handed over, and not waited for.
  void post(std::function<void()> what) {
    const std::lock_guard lock(mutex_);
    // on() waits until its function has run, so what that captures outlives it.
    // cppcheck-suppress danglingLifetime
    posted_.push_back(std::move(what));
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
    const std::function<void()> look = [&] {
      std::deque<std::function<void()>> now;
      {
        const std::lock_guard lock(mutex_);
        now.swap(posted_);
      }
      for (const auto& what : now) what(), loop.settle();
      loop.at(loop.now() + std::chrono::milliseconds(1), look);
    };
    loop.at(loop.now(), look);
    ready_.set_value(&loop);
    loop.run();
  }

  std::mutex mutex_;
  std::deque<std::function<void()>> posted_;
  std::promise<Loop*> ready_;
  Loop* loop_ = nullptr;
  std::thread thread_;  // last, so that all else is there before it runs
};

}  // namespace pearchute::net
