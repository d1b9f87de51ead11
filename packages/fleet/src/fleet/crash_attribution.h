#ifndef CARDAMOMYARD_FLEET_CRASH_ATTRIBUTION_H_
#define CARDAMOMYARD_FLEET_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cardamomyard/base.h"
#include "cardamomyard/wire.h"

namespace cardamomyard {

enum class crash_admission {
  run,
  /// It holds what is refused, but runs to find out whether that still crashes
  /// servers.
  trial,
  refuse,
};

/// \brief Finds out which requests, or which prompt parts that requests share,
/// crash the backend servers that run them.
///
/// Answers a load in which a few requests in a hundred crash their servers and
/// the sound requests beside them break off too. A cause is present at each
/// crash and never in a complete answer. So each crash accuses what had hardly
/// begun on the server, and a complete answer clears all that its request
/// holds. What remains accused by several crashes is refused. Crashes that a
/// refused part explains accuse nothing else.
///
/// Hosts exchange crashes and verdicts in their digests, so that crashes under
/// requests of several gateways add up. A refused part is tried again with one
/// request of one gateway, after increasing delays, so that a wrong verdict
/// ends by itself.
class crash_attribution {
 public:
  /// Crashes of different servers after which a cause is refused.
  static constexpr int kRefusingCrashes = 3;
  /// Crashes after which causes that no crash tells apart are all refused.
  static constexpr int kUndecidedCrashes = 5;
  /// A crash counts only after this time, in which complete answers at other
  /// hosts become known.
  static constexpr std::chrono::milliseconds kSettleTime{300};

  /// \param gateways  returns the names of the live gateways.
  crash_attribution(std::string self,
                    std::function<std::vector<std::string>()> gateways);

  /// A server of this host's requests crashed.
  void RecordCrash(const std::string& backend,
                   const std::vector<crash_suspect>& suspects,
                   time_point now);
  /// A server answered the request completely.
  void RecordCompletion(const crash_suspect& request, time_point now);
  /// Decides whether a request may be sent to a server.
  crash_admission Admit(const crash_suspect& request, time_point now);
  /// The trial was not run by a server, so it has shown nothing.
  void CancelTrial(const crash_suspect& request);
  /// Refuses what the known crashes prove. \returns the new verdicts.
  std::vector<crash_verdict> Decide(time_point now);

  /// Takes over what a peer knows.
  void Merge(const std::vector<crash_report>& crashes,
             const std::vector<crash_verdict>& verdicts,
             time_point now);
  /// \returns the crashes that this host saw itself and its peers may not have
  /// heard of.
  std::vector<crash_report> RecentCrashes(time_point now) const;
  /// \returns what is refused, and what was cleared a short time ago.
  std::vector<crash_verdict> Verdicts(time_point now) const;

 private:
  struct crash {
    std::string backend;
    time_point time;
    bool seen_here = false;
    /// The parts of each accused request, by the request's fingerprint.
    std::map<std::uint64_t, std::set<std::uint64_t>> suspects;
  };
  struct refusal {
    time_point time;  ///< Of the verdict, or of the last trial.
    int trials = 0;
  };

  void AddCrash(const std::string& backend,
                const std::vector<crash_suspect>& suspects,
                time_point time,
                bool seen_here);
  void Clear(std::uint64_t fingerprint, time_point time);
  /// \returns whether \p fingerprint is accused by a crash at \p time.
  bool IsAccused(std::uint64_t fingerprint, time_point time) const;
  bool IsExplained(const crash& event) const;
  bool MayTry(std::uint64_t fingerprint,
              const refusal& verdict,
              time_point now) const;
  void Refuse(std::uint64_t fingerprint, refusal verdict);
  void Expire(time_point now);

  std::string self_;
  std::function<std::vector<std::string>()> gateways_;
  std::vector<crash> crashes_;
  /// All that any known crash accuses.
  std::unordered_set<std::uint64_t> accused_;
  std::unordered_map<std::uint64_t, time_point> cleared_;
  std::map<std::uint64_t, refusal> refused_;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_FLEET_CRASH_ATTRIBUTION_H_
