// Leadership: one key under a lease in the state service. The key's mark is the token that the
// workers obey, and every write of a leader is guarded by it.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"

namespace larkroad::coordination {

using storage::Status;
using transport::Seconds;

class Election {
 public:
  struct Events {
    std::function<void()> elected;
    std::function<void()> deposed;
  };
  Election(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings,
           Events events);
  void start();

  // Whether this node may act as the leader now: its lease, counted by its own clock from when
  // the renewal was sent, is not over, and its view of the jobs is no older than that.
  bool leads() const;
  // Holds the key as far as it knows, though perhaps past its lease.
  bool holds() const { return fencing_token_ != 0; }
  // A leader that lost sight of the state service may go on answering reports, so that a short
  // outage does not end all work; see docs/DESIGN.md for why this bound keeps cancellations safe.
  bool may_answer_reports() const;
  // The leader has read, in answer to a call sent at that time, all that was recorded of the jobs
  // by then. A renewal alone proves nothing of the kind: the watch may be late.
  void view_proved(Seconds sent);
  // How long a watch may take to prove the view anew, so that it stays fresh enough to lead.
  Seconds view_interval() const;
  // How long after its last renewal a deposed leader may still have answered a report.
  Seconds retention() const { return retention_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  // The leader's name, empty when not known.
  const std::string& leader() const { return leader_; }
  // The newest mark of the leader's key that has been seen.
  std::uint64_t leader_revision() const { return leader_revision_; }
  // Rewrites the key for a higher token, which fences every command sent under the present one.
  void raise_fencing_token();
  // Tells that a newer leader has been seen (by a worker's token or a peer).
  void superseded(std::uint64_t fencing_token);
  // Gives the leadership up, to start anew from what is recorded.
  void resign(const std::string& why);
  // The same, and leaves it to the others for so long.
  void step_down(const std::string& why, Seconds abstain);

 private:
  bool holds_lease() const;
  void look();
  void watch();
  void campaign(std::uint64_t replaced_revision);
  void write_key(std::uint64_t replaced_revision);
  void won(std::uint64_t revision);
  void renew();
  void confirm();
  void check_view(Seconds sent);
  void lose(const std::string& why);
  void saw(std::uint64_t revision, const storage::Json& data);
  void saw_none();

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  Events events_;
  Seconds life_;
  Seconds retention_;
  std::uint64_t lease_ = 0;
  std::uint64_t fencing_token_ = 0;
  Seconds renewed_at_ = 0;
  std::optional<Seconds> viewed_at_;  // see view_proved; none: the records are still being read
  Seconds renewing_since_ = -1;       // the first of the renewals that have all been answered since
  Seconds grant_sent_ = 0;
  Seconds abstains_until_ = -1;
  bool campaigning_ = false;
  bool confirming_ = false;
  bool raising_ = false;
  std::string leader_;
  std::uint64_t leader_revision_ = 0;
  std::uint64_t watched_to_ = 0;
  std::uint64_t epoch_ = 0;  // counts leaderships, so that late answers to an old one are known
};

}  // namespace larkroad::coordination
