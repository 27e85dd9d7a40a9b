#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

std::string parameter(const std::string& query, const std::string& name) {
  const auto at = query.find(name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

}  // namespace

void FakeKeyValueStore::handle(const Request& request, const std::string& from, Respond respond) {
  expire();
  const auto question = request.target.find('?');
  const std::string path = request.target.substr(0, question);
  const std::string query =
      question == std::string::npos ? "" : request.target.substr(question + 1);
  if (outage_) {
    respond({503, "{}", 0});
    return;
  }
  if (path == "/watch") {
    watch(query, from, std::move(respond));
    return;
  }
  if (path == "/commit") {
    respond(commit(request.body));
    changed();
    return;
  }
  if (path == "/store") {
    respond(list(query));
    return;
  }
  if (path.starts_with("/store/")) {
    const auto it = keys_.find(path.substr(7));
    if (it == keys_.end()) {
      respond({404, Json{{"ledger", revision_}}.dump(), 0});
    } else {
      respond(
          {200,
           Json{{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}}.dump(),
           0});
    }
    return;
  }
  if (path == "/grants") {
    const double life = Json::parse(request.body).at("lifeMs").get<double>() / 1000;
    leases_[next_lease_] = {life, world_.events.now() + life};
    respond({200, Json{{"hold", next_lease_++}}.dump(), 0});
    return;
  }
  if (path.starts_with("/grants/")) {
    const std::uint64_t id = std::stoull(path.substr(8));
    const auto it = leases_.find(id);
    if (it == leases_.end()) {
      respond({404, "{}", 0});
      return;
    }
    if (request.method == "DELETE") {
      it->second.ends = -1;
      expire();
    } else {
      it->second.ends = world_.events.now() + it->second.life;
    }
    respond({200, Json{{"hold", id}}.dump(), 0});
    return;
  }
  respond({400, "{}", 0});
}

void FakeKeyValueStore::set_outage(bool on) {
  if (on) expire();
  outage_ = on;
  if (on) return;
  for (auto& [id, lease] : leases_) lease.ends = world_.events.now() + lease.life;
  changed();
}

void FakeKeyValueStore::expire() {
  if (outage_) return;
  bool any = false;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > world_.events.now()) {
      ++it;
      continue;
    }
    const std::uint64_t id = it->first;
    it = leases_.erase(it);
    for (auto key = keys_.begin(); key != keys_.end();) {
      if (key->second.lease != id) {
        ++key;
        continue;
      }
      changes_.push_back({++revision_, key->first, true, {}});
      key = keys_.erase(key);
      any = true;
    }
  }
  if (any) changed();
}

Response FakeKeyValueStore::commit(const std::string& body) {
  const Json json = Json::parse(body);
  Json failed = Json::array();
  for (const auto& guard : json.at("guards")) {
    const auto it = keys_.find(guard.at("k"));
    const std::uint64_t revision = it == keys_.end() ? 0 : it->second.revision;
    if (revision != guard.at("mark").get<std::uint64_t>()) failed.push_back(guard.at("k"));
  }
  const StoreLimits& limits = world_.store_limits;
  if (static_cast<int>(json.at("apply").size()) > limits.max_transaction_changes ||
      static_cast<int>(json.at("guards").size()) > 4 * limits.max_transaction_changes ||
      body.size() > 65536) {
    ++world_.handle_size_refusal;
    return {400, R"({"error":"too large"})", 0};
  }
  for (const auto& item : json.at("apply")) {
    if (!item.contains("write")) continue;
    if (item.at("data").dump().size() > limits.value_kb * 1024) {
      ++world_.handle_size_refusal;
      return {400, R"({"error":"value too large"})", 0};
    }
    if (item.contains("hold") && !leases_.contains(item.at("hold").get<std::uint64_t>())) {
      return {400, R"({"error":"no such lease"})", 0};
    }
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", revision_}}.dump(), 0};
  if (!json.at("apply").empty()) ++revision_;
  for (const auto& item : json.at("apply")) {
    if (item.contains("drop")) {
      const std::string key = item.at("drop");
      if (keys_.erase(key) > 0) changes_.push_back({revision_, key, true, {}});
      continue;
    }
    const std::string key = item.at("write");
    keys_[key] = {item.at("data"), revision_, item.value("hold", std::uint64_t{0})};
    changes_.push_back({revision_, key, false, item.at("data")});
  }
  return {200, Json{{"ledger", revision_}}.dump(), 0};
}

Response FakeKeyValueStore::list(const std::string& query) const {
  const std::string prefix = parameter(query, "starts");
  const std::string since = parameter(query, "since");
  // Small pages, so that paging is exercised.
  const std::string asked = parameter(query, "limit");
  const size_t limit = asked.empty() ? 20 : std::min<size_t>(std::stoul(asked), 20);
  Json pairs = Json::array();
  bool more = false;
  for (auto it = keys_.upper_bound(since.empty() ? prefix : since); it != keys_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (pairs.size() >= limit) {
      more = true;
      break;
    }
    pairs.push_back({{"k", it->first}, {"data", it->second.data}, {"mark", it->second.revision}});
  }
  return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", revision_}}.dump(), 0};
}

void FakeKeyValueStore::watch(const std::string& query, const std::string& from, Respond respond) {
  auto watcher = std::make_shared<Watcher>();
  watcher->prefix = parameter(query, "starts");
  watcher->since = std::stoull(parameter(query, "since"));
  watcher->respond = std::move(respond);
  watcher->from = from;
  if (answer(*watcher, false)) return;
  watchers_.push_back(watcher);
  const Seconds block = std::stod(parameter(query, "blockMs")) / 1000;
  world_.events.at(world_.events.now() + block, [this, watcher] {
    expire();
    if (!watcher->over && !outage_) answer(*watcher, true);
  });
}

bool FakeKeyValueStore::answer(Watcher& watcher, bool anyway) {
  // The open watches of a node that is refused wait as they do in an outage.
  if (world_.refused_by_state.contains(watcher.from)) return false;
  if (const auto it = held_.find(watcher.from);
      it != held_.end() && it->second > world_.events.now()) {
    return false;
  }
  Json events = Json::array();
  for (const auto& change : changes_) {
    if (change.revision <= watcher.since || !change.key.starts_with(watcher.prefix)) continue;
    if (change.dropped) {
      events.push_back({{"drop", change.key}, {"mark", change.revision}});
    } else {
      events.push_back({{"write", change.key}, {"data", change.data}, {"mark", change.revision}});
    }
  }
  if (events.empty() && !anyway) return false;
  watcher.over = true;
  watcher.respond({200, Json{{"ledger", revision_}, {"events", events}}.dump(), 0});
  return true;
}

void FakeKeyValueStore::changed() {
  if (outage_) return;
  const auto watchers = watchers_;
  for (const auto& watcher : watchers) {
    if (!watcher->over) answer(*watcher, false);
  }
  std::erase_if(watchers_, [](const auto& watcher) { return watcher->over; });
}

}  // namespace larkroad::sim
