#include "src/config/fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

#include "src/config/path.h"

namespace cardamomyard::internal {
namespace {

constexpr std::string_view kNameRule = "[a-z0-9][a-z0-9-]{0,62}";

/// Reads typed keys out of a field_map and collects what is wrong with them.
class field_reader {
 public:
  field_reader(const field_map& fields, missing_keys missing)
      : fields_(fields), all_required_(missing == missing_keys::refuse) {}

  /// \returns whether keys that have a default must be given, too.
  bool all_required() const { return all_required_; }

  void Decimal(std::string_view key,
               double* out,
               double low,
               double high,
               bool required) {
    const std::string expected = "expected a number from " +
                                 FormatDecimal(low) + " to " +
                                 FormatDecimal(high);
    const field_value* value = Find(key, expected, required);
    if (value == nullptr) {
      return;
    }
    double number = NAN;
    if (const auto* decimal = std::get_if<double>(value)) {
      number = *decimal;
    } else if (const auto* whole = std::get_if<std::int64_t>(value)) {
      number = static_cast<double>(*whole);
    }
    if (!(number >= low && number <= high)) {  // also refuses NaN
      return Report(key, expected + ", got " + FormatField(*value));
    }
    *out = number;
  }

  void Whole(std::string_view key,
             std::int64_t* out,
             std::int64_t low,
             std::int64_t high,
             bool required) {
    const std::string expected = "expected a whole number from " +
                                 std::to_string(low) + " to " +
                                 std::to_string(high);
    const field_value* value = Find(key, expected, required);
    if (value == nullptr) {
      return;
    }
    const auto* number = std::get_if<std::int64_t>(value);
    if (number == nullptr || *number < low || *number > high) {
      return Report(key, expected + ", got " + FormatField(*value));
    }
    *out = *number;
  }

  void Flag(std::string_view key, bool* out) {
    const field_value* value =
        Find(key, "expected true or false", all_required_);
    if (value == nullptr) {
      return;
    }
    if (!std::holds_alternative<bool>(*value)) {
      return Report(key, "expected true or false, got " + FormatField(*value));
    }
    *out = std::get<bool>(*value);
  }

  template <class Check>
  void Text(std::string_view key,
            std::string* out,
            const std::string& expected,
            Check check) {
    const field_value* value = Find(key, expected, true);
    if (value == nullptr) {
      return;
    }
    const auto* text = std::get_if<std::string>(value);
    if (text == nullptr || !check(*text)) {
      return Report(key, expected + ", got " + FormatField(*value));
    }
    *out = *text;
  }

  template <class Check>
  void List(std::string_view key,
            std::vector<std::string>* out,
            const std::string& expected,
            bool required,
            Check check,
            std::size_t fewest = 0) {
    const field_value* value = Find(key, expected, required);
    if (value == nullptr) {
      return;
    }
    const auto* list = std::get_if<std::vector<std::string>>(value);
    if (list == nullptr || list->size() < fewest ||
        !std::all_of(list->begin(), list->end(), check) ||
        std::set<std::string>(list->begin(), list->end()).size() !=
            list->size()) {
      return Report(key, expected + ", got " + FormatField(*value));
    }
    *out = *list;
  }

  void Report(std::string_view key, std::string message) {
    problems_.push_back({std::string(key), std::move(message)});
  }

  /// \returns the problems, with every key that was not asked for.
  std::vector<field_problem> Finish() {
    for (const auto& [key, value] : fields_) {
      if (!known_.contains(key)) {
        std::string names;
        for (const std::string& name : known_) {
          names += (names.empty() ? "" : ", ") + name;
        }
        Report(key, "unknown key, expected one of " + names);
      }
    }
    return std::move(problems_);
  }

 private:
  const field_value* Find(std::string_view key,
                          const std::string& expected,
                          bool required) {
    known_.emplace(key);
    const auto found = fields_.find(key);
    if (found == fields_.end()) {
      if (required) {
        Report(key, "missing, " + expected);
      }
      return nullptr;
    }
    return &found->second;
  }

