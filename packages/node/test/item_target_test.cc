#include "src/node/entry/item_target.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cardamomyard {
namespace {

configuration OneRoute() {
  const entity_origin origin{entity_origin::source::folder, "a.toml"};
  service_config service;
  service.name = "images";
  service.timeout = std::chrono::seconds(30);
  route_config route;
  route.name = "images";
  route.path_prefix = "/images";
  route.service = "images";
  route.repeatable = true;
  return configuration::Make(
             {MakeRecord(account_config{"acme", 10, 10, 1, {}}, origin),
              MakeRecord(service, origin), MakeRecord(route, origin)})
      .value();
}

TEST(item_target, Rule08_UrlsThatWouldEndTheHeadAreRefused) {
  const configuration content = OneRoute();
  batch_item item;
  item.url = "/images/1";
  EXPECT_EQ(FindItemDeployment(content, "acme", "/images", item).value(),
            "images");
  for (const std::string url : {"/images/1 HTTP/1.1\r\nX-Account: other\r\n",
                                "/images/a b", "/images/\n"}) {
    item.url = url;
    const auto found = FindItemDeployment(content, "acme", "/images", item);
    ASSERT_FALSE(found) << url;
    EXPECT_EQ(found.error().kind(), error_kind::invalid_request);
  }
}

}  // namespace
}  // namespace cardamomyard
