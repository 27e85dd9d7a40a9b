/// Reads all records under a key prefix, page by page.
#pragma once

#include <functional>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Requests pages of the key-value store one after another and retries failed requests until they
/// succeed. Several reads may be in progress at a time. The destructor cancels all of them.
class PagedReader {
 public:
  /// One page of entries.
  struct Page {
    storage::ListReply reply;
    Seconds requested_at = 0;  ///< when the successful request was sent
  };
  using OnPage = std::function<void(Page&)>;
  using OnComplete = std::function<void()>;

  PagedReader(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings);

  /// Cancels all reads; their callbacks are not called any more.
  void cancel() { scope_.restart(); }

  /// Calls `on_page` for each page in key order, then `on_complete`.
  void read(const std::string& prefix, OnPage on_page, OnComplete on_complete);

 private:
  struct Read {
    std::string prefix;
    OnPage on_page;
    OnComplete on_complete;
  };

  void request_page(const Read& read, const std::string& after_key);
  void handle_page_reply(const Read& read, const std::string& after_key, Page page);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::coordination
