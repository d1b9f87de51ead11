#include "src/node/process_status.h"

#include <boost/json.hpp>
#include <utility>

#include "src/node/internal_api.h"

namespace cardamomyard {
namespace json = boost::json;

void AddStatusHandler(internal_server& server,
                      std::function<process_status()> describe) {
  server.AddControl(
      std::string(internal_api::kStatus),
      [describe = std::move(describe)](
          const http_request&) -> boost::asio::awaitable<http_response> {
        const process_status status = describe();
        co_return JsonResponse(200, json::serialize(json::object{
                                        {"id", status.id},
                                        {"role", status.role},
                                        {"zone", status.zone},
                                        {"generation", status.generation},
                                        {"share_epoch", status.share_epoch},
                                        {"contact", status.contact},
                                        {"state", status.state},
                                        {"incarnation", status.incarnation}}));
      });
}

}  // namespace cardamomyard
