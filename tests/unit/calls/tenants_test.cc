/// @file Tests for API keys, tenants, and the headers that servers receive.

#include "calls/tenants.h"

#include <CppUTest/TestHarness.h>

#include <random>

#include "calls/access.h"

using namespace frostline;
using namespace frostline::calls;

namespace {

constexpr unsigned k_seed = 7;
constexpr int k_random_values = 20'000;

std::vector<tenant> two_tenants() {
  return {{"first", 1, {"key-a", "key-b"}}, {"second", 2, {"key-c"}}};
}

std::shared_ptr<route_table const> table_of(std::vector<tenant> tenants) {
  configuration all;
  all.version = 1;
  all.tenants = std::move(tenants);
  return std::make_shared<route_table const>(std::move(all));
}

http::request request_with(std::string const& authorization) {
  http::request message(http::verb::get, "/a/", 11);
  if (!authorization.empty()) message.set(http::field::authorization, authorization);
  return message;
}

}  // namespace

TEST_GROUP(tenants_test){};

TEST(tenants_test, name_that_would_begin_another_header_is_reported) {
  for (std::string const& name :
       {std::string("a\r\nX: b"), std::string(" a"), std::string(70'000, 'a')}) {
    CHECK_FALSE(validate_tenants({{name, 1, {"key"}}}).empty());
  }
}

TEST(tenants_test, each_key_identifies_its_tenant) {
  auto const tenants = two_tenants();
  tenant_index const index(tenants);
  STRCMP_EQUAL("first", index.find_by_key("key-a")->name.c_str());
  STRCMP_EQUAL("first", index.find_by_key("key-b")->name.c_str());
  STRCMP_EQUAL("second", index.find_by_key("key-c")->name.c_str());
  POINTERS_EQUAL(nullptr, index.find_by_key("key-"));
  POINTERS_EQUAL(nullptr, index.find_by_key(""));
}

TEST(tenants_test, only_the_bearer_scheme_is_accepted) {
  STRCMP_EQUAL("k", std::string(bearer_key("Bearer k")).c_str());
  STRCMP_EQUAL("k", std::string(bearer_key("bEARER   k \t")).c_str());
  for (char const* other : {"", "k", "Bearer", "Bearer ", "Basic k", "Bearerk", " Bearer k"}) {
    CHECK(bearer_key(other).empty());
  }
}

TEST(tenants_test, private_route_requires_a_key_if_tenants_are_configured) {
  auto const without_tenants = table_of({});
  CHECK(check_access(*without_tenants, request_with(""), false).is_granted);
  auto const with_tenants = table_of(two_tenants());
  CHECK_FALSE(check_access(*with_tenants, request_with(""), false).is_granted);
  CHECK_FALSE(check_access(*with_tenants, request_with("Bearer key-x"), false).is_granted);
  calls::access const known = check_access(*with_tenants, request_with("Bearer key-c"), false);
  CHECK(known.is_granted);
  STRCMP_EQUAL("second", known.matched_tenant->name.c_str());
  calls::access const open = check_access(*with_tenants, request_with("Bearer key-x"), true);
  CHECK(open.is_granted);
  POINTERS_EQUAL(nullptr, open.matched_tenant);
}

TEST(tenants_test, request_with_two_keys_is_rejected) {
  auto const with_tenants = table_of(two_tenants());
  http::request message = request_with("Bearer key-a");
  message.insert(http::field::authorization, "Bearer key-c");
  CHECK_FALSE(check_access(*with_tenants, message, false).is_granted);
  POINTERS_EQUAL(nullptr, check_access(*with_tenants, message, true).matched_tenant);
}

TEST(tenants_test, servers_receive_the_verified_tenant_and_no_key) {
  auto const with_tenants = table_of(two_tenants());
  header_names names;
  names.tenant = "X-Tenant";
  http::request message = request_with("Bearer key-a");
  message.insert("x-tenant", "forged");
  message.insert("X-TENANT", "forged again");
  set_tenant(message, names, with_tenants->tenants(), "first");
  LONGS_EQUAL(1, message.count("X-Tenant"));
  STRCMP_EQUAL("first", std::string(http::header(message, "X-Tenant")).c_str());
  LONGS_EQUAL(0, message.count(http::field::authorization));
  message.insert("x-tenant", "forged");
  set_tenant(message, names, with_tenants->tenants(), "");
  LONGS_EQUAL(0, message.count("X-Tenant"));
}

TEST(tenants_test, credentials_are_forwarded_if_no_tenants_are_configured) {
  http::request message = request_with("Bearer anything");
  set_tenant(message, header_names(), table_of({})->tenants(), "");
  LONGS_EQUAL(1, message.count(http::field::authorization));
}

TEST(tenants_test, validation_errors_name_entries_and_no_keys) {
  CHECK(validate_tenants(two_tenants()).empty());
  std::vector<tenant> twice = two_tenants();
  twice[1].api_keys.push_back("key-a");
  std::string const fault = validate_tenants(twice);
  STRCMP_EQUAL("tenants[1].api_keys[1] is also a key of tenants[0]", fault.c_str());
  std::vector<tenant> within = {{"first", 1, {"key-a", "key-a"}}};
  CHECK_FALSE(validate_tenants(within).empty());
}

TEST(tenants_test, random_headers_never_identify_a_tenant) {
  auto const tenants = two_tenants();
  tenant_index const index(tenants);
  std::mt19937 random(k_seed);
  std::string const letters("Bearer keyabc-\t\0\xff ", 19);
  for (int number = 0; number < k_random_values; ++number) {
    std::string value;
    for (auto left = random() % 24; left > 0; --left) value += letters[random() % letters.size()];
    tenant const* matched_tenant = nullptr;
    bool const valid = index.check(value, matched_tenant) == credential_status::valid;
    CHECK_EQUAL(valid, matched_tenant != nullptr);
    if (valid) CHECK(index.find_by_key(bearer_key(value)) == matched_tenant);
  }
}
