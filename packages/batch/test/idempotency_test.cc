#include <gtest/gtest.h>

#include "test/simulation.h"

namespace cardamomyard::simulation {
namespace {

constexpr char kKey[] = "idem/acme/order-7";
std::string OrderHash() {
  return RequestHash("POST", "/orders", "{\"drums\":1}");
}

struct order_environment : environment {
  using environment::environment;
  bool conditional = true;
  int runs = 0;
  std::string answer;
};

// A client that sends the same request through one host until it is answered.
task<bool> Send(order_environment& env, process& self) {
  while (true) {
    const stored_value read = co_await Read(env, self, kKey);
    std::optional<idempotency_record> before;
    if (read.version != 0) {
      before = idempotency_record::Parse(read.text).value();
    }
    const replay_decision decision = DecideReplay(before, OrderHash());
    if (const auto* stored = std::get_if<stored_answer>(&decision)) {
      if (stored->body != env.answer) {
        env.violations.emplace_back("a replay differs from the answer");
      }
      co_return true;
    }
    if (!std::holds_alternative<run_request>(decision)) {
      co_return std::holds_alternative<request_in_progress>(decision) ||
          std::holds_alternative<request_outcome_unknown>(decision);
    }
    const std::string claim_nonce = env.Nonce();
    idempotency_record record =
        ClaimIdempotencyKey(before, OrderHash(), self.holder(), env.now,
                            claim_nonce)
            .value();
    const write_mode mode =
        env.conditional ? write_mode::safe : write_mode::unconditional;
    const write_result claimed =
        co_await Write(env, self, kKey, record.ToJson(), read.version, mode);
    if (claimed == write_result::superseded) {
      continue;
    }
    co_await yield_to_scheduler{self};
    const bool not_run = env.Chance(0.2);
    stored_answer answer{200, "application/octet-stream", ""};
    if (!not_run) {
      answer.body = "\xff run " + std::to_string(++env.runs);
      env.answer = answer.body;
    }
    co_await yield_to_scheduler{self};
    const stored_value own = co_await Read(env, self, kKey);
    record = idempotency_record::Parse(own.text).value();
    const std::string nonce = env.Nonce();
    result<idempotency_record> next =
        not_run ? ReleaseIdempotencyKey(record, claim_nonce, nonce)
                : RecordIdempotentAnswer(record, claim_nonce, answer, nonce);
    if (!next) {
      env.violations.push_back("the claim was lost: " + next.error().message());
      co_return true;
    }
    co_await Write(env, self, kKey, next->ToJson(), own.version);
  }
}

std::vector<std::string> RunOrder(std::uint64_t seed, bool conditional) {
  order_environment env(seed);
  env.conditional = conditional;
  std::vector<process> processes(2);
  for (process& host : processes) {
    host.name = &host == processes.data() ? "host-a" : "host-b";
    host.start = [&env](process& self) { return Send(env, self); };
  }
  if (!env.Run(processes, 150)) {
    env.violations.emplace_back("a request got no answer");
  }
  if (env.runs > 1) {
    env.violations.emplace_back("the request ran more than once");
  }
  return env.violations;
}

// A request that is sent through two hosts could run twice when the hosts are
// killed and answers of the store are lost.
TEST(IdempotencyFuzz, Rule10_RequestRunsAtMostOnce) {
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    const std::vector<std::string> violations = RunOrder(seed, true);
    ASSERT_TRUE(violations.empty())
        << "seed " << seed << ": " << violations.front();
  }
}

// An oracle that cannot detect a second run would let the test above pass
// without the condition on the claim.
TEST(IdempotencyFuzz, Rule10_OracleSeesClaimWithoutCondition) {
  int repeated_runs = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    for (const std::string& violation : RunOrder(seed, false)) {
      repeated_runs += violation == "the request ran more than once" ? 1 : 0;
    }
  }
  EXPECT_GT(repeated_runs, 0);
}

// The stored answer of a request must not be sent to another request that has
// the same key.
TEST(Idempotency, Rule10_OtherBodyIsConflict) {
  const idempotency_record record =
      ClaimIdempotencyKey(std::nullopt, OrderHash(), "host-a", {}, "n1")
          .value();
  const std::string other = RequestHash("POST", "/orders", "{\"drums\":2}");
  EXPECT_TRUE(
      std::holds_alternative<request_conflict>(DecideReplay(record, other)));
  EXPECT_EQ(
      ClaimIdempotencyKey(record, other, "host-b", {}, "n2").error().kind(),
      error_kind::conflict);
  EXPECT_EQ(ClaimIdempotencyKey(record, OrderHash(), "host-b", {}, "n2")
                .error()
                .kind(),
            error_kind::unknown_outcome);
}

// A large answer would not fit into a value of the store, so the record of an
// answer above the limit has no body.
TEST(Idempotency, LargeAnswerIsOnlyNoted) {
  const idempotency_record claim =
      ClaimIdempotencyKey(std::nullopt, OrderHash(), "host-a", {}, "n1")
          .value();
  for (const std::size_t extra : {0, 1}) {
    const stored_answer answer{200, "text/plain",
                               std::string(kMaxStoredAnswerBytes + extra, 'x')};
    const idempotency_record record =
        RecordIdempotentAnswer(claim, "n1", answer, "n2").value();
    EXPECT_EQ(idempotency_record::Parse(record.ToJson()).value(), record);
    EXPECT_EQ(std::holds_alternative<stored_answer>(
                  DecideReplay(record, OrderHash())),
              extra == 0);
  }
}

}  // namespace
}  // namespace cardamomyard::simulation
