#include "src/config/edit.h"

#include <algorithm>
#include <utility>

#include "src/config/entity_json.h"
#include "src/config/fields.h"

#include "cardamomyard/statechart.h"

namespace cardamomyard {
namespace {

bool IsFolder(const entity_record& record) {
  return record.origin.from == entity_origin::source::folder;
}

const key_config* WithdrawnKey(const entity_record& record) {
  const auto* key = std::get_if<key_config>(&record.value);
  return key != nullptr && key->withdrawn ? key : nullptr;
}

std::string OriginText(const entity_origin& origin) {
  return origin.from == entity_origin::source::folder ? "file " + origin.file
                                                      : "api";
}

std::string AddedLine(const entity_record& record) {
  std::string line = "+ " + record.id + ":";
  for (const auto& [key, value] : internal::ToFields(record.value)) {
    line += " " + key + " = " + internal::FormatField(value) + ",";
  }
  return line + " from " + OriginText(record.origin);
}

std::string ChangedLine(const entity_record& before,
                        const entity_record& after) {
  std::string line;
  const auto change = [&line](const std::string& key, const std::string& from,
                              const std::string& to) {
    if (from != to) {
      line += line.empty() ? " " : ", ";
      line += key;
      line += " ";
      line += from;
      line += " -> ";
      line += to;
    }
  };
  auto old_fields = internal::ToFields(before.value);
  for (const auto& [key, value] : internal::ToFields(after.value)) {
    const auto old = old_fields.find(key);
    change(
        key,
        old == old_fields.end() ? "unset" : internal::FormatField(old->second),
        internal::FormatField(value));
    if (old != old_fields.end()) {
      old_fields.erase(old);
    }
  }
  for (const auto& [key, value] : old_fields) {
    change(key, internal::FormatField(value), "unset");
  }
  change("origin", OriginText(before.origin), OriginText(after.origin));
  return "~ " + after.id + ":" + line;
}

/// \returns the records of \p current without \p id.
std::vector<record_ptr> Without(const configuration& current,
                                std::string_view id) {
  std::vector<record_ptr> records = current.records();
  std::erase_if(records,
                [id](const record_ptr& record) { return record->id == id; });
  return records;
}

tl::unexpected<error> FolderOwns(const entity_record& record) {
  return Fail(error_kind::conflict,
              record.id + " is defined by the folder's file " +
                  record.origin.file + "; edit that file");
}

}  // namespace

namespace internal {

result<configuration> MakeChecked(std::vector<record_ptr> records) {
  auto made = configuration::Make(std::move(records));
  if (made) {
    return std::move(*made);
  }
  constexpr std::size_t kMostNamed = 5;  // keeps the message readable
  std::string message;
  const auto& problems = made.error();
  for (std::size_t i = 0; i < std::min(problems.size(), kMostNamed); ++i) {
    message += (i == 0 ? "" : "; ") + problems[i].entity_id +
               (problems[i].key.empty() ? "" : "." + problems[i].key) + ": " +
               problems[i].message;
  }
  if (problems.size() > kMostNamed) {
    message += "; and " + std::to_string(problems.size() - kMostNamed) +
               " more problems";
  }
  return Fail(error_kind::invalid_request, std::move(message));
}

}  // namespace internal

std::vector<std::string> Diff(const configuration& before,
                              const configuration& after) {
  std::vector<std::string> lines;
  auto old = before.records().begin();
  auto now = after.records().begin();
  const auto old_end = before.records().end();
  const auto now_end = after.records().end();
  while (old != old_end || now != now_end) {
    if (now == now_end || (old != old_end && (*old)->id < (*now)->id)) {
      lines.push_back("- " + (*old++)->id);
    } else if (old == old_end || (*now)->id < (*old)->id) {
      lines.push_back(AddedLine(**now++));
    } else {
      if (*old != *now && **old != **now) {
        lines.push_back(ChangedLine(**old, **now));
      }
      ++old;
      ++now;
    }
  }
  return lines;
}

result<configuration> ApplyFolder(const configuration& current,
                                  const configuration& folder) {
  std::vector<record_ptr> records;
  for (const record_ptr& record : folder.records()) {
    const record_ptr before = current.Find(record->id);
    if (before == nullptr) {
      records.push_back(record);
      continue;
    }
    if (!IsFolder(*before)) {
      return Fail(error_kind::conflict,
                  record->id + " in the folder's file " + record->origin.file +
                      " is already defined through the administration API");
    }
    const key_config* withdrawn = WithdrawnKey(*before);
    if (withdrawn == nullptr) {
      records.push_back(*before == *record ? before : record);
      continue;
    }
    key_config key = std::get<key_config>(record->value);
    if (key.sha256 != withdrawn->sha256) {
      return Fail(error_kind::conflict,
                  record->id + " in the folder's file " + record->origin.file +
                      " has the id of a withdrawn key; give the new key "
                      "another id");
    }
    key.withdrawn = true;
    records.push_back(MakeRecord(std::move(key), record->origin));
  }
  for (const record_ptr& record : current.records()) {
    if (!IsFolder(*record) || (WithdrawnKey(*record) != nullptr &&
                               folder.Find(record->id) == nullptr)) {
      records.push_back(record);
    }
  }
  return internal::MakeChecked(std::move(records));
}

result<configuration> PutApiEntity(const configuration& current,
                                   const entity& value) {
  auto checked = internal::CheckEntity(value);
  if (!checked) {
    return Fail(checked.error());
  }
  const record_ptr record = MakeRecord(std::move(*checked), {});
  const record_ptr before = current.Find(record->id);
  if (before != nullptr && IsFolder(*before)) {
    return FolderOwns(*before);
  }
  if (before != nullptr && WithdrawnKey(*before) != nullptr &&
      WithdrawnKey(*record) == nullptr) {
    return Fail(error_kind::conflict,
                record->id + " is withdrawn; create a key with another id");
  }
  std::vector<record_ptr> records = Without(current, record->id);
  records.push_back(record);
  return internal::MakeChecked(std::move(records));
}

result<configuration> RemoveApiEntity(const configuration& current,
                                      std::string_view id) {
  const record_ptr before = current.Find(id);
  if (before == nullptr) {
    return Fail(error_kind::not_found, std::string(id) + " does not exist");
  }
  if (IsFolder(*before)) {
    return FolderOwns(*before);
  }
  return internal::MakeChecked(Without(current, id));
}

result<configuration> WithdrawKey(const configuration& current,
                                  std::string_view key_id) {
  const key_config* found = current.FindKey(key_id);
  if (found == nullptr) {
    return Fail(error_kind::not_found,
                "key/" + std::string(key_id) + " does not exist");
  }
  if (found->withdrawn) {
    return current;
  }
  if (const auto next = ActiveCharts().key.Next("active", "withdraw"); !next) {
    return Fail(next.error());
  }
  const record_ptr before = current.Find("key/" + found->id);
  key_config key = *found;
  key.withdrawn = true;
  std::vector<record_ptr> records = Without(current, before->id);
  records.push_back(MakeRecord(std::move(key), before->origin));
  return internal::MakeChecked(std::move(records));
}

}  // namespace cardamomyard
