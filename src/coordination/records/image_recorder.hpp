/// Records which images are in the machines' caches.
#pragma once

#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/election/leadership.hpp"
#include "coordination/records/transaction_limit.hpp"
#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/callback_scope.hpp"

namespace larkroad::coordination {

/// Records the cached images for the next leader, which prefers machines that have a task's image.
/// The records are only an optimization, so they are written in the background, several machines
/// per transaction and one transaction at a time. The leader calls `record` from its scaling loop.
class ImageRecorder {
 public:
  ImageRecorder(transport::Clock& clock, storage::KeyValueClient& store,
                const Leadership& leadership, const Settings& settings,
                const TransactionLimit& limit, ClusterState& cluster);

  /// Discards the state of the previous term.
  void begin_term();
  /// Drops the callbacks of outstanding requests.
  void end_term();

  /// Writes the records of machines whose images have changed since the last write.
  void record();

 private:
  storage::Images images_to_record(const Machine& machine) const;

  storage::KeyValueClient& store_;
  const Leadership& leadership_;
  const Settings& settings_;
  const TransactionLimit& limit_;
  ClusterState& cluster_;
  transport::CallbackScope scope_;  // the current term of leadership
  bool transaction_in_flight_ = false;
};

}  // namespace larkroad::coordination
