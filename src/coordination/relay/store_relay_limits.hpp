/// What both sides of the route by way of the key-value store keep to.
#pragma once

namespace larkroad::coordination {

/// The part of a value's largest size that heartbeats, or the answers to them, may fill; the rest
/// is for what the record has around them.
inline constexpr double kRelayFillRatio = 0.75;

}  // namespace larkroad::coordination
