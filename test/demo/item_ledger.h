#ifndef CARDAMOMYARD_TEST_DEMO_ITEM_LEDGER_H_
#define CARDAMOMYARD_TEST_DEMO_ITEM_LEDGER_H_

#include <cstddef>
#include <map>
#include <ostream>
#include <string>

namespace cardamomyard::demo {

/// \brief Counts the committed results of each accepted item.
class item_ledger {
 public:
  struct account {
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::string failure;  ///< Code of the last error.
  };

  void Accept(const std::string& custom_id) { items_[custom_id]; }
  /// Adds the lines of an output or error file.
  /// \returns false when a line is malformed or of no accepted item.
  bool AddResults(const std::string& lines, bool error_file);

  std::size_t accepted() const { return items_.size(); }
  std::size_t completed() const;
  std::size_t failed() const;
  /// Items without a result.
  std::size_t lost() const;
  /// Items with more than one result.
  std::size_t doubled() const;

  /// Writes one line for each item, at most \p limit.
  void Print(std::ostream& out, std::size_t limit) const;

 private:
  std::map<std::string, account> items_;
};

}  // namespace cardamomyard::demo

#endif  // CARDAMOMYARD_TEST_DEMO_ITEM_LEDGER_H_
