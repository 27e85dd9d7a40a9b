/// Requests and replies of the key-value store, and their mapping to its HTTP protocol. The store's
/// own field names (`mark`, `hold`, `ledger`, ...) appear in store_messages.cpp alone.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "transport/http.hpp"

namespace larkroad::storage {

using protocol::Json;
using transport::Seconds;

/// Whose request goes first when this controller's share of the store's limits does not serve all.
enum class RequestPriority {
  lease,       ///< lease renewals and watches: never wait
  user,        ///< a user is waiting for the answer
  scheduling,  ///< placements and completions
  bulk,        ///< those of low-priority work, of which there may be more than can be written
  background,  ///< what only saves time later
};

enum class Status {
  ok,
  missing,      ///< no such key or lease
  conflict,     ///< a precondition failed
  no_lease,     ///< a write names an expired lease
  too_old,      ///< a watch from a revision that the store no longer keeps
  unavailable,  ///< not carried out: refused, limited, or never sent
  unknown,      ///< may have been carried out, or may yet be
  invalid,      ///< the store calls the request malformed or too large
};

struct Entry {
  std::string key;
  Json data;
  std::uint64_t revision = 0;  ///< of the key's last change
};

/// The revision that a key must have for a transaction to be carried out.
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;  ///< 0, as in the store's protocol: the key must not exist
};

struct Write {
  std::string key;
  Json data;
  std::optional<std::uint64_t> lease;  ///< the key is deleted when this lease ends
};

/// A compare-and-swap of several keys: carried out as a whole, or not at all.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;

  /// Writes and deletes, which is what the store limits.
  size_t changes() const { return writes.size() + deletes.size(); }

  bool has_precondition_on(const std::string& key) const {
    return std::any_of(preconditions.begin(), preconditions.end(),
                       [&](const Precondition& condition) { return condition.key == key; });
  }
};

struct CommitReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;       ///< with `ok`: of all changes of the transaction
  std::vector<std::string> failed;  ///< with `conflict`: the keys whose preconditions failed

  /// Whether the precondition on `key` failed.
  bool failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

struct ListReply {
  Status status = Status::unknown;
  std::vector<Entry> entries;  ///< in the order of their keys
  bool more = false;           ///< the list goes on after the last entry
  std::uint64_t revision = 0;  ///< of the store when it was listed
};

struct Event {
  std::string key;
  bool deleted = false;
  Json data;
  std::uint64_t revision = 0;
};

struct WatchReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;  ///< up to which the events are complete
  std::vector<Event> events;   ///< in the order of their revisions
};

/// What an HTTP answer, or the lack of one, says of a request.
Status status_of(transport::Outcome outcome, int http_status);

transport::Request encode_get(const std::string& key);
/// `after`: the key after which the list begins; empty: at its start.
transport::Request encode_list(const std::string& prefix, const std::string& after);
transport::Request encode_commit(const Transaction& transaction);
transport::Request encode_grant(Seconds life);
transport::Request encode_extend(std::uint64_t lease);
transport::Request encode_release(std::uint64_t lease);
transport::Request encode_watch(const std::string& prefix, std::uint64_t since, Seconds block);

/// These decode the body of an answer with status 200, and throw Malformed.
Entry decode_entry(const std::string& body);
ListReply decode_list(const std::string& body);
WatchReply decode_watch(const std::string& body);
std::uint64_t decode_grant(const std::string& body);

/// Decodes the answer to a transaction; throws when the body of `ok` or `conflict` is malformed.
CommitReply decode_commit(Status status, const std::string& body);

}  // namespace larkroad::storage
