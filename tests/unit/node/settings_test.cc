#include "node/settings.h"

#include <CppUTest/TestHarness.h>

#include <boost/filesystem.hpp>
#include <fstream>

using namespace frostline;
using namespace frostline::node;

TEST_GROUP(settings_test) {
  boost::filesystem::path path =
      boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("%%%%%%.toml");
  settings values;

  void teardown() override { boost::filesystem::remove(path); }

  std::vector<settings_error> read(std::string const& text) {
    std::ofstream(path.string()) << text;
    return read_settings(path.string(), values);
  }
};

TEST(settings_test, valid_file_is_read) {
  auto const errors = read(
      "[node]\nid = 'n1'\nzone = 'z1'\n"
      "[listen]\nhttp = '127.0.0.1:7000'\ngossip = '127.0.0.1:7001'\n"
      "[platform]\nkv = ['127.0.0.1:1', '127.0.0.1:2']\nmachines = '127.0.0.1:3'\n"
      "[stop]\ndrain_seconds = 5\n");
  CHECK(errors.empty());
  CHECK(check_settings(values, "file").empty());
  LONGS_EQUAL(2, values.kv.size());
  LONGS_EQUAL(5000, values.drain_time.count());
}

TEST(settings_test, unknown_key_error_names_key_and_file) {
  auto const errors = read("[node]\nidd = 'x'\n[listem]\nhttp = 'x'\n");
  LONGS_EQUAL(2, errors.size());
  STRCMP_EQUAL("listem.http", errors[0].key.c_str());
  STRCMP_EQUAL("node.idd", errors[1].key.c_str());
  STRCMP_EQUAL("unknown key", errors[1].reason.c_str());
  STRCMP_EQUAL(path.string().c_str(), errors[1].source.c_str());
}

TEST(settings_test, invalid_value_error_states_allowed_values) {
  auto const errors = read(
      "[listen]\nhttp = 'localhost:7000'\n[stop]\ndrain_seconds = 0\n"
      "[limits]\nbody_bytes = 'big'\n[platform]\nkv = []\n");
  LONGS_EQUAL(4, errors.size());
  for (auto const& error : errors) CHECK(error.reason.starts_with("must be"));
}

TEST(settings_test, syntax_error_states_line) {
  auto const errors = read("[node]\nid = \n");
  LONGS_EQUAL(1, errors.size());
  CHECK(errors[0].key.starts_with("line "));
}

TEST(settings_test, missing_file_is_an_error) {
  LONGS_EQUAL(1, read_settings("/nonexistent/file.toml", values).size());
}

TEST(settings_test, missing_required_settings_are_listed) {
  auto const errors = check_settings(values, "flags");
  LONGS_EQUAL(6, errors.size());
  STRCMP_EQUAL("flags: node.id: is missing", errors[0].to_string().c_str());
}
