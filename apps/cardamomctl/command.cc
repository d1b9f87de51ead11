#include "cardamomctl/command.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>

namespace cardamomyard::ctl {
namespace {

constexpr const char* kVersion = "0.1.0";
constexpr const char* kTokenVariable = "CARDAMOMYARD_ADMIN_TOKEN";
constexpr const char* kServerVariable = "CARDAMOMYARD_SERVER";

std::vector<verb> AllVerbs() {
  std::vector<verb> all;
  for (const auto& group : {ConfigVerbs(), EntityVerbs(), KeyVerbs(),
                            FleetVerbs(), BatchVerbs(), LogVerbs()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

cxxopts::Options DescribeFlags() {
  cxxopts::Options options("cardamomctl", "Operators' tool of cardamomyard.");
  const auto text = [] { return cxxopts::value<std::string>(); };
  options.add_options()("server", "IP:PORT of entry hosts, separated by commas",
                        text())(
      "token-file",
      "file with the administration token (else CARDAMOMYARD_ADMIN_TOKEN)",
      text())("ca", "PEM authority of the entry hosts, for TLS", text())(
      "author", "your name, for the record of changes", text())(
      "json", "print the server's JSON")("account", "client account", text())(
      "from", "first day, such as 2026-12-01", text())(
      "to", "last day, such as 2026-12-31", text())(
      "limit", "most batch jobs of one page", text())(
      "start-after", "last batch job of the previous page", text())(
      "interval-ms", "time between two looks at the folder", text())(
      "help", "print help, also for one verb")("version", "print the version");
  return options;
}

std::string Usage(const std::vector<verb>& verbs) {
  std::string text =
      "Usage: cardamomctl [FLAG...] VERB [ARGUMENT...]\n\nVerbs:\n";
  for (const verb& known : verbs) {
    text += "  " + std::string(known.name) + " " + known.arguments + "\n";
  }
  return text +
         "\nFlags of every verb:\n"
         "  --server IP:PORT[,IP:PORT]  entry hosts (else "
         "CARDAMOMYARD_SERVER)\n"
         "  --token-file FILE           administration token (else "
         "CARDAMOMYARD_ADMIN_TOKEN)\n"
         "  --ca FILE                   authority of the entry hosts, for TLS\n"
         "  --author NAME               recorded with each change (else USER)\n"
         "  --json                      print the server's JSON\n"
         "  --help, --version\n\n"
         "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no server "
         "answered.\n";
}

std::string VerbHelp(const verb& known) {
  return "Usage: cardamomctl " + std::string(known.name) + " " +
         known.arguments + "\n\n" + known.help + "\n";
}

/// \returns the verb that the words begin with, or null.
const verb* FindVerb(const std::vector<verb>& verbs,
                     std::vector<std::string>& words) {
  for (const verb& known : verbs) {
    std::istringstream parts(known.name);
    std::vector<std::string> name;
    for (std::string part; parts >> part;) {
      name.push_back(part);
    }
    if (words.size() >= name.size() &&
        std::equal(name.begin(), name.end(), words.begin())) {
      words.erase(words.begin(),
                  words.begin() + static_cast<std::ptrdiff_t>(name.size()));
      return &known;
    }
  }
  return nullptr;
}

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

result<std::string> ReadToken(const invocation& call) {
  std::string token = Environment(kTokenVariable);
  if (const std::string file = call.Flag("token-file"); !file.empty()) {
    std::ifstream in(file);
    token.clear();
    if (!std::getline(in, token)) {
      return Fail(error_kind::invalid_request,
                  "--token-file: " + file + " cannot be read");
    }
  }
  if (token.empty()) {
    return Fail(
        error_kind::invalid_request,
        std::string("--token-file or ") + kTokenVariable + " is required");
  }
  return token;
}

result<std::unique_ptr<admin_client>> MakeClient(const invocation& call) {
  admin_client::options options;
  std::string servers = call.Flag("server");
  if (servers.empty()) {
    servers = Environment(kServerVariable);
  }
  std::istringstream items(servers);
  for (std::string item; std::getline(items, item, ',');) {
    auto address = host_address::Parse(item);
    if (!address) {
      return Fail(error_kind::invalid_request,
                  "--server: expected IP:PORT, got \"" + item + "\"");
    }
    options.servers.push_back(*address);
  }
  if (options.servers.empty()) {
    return Fail(error_kind::invalid_request, "--server is required");
  }
  auto token = ReadToken(call);
  if (!token) {
    return Fail(token.error());
  }
  options.token = std::move(*token);
  options.author = call.author;
  options.ca_file = call.Flag("ca");
  return admin_client::Create(std::move(options));
}

int RunVerb(const verb& chosen, invocation& call) {
  if (call.arguments.size() < chosen.min_arguments ||
      call.arguments.size() > chosen.max_arguments) {
    *call.err << VerbHelp(chosen);
    return usage;
  }
  if (chosen.offline) {
    return chosen.run(call);
  }
  auto client = MakeClient(call);
  if (!client) {
    *call.err << "cardamomctl: " << client.error().message() << "\n";
    return usage;
  }
  call.client = client->get();
  return chosen.run(call);
}

}  // namespace

std::string invocation::Flag(const std::string& name) const {
  const auto found = flags.find(name);
  return found == flags.end() ? "" : found->second;
}

int RunCommand(int argc,
               const char* const* argv,
               std::ostream& out,
               std::ostream& err) {
  const std::vector<verb> verbs = AllVerbs();
  try {
    cxxopts::Options options = DescribeFlags();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    invocation call;
    call.out = &out;
    call.err = &err;
    for (const auto& pair : parsed.arguments()) {
      call.flags[pair.key()] = pair.value();
    }
    // A positional list option would split JSON arguments at their commas.
    call.arguments = parsed.unmatched();
    if (parsed.count("version") > 0) {
      out << "cardamomctl " << kVersion << "\n";
      return ok;
    }
    const verb* chosen = FindVerb(verbs, call.arguments);
    if (parsed.count("help") > 0) {
      out << (chosen == nullptr ? Usage(verbs) : VerbHelp(*chosen));
      return ok;
    }
    if (chosen == nullptr) {
      err << Usage(verbs);
      return usage;
    }
    call.json = parsed.count("json") > 0;
    call.author = call.Flag("author");
    if (call.author.empty()) {
      call.author = Environment("USER");
    }
    if (call.author.empty()) {
      call.author = "cardamomctl";
    }
    return RunVerb(*chosen, call);
  } catch (const cxxopts::exceptions::exception& failure) {
    err << "cardamomctl: " << failure.what() << "\n";
    return usage;
  }
}

}  // namespace cardamomyard::ctl
