/// @file Tests for reading and validating a gateway's settings.

#include <CppUTest/TestHarness.h>

#include <fstream>

#include "cluster.h"
#include "gateway/settings.h"

using namespace frostline;
using namespace frostline::gateway;

TEST_GROUP(gateway_settings_test) {
  std::string path = testing::make_run_folder("settings") + "/settings.toml";
  settings all;

  std::vector<settings_error> read(std::string const& text) {
    std::ofstream(path) << text;
    all = settings();
    return read_settings(path, all);
  }

  static constexpr char k_good[] =
      "[node]\nid = \"n\"\nzone = \"z\"\nfuture = 7\n"
      "[listen]\nclients = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\npeers = \"127.0.0.1:3\"\n"
      "[record_store]\naddress = \"127.0.0.1:4\"\n[orders]\ngap_ms = 1500\n"
      "[stop]\nseconds = 4.5\n[unknown]\nkey = 1\n";
};

TEST(gateway_settings_test, whole_file_is_read_and_unknown_keys_are_ignored) {
  LONGS_EQUAL(0, read(k_good).size());
  STRCMP_EQUAL("n", all.id.c_str());
  LONGS_EQUAL(1500, all.order_gap.count());
  LONGS_EQUAL(4500, all.stop_time.count());
}

TEST(gateway_settings_test, all_errors_are_reported_at_once) {
  auto const errors =
      read("[node]\nid = 7\n[listen]\nclients = \"nowhere\"\n[orders]\ngap_ms = -1\n");
  LONGS_EQUAL(7, errors.size());
  bool has_address_error = false;
  for (auto const& error : errors)
    has_address_error = has_address_error || error.key == "listen.clients";
  CHECK(has_address_error);
}

TEST(gateway_settings_test, spare_needs_no_addresses) {
  LONGS_EQUAL(0, read("[node]\nrole = \"spare\"\nid = \"s\"\n").size());
  CHECK(all.role == process_role::spare);
}

TEST(gateway_settings_test, syntax_error_is_reported_with_its_line) {
  auto const errors = read("[node]\nid = \n");
  LONGS_EQUAL(1, errors.size());
  STRCMP_CONTAINS("line 2", errors[0].key.c_str());
}

TEST(gateway_settings_test, features_have_their_defaults_unless_the_file_says_otherwise) {
  LONGS_EQUAL(0, read(k_good).size());
  CHECK(all.features.slow_servers == feature_switch::automatic);
  CHECK(all.features.attempt_times == feature_switch::off);
  LONGS_EQUAL(0, read(std::string(k_good) + "[scheduling]\norder = \"off\"\n[balancing]\n"
                                            "attempts = \"on\"\n")
                     .size());
  CHECK(all.features.sample_order == feature_switch::off);
  CHECK(all.features.memory_plan == feature_switch::automatic);
  CHECK(all.features.attempt_times == feature_switch::on);
}

TEST(gateway_settings_test, unknown_value_of_a_feature_is_reported_with_the_allowed_ones) {
  auto const errors = read(std::string(k_good) + "[balancing]\nslow_servers = \"yes\"\n");
  LONGS_EQUAL(1, errors.size());
  STRCMP_EQUAL("balancing.slow_servers", errors[0].key.c_str());
  STRCMP_EQUAL("must be auto, on or off", errors[0].reason.c_str());
}

// Guards against times and sizes that are no number.
TEST(gateway_settings_test, value_that_is_not_a_number_is_invalid) {
  std::string const good = k_good;
  auto const errors = read(good + "[limits]\nmemory_mb = nan\nconnections = -nan\n");
  LONGS_EQUAL(2, errors.size());
}
