/// @file A pool has one owner at a time, and orders of different owners do not overlap.

#include "ownership/owner_lease.h"

#include <CppUTest/TestHarness.h>

#include "memory_record_store.h"
#include "rpc/codec.h"

using namespace frostline;
using namespace frostline::ownership;
using frostline::testing::memory_record_store;

TEST_GROUP(owner_lease_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  owner_lease lease{context, store, "pool", options_of("one")};
  int gained = 0;
  int lost = 0;

  static owner_lease_options options_of(std::string const& node) {
    owner_lease_options options;
    options.node = node;
    options.address = endpoint{"127.0.0.1", 1000};
    return options;
  }

  void setup() override {
    lease.on_change([this] { ++gained; }, [this] { ++lost; });
    lease.set_order_gap(milliseconds(3000));
  }

  void put_owner(std::string const& node, std::string const& token) {
    rpc::PoolOwnerT record;
    record.node = node;
    record.address = "127.0.0.1:2000";
    record.token = token;
    store.put_now(owner_lease::key_of("pool"), rpc::encode(record));
  }

  void put_orderer(std::string const& node) {
    rpc::PoolOwnerT record;
    record.node = node;
    store.put_now(owner_lease::orderer_key_of("pool"), rpc::encode(record));
  }

  /// Delivers the store's records, like the watcher of the owners' records.
  void deliver(owner_lease & target) {
    bool owned = false;
    for (kv::key_value const& record : store.list_now(owner_lease::key_of("pool"))) {
      if (owner_lease::resource_of_orderer_key(record.key)) {
        target.note_orderer(record);
      } else {
        owned = true;
        target.note_record(&record);
      }
    }
    if (!owned) target.note_record(nullptr);
  }

  void run_until(std::function<bool()> condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }
};

TEST(owner_lease_test, free_pool_is_acquired_and_the_first_order_waits) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK(lease.holds(boot_clock::now()));
  LONGS_EQUAL(store.revision_of(owner_lease::key_of("pool")), lease.epoch());
  CHECK(lease.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, lease_is_not_held_after_its_time_to_live) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK_FALSE(lease.holds(boot_clock::now() + milliseconds(1400)));
}

TEST(owner_lease_test, pool_owned_by_another_node_is_not_acquired) {
  put_owner("other", "t");
  lease.start();
  deliver(lease);
  context.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(0, gained);
  STRCMP_EQUAL("other", lease.owner()->node.c_str());
}

TEST(owner_lease_test, pool_is_acquired_after_an_unconfirmed_owner_is_forgotten) {
  // The watcher is behind: it delivers that there is no owner, and never sees the present record.
  put_owner("other", "t");
  lease.start();
  lease.note_record(nullptr);
  run_until([&] { return lease.owner().has_value(); });
  STRCMP_EQUAL("other", lease.owner()->node.c_str());
  store.remove_now(owner_lease::key_of("pool"));
  time_point const limit = boot_clock::now() + seconds(6);
  run_until([&] { return gained == 1 || boot_clock::now() > limit; });
  LONGS_EQUAL(1, gained);
}

TEST(owner_lease_test, owner_confirmed_by_the_follower_is_not_forgotten) {
  put_owner("other", "t");
  lease.start();
  lease.note_record(nullptr);
  run_until([&] { return lease.owner().has_value(); });
  deliver(lease);
  time_point const limit = boot_clock::now() + seconds(4);
  run_until([&] { return boot_clock::now() > limit; });
  STRCMP_EQUAL("other", lease.owner()->node.c_str());
  LONGS_EQUAL(0, gained);
  LONGS_EQUAL(1, store.writes_of(owner_lease::key_of("pool")));
}

TEST(owner_lease_test, owner_delivered_before_the_refusal_is_not_forgotten) {
  put_owner("other", "t");
  lease.start();
  lease.note_record(nullptr);
  store.before_next_answer([&] { deliver(lease); });
  run_until([&] { return lease.owner().has_value(); });
  time_point const limit = boot_clock::now() + seconds(4);
  run_until([&] { return !lease.owner() || boot_clock::now() > limit; });
  CHECK(lease.owner().has_value());
}

TEST(owner_lease_test, record_of_this_nodes_previous_process_is_replaced_and_orders_continue) {
  put_owner("one", "previous");
  put_orderer("one");
  auto const previous = store.revision_of(owner_lease::key_of("pool"));
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK(lease.epoch() > previous);
  CHECK(lease.orders_from() <= boot_clock::now());
}

TEST(owner_lease_test, record_of_another_owner_ends_ownership) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  put_owner("other", "t");
  deliver(lease);
  LONGS_EQUAL(1, lost);
  CHECK_FALSE(lease.holds(boot_clock::now()));
}

TEST(owner_lease_test, expired_lease_ends_ownership_and_the_pool_is_acquired_again) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  store.expire_leases();
  run_until([&] { return lost == 1; });
  run_until([&] { return gained == 2; });
  // This node is not the last orderer, so it must wait for the order gap.
  CHECK(lease.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, last_orderer_may_order_immediately_when_it_owns_the_pool_again) {
  lease.set_order_gap(milliseconds(20));
  lease.start();
  deliver(lease);
  run_until([&] { return lease.may_order(boot_clock::now()); });
  CHECK(store.revision_of(owner_lease::orderer_key_of("pool")) != 0);
  lease.set_order_gap(milliseconds(3000));
  store.expire_leases();
  run_until([&] { return lost == 1; });
  run_until([&] { return gained == 2; });
  CHECK(lease.may_order(boot_clock::now()));
}

