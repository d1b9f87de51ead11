#include "src/fleet/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace cardamomyard {
namespace {

// Callers resend within minutes; a longer retention would accuse what broke off
// for other reasons.
constexpr std::chrono::seconds kRetention{120};
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxSuspects = 32;
constexpr std::size_t kMaxRefused = 64;
constexpr std::chrono::hours kRefusalRetention{1};
// A crashed server needs longer than this to come back, so reports of the same
// server within this time are about one crash.
constexpr std::chrono::milliseconds kSameCrash{1500};
// Servers that crash within this time of one another have a common cause that
// is no request, such as a loss of power.
constexpr std::chrono::milliseconds kSameMoment{25};
// Digests repeat news for this time; a live peer hears several of them.
constexpr std::chrono::milliseconds kNewsTime{3000};
constexpr std::size_t kMaxReportedCrashes = 16;
constexpr std::size_t kMaxReportedClearances = 32;

/// \returns the delay before a trial. Each trial may cost a server with all
/// that runs there, so they become rare.
std::chrono::milliseconds TrialDelay(int trials) {
  if (trials == 0) {
    return std::chrono::seconds(2);
  }
  return trials == 1 ? std::chrono::minutes(1) : std::chrono::minutes(10);
}

/// Counts the crashes that accuse one request or part.
class crash_tally {
 public:
  void Add(const std::string& backend, std::uint64_t request, time_point time) {
    requests_.insert(request);
    const bool same_moment = last_ && time - *last_ <= kSameMoment;
    // A request that was sent on after a crash shows that the next one is
    // another crash, however soon it follows.
    const bool sent_on = backend != last_backend_ && moment_.contains(request);
    if (!same_moment || sent_on) {
      ++crashes_;
      last_ = time;
      last_backend_ = backend;
      moment_.clear();
    }
    moment_.insert(request);
  }
  int crashes() const { return crashes_; }
  std::size_t requests() const { return requests_.size(); }

 private:
  int crashes_ = 0;
  std::optional<time_point> last_;
  std::string last_backend_;
  std::set<std::uint64_t> requests_;
  std::set<std::uint64_t> moment_;  ///< Requests of the last counted crash.
};

std::chrono::milliseconds Age(time_point time, time_point now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
}

}  // namespace

crash_attribution::crash_attribution(
    std::string self,
    std::function<std::vector<std::string>()> gateways)
    : self_(std::move(self)), gateways_(std::move(gateways)) {}

void crash_attribution::RecordCrash(const std::string& backend,
                                    const std::vector<crash_suspect>& suspects,
                                    time_point now) {
  Expire(now);
  AddCrash(backend, suspects, now, true);
}

void crash_attribution::AddCrash(const std::string& backend,
                                 const std::vector<crash_suspect>& suspects,
                                 time_point time,
                                 bool seen_here) {
  auto event =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const crash& known) {
        return known.backend == backend && known.time - time < kSameCrash &&
               time - known.time < kSameCrash;
      });
  if (event == crashes_.end()) {
    if (crashes_.size() >= kMaxCrashes) {
      crashes_.erase(crashes_.begin());
    }
    event = crashes_.insert(crashes_.end(), crash{backend, time, false, {}});
  }
  event->seen_here |= seen_here;
  for (const crash_suspect& suspect : suspects) {
    if (event->suspects.size() >= kMaxSuspects) {
      break;
    }
    event->suspects[suspect.request].insert(suspect.parts.begin(),
                                            suspect.parts.end());
    accused_.insert(suspect.request);
    accused_.insert(suspect.parts.begin(), suspect.parts.end());
  }
}

void crash_attribution::RecordCompletion(const crash_suspect& request,
                                         time_point now) {
  Clear(request.request, now);
  for (const std::uint64_t part : request.parts) {
    Clear(part, now);
  }
}

