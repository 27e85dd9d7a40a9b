/// Interface to the election for the components of the leader.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/election/election.hpp"

namespace larkroad::coordination {

/// The part of `Election` that components of the leader use. Tests provide their own
/// implementations.
class Leadership {
 public:
  virtual ~Leadership() = default;

  /// Whether this controller may act as the leader now: its lease is held and its job view is
  /// recent enough.
  virtual bool is_leader() const = 0;

  /// The current fencing token of this term. It increases when the leader raises it.
  virtual std::uint64_t fencing_token() const = 0;

  /// Records that the leader has read all job changes stored up to `sent_at`, the time at which the
  /// call that returned them was sent. The leader may act only while this is recent.
  virtual void confirm_job_view(Seconds sent_at) = 0;

  /// How long a job watch may block, so that its reply confirms the job view in time.
  virtual Seconds job_view_interval() const = 0;

  /// How long after its last renewal a previous leader may still have answered heartbeats.
  virtual Seconds grace_period() const = 0;

  /// Ends the term, so that the next one reloads its state from the store.
  virtual void resign(const std::string& reason) = 0;
};

/// Implements `Leadership` by this controller's `Election`.
class ElectionLeadership final : public Leadership {
 public:
  explicit ElectionLeadership(Election& election) : election_(election) {}

  bool is_leader() const override { return election_.is_leader(); }
  std::uint64_t fencing_token() const override { return election_.fencing_token(); }
  void confirm_job_view(Seconds sent_at) override { election_.confirm_job_view(sent_at); }
  Seconds job_view_interval() const override { return election_.job_view_interval(); }
  Seconds grace_period() const override { return election_.grace_period(); }
  void resign(const std::string& reason) override { election_.resign(reason); }

 private:
  Election& election_;
};

}  // namespace larkroad::coordination