TEST(owner_lease_test, no_order_before_the_orderer_record_is_written) {
  lease.set_order_gap(milliseconds(0));
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK_FALSE(lease.may_order(boot_clock::now()));
  run_until([&] { return lease.may_order(boot_clock::now()); });
  LONGS_EQUAL(1, store.writes_of(owner_lease::orderer_key_of("pool")));
}

TEST(owner_lease_test, restarted_owner_that_was_not_orderer_waits_for_the_last_orderer) {
  put_owner("one", "previous");
  put_orderer("other");
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK(lease.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, node_that_never_ordered_waits_only_for_orders_in_flight) {
  put_orderer("other");
  lease.set_order_gap(milliseconds(1200));
  time_point const old_enough = boot_clock::now() + milliseconds(1200);
  while (boot_clock::now() < old_enough) context.run_for(milliseconds(5));
  context.restart();
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  time_point const now = boot_clock::now();
  CHECK(lease.orders_from() > now + milliseconds(500));
  CHECK(lease.orders_from() <= now + milliseconds(800));
}

TEST(owner_lease_test, order_gap_separates_orders_of_alternating_owners) {
  lease.set_order_gap(milliseconds(0));
  lease.start();
  deliver(lease);
  run_until([&] { return lease.may_order(boot_clock::now()); });
  lease.set_order_gap(milliseconds(3000));
  put_owner("other", "another");
  put_orderer("other");
  deliver(lease);
  LONGS_EQUAL(1, lost);
  time_point const stopped = boot_clock::now();
  store.remove_now(owner_lease::key_of("pool"));
  deliver(lease);
  run_until([&] { return gained == 2; });
  CHECK(lease.orders_from() >= stopped + milliseconds(2990));
}

TEST(owner_lease_test, pool_is_not_acquired_with_a_stale_orderer_revision) {
  put_orderer("one");
  lease.start();
  deliver(lease);
  put_orderer("other");
  run_until([&] { return gained == 1; });
  CHECK(lease.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, orderer_record_is_written_once_if_the_answer_is_lost) {
  lease.set_order_gap(milliseconds(0));
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  store.lose_answers(1);
  run_until([&] { return lease.may_order(boot_clock::now()); });
  LONGS_EQUAL(1, store.writes_of(owner_lease::orderer_key_of("pool")));
}

TEST(owner_lease_test, pool_is_parsed_from_the_orderer_key) {
  STRCMP_EQUAL("pool",
               owner_lease::resource_of_orderer_key(owner_lease::orderer_key_of("pool"))->c_str());
  CHECK_FALSE(owner_lease::resource_of_orderer_key(owner_lease::key_of("pool")).has_value());
  CHECK_FALSE(owner_lease::resource_of_orderer_key("frostline/owners//orders").has_value());
}

TEST(owner_lease_test, acquisition_with_a_lost_answer_succeeds_when_the_record_is_delivered) {
  store.lose_answers(1);
  lease.start();
  deliver(lease);
  run_until([&] { return store.revision_of(owner_lease::key_of("pool")) != 0; });
  deliver(lease);
  run_until([&] { return gained == 1; });
  CHECK(lease.holds(boot_clock::now()));
}

TEST(owner_lease_test, released_pool_is_free_and_not_acquired_again) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  spawn(context, lease.release());
  run_until([&] { return store.revision_of(owner_lease::key_of("pool")) == 0; });
  deliver(lease);
  context.run_for(std::chrono::milliseconds(400));
  LONGS_EQUAL(1, gained);
  LONGS_EQUAL(1, lost);
}

TEST(owner_lease_test, node_with_a_claim_delay_acquires_a_free_pool_later) {
  LONGS_EQUAL(0, claim_delay_of(0.5).count());
  LONGS_EQUAL(0, claim_delay_of(4).count());
  CHECK(claim_delay_of(0.12) > claim_delay_of(0.25));
  owner_lease_options options = options_of("weak");
  options.claim_delay = milliseconds(2000);
  owner_lease weak{context, store, "pool", options};
  int weak_gained = 0;
  weak.on_change([&] { ++weak_gained; }, [] {});
  weak.start();
  lease.start();
  deliver(weak);
  deliver(lease);
  run_until([&] { return gained + weak_gained > 0; });
  LONGS_EQUAL(1, gained);
  context.stop();
}

TEST(owner_lease_test, lost_answers_to_renewals_do_not_end_ownership) {
  lease.start();
  deliver(lease);
  run_until([&] { return gained == 1; });
  store.lose_renewals(2);
  time_point const initial_expiry = boot_clock::now() + milliseconds(1500);
  run_until([&] { return boot_clock::now() > initial_expiry; });
  CHECK(lease.holds(boot_clock::now()));
  LONGS_EQUAL(0, lost);
}
