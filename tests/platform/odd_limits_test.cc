/// @file A configuration whose limits on requests are no sizes is borne.

#include <CppUTest/TestHarness.h>

#include <boost/algorithm/string/replace.hpp>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(odd_limits_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void setup() override {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    system = std::make_unique<platform_cluster>(options);
  }
  void teardown() override { system.reset(); }

  /// Stores the configuration with another limit, as a newer version.
  void set_limit(std::uint64_t version, std::string const& name, std::string const& limit) {
    system->on_platform([&] {
      system->put_config(version);
      std::string text = system->store().items().at("op/config").value;
      std::size_t const begin = text.find(name) + name.size() + 2;
      text.replace(begin, text.find_first_of(",}", begin) - begin, limit);
      boost::algorithm::replace_first(text, "\"version\":" + std::to_string(version),
                                      "\"version\":" + std::to_string(version + 1));
      system->store().put("op/config", text);
      return 0;
    });
  }

  bool is_in_force(std::uint64_t version) {
    return system->log(0).find("\"config\":\"" + std::to_string(version) + "\"") !=
           std::string::npos;
  }
};

// Guards against a configuration that ends every gateway once a client connects.
TEST(odd_limits_test, limits_that_are_no_sizes_end_no_gateway) {
  std::uint64_t version = 2;
  for (char const* name : {"max_header_bytes", "max_body_bytes"}) {
    for (char const* limit : {"-1", "0", "1e300", "\"much\"", "18446744073709551615"}) {
      set_limit(version, name, limit);
      ++version;
      int number = 0;
      platform_cluster::wait_until("the configuration is in force, or the gateway has ended", [&] {
        std::string const id = std::to_string(version) + "-" + std::to_string(number++);
        static_cast<void>(system->call(0, http::verb::post, "/calls/x", id, "b"));
        return !system->node(0).is_running() || is_in_force(version);
      });
      CHECK_TRUE_TEXT(system->node(0).is_running(), limit);
      auto const answer =
          system->call(0, http::verb::post, "/calls/x", "after-" + std::to_string(version), "b");
      CHECK_TRUE_TEXT(answer && answer.value().result() == http::status::ok, limit);
      ++version;
    }
  }
}
