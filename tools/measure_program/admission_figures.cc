#include "admission_figures.h"

#include <algorithm>
#include <chrono>

namespace cardamomyard::measure {
namespace {

using loadgen::call_sample;

/// Answers 429 and 503 with `not_run` are refusals; other failures may have
/// taken their token.
bool Admitted(const call_sample& sample) {
  return sample.status != 0 && sample.outcome != "not_run";
}

bool Refused(const call_sample& sample) {
  return sample.status != 0 && sample.outcome == "not_run";
}

time_point At(double seconds) {
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds)));
}

double Overrun(std::vector<call_sample> samples, const account_limits& limits) {
  std::erase_if(samples, [](const call_sample& s) { return !Admitted(s); });
  std::sort(samples.begin(), samples.end(),
            [](const call_sample& a, const call_sample& b) {
              return a.answered_s < b.answered_s;
            });
  double worst = 0;
  for (const call_sample& first : samples) {
    double count = 0;
    for (const call_sample& last : samples) {
      if (last.sent_s < first.sent_s) {
        continue;
      }
      ++count;
      const double window = last.answered_s - first.sent_s;
      worst = std::max(
          worst, count / (limits.rate_per_second * window + limits.burst));
    }
  }
  return worst;
}

}  // namespace

admission_figures FiguresOf(std::vector<call_sample> samples,
                            const account_limits& limits) {
  std::sort(samples.begin(), samples.end(),
            [](const call_sample& a, const call_sample& b) {
              return a.sent_s < b.sent_s;
            });
  admission_figures figures;
  token_bucket exact(limits, limits.burst, At(0));
  // The bucket of the requests that were admitted. A request may wait for its
  // token, so one that was sent too early takes it in advance.
  double left = limits.burst;
  double last = 0;
  for (const call_sample& sample : samples) {
    const time_point now = At(sample.sent_s);
    figures.fair_share += exact.Take(1, now) ? 1 : 0;
    figures.served += sample.complete ? 1 : 0;
    left = std::min(limits.burst,
                    left + limits.rate_per_second * (sample.sent_s - last));
    last = sample.sent_s;
    const bool inside = left >= 1;
    figures.inside_rate += inside ? 1 : 0;
    figures.wrongly_refused += inside && Refused(sample) ? 1 : 0;
    left -= Admitted(sample) ? 1 : 0;
  }
  figures.overrun = Overrun(std::move(samples), limits);
  return figures;
}

}  // namespace cardamomyard::measure
