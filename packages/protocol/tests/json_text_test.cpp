/// Tests of JSON text that is cut before it is parsed.
#include "marjorambay/protocol/json_text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace marjorambay {
namespace {

using Json = nlohmann::json;

TEST_CASE("an object is cut into its members") {
  const auto Members =
      jsonMembers(" {\"a\": [1, {\"b\": \"]}\"}] , \"c\":\"\\\"}\",\"d\":x}\n");
  REQUIRE(Members);
  REQUIRE(Members->size() == 3);
  CHECK(memberValue(*Members, "a") == R"([1, {"b": "]}"}])");
  CHECK(memberValue(*Members, "c") == R"("\"}")");
  SUBCASE("whatever its values are") {
    CHECK(memberValue(*Members, "d") == "x");
  }
  SUBCASE("and a member that is absent is empty") {
    CHECK(memberValue(*Members, "e").empty());
  }
}

TEST_CASE("an array is cut into its elements") {
  CHECK(jsonElements("[]")->empty());
  CHECK(*jsonElements("[1,\"a,b\" , [2]]") ==
        std::vector<std::string_view>{"1", "\"a,b\"", "[2]"});
}

TEST_CASE("text that is not one value is not cut") {
  for (const char *Text : {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{a:1}",
                           "{\"a\":1}}", "{\"a\":\"", "[1", "[1 2]", "\\"}) {
    CAPTURE(Text);
    CHECK_FALSE(jsonMembers(Text));
    CHECK_FALSE(jsonElements(Text));
  }
}

// Guards against text that ends the process: the library copies, prints and
// compares a value with one call for each level.
TEST_CASE("text of any depth is refused or parsed") {
  const auto Nested = [](std::size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  };
  CHECK(parseJson<Json>(Nested(MaxJsonDepth)).is_array());
  CHECK(parseJson<Json>(Nested(MaxJsonDepth + 1)).is_discarded());
  CHECK(parseJson<Json>(Nested(1'000'000)).is_discarded());
  CHECK(parseJson<nlohmann::ordered_json>(Nested(1'000'000)).is_discarded());
  CHECK(jsonDepth("\"[[[[\\\"[[\"") == 0);
  CHECK(jsonDepth("[{\"a\":[]},[]]") == 3);
}

} // namespace
} // namespace marjorambay