  const field_map& fields_;
  bool all_required_;
  std::set<std::string, std::less<>> known_;
  std::vector<field_problem> problems_;
};

bool IsHash(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// Versions and adapters name files of the weight store, which allow more
// characters than entity names.
bool IsVersion(std::string_view text) {
  return !text.empty() && text.size() <= 128 &&
         text.find_first_not_of(
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "abcdefghijklmnopqrstuvwxyz0123456789._-") ==
             std::string_view::npos;
}

std::string ExpectedName() {
  return "expected a name that matches " + std::string(kNameRule);
}

std::string ExpectedVersions() {
  return "expected a list of different strings of letters, digits, '.', '_', "
         "'-'";
}

void Read(field_reader& in, balance_config& out) {
  in.Decimal("batch_weight", &out.batch_weight, 0, 1, in.all_required());
}

void Read(field_reader& in, model_config& out) {
  in.Whole("context_tokens", &out.context_tokens, 1, 1048576, true);
  in.List("versions", &out.versions, ExpectedVersions() + ", at least one",
          true, IsVersion, 1);
  in.List("adapters", &out.adapters, ExpectedVersions(), in.all_required(),
          IsVersion);
  in.Flag("engine_checks_fencing", &out.engine_checks_fencing);
}

void Read(field_reader& in, service_config& out) {
  std::int64_t timeout = 0;
  in.Whole("timeout_ms", &timeout, 1, 600000, true);
  out.timeout = std::chrono::milliseconds(timeout);
}

void Read(field_reader& in, account_config& out) {
  in.Decimal("rate_per_second", &out.rate_per_second, 0.001, 1000000, true);
  in.Whole("burst", &out.burst, 1, 1000000, true);
  in.Decimal("weight", &out.weight, 0.01, 1000, in.all_required());
  in.List("models", &out.models, "expected a list of different model names",
          in.all_required(), IsName);
}

void Read(field_reader& in, key_config& out) {
  in.Text("account", &out.account, ExpectedName(), IsName);
  in.Text("sha256", &out.sha256, "expected 64 lower-case hex digits", IsHash);
  in.Flag("withdrawn", &out.withdrawn);
}

void Read(field_reader& in, route_config& out) {
  in.Text("path_prefix", &out.path_prefix,
          "expected a path such as \"/orders\" without '//', dot segments, "
          "'%', '?' or a final '/', outside /v1, /admin, /internal, /healthz, "
          "/readyz and /metrics",
          [](const std::string& path) {
            return IsRoutePrefix(path) && !IsReservedPath(path);
          });
  in.Text("service", &out.service, ExpectedName(), IsName);
  in.Flag("repeatable", &out.repeatable);
  in.Flag("open", &out.open);
  in.Decimal("open_rate_per_second", &out.open_rate_per_second, 0.001, 1000000,
             out.open);
  in.Whole("open_burst", &out.open_burst, 1, 1000000, out.open);
  if (!out.open) {
    // Limits of a closed route have no meaning and are not kept.
    out.open_rate_per_second = 0;
    out.open_burst = 0;
  }
}

template <class T>
entity Named(std::string_view name) {
  T value;
  if constexpr (requires { value.id; }) {
    value.id = name;
  } else if constexpr (requires { value.name; }) {
    value.name = name;
  }
  return value;
}

}  // namespace

tl::expected<entity, std::vector<field_problem>> BuildEntity(
    std::string_view kind,
    std::string_view name,
    const field_map& fields,
    missing_keys missing) {
  constexpr std::array<entity (*)(std::string_view),
                       std::variant_size_v<entity>>
      kMakers{Named<balance_config>, Named<model_config>, Named<service_config>,
              Named<account_config>, Named<key_config>,   Named<route_config>};
  for (const auto& make : kMakers) {
    entity value = make(name);
    if (EntityKind(value) != kind) {
      continue;
    }
    field_reader reader(fields, missing);
    if (kind != "balance" && !IsName(name)) {
      reader.Report("", ExpectedName() + ", got \"" + std::string(name) + "\"");
    }
    std::visit([&reader](auto& typed) { Read(reader, typed); }, value);
    if (auto problems = reader.Finish(); !problems.empty()) {
      return tl::unexpected(std::move(problems));
    }
    return value;
  }
  return tl::unexpected(std::vector<field_problem>{
      {"", "unknown kind \"" + std::string(kind) +
               "\", expected balance, model, service, account, key or route"}});
}

field_map ToFields(const entity& value) {
  struct visitor {
    field_map operator()(const balance_config& b) const {
      return {{"batch_weight", b.batch_weight}};
    }
    field_map operator()(const model_config& m) const {
      return {{"context_tokens", m.context_tokens},
              {"versions", m.versions},
              {"adapters", m.adapters},
              {"engine_checks_fencing", m.engine_checks_fencing}};
    }
    field_map operator()(const service_config& s) const {
      return {{"timeout_ms", std::int64_t{s.timeout.count()}}};
    }
    field_map operator()(const account_config& a) const {
      return {{"rate_per_second", a.rate_per_second},
              {"burst", a.burst},
              {"weight", a.weight},
              {"models", a.models}};
    }
    field_map operator()(const key_config& k) const {
      return {{"account", k.account},
              {"sha256", k.sha256},
              {"withdrawn", k.withdrawn}};
    }
    field_map operator()(const route_config& r) const {
      field_map fields{{"path_prefix", r.path_prefix},
                       {"service", r.service},
                       {"repeatable", r.repeatable},
                       {"open", r.open}};
      if (r.open) {
        fields["open_rate_per_second"] = r.open_rate_per_second;
        fields["open_burst"] = r.open_burst;
      }
      return fields;
    }
  };
  return std::visit(visitor{}, value);
}

bool IsName(std::string_view name) {
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !name.empty() && name.size() <= 63 && name.front() != '-' &&
         name.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool IsDecimalKey(std::string_view key) {
  constexpr std::array<std::string_view, 4> kKeys{
      "batch_weight", "rate_per_second", "weight", "open_rate_per_second"};
  return std::find(kKeys.begin(), kKeys.end(), key) != kKeys.end();
}

std::string FormatDecimal(double value) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value).ptr;
  return {text.data(), end};
}

std::string FormatField(const field_value& value) {
  struct visitor {
    std::string operator()(std::monostate) const {
      return "a value of another type";
    }
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
    std::string operator()(std::int64_t number) const {
      return std::to_string(number);
    }
    std::string operator()(double number) const {
      return FormatDecimal(number);
    }
    std::string operator()(const std::string& text) const {
      return "\"" + text + "\"";
    }
    std::string operator()(const std::vector<std::string>& list) const {
      std::string text;
      for (const std::string& item : list) {
        text += (text.empty() ? "\"" : ", \"") + item + "\"";
      }
      return "[" + text + "]";
    }
  };
  return std::visit(visitor{}, value);
}

}  // namespace cardamomyard::internal
