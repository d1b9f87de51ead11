#include "src/config/configuration.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "src/config/path.h"

namespace cardamomyard {
namespace internal {

// The names point into the records, which live as long as the index.
template <class T>
using name_index = std::unordered_map<std::string_view, const T*>;

struct configuration_index {
  std::vector<record_ptr> records;
  balance_config balance;
  name_index<account_config> accounts;
  name_index<model_config> models;
  name_index<service_config> services;
  name_index<key_config> keys;
  name_index<key_config> hashes;
  name_index<route_config> routes;  ///< by path prefix

  void Add(const balance_config& value) { balance = value; }
  void Add(const account_config& value) { accounts[value.name] = &value; }
  void Add(const model_config& value) { models[value.name] = &value; }
  void Add(const service_config& value) { services[value.name] = &value; }
  void Add(const key_config& value) { keys[value.id] = &value; }
  void Add(const route_config&) {}  // entered when its prefix is checked
};

namespace {

template <class T>
const T* Lookup(const name_index<T>& index, std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? nullptr : found->second;
}

/// Checks the rules between entities and enters hashes and prefixes.
class reference_checker {
 public:
  explicit reference_checker(configuration_index& index) : index_(index) {}

  void operator()(const account_config& account) {
    for (const std::string& model : account.models) {
      if (!index_.models.contains(model)) {
        Report("models", "expected names of models, but model \"" + model +
                             "\" does not exist");
      }
    }
  }
  void operator()(const key_config& key) {
    // A withdrawn key outlives its account so that it is never accepted again.
    if (!key.withdrawn && !index_.accounts.contains(key.account)) {
      Report("account", "expected the name of an account, but account \"" +
                            key.account + "\" does not exist");
    }
    const auto [entry, added] = index_.hashes.emplace(key.sha256, &key);
    if (!added) {
      Report("sha256", "expected a hash of its own, but key \"" +
                           entry->second->id + "\" has the same hash");
    }
  }
  void operator()(const route_config& route) {
    if (!index_.services.contains(route.service)) {
      Report("service", "expected the name of a service, but service \"" +
                            route.service + "\" does not exist");
    }
    const auto [entry, added] =
        index_.routes.emplace(route.path_prefix, &route);
    if (!added) {
      Report("path_prefix", "expected a prefix of its own, but route \"" +
                                entry->second->name + "\" has the same prefix");
    }
  }
  void operator()(const auto&) {}

  void Check(const entity_record& record) {
    id_ = &record.id;
    std::visit(*this, record.value);
  }
  void Report(std::string key, std::string message) {
    problems_.push_back({*id_, std::move(key), std::move(message)});
  }
  std::vector<reference_problem>& problems() { return problems_; }

 private:
  configuration_index& index_;
  const std::string* id_ = nullptr;
  std::vector<reference_problem> problems_;
};

}  // namespace
}  // namespace internal

configuration::configuration()
    : index_(std::make_shared<const internal::configuration_index>()) {}

tl::expected<configuration, std::vector<reference_problem>> configuration::Make(
    std::vector<record_ptr> records) {
  // Edits append a few records to a sorted list, so only the tail is sorted.
  const auto by_id = [](const record_ptr& a, const record_ptr& b) {
    return a->id < b->id;
  };
  const auto tail = std::is_sorted_until(records.begin(), records.end(), by_id);
  std::sort(tail, records.end(), by_id);
  std::inplace_merge(records.begin(), tail, records.end(), by_id);
  auto index = std::make_shared<internal::configuration_index>();
  index->records = std::move(records);
  index->accounts.reserve(index->records.size() / 2);
  index->keys.reserve(index->records.size() / 2);
  index->hashes.reserve(index->records.size() / 2);
  internal::reference_checker checker(*index);
  const std::string* previous = nullptr;
  for (const record_ptr& record : index->records) {
    if (previous != nullptr && *previous == record->id) {
      checker.problems().push_back(
          {record->id, "", "expected one entity of that kind and name"});
    }
    previous = &record->id;
    std::visit([&index](const auto& value) { index->Add(value); },
               record->value);
  }
  for (const record_ptr& record : index->records) {
    checker.Check(*record);
  }
  if (!checker.problems().empty()) {
    return tl::unexpected(std::move(checker.problems()));
  }
  configuration made;
  made.index_ = std::move(index);
  return made;
}

const std::vector<record_ptr>& configuration::records() const {
  return index_->records;
}

record_ptr configuration::Find(std::string_view id) const {
  const auto found =
      std::lower_bound(records().begin(), records().end(), id,
                       [](const record_ptr& record, std::string_view wanted) {
                         return record->id < wanted;
                       });
  return found != records().end() && (*found)->id == id ? *found : nullptr;
}

const balance_config& configuration::balance() const {
  return index_->balance;
}

const account_config* configuration::FindAccount(std::string_view name) const {
  return internal::Lookup(index_->accounts, name);
}

const model_config* configuration::FindModel(std::string_view name) const {
  return internal::Lookup(index_->models, name);
}

const service_config* configuration::FindService(std::string_view name) const {
  return internal::Lookup(index_->services, name);
}

const key_config* configuration::FindKey(std::string_view id) const {
  return internal::Lookup(index_->keys, id);
}

const key_config* configuration::FindKeyByHash(std::string_view sha256) const {
  return internal::Lookup(index_->hashes, sha256);
}

const route_config* configuration::FindRoute(std::string_view path) const {
  if (!path.starts_with('/') || internal::IsReservedPath(path) ||
      internal::HasDotSegments(path)) {
    return nullptr;
  }
  for (std::string_view prefix = path; !prefix.empty();
       prefix = prefix.substr(0, prefix.rfind('/'))) {
    if (const auto* route = internal::Lookup(index_->routes, prefix)) {
      return route;
    }
  }
  return internal::Lookup(index_->routes, "/");
}

bool operator==(const configuration& a, const configuration& b) {
  return a.index_ == b.index_ ||
         std::equal(a.records().begin(), a.records().end(), b.records().begin(),
                    b.records().end(),
                    [](const record_ptr& x, const record_ptr& y) {
                      return x == y || *x == *y;
                    });
}

}  // namespace cardamomyard
