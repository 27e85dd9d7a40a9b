#include "transport/callback_scope.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

#include "fakes/manual_clock.hpp"

namespace larkroad::transport {
namespace {

class CallbackScopeTest : public ::testing::Test {
 protected:
  testing::ManualClock clock;
  std::optional<CallbackScope> scope{std::in_place, clock};
  std::vector<int> calls;
};

TEST_F(CallbackScopeTest, ForwardsArgumentsUntilActivityEnds) {
  const auto callback = scope->wrap([this](int first, int second) {
    calls.push_back(first);
    calls.push_back(second);
  });
  callback(1, 2);
  callback(3, 4);
  EXPECT_EQ(calls, (std::vector<int>{1, 2, 3, 4}));
}

TEST_F(CallbackScopeTest, ForwardsMoveOnlyArguments) {
  const auto callback =
      scope->wrap([this](std::unique_ptr<int> value) { calls.push_back(*value); });
  callback(std::make_unique<int>(7));
  EXPECT_EQ(calls, (std::vector<int>{7}));
}

TEST_F(CallbackScopeTest, RestartDropsOnlyEarlierCallbacks) {
  const auto earlier = scope->wrap([this] { calls.push_back(1); });
  scope->restart();
  const auto later = scope->wrap([this] { calls.push_back(2); });
  earlier();
  later();
  EXPECT_EQ(calls, (std::vector<int>{2}));
}

TEST_F(CallbackScopeTest, DestructionDropsCallbacks) {
  const auto callback = scope->wrap([this] { calls.push_back(1); });
  scope.reset();
  callback();
  EXPECT_TRUE(calls.empty());
}

TEST_F(CallbackScopeTest, CallbackMayEndItsOwnActivity) {
  const auto callback = scope->wrap([this] {
    calls.push_back(1);
    scope->restart();
    calls.push_back(2);
  });
  callback();
  callback();
  EXPECT_EQ(calls, (std::vector<int>{1, 2}));
}

TEST_F(CallbackScopeTest, TimersRunInOrderOfDueTime) {
  scope->after(2, [this] { calls.push_back(2); });
  scope->after(1, [this] { calls.push_back(1); });
  clock.run_until(clock.now() + 1.5);
  EXPECT_EQ(calls, (std::vector<int>{1}));
  clock.run_until(clock.now() + 1.5);
  EXPECT_EQ(calls, (std::vector<int>{1, 2}));
}

TEST_F(CallbackScopeTest, TimersOfEarlierActivityDoNothing) {
  scope->after(1, [this] { calls.push_back(1); });
  scope->restart();
  scope->after(1, [this] { calls.push_back(2); });
  clock.run_until(clock.now() + 2);
  EXPECT_EQ(calls, (std::vector<int>{2}));
}

TEST_F(CallbackScopeTest, TimersDoNothingAfterDestruction) {
  scope->after(1, [this] { calls.push_back(1); });
  scope.reset();
  clock.run_until(clock.now() + 2);
  EXPECT_TRUE(calls.empty());
}

TEST_F(CallbackScopeTest, PredicateIsTrueUntilActivityEnds) {
  const auto earlier = scope->is_current();
  EXPECT_TRUE(earlier());
  scope->restart();
  EXPECT_FALSE(earlier());
  const auto later = scope->is_current();
  EXPECT_TRUE(later());
  scope.reset();
  EXPECT_FALSE(later());
}

}  // namespace
}  // namespace larkroad::transport
