#include "src/node/entry/item_target.h"

#include "cardamomyard/net.h"
#include "src/node/entry/inference_request.h"

namespace cardamomyard {

result<std::string> FindItemDeployment(const configuration& content,
                                       const std::string& account,
                                       const std::string& endpoint,
                                       const batch_item& item) {
  const account_config* owner = content.FindAccount(account);
  if (owner == nullptr) {
    return Fail(error_kind::forbidden, "the client account does not exist");
  }
  if (const auto valid = CheckTarget(item.url); !valid) {
    return Fail(valid.error());
  }
  if (!item.url.starts_with("/v1/")) {
    const route_config* route = content.FindRoute(item.url);
    if (route == nullptr) {
      return Fail(error_kind::not_found, "no route for " + item.url);
    }
    if (content.FindRoute(endpoint) != route) {
      return Fail(
          error_kind::invalid_request,
          "the url " + item.url + " does not match the endpoint " + endpoint);
    }
    return route->service;
  }
  if (item.url != endpoint) {
    return Fail(error_kind::invalid_request,
                "the url " + item.url + " is not the endpoint " + endpoint);
  }
  auto parsed = ParseInferenceRequest(item.url, item.body);
  if (!parsed) {
    return Fail(parsed.error());
  }
  if (content.FindModel(parsed->model) == nullptr) {
    return Fail(error_kind::not_found, "no model \"" + parsed->model + "\"");
  }
  if (!owner->MayUse(parsed->model)) {
    return Fail(
        error_kind::forbidden,
        "the client account may not use the model \"" + parsed->model + "\"");
  }
  return parsed->model;
}

}  // namespace cardamomyard
