#include "src/node/entry/admin_call.h"
#include "src/node/entry/admin_json.h"

namespace cardamomyard {
namespace asio = boost::asio;
namespace json = boost::json;
namespace {

constexpr std::size_t kMaxListedErrors = 50;

result<std::vector<config_file>> ReadFiles(const json::object& body) {
  const json::value* files = body.if_contains("files");
  if (files == nullptr || !files->is_array()) {
    return Fail(error_kind::invalid_request,
                "files: expected a list of {name, text}");
  }
  std::vector<config_file> read;
  for (const json::value& item : files->get_array()) {
    auto fields = ParseAdminObject(json::serialize(item), {"name", "text"});
    if (!fields) {
      return Fail(error_kind::invalid_request,
                  "files: " + fields.error().message());
    }
    auto name = RequiredString(*fields, "name");
    auto text = RequiredString(*fields, "text");
    if (!name || !text) {
      return Fail(!name ? name.error() : text.error());
    }
    read.push_back({std::move(*name), std::move(*text)});
  }
  return read;
}

result<configuration> ReadFolder(const json::object& body) {
  auto files = ReadFiles(body);
  if (!files) {
    return Fail(files.error());
  }
  auto folder = ParseFolder(std::move(*files));
  if (folder) {
    return std::move(*folder);
  }
  std::string message;
  for (std::size_t i = 0; i < folder.error().size(); ++i) {
    if (i == kMaxListedErrors) {
      message += "\nand " + std::to_string(folder.error().size() - i) + " more";
      break;
    }
    message += (i == 0 ? "" : "\n") + folder.error()[i].ToString();
  }
  return Fail(error_kind::invalid_request, std::move(message));
}

json::object DescribeHead(const std::optional<config_head>& head) {
  if (!head) {
    return {{"generation", 0}};
  }
  return {{"generation", head->generation},
          {"author", head->author},
          {"time", UnixMs(head->time)},
          {"summary", head->summary}};
}

asio::awaitable<admin_response> Show(admin_services& services) {
  const auto view = services.config->view();
  auto head = co_await services.writer->ReadHead();
  std::optional<config_head> shown;
  if (head) {
    shown = std::move(*head);
  } else if (view) {
    shown = view->snapshot->head;
  } else {
    co_return Fail(head.error());
  }
  json::object answer = DescribeHead(shown);
  answer["in_force_here"] = services.config->in_force();
  answer["store_available"] = head.has_value();
  json::object counts;
  if (view) {
    for (const record_ptr& record : view->content().records()) {
      const std::string_view kind = EntityKind(record->value);
      json::value& count = counts[{kind.data(), kind.size()}];
      count = (count.is_null() ? 0 : count.to_number<std::int64_t>()) + 1;
    }
  }
  answer["entities"] = std::move(counts);
  co_return json::serialize(answer);
}

asio::awaitable<admin_response> ShowDiff(admin_services& services,
                                         admin_call call) {
  auto body = ParseAdminObject(call.body, {"files", "author"});
  if (!body) {
    co_return Fail(body.error());
  }
  auto folder = ReadFolder(*body);
  if (!folder) {
    co_return Fail(folder.error());
  }
  const auto view = services.config->view();
  const configuration current = view ? view->content() : configuration();
  auto next = ApplyFolder(current, *folder);
  if (!next) {
    co_return Fail(next.error());
  }
  const json::object answer{{"generation", services.config->in_force()},
                            {"changes", ToJsonArray(Diff(current, *next))}};
  co_return json::serialize(answer);
}

asio::awaitable<admin_response> Apply(admin_services& services,
                                      admin_call call) {
  auto body =
      ParseAdminObject(call.body, {"expected_generation", "author", "files"});
  if (!body) {
    co_return Fail(body.error());
  }
  config_change change;
  boost::system::error_code code;
  if (const json::value* expected = body->if_contains("expected_generation")) {
    change.expected_generation = expected->to_number<std::uint64_t>(code);
  }
  if (!change.expected_generation || code) {
    co_return Fail(error_kind::invalid_request,
                   "expected_generation: expected a whole number");
  }
  auto author = RequiredString(*body, "author");
  if (!author || author->empty() || author->size() > 128) {
    co_return Fail(error_kind::invalid_request,
                   "author: expected 1 to 128 characters");
  }
  auto folder = ReadFolder(*body);
  if (!folder) {
    co_return Fail(folder.error());
  }
  change.author = std::move(*author);
  change.summary =
      "folder with " + std::to_string(folder->records().size()) + " entities";
  change.apply = [folder = *folder](const configuration& current) {
    return ApplyFolder(current, folder);
  };
  auto written = co_await services.writer->Write(std::move(change));
  if (!written) {
    co_return Fail(written.error());
  }
  const json::object answer{{"generation", written->generation},
                            {"changes", ToJsonArray(written->changes)}};
  co_return json::serialize(answer);
}

}  // namespace

asio::awaitable<admin_response> ServeAdminConfig(admin_services& services,
                                                 admin_call call) {
  if (call.path.size() == 1 && call.method == "GET") {
    co_return co_await Show(services);
  }
  if (call.path.size() == 1 && call.method == "POST") {
    co_return co_await Apply(services, std::move(call));
  }
  if (call.path.size() == 2 && call.path[1] == "diff" &&
      call.method == "POST") {
    co_return co_await ShowDiff(services, std::move(call));
  }
  co_return NoSuchAdminCall(call);
}

}  // namespace cardamomyard