void crash_attribution::Clear(std::uint64_t fingerprint, time_point time) {
  const auto refused = refused_.find(fingerprint);
  if (refused == refused_.end() && !accused_.contains(fingerprint)) {
    return;
  }
  const auto [known, added] = cleared_.try_emplace(fingerprint, time);
  known->second = std::max(known->second, time);
  if (refused != refused_.end() && refused->second.time <= time) {
    refused_.erase(refused);
  }
}

bool crash_attribution::IsAccused(std::uint64_t fingerprint,
                                  time_point time) const {
  const auto cleared = cleared_.find(fingerprint);
  return cleared == cleared_.end() || cleared->second < time;
}

bool crash_attribution::IsExplained(const crash& event) const {
  return std::any_of(
      event.suspects.begin(), event.suspects.end(), [&](const auto& suspect) {
        return std::any_of(
            suspect.second.begin(), suspect.second.end(),
            [&](std::uint64_t part) { return refused_.contains(part); });
      });
}

std::vector<crash_verdict> crash_attribution::Decide(time_point now) {
  std::vector<crash_verdict> verdicts;
  if (crashes_.size() < kRefusingCrashes) {
    return verdicts;
  }
  std::sort(crashes_.begin(), crashes_.end(),
            [](const crash& a, const crash& b) { return a.time < b.time; });
  std::map<std::uint64_t, crash_tally> requests;
  std::map<std::uint64_t, crash_tally> parts;
  for (const crash& event : crashes_) {
    if (now - event.time < kSettleTime || IsExplained(event)) {
      continue;
    }
    for (const auto& [request, held] : event.suspects) {
      if (IsAccused(request, event.time)) {
        requests[request].Add(event.backend, request, event.time);
      }
      for (const std::uint64_t part : held) {
        if (IsAccused(part, event.time)) {
          parts[part].Add(event.backend, request, event.time);
        }
      }
    }
  }
  const auto refuse = [&](std::uint64_t fingerprint) {
    if (!refused_.contains(fingerprint)) {
      Refuse(fingerprint, {now, 0});
      verdicts.push_back({fingerprint, true, std::chrono::milliseconds(0), 0});
    }
  };
  for (const auto& [request, count] : requests) {
    if (count.crashes() >= kRefusingCrashes) {
      refuse(request);
    }
  }
  // A part that only one request holds is refused with that request.
  std::erase_if(parts,
                [](const auto& part) { return part.second.requests() < 2; });
  int most = 0;
  for (const auto& [part, count] : parts) {
    most = std::max(most, count.crashes());
  }
  std::vector<std::uint64_t> leading;
  for (const auto& [part, count] : parts) {
    if (count.crashes() == most) {
      leading.push_back(part);
    }
  }
  if (most >= kUndecidedCrashes ||
      (most >= kRefusingCrashes && leading.size() == 1)) {
    std::for_each(leading.begin(), leading.end(), refuse);
  }
  return verdicts;
}

crash_admission crash_attribution::Admit(const crash_suspect& request,
                                         time_point now) {
  if (refused_.empty()) {
    return crash_admission::run;
  }
  std::vector<refusal*> tried;
  const auto may_run = [&](std::uint64_t fingerprint) {
    const auto found = refused_.find(fingerprint);
    if (found == refused_.end()) {
      return true;
    }
    tried.push_back(&found->second);
    return MayTry(fingerprint, found->second, now);
  };
  if (!may_run(request.request) ||
      !std::all_of(request.parts.begin(), request.parts.end(), may_run)) {
    return crash_admission::refuse;
  }
  for (refusal* verdict : tried) {
    verdict->time = now;
    ++verdict->trials;
  }
  return tried.empty() ? crash_admission::run : crash_admission::trial;
}

bool crash_attribution::MayTry(std::uint64_t fingerprint,
                               const refusal& verdict,
                               time_point now) const {
  if (now - verdict.time < TrialDelay(verdict.trials)) {
    return false;
  }
  const auto chosen =
      RendezvousTop(gateways_(), std::to_string(fingerprint), 1);
  return !chosen.empty() && chosen.front() == self_;
}

