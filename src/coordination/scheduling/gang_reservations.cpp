#include "coordination/scheduling/gang_reservations.hpp"

namespace larkroad::coordination {

void GangReservations::reserve(const std::string& job, const Resources& each,
                               const std::string& machine, std::uint32_t count, Seconds expires) {
  Hold& hold = holds_[job];
  if (hold.tasks.empty()) {
    hold.each = each;
    hold.expires = expires;
  }
  hold.tasks[machine] += count;
}

void GangReservations::release(const std::string& job) { holds_.erase(job); }

std::vector<std::string> GangReservations::expire(Seconds now) {
  std::vector<std::string> out;
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (now >= it->second.expires) {
      out.push_back(it->first);
      it = holds_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

const GangReservations::Hold* GangReservations::find(const std::string& job) const {
  const auto it = holds_.find(job);
  return it == holds_.end() ? nullptr : &it->second;
}

}  // namespace larkroad::coordination
