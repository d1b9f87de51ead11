#include "src/config/folder.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "src/config/fields.h"

namespace cardamomyard {
namespace {

struct location {
  std::string file;
  int line = 0;
};

/// One entry of the folder while the files are merged.
struct merged_entry {
  internal::field_map fields;
  std::map<std::string, location, std::less<>> locations;
  location last;  ///< Where the entry was touched last.
};

using entry_map = std::map<std::pair<std::string, std::string>, merged_entry>;

internal::field_value ToField(const toml::node& node) {
  if (const auto* flag = node.as_boolean()) {
    return flag->get();
  }
  if (const auto* whole = node.as_integer()) {
    return whole->get();
  }
  if (const auto* decimal = node.as_floating_point()) {
    return decimal->get();
  }
  if (const auto* text = node.as_string()) {
    return text->get();
  }
  if (const auto* array = node.as_array()) {
    std::vector<std::string> list;
    for (const toml::node& item : *array) {
      const auto* text = item.as_string();
      if (text == nullptr) {
        return std::monostate{};
      }
      list.push_back(text->get());
    }
    return list;
  }
  return std::monostate{};
}

/// \returns "kind.name", or "kind" when \p name is empty.
std::string Path(const std::string& kind, const std::string& name) {
  std::string path = kind;
  if (!name.empty()) {
    path += '.';
    path += name;
  }
  return path;
}

/// Adds the tables of files to entries and collects faults.
class folder_merger {
 public:
  void Add(const config_file& file) {
    if (!file.text.empty() && file.text.back() != '\n') {
      const auto lines =
          std::count(file.text.begin(), file.text.end(), '\n') + 1;
      Report({file.name, static_cast<int>(lines)}, "",
             "expected a line break at the end of the file; the file may be "
             "truncated");
      return;
    }
    const toml::parse_result parsed = toml::parse(file.text, file.name);
    if (!parsed) {
      Report({file.name, static_cast<int>(parsed.error().source().begin.line)},
             "", "expected TOML: " + std::string(parsed.error().description()));
      return;
    }
    for (const auto& [kind, node] : parsed.table()) {
      AddKind(file.name, std::string(kind.str()),
              static_cast<int>(kind.source().begin.line), node);
    }
  }

  void Report(const location& where, std::string key, std::string message) {
    errors_.push_back(
        {where.file, where.line, std::move(key), std::move(message)});
  }

  entry_map& entries() { return entries_; }
  std::vector<config_error>& errors() { return errors_; }

 private:
  void AddKind(const std::string& file,
               const std::string& kind,
               int line,
               const toml::node& node) {
    constexpr std::array<std::string_view, 6> kKinds{
        "balance", "model", "service", "account", "key", "route"};
    const bool known =
        std::find(kKinds.begin(), kKinds.end(), kind) != kKinds.end();
    const toml::table* table = node.as_table();
    if (!known || table == nullptr) {
      return Report({file, line}, kind,
                    known ? "expected a table"
                          : "unknown key, expected one of the tables balance, "
                            "model, service, account, key and route");
    }
    if (kind == "balance") {
      return AddEntry({file, line}, kind, "", *table);
    }
    for (const auto& [name, value] : *table) {
      const location where{file, static_cast<int>(name.source().begin.line)};
      const std::string text(name.str());
      if (!value.is_table()) {
        Report(where, Path(kind, text), "expected a table [" + kind + ".NAME]");
      } else {
        AddEntry(where, kind, text, *value.as_table());
      }
    }
  }

  void AddEntry(const location& where,
                const std::string& kind,
                const std::string& name,
                const toml::table& table) {
    merged_entry& entry = entries_[{kind, name}];
    entry.last = where;
    for (const auto& [key, value] : table) {
      const std::string text(key.str());
      entry.fields[text] = ToField(value);
      entry.locations[text] = {where.file,
                               static_cast<int>(key.source().begin.line)};
    }
  }

  entry_map entries_;
  std::vector<config_error> errors_;
};

}  // namespace

std::string config_error::ToString() const {
  return file + ":" + std::to_string(line) + ": " +
         (key.empty() ? "" : key + ": ") + message;
}

tl::expected<configuration, std::vector<config_error>> ParseFolder(
    std::vector<config_file> files) {
  std::stable_sort(files.begin(), files.end(),
                   [](const config_file& a, const config_file& b) {
                     return a.name < b.name;
                   });
  folder_merger merger;
  for (std::size_t i = 0; i < files.size(); ++i) {
    if (i > 0 && files[i].name == files[i - 1].name) {
      merger.Report({files[i].name, 0}, "",
                    "expected each file name once in the folder");
    }
    merger.Add(files[i]);
  }
  // Faults of single files come first: what they hide would only add noise.
  if (!merger.errors().empty()) {
    return tl::unexpected(std::move(merger.errors()));
  }
  const auto report = [&merger](const merged_entry& entry,
                                const std::string& path, const std::string& key,
                                const std::string& message) {
    const auto found = entry.locations.find(key);
    merger.Report(found == entry.locations.end() ? entry.last : found->second,
                  key.empty() ? path : path + "." + key, message);
  };
  std::vector<record_ptr> records;
  std::map<std::string, const merged_entry*> by_id;
  for (const auto& [id, entry] : merger.entries()) {
    const auto& [kind, name] = id;
    auto built = internal::BuildEntity(kind, name, entry.fields,
                                       internal::missing_keys::refuse);
    if (built) {
      records.push_back(MakeRecord(
          std::move(*built), {entity_origin::source::folder, entry.last.file}));
      by_id[records.back()->id] = &entry;
      continue;
    }
    for (const internal::field_problem& problem : built.error()) {
      report(entry, Path(kind, name), problem.key, problem.message);
    }
  }
  if (!merger.errors().empty()) {
    return tl::unexpected(std::move(merger.errors()));
  }
  auto made = configuration::Make(std::move(records));
  if (!made) {
    for (const reference_problem& problem : made.error()) {
      std::string path = problem.entity_id;
      std::replace(path.begin(), path.end(), '/', '.');
      report(*by_id.at(problem.entity_id), path, problem.key, problem.message);
    }
    return tl::unexpected(std::move(merger.errors()));
  }
  return std::move(*made);
}

}  // namespace cardamomyard
