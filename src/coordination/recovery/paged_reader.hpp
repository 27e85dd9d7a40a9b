/// Reads all records under a prefix, page by page.
#pragma once

#include <functional>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Reads the key-value store's pages one after the other and repeats what has failed until it is
/// answered. Several reads may be under way at a time. Ends them all when it is destroyed.
class PagedReader {
 public:
  /// One page that has been read.
  struct Page {
    storage::ListReply reply;
    Seconds requested_at = 0;  ///< when the call was sent that was answered
  };
  using OnPage = std::function<void(Page&)>;
  using OnComplete = std::function<void()>;

  PagedReader(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings);

  /// Ends all reads; neither of their callbacks is called any more.
  void cancel() { scope_.restart(); }

  /// Calls `on_page` for each page in the order of the keys, and then `on_complete`.
  void read(const std::string& prefix, OnPage on_page, OnComplete on_complete);

 private:
  struct Read {
    std::string prefix;
    OnPage on_page;
    OnComplete on_complete;
  };

  void request_page(const Read& read, const std::string& after);
  void page_answered(const Read& read, const std::string& after, Page page);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  transport::CallbackScope scope_;
};

}  // namespace larkroad::coordination
