/// Ties callbacks to the activity that started them.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "transport/clock.hpp"

namespace larkroad::transport {

/// Drops timers and answers of an activity that has ended, such as a term of leadership.
///
/// Whatever owns timers or calls under way keeps a scope as a member and passes its callbacks
/// through `wrap` or `after`. Once the scope is restarted or destroyed, callbacks that were wrapped
/// before do nothing, so that they cannot touch the state of a later activity. Not thread-safe: to
/// be used on the one thread of the event loop.
class CallbackScope {
 public:
  explicit CallbackScope(Clock& clock) : clock_(clock) {}

  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  /// Ends the present activity and begins the next one.
  void restart() { activity_ = std::make_shared<const Activity>(); }

  /// Returns a callable that forwards to `callback` while the present activity goes on.
  template <typename Callback>
  auto wrap(Callback callback) const {
    return [activity = std::weak_ptr<const Activity>(activity_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!activity.expired()) callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Runs `callback` after `delay`, unless the present activity ends before.
  void after(Seconds delay, std::function<void()> callback) {
    clock_.after(delay, wrap(std::move(callback)));
  }

  /// Returns a predicate that holds while the present activity goes on.
  std::function<bool()> is_current() const {
    return [activity = std::weak_ptr<const Activity>(activity_)] { return !activity.expired(); };
  }

 private:
  struct Activity {};

  Clock& clock_;
  std::shared_ptr<const Activity> activity_ = std::make_shared<const Activity>();
};

}  // namespace larkroad::transport
