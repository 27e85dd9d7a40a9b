/// Binds callbacks to the lifetime of the activity that created them.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::transport {

/// Discards timer and reply callbacks of an activity that has ended, such as a leadership term.
///
/// An object that has timers or calls in progress keeps a scope as a member and passes its
/// callbacks through `wrap` or `after`. Once the scope is restarted or destroyed, callbacks wrapped
/// earlier do nothing, so they cannot modify the state of a later activity. Not thread-safe: must
/// be used on the event loop thread.
class CallbackScope {
 public:
  explicit CallbackScope(Clock& clock) : clock_(clock) {}

  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  /// Ends the current activity and starts the next one.
  void restart() { activity_ = std::make_shared<const Activity>(); }

  /// Returns a callable that forwards to `callback` until the current activity ends.
  template <typename Callback>
  auto wrap(Callback callback) const {
    return [activity = std::weak_ptr<const Activity>(activity_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!activity.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Runs `callback` after `delay`, unless the current activity ends first.
  void after(Seconds delay, std::function<void()> callback) {
    clock_.after(delay, wrap(std::move(callback)));
  }

  /// Returns a predicate that is true until the current activity ends.
  std::function<bool()> is_current() const {
    return [activity = std::weak_ptr<const Activity>(activity_)] { return !activity.expired(); };
  }

 private:
  struct Activity {};

  Clock& clock_;
  std::shared_ptr<const Activity> activity_ = std::make_shared<const Activity>();
};

}  // namespace larkroad::transport
