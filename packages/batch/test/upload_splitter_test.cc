#include <gtest/gtest.h>

#include <random>
#include <set>

#include "cardamomyard/base.h"
#include "cardamomyard/batch.h"

namespace cardamomyard {
namespace {

std::string ItemLine(const std::string& id, std::size_t padding = 0) {
  return R"({"custom_id":")" + id +
         R"(","method":"POST","url":"/v1/completions","body":{"prompt":")" +
         std::string(padding, 'p') + "\"}}";
}

// Reference implementation that splits the whole upload as one string.
result<std::vector<std::string>> SplitWhole(std::string text) {
  if (text.starts_with("\xEF\xBB\xBF")) {
    text.erase(0, 3);
  }
  std::vector<std::string> chunks;
  std::size_t items = 0;
  std::set<std::string> ids;
  std::size_t line_number = 0;
  for (std::size_t position = 0; position < text.size();) {
    const std::size_t end = std::min(text.find('\n', position), text.size());
    std::string line = text.substr(position, end - position);
    position = end + 1;
    ++line_number;
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    if (line.empty()) {
      continue;
    }
    const result<batch_item> item = ParseItem(line);
    if (!item || !ids.insert(item->custom_id).second) {
      return Fail(error_kind::invalid_request,
                  "line " + std::to_string(line_number) + ":");
    }
    line += '\n';
    if (chunks.empty() || items == 1000 ||
        chunks.back().size() + line.size() > 900'000) {
      chunks.emplace_back();
      items = 0;
    }
    chunks.back() += line;
    ++items;
  }
  return chunks;
}

result<finished_upload> SplitPieces(std::string_view text,
                                    std::mt19937_64& random,
                                    std::size_t max_piece_bytes) {
  upload_splitter splitter("acme");
  std::vector<upload_chunk> chunks;
  while (!text.empty()) {
    const std::size_t size =
        std::min<std::size_t>(random() % (max_piece_bytes + 1), text.size());
    const result<std::vector<upload_chunk>> part =
        splitter.Feed(text.substr(0, size));
    if (!part) {
      return Fail(part.error());
    }
    chunks.insert(chunks.end(), part->begin(), part->end());
    text.remove_prefix(size);
  }
  result<finished_upload> end = splitter.Finish();
  if (end) {
    end->chunks.insert(end->chunks.begin(), chunks.begin(), chunks.end());
  }
  return end;
}

// The result could depend on where the upload is divided into pieces: inside a
// byte order mark, between CR and LF, or inside a line.
TEST(UploadSplitter, AgreesWithWholeStringVersion) {
  std::mt19937_64 random(20261204);
  int refused = 0;
  for (int run = 0; run < 200; ++run) {
    std::string text = random() % 3 == 0 ? "\xEF\xBB\xBF" : "";
    const std::size_t lines = 1 + random() % (run % 20 == 0 ? 2500 : 60);
    const std::size_t padding = run % 10 == 5 ? 60'000 : 40;
    for (std::size_t i = 0; i < lines; ++i) {
      const bool repeated = random() % 400 == 0;
      const bool broken = random() % 400 == 0;
      text += random() % 10 == 0 ? ""
                                 : ItemLine(repeated ? "x" : std::to_string(i),
                                            random() % padding);
      text += broken ? "{" : "";
      text += random() % 2 == 0 ? "\r\n" : "\n";
    }
    if (random() % 2 == 0) {
      text += ItemLine("last");
    }
    const result<std::vector<std::string>> whole = SplitWhole(text);
    const result<finished_upload> pieces =
        SplitPieces(text, random, run % 2 == 0 ? 7 : 100'000);
    if (!whole || whole->empty()) {
      ++refused;
      ASSERT_FALSE(pieces);
      const std::string expected = whole ? "the file" : whole.error().message();
      EXPECT_TRUE(pieces.error().message().starts_with(expected))
          << pieces.error().message() << " but " << expected;
      continue;
    }
    ASSERT_TRUE(pieces) << pieces.error().message();
    ASSERT_EQ(pieces->chunks.size(), whole->size());
    for (std::size_t i = 0; i < whole->size(); ++i) {
      ASSERT_EQ(pieces->chunks[i].text, (*whole)[i]);
      EXPECT_EQ(pieces->manifest.chunks[i], Sha256Hex((*whole)[i]));
      EXPECT_EQ(ParseChunk((*whole)[i]).value().size(),
                pieces->manifest.items_per_chunk[i]);
    }
    EXPECT_EQ(pieces->manifest.bytes, text.size());
    EXPECT_EQ(file_manifest::Parse(pieces->manifest.ToJson()).value(),
              pieces->manifest);
  }
  EXPECT_GT(refused, 0);
  EXPECT_LT(refused, 150);
}

std::string ErrorOf(const std::string& text) {
  upload_splitter splitter("acme");
  const result<std::vector<upload_chunk>> fed = splitter.Feed(text);
  if (!fed) {
    return fed.error().message();
  }
  const result<finished_upload> end = splitter.Finish();
  return end ? "" : end.error().message();
}

// An error without the right line number would not tell the client which line
// to correct.
TEST(UploadSplitter, ErrorsNameTheLine) {
  EXPECT_EQ(
      ErrorOf(ItemLine("a") + "\n\n" + ItemLine("b") + "\n" + ItemLine("a")),
      "line 4: \"custom_id\" is the same as in line 1");
  EXPECT_EQ(ErrorOf(ItemLine("a") + "\n[]\n"),
            "line 2: the line is not a JSON object");
  const std::size_t overhead = ItemLine("a").size();
  EXPECT_EQ(ErrorOf(ItemLine("a", kMaxLineBytes - overhead) + "\r\n"), "");
  const std::string too_long = "line 1: the line is longer than 256 KB";
  EXPECT_EQ(ErrorOf(ItemLine("a", kMaxLineBytes - overhead + 1) + "\n"),
            too_long);
  EXPECT_EQ(ErrorOf(std::string(kMaxLineBytes + 5, ' ')), too_long);
  EXPECT_EQ(ErrorOf("\n\r\n"), "the file holds no items");
}

// A batch item could reach internal paths or contain an API key in its URL.
TEST(UploadSplitter, Rule04_ReservedUrlsAreRefused) {
  const auto accepts = [](const std::string& url) {
    return ParseItem(R"({"custom_id":"a","method":"POST","url":")" + url +
                     R"(","body":{}})")
        .has_value();
  };
  for (const char* url : {"/v1/completions", "/orders", "/orders/7", "/v10"}) {
    EXPECT_TRUE(accepts(url)) << url;
  }
  for (const char* url :
       {"/v1/files", "/admin/v1/keys", "/internal/status", "/metrics", "//host",
        "/orders/../admin/v1/keys", "/orders/%2e%2e/admin", "/orders?key=cy_a",
        "/a b", "orders", "/", "http://host/", "/./internal/status"}) {
    EXPECT_FALSE(accepts(url)) << url;
  }
}

}  // namespace
}  // namespace cardamomyard
