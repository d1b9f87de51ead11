#include "harness/config_writer.h"

#include <set>
#include <utility>

namespace cardamomyard::harness {
namespace {

constexpr int kPreconditionFailed = 412;
constexpr std::size_t kNonceBytes = 16;

http_response Object(test_client& http,
                     const host_address& store,
                     const std::string& key) {
  return http.Call(store, JsonRequest("GET", "/v1/objects/" + key));
}

http_response PutObject(test_client& http,
                        const host_address& store,
                        const std::string& key,
                        std::string value,
                        const std::string& version) {
  http_request request =
      JsonRequest("PUT", "/v1/objects/" + key, std::move(value));
  if (version.empty()) {
    request.headers.Set("If-None-Match", "*");
  } else {
    request.headers.Set("If-Match", version);
  }
  return http.Call(store, std::move(request));
}

tl::unexpected<error> Unexpected(const std::string& what,
                                 const http_response& answer) {
  return Fail(
      error_kind::store_unavailable,
      what + ": status " + std::to_string(answer.status) + ", " + answer.body);
}

}  // namespace

result<stored_configuration> ReadConfiguration(test_client& http,
                                               const host_address& store) {
  stored_configuration stored;
  const http_response head = Object(http, store, "config/head");
  if (head.status == 404) {
    return stored;
  }
  if (head.status != 200) {
    return Unexpected("config/head", head);
  }
  result<config_head> parsed = config_head::Parse(head.body);
  if (!parsed) {
    return Fail(parsed.error());
  }
  blob_map blobs;
  for (const std::string& name : parsed->blobs) {
    if (blobs.contains(name)) {
      continue;
    }
    const http_response blob = Object(http, store, "config/blob/" + name);
    if (blob.status != 200) {
      return Unexpected("config/blob/" + name, blob);
    }
    blobs.emplace(name, blob.body);
  }
  result<configuration> content = Assemble(*parsed, blobs);
  if (!content) {
    return Fail(content.error());
  }
  stored.version = head.headers.Get("ETag").value_or("");
  stored.head = std::move(*parsed);
  stored.content = std::move(*content);
  return stored;
}

result<std::uint64_t> WriteConfiguration(test_client& http,
                                         const host_address& store,
                                         const stored_configuration& current,
                                         const configuration& next,
                                         const std::string& summary) {
  const result<blob_set> blobs = Shard(next);
  if (!blobs) {
    return Fail(blobs.error());
  }
  std::set<std::string> known;
  if (current.head) {
    known.insert(current.head->blobs.begin(), current.head->blobs.end());
  }
  for (const blob_ptr& blob : *blobs) {
    if (!known.insert(blob->name).second) {
      continue;
    }
    const http_response put =
        PutObject(http, store, "config/blob/" + blob->name, blob->data, "");
    if (put.status != 200 && put.status != kPreconditionFailed) {
      return Unexpected("config/blob/" + blob->name, put);
    }
  }
  const config_head head =
      NextHead(current.head, *blobs, "test", summary, host_clock().WallNow(),
               RandomHex(kNonceBytes));
  const http_response put =
      PutObject(http, store, "config/head", head.ToJson(), current.version);
  if (put.status != 200) {
    return Unexpected("config/head", put);
  }
  return head.generation;
}

}  // namespace cardamomyard::harness
