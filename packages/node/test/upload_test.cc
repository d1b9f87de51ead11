#include <gtest/gtest.h>

#include "src/node/entry/key_line_guard.h"
#include "src/node/entry/multipart_reader.h"

namespace cardamomyard {
namespace {

constexpr std::string_view kForm =
    "--b1\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
    "--b1\r\nContent-Disposition: form-data; name=\"file\"; "
    "filename=\"a.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n"
    "{\"a\":1}\r\n--b\n\r\n--b1--\r\n";

// Failure: the content depends on where the body is split into pieces.
TEST(MultipartReader, EveryCutGivesTheSameFile) {
  for (std::size_t size = 1; size <= kForm.size(); ++size) {
    auto reader = multipart_reader::Create("multipart/form-data; boundary=b1");
    ASSERT_TRUE(reader);
    std::string file;
    for (std::size_t at = 0; at < kForm.size(); at += size) {
      result<std::string> piece = reader->Feed(kForm.substr(at, size));
      ASSERT_TRUE(piece);
      file += *piece;
    }
    EXPECT_EQ(file, "{\"a\":1}\r\n--b\n") << "pieces of " << size;
    EXPECT_TRUE(reader->Finish());
  }
}

// Failure: a truncated upload becomes a file.
TEST(MultipartReader, CutBodyIsRefused) {
  auto reader =
      multipart_reader::Create("multipart/form-data; boundary=\"b1\"");
  ASSERT_TRUE(reader);
  ASSERT_TRUE(reader->Feed(kForm.substr(0, kForm.size() - 6)));
  EXPECT_FALSE(reader->Finish());
  EXPECT_FALSE(multipart_reader::Create("multipart/form-data"));
}

// Failure: a key in an uploaded line reaches the store (rule 5).
TEST(KeyLineGuard, Rule05_NamesTheLineAlsoAcrossPieces) {
  const std::string key = CreateKey("acme-1").text;
  const std::string text = "{}\n\n{\"a\":\"" + key + "\"}\n";
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    key_line_guard guard;
    result<void> fed = guard.Feed(text.substr(0, cut));
    if (fed) {
      fed = guard.Feed(text.substr(cut));
    }
    ASSERT_FALSE(fed) << "cut at " << cut;
    EXPECT_EQ(fed.error().message().substr(0, 7), "line 3:");
  }
  key_line_guard clean;
  EXPECT_TRUE(clean.Feed("{}\n{\"a\":1}\n"));
}

}  // namespace
}  // namespace cardamomyard
