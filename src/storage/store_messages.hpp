/// Requests and replies of the key-value store, and their mapping to its HTTP protocol. The store's
/// field names (`mark`, `hold`, `ledger`, ...) are used only in store_messages.cpp.
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

/// The order in which requests are sent when this controller's share of the store's limits is
/// exhausted, highest priority first.
enum class RequestPriority {
  lease,       ///< lease renewals and watches; never queued
  user,        ///< a user is waiting for the reply
  scheduling,  ///< placements and completions
  bulk,        ///< those of low-priority jobs, which may exceed the write limit for long
  background,  ///< optimizations only
};

enum class Status {
  ok,
  missing,      ///< no such key or lease
  conflict,     ///< a precondition failed
  no_lease,     ///< a write refers to an expired lease
  too_old,      ///< the watch's start revision is no longer kept by the store
  unavailable,  ///< not carried out: rejected, rate-limited or never sent
  unknown,      ///< may have been carried out, or may still be
  invalid,      ///< rejected by the store as malformed or too large
};

struct Entry {
  std::string key;
  Json data;
  std::uint64_t revision = 0;  ///< revision of the key's last change
};

/// The revision that a key must have for a transaction to be applied.
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key must not exist, as in the store's protocol
};

struct Write {
  std::string key;
  Json data;
  std::optional<std::uint64_t> lease;  ///< the key is deleted when this lease expires
};

/// An atomic compare-and-swap of several keys.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;

  /// The number of writes and deletes, which the store limits.
  size_t changes() const { return writes.size() + deletes.size(); }

  bool has_precondition_on(const std::string& key) const {
    return std::any_of(preconditions.begin(), preconditions.end(),
                       [&](const Precondition& condition) { return condition.key == key; });
  }
};

struct CommitReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;       ///< with `ok`: the revision of all changes in the transaction
  std::vector<std::string> failed;  ///< with `conflict`: the keys whose preconditions failed

  /// Whether the precondition on `key` failed.
  bool failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

struct ListReply {
  Status status = Status::unknown;
  std::vector<Entry> entries;  ///< ordered by key
  bool more = false;           ///< there are more entries after the last one
  std::uint64_t revision = 0;  ///< revision of the store when the page was read
};

struct Event {
  std::string key;
  bool deleted = false;
  Json data;
  std::uint64_t revision = 0;
};

struct WatchReply {
  Status status = Status::unknown;
  std::uint64_t revision = 0;  ///< the revision up to which the events are complete
  std::vector<Event> events;   ///< ordered by revision
};

/// Maps the outcome of a call and its HTTP status to a status.
Status status_of(transport::Outcome outcome, int http_status);

transport::Request encode_get(const std::string& key);
/// `after`: the key after which the page starts; empty: the first page.
transport::Request encode_list(const std::string& prefix, const std::string& after);
transport::Request encode_commit(const Transaction& transaction);
transport::Request encode_grant(Seconds ttl);
transport::Request encode_extend(std::uint64_t lease);
transport::Request encode_release(std::uint64_t lease);
transport::Request encode_watch(const std::string& prefix, std::uint64_t since, Seconds block);

/// The following functions decode the body of a reply with status 200. They throw Malformed.
Entry decode_entry(const std::string& body);
ListReply decode_list(const std::string& body);
WatchReply decode_watch(const std::string& body);
std::uint64_t decode_grant(const std::string& body);

/// Decodes the reply to a transaction. Throws when the body of `ok` or `conflict` is malformed.
CommitReply decode_commit(Status status, const std::string& body);

}  // namespace larkroad::storage
