/// Requests to the key-value store that wait until the rate limits allow them.
#pragma once

#include <deque>
#include <functional>
#include <map>

#include "storage/rate_limiter.hpp"
#include "storage/store_messages.hpp"
#include "transport/callback_scope.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

/// A request to the key-value store and what becomes of its answer.
struct StoreRequest {
  transport::Request request;
  Seconds timeout = 0;
  double writes = 0;  ///< writes and deletes in it, which the store limits
  std::function<void(Status, transport::Response)> done;
};

/// Sends requests in the order of their priorities, first come first served within each.
///
/// Lease renewals and watches never wait. Requests that would wait too long are refused as
/// `unavailable`, so that their callers can react to the overload. Not thread-safe.
class RequestQueue {
 public:
  using Send = std::function<void(StoreRequest)>;

  RequestQueue(transport::Clock& clock, RateLimiter& limiter, Send send);

  /// Sends the request, now or later. `done` is called in every case, and never from in here
  /// unless `send` does so.
  void submit(StoreRequest request, RequestPriority priority);

 private:
  // Requests that write wait apart, so that reads need not wait for the write limit.
  struct Class {
    RequestPriority priority;
    bool writes;
    // clang-tidy 14 takes the compared zero for a null pointer and for a boolean.
    // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
    friend auto operator<=>(const Class&, const Class&) = default;
  };
  struct Waiting {
    StoreRequest request;
    Seconds queued_at;
  };
  // What ran out in one pass over the queues: a class that comes later does not get what an
  // earlier one waits for.
  struct Shortage {
    bool requests = false;
    bool writes = false;
  };

  bool is_full(size_t length) const;
  void send_allowed();
  void send_allowed_of(const Class& request_class, std::deque<Waiting>& queue, Shortage& shortage);
  bool may_send(const StoreRequest& request, Shortage& shortage) const;
  void send_first(std::deque<Waiting>& queue);
  void refuse(StoreRequest request);
  void schedule_next_pass();

  transport::Clock& clock_;
  RateLimiter& limiter_;
  Send send_;
  std::map<Class, std::deque<Waiting>> waiting_;  // in the order in which they are served
  bool pass_scheduled_ = false;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::storage
