#ifndef CARDAMOMYARD_NODE_ENTRY_MULTIPART_READER_H_
#define CARDAMOMYARD_NODE_ENTRY_MULTIPART_READER_H_

#include <string>
#include <string_view>

#include "cardamomyard/base.h"

namespace cardamomyard {

/// \brief Incrementally extracts the part named `file` from a
/// multipart/form-data body.
class multipart_reader {
 public:
  /// \param content_type  value of the Content-Type header.
  static result<multipart_reader> Create(std::string_view content_type);

  /// \returns the further bytes of the part `file` that are known after \p
  /// piece.
  result<std::string> Feed(std::string_view piece);
  /// Fails when the closing boundary or the part `file` is missing.
  result<void> Finish() const;

 private:
  enum class state { preamble, after_boundary, headers, content, finished };

  explicit multipart_reader(std::string_view boundary);
  bool ParseNext(std::string& out);
  bool ParseHeaders();
  bool ParseContent(std::string& out);

  std::string delimiter_;
  std::string buffer_;
  state state_ = state::preamble;
  bool in_file_ = false;
  bool file_seen_ = false;
  bool malformed_ = false;
};

}  // namespace cardamomyard

#endif  // CARDAMOMYARD_NODE_ENTRY_MULTIPART_READER_H_
