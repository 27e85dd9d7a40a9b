/// Whose tasks a job may have preempted.
#pragma once

#include <string>

namespace larkroad::coordination {

struct PreemptionRights {
  bool by_priority = false;   ///< those of lower priority
  bool by_guarantee = false;  ///< those that other teams run beyond their own guarantee
  std::string team;           ///< of the job

  bool any() const { return by_priority || by_guarantee; }
  /// Whether these allow whatever `others` allow.
  bool cover(const PreemptionRights& others) const {
    return (by_priority || !others.by_priority) &&
           (!others.by_guarantee || (by_guarantee && team == others.team));
  }
};

}  // namespace larkroad::coordination
