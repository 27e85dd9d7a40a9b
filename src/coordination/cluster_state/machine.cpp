#include "coordination/cluster_state/machine.hpp"

#include <algorithm>

namespace larkroad::coordination {

Resources Machine::available() const {
  Resources out = capacity;
  out -= used;
  return out;
}

bool Machine::usable(Seconds now, Seconds max_heartbeat_age) const {
  return now - last_worker_heartbeat_at <= max_heartbeat_age && has_reported &&
         identity_confirmed && unreachable_since < 0 && !lease_expired && !restarted &&
         !being_released && !quarantined && !reclaim_at && now >= refused_until && !address.empty();
}

void Machine::touch_image(const std::string& image, double gb, double cache_gb, Seconds now) {
  images_changed = !images.contains(image) || images_changed;
  images[image] = {gb, now};
  double total = 0;
  for (const auto& [name, entry] : images) total += entry.first;
  const auto used_earlier = [](const auto& a, const auto& b) {
    return a.second.second < b.second.second;
  };
  while (total > cache_gb && images.size() > 1) {
    const auto oldest = std::min_element(images.begin(), images.end(), used_earlier);
    if (oldest->first == image) break;
    total -= oldest->second.first;
    images.erase(oldest);
  }
}

}  // namespace larkroad::coordination
