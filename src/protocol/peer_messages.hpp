/// Messages that controllers exchange about themselves and about users' requests. The wire's field
/// names appear in the codec alone. Batches of relayed heartbeats are in `relay_messages.hpp`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace larkroad::protocol {

inline constexpr const char* kPeerStatusPath = "/peer";
inline constexpr const char* kForwardedRequestPath = "/user";
inline constexpr const char* kCancellationPath = "/cancelled";

/// Progress of one job, for display to users only.
struct JobProgress {
  std::string job;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  bool operator==(const JobProgress&) const = default;
};

/// What a controller periodically reports of itself to its peers.
///
/// A message names a fact by a field that it leaves out otherwise, so controllers of an earlier
/// version are understood: they never send `version`.
struct PeerStatus {
  std::string member;
  /// Whether the key-value store answers this controller at present.
  bool store_available = false;
  /// The fencing token of the sender's own leadership; 0 when it is not the leader.
  std::uint64_t fencing_token = 0;
  /// The version of records and messages that the sender understands.
  std::optional<std::uint64_t> version;
  /// Whether workers have sent heartbeats straight to this controller lately.
  bool receives_heartbeats = false;
  /// The leader that the sender can reach and relays heartbeats to.
  std::optional<std::string> relays_to;
  /// Sent by a leader alone: whether workers are distributed over all controllers, which relay
  /// their heartbeats.
  std::optional<bool> distributes_workers;
  /// Sent by a leader alone.
  std::optional<std::vector<JobProgress>> jobs;
  bool operator==(const PeerStatus&) const = default;
};

std::string encode_peer_status(const PeerStatus& status);
/// Throws `Malformed` when a field is missing or of the wrong type.
PeerStatus parse_peer_status(const std::string& body);

/// A user's request that its first receiver could not serve and hands to a peer.
struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const ForwardedRequest&) const = default;
};

std::string encode_forwarded_request(const ForwardedRequest& request);
/// Throws `Malformed` when a field is missing or of the wrong type.
ForwardedRequest parse_forwarded_request(const std::string& body);

/// The peer's response to a forwarded request, to be passed on to the user as it is.
struct ForwardedResponse {
  int status = 0;
  std::string body;
  /// The value of `Retry-After` in seconds; 0: the header is not sent.
  int retry_after_s = 0;
  bool operator==(const ForwardedResponse&) const = default;
};

std::string encode_forwarded_response(const ForwardedResponse& response);
/// Throws `Malformed` when a field is missing or of the wrong type.
ForwardedResponse parse_forwarded_response(const std::string& body);

/// Tells a peer that a cancellation is durable.
struct CancellationNotice {
  /// The controller that made the cancellation durable.
  std::string member;
  std::string job;
  bool operator==(const CancellationNotice&) const = default;
};

std::string encode_cancellation_notice(const CancellationNotice& notice);
/// Throws `Malformed` when a field is missing or of the wrong type.
CancellationNotice parse_cancellation_notice(const std::string& body);

}  // namespace larkroad::protocol
