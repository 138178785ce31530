// Tests which client connections may be closed, and the count of places for them.
#include <gtest/gtest.h>

#include "core/rule_guard.h"
#include "front/client_places.h"

namespace pearchute::net {
namespace {

TEST(ClientState, OnlyAConnectionThatOwesNothingMayBeClosedForAnother) {
  const std::pair<ClientState, bool> cases[] = {
      {ClientState::idle, true},
      {ClientState::reading_request, true},
      {ClientState::request_open, false},
      {ClientState::path_given, false},
      {ClientState::result_awaited, false},
      {ClientState::answer_unsent, false},
  };
  EXPECT_EQ(std::size(cases), static_cast<std::size_t>(ClientState::count));
  for (const auto& [state, owes_nothing] : cases)
    EXPECT_EQ(owes_client_nothing(state), owes_nothing)
        << client_state_names[static_cast<std::size_t>(state)];
}

TEST(ClientPlaces, ReservedPlacesCountLikeTakenOnes) {
  constexpr std::size_t descriptors = 64, place_count = 64 / 2 - 8;
  ClientPlaces places(descriptors);
  for (std::size_t i = 0; i < place_count; ++i) {
    ASSERT_TRUE(places.has_free_place());
    places.take();
  }
  EXPECT_FALSE(places.has_free_place());
  places.give_back();
  places.reserve(RequestId{1});
  EXPECT_FALSE(places.has_free_place());
  EXPECT_EQ(places.taken(), place_count - 1);
  EXPECT_EQ(places.reserved(), 1U);
  places.reserve(RequestId{1});  // the client has lost its connection again
  EXPECT_EQ(places.reserved(), 1U);
  places.release(RequestId{2});
  EXPECT_FALSE(places.has_free_place());
  places.release(RequestId{1});
  EXPECT_TRUE(places.has_free_place());
}

TEST(ClientPlaces, LeavesHalfOfTheDescriptorsToEngines) {
  for (const std::size_t descriptors : {64, 256, 1024})
    EXPECT_EQ(ClientPlaces(descriptors).max_connections(), descriptors / 2);
}

// The guard refuses a close by itself, whatever the front takes the connection for.
TEST(RuleGuard, ForbidsToCloseAConnectionThatOwesItsClientAnything) {
  const std::pair<ClosingFacts, bool> cases[] = {
      {{}, false},
      {{.request_is_open = true}, true},
      {{.has_unread_bytes = true}, true},
      {{.path_call_is_due = true}, true},
      {{.answer_is_unsent = true}, true},
      {{.client_has_left = true, .path_call_is_due = true, .answer_is_unsent = true}, false},
  };
  for (const auto& [facts, is_forbidden] : cases) {
    RuleGuard guard;
    EXPECT_EQ(guard.forbids_closing(facts),
              is_forbidden ? std::optional(Rule::no_silent_close) : std::nullopt);
    EXPECT_EQ(guard.held_back(Rule::no_silent_close), is_forbidden ? 1U : 0U);
  }
}

}  // namespace
}  // namespace pearchute::net
