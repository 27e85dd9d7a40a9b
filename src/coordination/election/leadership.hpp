/// The view that the parts of the leader have of the election.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/election/election.hpp"

namespace larkroad::coordination {

/// What a part of the leader may ask of, and tell to, the election. A test puts its own in place.
class Leadership {
 public:
  virtual ~Leadership() = default;

  /// Whether this controller may act as the leader now: neither its lease nor its view of the jobs
  /// has expired.
  virtual bool is_leader() const = 0;

  /// The present fencing token of this term. It grows when the leader raises it.
  virtual std::uint64_t fencing_token() const = 0;

  /// The leader has read, in answer to a call sent at that time, all that was recorded of the jobs
  /// by then. Without such a proof now and then it may not lead on.
  virtual void confirm_view(Seconds sent_at) = 0;

  /// How long a watch may wait for changes, so that its answer proves the view in time.
  virtual Seconds view_interval() const = 0;

  /// How long after its last renewal an earlier leader may still have answered a heartbeat.
  virtual Seconds grace_period() const = 0;

  /// Gives the term up, to start anew from what is recorded.
  virtual void resign(const std::string& reason) = 0;
};

/// The election of this controller.
class ElectionLeadership final : public Leadership {
 public:
  explicit ElectionLeadership(Election& election) : election_(election) {}

  bool is_leader() const override { return election_.is_leader(); }
  std::uint64_t fencing_token() const override { return election_.fencing_token(); }
  void confirm_view(Seconds sent_at) override { election_.confirm_view(sent_at); }
  Seconds view_interval() const override { return election_.view_interval(); }
  Seconds grace_period() const override { return election_.grace_period(); }
  void resign(const std::string& reason) override { election_.resign(reason); }

 private:
  Election& election_;
};

}  // namespace larkroad::coordination
