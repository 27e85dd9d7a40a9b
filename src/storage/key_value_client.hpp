// Client of the state service: a small store with revisions, leases and watches. Keeps this node's
// part of the service's request limits and tells apart what was refused from what is in doubt.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "settings.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

using protocol::Json;
using transport::Seconds;

// Whose call goes first when the node's part of the limits does not serve all at once.
enum class RequestPriority {
  lease,       // renewals and watches: never wait
  user,        // somebody is waiting for the answer
  scheduling,  // placements and completions
  bulk,        // the same of work of low priority, of which there may be more than can be written
  background,  // what only saves time later
};

enum class Status {
  ok,
  missing,      // no such key or lease
  conflict,     // a guard failed
  no_lease,     // a write names an expired lease
  too_old,      // a watch from a revision no longer kept
  unavailable,  // not carried out: refused, limited, or never sent
  unknown,      // may have been carried out, or may yet be
  invalid,      // the service calls the request malformed or too large
};

struct Entry {
  std::string key;
  Json data;
  std::uint64_t revision = 0;
};

struct Precondition {
  std::string key;
  std::uint64_t revision = 0;  // 0: must not exist
};

struct Write {
  std::string key;
  Json data;
  std::optional<std::uint64_t> lease;
};

struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;
  size_t changes() const { return writes.size() + deletes.size(); }
  bool has_precondition_on(const std::string& key) const {
    return std::any_of(preconditions.begin(), preconditions.end(),
                       [&](const Precondition& g) { return g.key == key; });
  }
};

struct CommitReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
  bool failed_machines(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

struct ListReply {
  Status status = Status::unknown;
  std::vector<Entry> entries;
  bool more = false;
  std::uint64_t revision = 0;
};

struct Event {
  std::string key;
  bool deleted = false;
  Json data;
  std::uint64_t revision = 0;
};

struct WatchReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;
  std::vector<Event> events;
};

class KeyValueClient {
 public:
  KeyValueClient(transport::Clock& clock, transport::Client& client, const Settings& settings);

  // The parts of the service's limits this node may use, between 0 and 1.
  void set_share(double requests, double writes);

  void get(const std::string& key, std::function<void(Status, Entry)> done,
           RequestPriority priority = RequestPriority::scheduling);
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListReply)> done,
            RequestPriority priority = RequestPriority::scheduling);
  void commit(const Transaction& txn, std::function<void(CommitReply)> done,
              RequestPriority priority = RequestPriority::scheduling);
  // Commits until the outcome is certain: a transaction whose answer is lost is sent again as it
  // was, and a guard that then fails is told from the transaction's own effect by reading back its
  // first write. Gives up, with `unknown`, when `wanted` says no more.
  void commit_until_certain(Transaction txn, std::function<bool()> wanted,
                            std::function<void(CommitReply)> done,
                            RequestPriority priority = RequestPriority::scheduling);
  void grant(Seconds life, std::function<void(Status, std::uint64_t)> done);
  void extend(std::uint64_t lease, std::function<void(Status)> done);
  void release(std::uint64_t lease);
  void watch(const std::string& prefix, std::uint64_t since, Seconds block,
             std::function<void(WatchReply)> done,
             RequestPriority priority = RequestPriority::lease);

  // How long calls have failed without a break; 0 when the latest one was answered.
  Seconds failing_for() const;
  // False while calls have gone unanswered for longer than one may take, but for a probe now and
  // then: a caller with a user waiting then answers at once that the service cannot be asked.
  bool worth_trying();
  bool answered_ever() const { return answered_ever_; }
  Seconds call_timeout() const { return timeout_; }

 private:
  struct Call {
    transport::Request request;
    Seconds timeout;
    double changes;
    Seconds queued_at;
    std::function<void(Status, transport::Response)> done;
  };
  void submit(transport::Request request, Seconds timeout, double changes, RequestPriority priority,
              std::function<void(Status, transport::Response)> done);
  void send(Call call);
  void pump();
  void refill();
  void lower_limits();
  void note(bool answered);
  void try_commit_until_certain(std::shared_ptr<struct CertainCommit> job);

  transport::Clock& clock_;
  transport::Client& client_;
  std::string endpoint_;
  StoreLimits present_limits_;
  StoreLimits lasting_limits_;  // the smaller of the present and the next
  StoreLimits limits_;          // that this client goes by
  Seconds lowered_until_ = 0;   // until when it goes by the lasting ones
  Seconds lowered_for_;         // how long it will do so next time
  double share_ = 1;            // of requests
  double write_share_ = 1;      // of writes
  Seconds timeout_;
  double request_budget_ = 0;
  double write_budget_ = 0;
  Seconds refilled_at_;
  // The most pressing use first; writes apart, so that reads need not wait for the write limit.
  std::map<std::pair<RequestPriority, bool>, std::deque<Call>> waiting_;
  bool pump_armed_ = false;
  Seconds failing_since_ = -1;
  bool answered_ever_ = false;
  Seconds probed_at_ = 0;
};

}  // namespace larkroad::storage
