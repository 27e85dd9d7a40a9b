/// Which tasks a job may preempt.
#pragma once

#include <string>

namespace larkroad::coordination {

struct PreemptionRights {
  bool by_priority = false;   ///< tasks of lower priority
  bool by_guarantee = false;  ///< tasks that other teams run beyond their guarantees
  std::string team;           ///< the job's team

  bool any() const { return by_priority || by_guarantee; }
  /// Whether these allow whatever `others` allow.
  bool cover(const PreemptionRights& others) const {
    return (by_priority || !others.by_priority) &&
           (!others.by_guarantee || (by_guarantee && team == others.team));
  }
};

}  // namespace larkroad::coordination
