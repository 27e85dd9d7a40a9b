/// Messages between controllers: status reports, forwarded user requests and cancellation notices.
/// Wire field names appear only in the codec. Batches of relayed heartbeats are in
/// `relay_messages.hpp`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace larkroad::protocol {

inline constexpr const char* kPeerStatusPath = "/peer";
inline constexpr const char* kForwardedRequestPath = "/user";
inline constexpr const char* kCancellationPath = "/cancelled";

/// Progress of one job, used only for display to users.
struct JobProgress {
  std::string job;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  bool operator==(const JobProgress&) const = default;
};

/// The status that a controller periodically sends to its peers.
///
/// Optional fields are omitted when they do not apply. Messages from controllers of an earlier
/// version, which never send `version`, can therefore still be parsed.
struct PeerStatus {
  std::string member;
  /// Whether the key-value store currently responds to the sender.
  bool store_available = false;
  /// The fencing token of the sender's leadership term, or 0 if it is not the leader.
  std::uint64_t fencing_token = 0;
  /// The record and message format version that the sender supports.
  std::optional<std::uint64_t> version;
  /// Whether workers have recently sent heartbeats directly to the sender.
  bool receives_heartbeats = false;
  /// The leader that the sender can reach and to which it relays heartbeats.
  std::optional<std::string> relays_to;
  /// Sent only by a leader: whether workers are distributed over all controllers, which relay their
  /// heartbeats to the leader.
  std::optional<bool> distributes_workers;
  /// Progress of jobs. Sent only by a leader.
  std::optional<std::vector<JobProgress>> jobs;
  bool operator==(const PeerStatus&) const = default;
};

std::string encode_peer_status(const PeerStatus& status);
/// Throws Malformed if a field is missing or of the wrong type.
PeerStatus parse_peer_status(const std::string& body);

/// A user request that the receiving controller could not serve and forwards to a peer.
struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const ForwardedRequest&) const = default;
};

std::string encode_forwarded_request(const ForwardedRequest& request);
/// Throws Malformed if a field is missing or of the wrong type.
ForwardedRequest parse_forwarded_request(const std::string& body);

/// A peer's response to a forwarded request, returned to the user unchanged.
struct ForwardedResponse {
  int status = 0;
  std::string body;
  /// The value of the `Retry-After` header; 0 means that the header is not sent.
  int retry_after_s = 0;
  bool operator==(const ForwardedResponse&) const = default;
};

std::string encode_forwarded_response(const ForwardedResponse& response);
/// Throws Malformed if a field is missing or of the wrong type.
ForwardedResponse parse_forwarded_response(const std::string& body);

/// Tells a peer that a cancellation is durable.
struct CancellationNotice {
  /// The controller that made the cancellation durable.
  std::string member;
  std::string job;
  bool operator==(const CancellationNotice&) const = default;
};

std::string encode_cancellation_notice(const CancellationNotice& notice);
/// Throws Malformed if a field is missing or of the wrong type.
CancellationNotice parse_cancellation_notice(const std::string& body);

}  // namespace larkroad::protocol
