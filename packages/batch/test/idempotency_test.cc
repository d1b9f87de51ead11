#include <gtest/gtest.h>

#include "test/simulation.h"

namespace cardamomyard::simulation {
namespace {

constexpr char kKey[] = "idem/acme/order-7";
std::string Hash() {
  return RequestHash("POST", "/orders", "{\"drums\":1}");
}

struct order_world : world {
  using world::world;
  bool conditional = true;
  int runs = 0;
  std::string answer;
};

// A client that sends the same request through one host until it is answered.
task<bool> Send(order_world& in, actor& self) {
  while (true) {
    const stored_value read = co_await Read(in, self, kKey);
    std::optional<idempotency_record> before;
    if (read.version != 0) {
      before = idempotency_record::Parse(read.text).value();
    }
    const replay_decision decision = DecideReplay(before, Hash());
    if (const auto* stored = std::get_if<stored_answer>(&decision)) {
      if (stored->body != in.answer) {
        in.violations.emplace_back("a replay differs from the answer");
      }
      co_return true;
    }
    if (!std::holds_alternative<run_request>(decision)) {
      co_return std::holds_alternative<request_in_progress>(decision) ||
          std::holds_alternative<request_outcome_unknown>(decision);
    }
    const std::string claim_nonce = in.Nonce();
    idempotency_record record =
        ClaimIdempotencyKey(before, Hash(), self.holder(), in.now, claim_nonce)
            .value();
    const write_mode mode =
        in.conditional ? write_mode::safe : write_mode::unconditional;
    const write_end claimed =
        co_await Write(in, self, kKey, record.ToJson(), read.version, mode);
    if (claimed == write_end::superseded) {
      continue;
    }
    co_await step{self};
    const bool not_run = in.Chance(0.2);
    stored_answer answer{200, "application/octet-stream", ""};
    if (!not_run) {
      answer.body = "\xff run " + std::to_string(++in.runs);
      in.answer = answer.body;
    }
    co_await step{self};
    const stored_value own = co_await Read(in, self, kKey);
    record = idempotency_record::Parse(own.text).value();
    const std::string nonce = in.Nonce();
    result<idempotency_record> ended =
        not_run ? ReleaseIdempotencyKey(record, claim_nonce, nonce)
                : RecordIdempotentAnswer(record, claim_nonce, answer, nonce);
    if (!ended) {
      in.violations.push_back("the claim was lost: " + ended.error().message());
      co_return true;
    }
    co_await Write(in, self, kKey, ended->ToJson(), own.version);
  }
}

std::vector<std::string> RunOrder(std::uint64_t seed, bool conditional) {
  order_world in(seed);
  in.conditional = conditional;
  std::vector<actor> actors(2);
  for (actor& each : actors) {
    each.name = &each == actors.data() ? "host-a" : "host-b";
    each.start = [&in](actor& self) { return Send(in, self); };
  }
  if (!in.Run(actors, 150)) {
    in.violations.emplace_back("a request got no answer");
  }
  if (in.runs > 1) {
    in.violations.emplace_back("the request ran more than once");
  }
  return in.violations;
}

// Guards against a second run when the request is sent through two hosts that
// are killed, and answers of the store are lost.
TEST(IdempotencyFuzz, Rule10_RequestRunsAtMostOnce) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    const std::vector<std::string> violations = RunOrder(seed, true);
    ASSERT_TRUE(violations.empty())
        << "seed " << seed << ": " << violations.front();
  }
}

// Guards against an oracle that cannot see a second run.
TEST(IdempotencyFuzz, Rule10_OracleSeesClaimWithoutCondition) {
  int seen = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    for (const std::string& each : RunOrder(seed, false)) {
      seen += each == "the request ran more than once" ? 1 : 0;
    }
  }
  EXPECT_GT(seen, 0);
}

// Guards against an answer that is given to another request with the same key.
TEST(Idempotency, Rule10_OtherBodyIsConflict) {
  const idempotency_record record =
      ClaimIdempotencyKey(std::nullopt, Hash(), "host-a", {}, "n1").value();
  const std::string other = RequestHash("POST", "/orders", "{\"drums\":2}");
  EXPECT_TRUE(
      std::holds_alternative<request_conflict>(DecideReplay(record, other)));
  EXPECT_EQ(
      ClaimIdempotencyKey(record, other, "host-b", {}, "n2").error().kind(),
      error_kind::conflict);
  EXPECT_EQ(
      ClaimIdempotencyKey(record, Hash(), "host-b", {}, "n2").error().kind(),
      error_kind::unknown_outcome);
}

// Guards against an answer that does not fit into the store's values.
TEST(Idempotency, LargeAnswerIsOnlyNoted) {
  const idempotency_record claim =
      ClaimIdempotencyKey(std::nullopt, Hash(), "host-a", {}, "n1").value();
  for (const std::size_t extra : {0, 1}) {
    const stored_answer answer{200, "text/plain",
                               std::string(kMaxStoredAnswerBytes + extra, 'x')};
    const idempotency_record record =
        RecordIdempotentAnswer(claim, "n1", answer, "n2").value();
    EXPECT_EQ(idempotency_record::Parse(record.ToJson()).value(), record);
    EXPECT_EQ(
        std::holds_alternative<stored_answer>(DecideReplay(record, Hash())),
        extra == 0);
  }
}

}  // namespace
}  // namespace cardamomyard::simulation
