#ifndef CARDAMOMYARD_NODE_BATCH_KEYS_H_
#define CARDAMOMYARD_NODE_BATCH_KEYS_H_

#include <cstddef>
#include <string>

namespace cardamomyard::batch_keys {

// Keys of batch objects in the object API, docs/design.md section 10.1.

inline std::string File(const std::string& file_id) {
  return "file/" + file_id;
}
inline std::string Chunk(const std::string& chunk_id) {
  return "chunk/" + chunk_id;
}
inline std::string OpenPrefix(const std::string& deployment) {
  return "batch/open/" + deployment + "/";
}
inline std::string Open(const std::string& deployment, const std::string& job) {
  return OpenPrefix(deployment) + job;
}
inline std::string Job(const std::string& job) {
  return "batch/job/" + job;
}
inline std::string Group(const std::string& job, std::size_t group) {
  return "batch/group/" + job + "/" + std::to_string(group);
}
inline std::string Segment(const std::string& job,
                           std::size_t group,
                           const std::string& segment) {
  return "batch/out/" + job + "/" + std::to_string(group) + "/" + segment;
}
inline std::string AccountPrefix(const std::string& account) {
  return "batch/account/" + account + "/";
}
inline std::string Account(const std::string& account, const std::string& job) {
  return AccountPrefix(account) + job;
}

/// \returns the name under which processes propagate the cancellation of a job.
/// It includes the account, because an entry host cannot check the owner while
/// the store is down; a sidecar that runs the job knows its account.
inline std::string Cancelled(const std::string& account,
                             const std::string& job) {
  return account + "/" + job;
}

}  // namespace cardamomyard::batch_keys

#endif  // CARDAMOMYARD_NODE_BATCH_KEYS_H_