void crash_attribution::CancelTrial(const crash_suspect& request) {
  const auto cancel = [this](std::uint64_t fingerprint) {
    const auto found = refused_.find(fingerprint);
    if (found != refused_.end() && found->second.trials > 0) {
      --found->second.trials;
    }
  };
  cancel(request.request);
  std::for_each(request.parts.begin(), request.parts.end(), cancel);
}

void crash_attribution::Refuse(std::uint64_t fingerprint, refusal verdict) {
  if (refused_.size() >= kMaxRefused) {
    refused_.erase(std::min_element(refused_.begin(), refused_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.time < b.second.time;
                                    }));
  }
  refused_.emplace(fingerprint, verdict);
}

void crash_attribution::Expire(time_point now) {
  const auto is_old = [now](time_point time, duration retention) {
    return now - time > retention;
  };
  std::erase_if(crashes_, [&](const crash& event) {
    return is_old(event.time, kRetention);
  });
  std::erase_if(cleared_, [&](const auto& item) {
    return is_old(item.second, kRetention);
  });
  std::erase_if(refused_, [&](const auto& item) {
    return is_old(item.second.time, kRefusalRetention);
  });
  accused_.clear();
  for (const crash& event : crashes_) {
    for (const auto& [request, parts] : event.suspects) {
      accused_.insert(request);
      accused_.insert(parts.begin(), parts.end());
    }
  }
}

void crash_attribution::Merge(const std::vector<crash_report>& crashes,
                              const std::vector<crash_verdict>& verdicts,
                              time_point now) {
  if (!crashes.empty()) {
    Expire(now);
  }
  for (const crash_report& report : crashes) {
    AddCrash(report.backend, report.suspects, now - report.age, false);
  }
  for (const crash_verdict& verdict : verdicts) {
    const time_point time = now - verdict.age;
    if (!verdict.refused) {
      Clear(verdict.fingerprint, time);
      continue;
    }
    if (!IsAccused(verdict.fingerprint, time)) {
      continue;
    }
    const auto known = refused_.find(verdict.fingerprint);
    if (known == refused_.end()) {
      Refuse(verdict.fingerprint, {time, verdict.trials});
    } else if (verdict.trials > known->second.trials) {
      // For equal verdicts the first time holds, as each hop adds a delay.
      known->second = {time, verdict.trials};
    }
  }
}

std::vector<crash_report> crash_attribution::RecentCrashes(
    time_point now) const {
  std::vector<crash_report> reports;
  for (auto event = crashes_.rbegin();
       event != crashes_.rend() && reports.size() < kMaxReportedCrashes;
       ++event) {
    if (!event->seen_here || now - event->time > kNewsTime) {
      continue;
    }
    crash_report report{event->backend, Age(event->time, now), {}};
    for (const auto& [request, parts] : event->suspects) {
      crash_suspect suspect{request, {}};
      std::copy_if(
          parts.begin(), parts.end(), std::back_inserter(suspect.parts),
          [&](std::uint64_t part) { return IsAccused(part, event->time); });
      if (!suspect.parts.empty() || IsAccused(request, event->time)) {
        report.suspects.push_back(std::move(suspect));
      }
    }
    if (!report.suspects.empty()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

std::vector<crash_verdict> crash_attribution::Verdicts(time_point now) const {
  std::vector<crash_verdict> verdicts;
  for (const auto& [fingerprint, verdict] : refused_) {
    verdicts.push_back(
        {fingerprint, true, Age(verdict.time, now), verdict.trials});
  }
  std::size_t clearances = 0;
  for (const auto& [fingerprint, time] : cleared_) {
    if (now - time <= kNewsTime && clearances++ < kMaxReportedClearances) {
      verdicts.push_back({fingerprint, false, Age(time, now), 0});
    }
  }
  return verdicts;
}

}  // namespace cardamomyard
