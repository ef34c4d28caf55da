/// @file One owner of a pool at a time, and orders of two owners that keep their distance.

#include "ownership/pool_lease.h"

#include <CppUTest/TestHarness.h>

#include "memory_record_store.h"
#include "rpc/codec.h"

using namespace frostline;
using namespace frostline::ownership;
using frostline::testing::memory_record_store;

TEST_GROUP(pool_lease_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  pool_lease one{context, store, "pool", options_of("one")};
  int gained = 0;
  int lost = 0;

  static pool_lease_options options_of(std::string const& node) {
    pool_lease_options options;
    options.node = node;
    options.address = endpoint{"127.0.0.1", 1000};
    return options;
  }

  void setup() override {
    one.on_change([this] { ++gained; }, [this] { ++lost; });
    one.set_order_gap(milliseconds(3000));
  }

  void put_owner(std::string const& node, std::string const& token) {
    rpc::PoolOwnerT record;
    record.node = node;
    record.address = "127.0.0.1:2000";
    record.token = token;
    store.put_now(pool_lease::key_of("pool"), rpc::encode(record));
  }

  void tell(pool_lease & which) {
    auto const records = store.list_now(pool_lease::key_of("pool"));
    which.note_record(records.empty() ? nullptr : &records.front());
  }

  void run_until(std::function<bool()> condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }
};

TEST(pool_lease_test, free_pool_is_acquired_and_the_first_order_waits) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.holds(steady_clock::now()));
  LONGS_EQUAL(store.revision_of(pool_lease::key_of("pool")), one.epoch());
  CHECK(one.orders_from() > steady_clock::now() + seconds(2));
}

TEST(pool_lease_test, lease_is_not_held_beyond_its_time) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK_FALSE(one.holds(steady_clock::now() + milliseconds(1400)));
}

TEST(pool_lease_test, pool_of_another_node_is_left_alone) {
  put_owner("other", "t");
  one.start();
  tell(one);
  context.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(0, gained);
  STRCMP_EQUAL("other", one.owner()->node.c_str());
}

TEST(pool_lease_test, record_of_the_own_former_process_is_replaced_at_once_and_orders_go_on) {
  put_owner("one", "former");
  auto const former = store.revision_of(pool_lease::key_of("pool"));
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.epoch() > former);
  CHECK(one.orders_from() <= steady_clock::now());
}

TEST(pool_lease_test, another_owners_record_ends_the_own_ownership) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  put_owner("other", "t");
  tell(one);
  LONGS_EQUAL(1, lost);
  CHECK_FALSE(one.holds(steady_clock::now()));
}

TEST(pool_lease_test, expired_lease_ends_the_ownership_and_it_is_asked_for_again) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  store.expire_leases();
  run_until([&] { return lost == 1; });
  run_until([&] { return gained == 2; });
  CHECK(one.orders_from() <= steady_clock::now());
}

TEST(pool_lease_test, acquisition_whose_answer_is_lost_counts_when_the_record_is_seen) {
  store.lose_answers(1);
  one.start();
  tell(one);
  run_until([&] { return store.revision_of(pool_lease::key_of("pool")) != 0; });
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.holds(steady_clock::now()));
}

TEST(pool_lease_test, released_pool_is_free_and_not_asked_for_again) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  spawn(context, one.release());
  run_until([&] { return store.revision_of(pool_lease::key_of("pool")) == 0; });
  tell(one);
  context.run_for(std::chrono::milliseconds(400));
  LONGS_EQUAL(1, gained);
  LONGS_EQUAL(1, lost);
}

TEST(pool_lease_test, weak_node_asks_for_a_free_pool_after_the_strong_ones) {
  LONGS_EQUAL(0, handicap_of(0.5).count());
  LONGS_EQUAL(0, handicap_of(4).count());
  CHECK(handicap_of(0.12) > handicap_of(0.25));
  pool_lease_options options = options_of("weak");
  options.handicap = milliseconds(2000);
  pool_lease weak{context, store, "pool", options};
  int weak_gained = 0;
  weak.on_change([&] { ++weak_gained; }, [] {});
  weak.start();
  one.start();
  tell(weak);
  tell(one);
  run_until([&] { return gained + weak_gained > 0; });
  LONGS_EQUAL(1, gained);
  context.stop();
}

TEST(pool_lease_test, lost_answer_of_a_renewal_does_not_end_the_ownership) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  store.lose_renewals(2);
  time_point const former_end = steady_clock::now() + milliseconds(1500);
  run_until([&] { return steady_clock::now() > former_end; });
  CHECK(one.holds(steady_clock::now()));
  LONGS_EQUAL(0, lost);
}
