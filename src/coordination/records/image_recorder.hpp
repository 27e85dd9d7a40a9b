/// Records which images the machines hold.
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

/// Writes the images of machines for the next leader, which places tasks where their image is. The
/// record only saves time, so it is written in the background, some machines in one transaction,
/// and one transaction at a time. The leader calls `record` from its scaling loop.
class ImageRecorder {
 public:
  ImageRecorder(transport::Clock& clock, storage::KeyValueClient& store,
                const Leadership& leadership, const Settings& settings,
                const TransactionLimit& limit, ClusterState& cluster);

  /// Forgets everything of an earlier term.
  void begin_term();
  /// Answers that are under way have no effect any more.
  void end_term();

  /// Writes the images of machines whose images have changed since they were recorded.
  void record();

 private:
  storage::Images images_to_record(const Machine& machine) const;

  storage::KeyValueClient& store_;
  const Leadership& leadership_;
  const Settings& settings_;
  const TransactionLimit& limit_;
  ClusterState& cluster_;
  transport::CallbackScope scope_;  // of this term of leadership
  bool recording_ = false;          // a transaction is under way
};

}  // namespace larkroad::coordination
