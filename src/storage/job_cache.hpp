// What is recorded of the jobs that are not over, as of a moment that is known. Questions of users
// share one call for what has changed, however many jobs they are about.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "storage/key_value_client.hpp"

namespace larkroad::storage {

class JobCache {
 public:
  JobCache(transport::Clock& clock, KeyValueClient& store, const Settings& settings)
      : clock_(clock), store_(store), pause_(settings.heartbeat_interval_s / 200) {}

  // Calls back when the view holds all that was recorded by now; with another status than `ok` when
  // that cannot be had.
  void fresh(std::function<void(Status)> done);

  struct Seen {
    bool cancelled = false;
  };
  // nullptr: not among the jobs that are not over.
  const Seen* find(const std::string& id) const;

 private:
  void ask();
  void list(const std::string& after);
  void answer(Status status);
  void put(const std::string& key, const Json& data);

  transport::Clock& clock_;
  KeyValueClient& store_;
  Seconds pause_;
  std::unordered_map<std::string, Seen> jobs_;  // by key
  std::uint64_t revision_ = 0;                  // 0: must be read anew
  bool asking_ = false;
  std::vector<std::function<void(Status)>> waiting_;  // for the next call
  std::vector<std::function<void(Status)>> asked_;    // for the one under way
};

}  // namespace larkroad::storage
