#include "coordination/scheduling/gang_reservations.hpp"

namespace larkroad::coordination {

void GangReservations::reserve(const std::string& job, const Resources& each,
                               const std::string& machine, std::uint32_t count, Seconds expires) {
  Reservation& reservation = reservations_[job];
  if (reservation.tasks.empty()) {
    reservation.each = each;
    reservation.expires = expires;
  }
  reservation.tasks[machine] += count;
}

void GangReservations::release(const std::string& job) { reservations_.erase(job); }

std::vector<std::string> GangReservations::expire(Seconds now) {
  std::vector<std::string> out;
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    if (now >= it->second.expires) {
      out.push_back(it->first);
      it = reservations_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

const GangReservations::Reservation* GangReservations::find(const std::string& job) const {
  const auto it = reservations_.find(job);
  return it == reservations_.end() ? nullptr : &it->second;
}

}  // namespace larkroad::coordination
