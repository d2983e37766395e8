/// Tests of the parsing of completion requests, usage and load reports, of
/// error responses and of the platform's object API.
#include "marjorambay/protocol/completion.h"
#include "marjorambay/protocol/error_body.h"
#include "marjorambay/protocol/load_report.h"
#include "marjorambay/protocol/platform_api.h"

#include <doctest/doctest.h>

using namespace marjorambay;

namespace {

CompletionRequest read(RouteKind Kind, std::string_view Body) {
  const auto Read = parseCompletion(Kind, Body);
  REQUIRE(ok(Read));
  return value(Read);
}

/// Parses a request that must be rejected, and returns the error message.
std::string errorMessage(RouteKind Kind, std::string_view Body) {
  const auto Read = parseCompletion(Kind, Body);
  REQUIRE_FALSE(ok(Read));
  CHECK(error(Read).Kind == ErrorKind::BadRequest);
  return error(Read).Message;
}

constexpr auto Text = RouteKind::Completions;
constexpr auto Chat = RouteKind::ChatCompletions;

} // namespace

TEST_CASE("a completion request is parsed") {
  SUBCASE("with a prompt of one string") {
    const auto Request = read(
        Text,
        R"({"model":"m","prompt":"12345678","stream":true,"max_tokens":9})");
    CHECK(Request.Model == "m");
    CHECK(Request.Stream);
    CHECK(Request.PromptTokens == 2);
    CHECK(Request.MaxOutputTokens == 9);
  }
  SUBCASE("with several prompts or token arrays") {
    CHECK(
        read(Text, R"({"model":"m","prompt":["1234","5678"]})").PromptTokens ==
        2);
    CHECK(read(Text, R"({"model":"m","prompt":[5,6,7]})").PromptTokens == 3);
    CHECK(read(Text, R"({"model":"m","prompt":[[5,6],[7]]})").PromptTokens ==
          3);
    CHECK(read(Text, R"({"model":"m","prompt":""})").PromptTokens == 1);
  }
  SUBCASE("with a hash of the prompt prefix") {
    const std::string Prefix(PrefixBytes, 'h');
    const auto HashOf = [](const std::string &Prompt) {
      return read(Text, R"({"model":"m","prompt":")" + Prompt + R"("})")
          .PrefixHash;
    };
    CHECK(HashOf(Prefix + "one") == HashOf(Prefix + "two"));
    CHECK(HashOf("one" + Prefix) != HashOf("two" + Prefix));
  }
  SUBCASE("in the chat form, with content parts") {
    const auto Request =
        read(Chat, R"({"model":"m","max_completion_tokens":3,"messages":[
          {"role":"system","content":"1234"},
          {"role":"assistant","content":null},
          {"role":"user","content":[{"type":"text","text":"5678"},
                                    {"type":"image_url"}]}]})");
    CHECK(Request.PromptTokens == 2);
    CHECK(Request.MaxOutputTokens == 3);
    CHECK_FALSE(Request.Stream);
  }
  SUBCASE("but an invalid body is rejected, and errors don't quote it") {
    CHECK(errorMessage(Text, "{secret") ==
          "the request body is not a JSON object");
    CHECK(errorMessage(Text, "[]") == "the request body is not a JSON object");
    CHECK(errorMessage(Text, R"({"prompt":"x"})").find("model") !=
          std::string::npos);
    CHECK(errorMessage(Text, R"({"model":"m"})").find("prompt") !=
          std::string::npos);
    CHECK(errorMessage(Text, R"({"model":"m","prompt":"secret","stream":1})")
              .find("secret") == std::string::npos);
    errorMessage(Text, R"({"model":"m","prompt":[]})");
    errorMessage(Text, R"({"model":"m","prompt":7})");
    errorMessage(Text, R"({"model":"m","prompt":[[[7]]]})");
    errorMessage(Text, R"({"model":"m","prompt":"x","max_tokens":0})");
    errorMessage(Text, R"({"model":"m","prompt":"x","max_tokens":-1})");
    errorMessage(Text, R"({"model":"m","prompt":"x","max_tokens":4294967296})");
    errorMessage(Chat, R"({"model":"m","messages":[]})");
    errorMessage(Chat, R"({"model":"m","messages":[{"content":"x"}]})");
  }
}

