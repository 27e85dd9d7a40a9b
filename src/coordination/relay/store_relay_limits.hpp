/// Limits that both sides of the route through the key-value store observe.
#pragma once

namespace larkroad::coordination {

/// Fraction of the maximum value size available to heartbeats, or to the answers to them; the rest
/// is for the other fields of the record.
inline constexpr double kRelayFillRatio = 0.75;

}  // namespace larkroad::coordination