TEST_CASE("token usage is parsed") {
  const auto Usage = parseUsage(
      R"({"usage":{"prompt_tokens":7,"completion_tokens":3,
          "prompt_tokens_details":{"cached_tokens":2}}})");
  REQUIRE(Usage);
  CHECK(Usage->PromptTokens == 7);
  CHECK(Usage->OutputTokens == 3);
  CHECK(Usage->CachedTokens == 2);
  SUBCASE("as zeros if a complete answer has none") {
    REQUIRE(parseUsage("{}"));
    CHECK(parseUsage("{}")->OutputTokens == 0);
  }
  SUBCASE("but not from an answer truncated at any byte") {
    const std::string Complete =
        R"({"choices":[],"usage":{"prompt_tokens":1}})";
    for (std::size_t Length = 0; Length < Complete.size(); ++Length)
      CHECK_FALSE(parseUsage(std::string_view(Complete).substr(0, Length)));
  }
}

TEST_CASE("an engine's load report is parsed") {
  const auto Read = parseLoadReport(
      R"({"time_us":5000000,"requests_in_flight":2,"tokens_in_flight":30,
          "cache_tokens_free":100,"versions":["v1"],"incarnation":9,
          "leaving":true})");
  REQUIRE(ok(Read));
  CHECK(value(Read).Written == WallTime(seconds(5)));
  CHECK(value(Read).TokensInFlight == 30);
  CHECK(value(Read).Versions == std::vector<std::string>{"v1"});
  CHECK(value(Read).Incarnation == IncarnationId{9});
  CHECK(value(Read).Leaving);
  CHECK_FALSE(ok(parseLoadReport("[]")));
  CHECK_FALSE(ok(parseLoadReport("")));
}

TEST_CASE("an error response") {
  const Error Busy{ErrorKind::Overloaded, "words", milliseconds(1500)};
  CHECK(printError(Busy, "r1", MayHaveRun::No) ==
        R"({"error":{"kind":"overloaded","message":"words",)"
        R"("request_id":"r1","may_have_run":false,"retry_after_ms":1500}})");
  CHECK(retryAfterHeader(Busy) == "2");
  SUBCASE("has a default Retry-After if the error is transient") {
    CHECK(retryAfterHeader({ErrorKind::NoTarget}) == "1");
    CHECK(retryAfterHeader({ErrorKind::BadRequest}).empty());
  }
  SUBCASE("is valid even if the message is not UTF-8") {
    const Error NotUtf8{ErrorKind::BadRequest, "\xff"};
    CHECK(printError(NotUtf8, "", MayHaveRun::No).find("bad_request") !=
          std::string::npos);
  }
}

TEST_CASE("paths and versions of platform objects") {
  CHECK(objectPath("intents/3/7") == "/v1/objects/intents/3/7");
  CHECK(watchPath("config/fleet", 4, seconds(2)) ==
        "/v1/objects/config/fleet?watch=4&wait_ms=2000");
  CHECK(parseObjectVersion("12") == 12);
  CHECK(parseObjectVersion("") == 0);
  CHECK(parseObjectVersion("12x") == 0);
  CHECK(isObjectName("a/b-1.c_d"));
  for (const char *Invalid : {"", "/a", "a/", "a//b", "A", "a b", "a\n"})
    CHECK_FALSE(isObjectName(Invalid));
  SUBCASE("and the platform's host list") {
    const auto Read = parseHosts(
        R"({"hosts":[{"name":"h","address":"127.0.0.1:1","zone":"z",
            "region":"r","state":"leaving"},{"name":"i"},7]})");
    REQUIRE(ok(Read));
    REQUIRE(value(Read).size() == 2);
    CHECK(value(Read)[0].Leaving);
    CHECK_FALSE(value(Read)[1].Leaving);
    CHECK_FALSE(ok(parseHosts("{}")));
  }
}
