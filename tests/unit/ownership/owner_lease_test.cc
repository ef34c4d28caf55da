/// @file One owner of a pool at a time, and orders of two owners that keep their distance.

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
  owner_lease one{context, store, "pool", options_of("one")};
  int gained = 0;
  int lost = 0;

  static owner_lease_options options_of(std::string const& node) {
    owner_lease_options options;
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
    store.put_now(owner_lease::key_of("pool"), rpc::encode(record));
  }

  void put_orderer(std::string const& node) {
    rpc::PoolOwnerT record;
    record.node = node;
    store.put_now(owner_lease::orderer_key_of("pool"), rpc::encode(record));
  }

  /// What the owners' follower would say.
  void tell(owner_lease & which) {
    bool owned = false;
    for (kv::key_value const& one : store.list_now(owner_lease::key_of("pool"))) {
      if (owner_lease::resource_of_orderer_key(one.key)) {
        which.note_orderer(one);
      } else {
        owned = true;
        which.note_record(&one);
      }
    }
    if (!owned) which.note_record(nullptr);
  }

  void run_until(std::function<bool()> condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }
};

TEST(owner_lease_test, free_pool_is_acquired_and_the_first_order_waits) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.holds(boot_clock::now()));
  LONGS_EQUAL(store.revision_of(owner_lease::key_of("pool")), one.epoch());
  CHECK(one.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, lease_is_not_held_beyond_its_time) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK_FALSE(one.holds(boot_clock::now() + milliseconds(1400)));
}

TEST(owner_lease_test, pool_of_another_node_is_left_alone) {
  put_owner("other", "t");
  one.start();
  tell(one);
  context.run_for(std::chrono::milliseconds(50));
  LONGS_EQUAL(0, gained);
  STRCMP_EQUAL("other", one.owner()->node.c_str());
}

TEST(owner_lease_test, owner_that_only_a_refused_claim_showed_is_asked_for_again) {
  // The follower is behind: it says that there is no owner, and never hears of this one's record.
  put_owner("other", "t");
  one.start();
  one.note_record(nullptr);
  run_until([&] { return one.owner().has_value(); });
  STRCMP_EQUAL("other", one.owner()->node.c_str());
  store.remove_now(owner_lease::key_of("pool"));
  time_point const limit = boot_clock::now() + seconds(6);
  run_until([&] { return gained == 1 || boot_clock::now() > limit; });
  LONGS_EQUAL(1, gained);
}

TEST(owner_lease_test, owner_that_the_follower_told_of_is_not_asked_for_again) {
  put_owner("other", "t");
  one.start();
  one.note_record(nullptr);
  run_until([&] { return one.owner().has_value(); });
  tell(one);
  time_point const limit = boot_clock::now() + seconds(4);
  run_until([&] { return boot_clock::now() > limit; });
  STRCMP_EQUAL("other", one.owner()->node.c_str());
  LONGS_EQUAL(0, gained);
  LONGS_EQUAL(1, store.writes_of(owner_lease::key_of("pool")));
}

TEST(owner_lease_test, owner_that_the_follower_told_of_before_the_refusal_stays_known) {
  put_owner("other", "t");
  one.start();
  one.note_record(nullptr);
  store.before_next_answer([&] { tell(one); });
  run_until([&] { return one.owner().has_value(); });
  time_point const limit = boot_clock::now() + seconds(4);
  run_until([&] { return !one.owner() || boot_clock::now() > limit; });
  CHECK(one.owner().has_value());
}

TEST(owner_lease_test, record_of_the_own_former_process_is_replaced_at_once_and_orders_go_on) {
  put_owner("one", "former");
  put_orderer("one");
  auto const former = store.revision_of(owner_lease::key_of("pool"));
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.epoch() > former);
  CHECK(one.orders_from() <= boot_clock::now());
}

TEST(owner_lease_test, another_owners_record_ends_the_own_ownership) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  put_owner("other", "t");
  tell(one);
  LONGS_EQUAL(1, lost);
  CHECK_FALSE(one.holds(boot_clock::now()));
}

TEST(owner_lease_test, expired_lease_ends_the_ownership_and_it_is_asked_for_again) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  store.expire_leases();
  run_until([&] { return lost == 1; });
  run_until([&] { return gained == 2; });
  // It never was entitled to order, so a former owner's order may still be close.
  CHECK(one.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, node_that_ordered_last_orders_at_once_when_it_owns_the_pool_again) {
  one.set_order_gap(milliseconds(20));
  one.start();
  tell(one);
  run_until([&] { return one.may_order(boot_clock::now()); });
  CHECK(store.revision_of(owner_lease::orderer_key_of("pool")) != 0);
  one.set_order_gap(milliseconds(3000));
  store.expire_leases();
  run_until([&] { return lost == 1; });
  run_until([&] { return gained == 2; });
  CHECK(one.may_order(boot_clock::now()));
}

TEST(owner_lease_test, nothing_may_be_ordered_before_the_store_knows_the_orderer) {
  one.set_order_gap(milliseconds(0));
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK_FALSE(one.may_order(boot_clock::now()));
  run_until([&] { return one.may_order(boot_clock::now()); });
  LONGS_EQUAL(1, store.writes_of(owner_lease::orderer_key_of("pool")));
}

TEST(owner_lease_test, restarted_owner_that_had_not_ordered_waits_for_the_former_orderer) {
  put_owner("one", "former");
  put_orderer("other");
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, node_that_never_ordered_waits_only_for_orders_that_are_under_way) {
  put_orderer("other");
  one.set_order_gap(milliseconds(1200));
  time_point const old_enough = boot_clock::now() + milliseconds(1200);
  while (boot_clock::now() < old_enough) context.run_for(milliseconds(5));
  context.restart();
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  time_point const now = boot_clock::now();
  CHECK(one.orders_from() > now + milliseconds(500));
  CHECK(one.orders_from() <= now + milliseconds(800));
}

TEST(owner_lease_test, node_that_ordered_before_another_one_does_not_take_turns_with_it) {
  one.set_order_gap(milliseconds(0));
  one.start();
  tell(one);
  run_until([&] { return one.may_order(boot_clock::now()); });
  one.set_order_gap(milliseconds(3000));
  put_owner("other", "another");
  put_orderer("other");
  tell(one);
  LONGS_EQUAL(1, lost);
  time_point const stopped = boot_clock::now();
  store.remove_now(owner_lease::key_of("pool"));
  tell(one);
  run_until([&] { return gained == 2; });
  CHECK(one.orders_from() >= stopped + milliseconds(2990));
}

TEST(owner_lease_test, pool_is_not_taken_on_stale_knowledge_of_the_orderer) {
  put_orderer("one");
  one.start();
  tell(one);
  put_orderer("other");
  run_until([&] { return gained == 1; });
  CHECK(one.orders_from() > boot_clock::now() + seconds(2));
}

TEST(owner_lease_test, orderers_record_whose_answer_is_lost_counts_once) {
  one.set_order_gap(milliseconds(0));
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  store.lose_answers(1);
  run_until([&] { return one.may_order(boot_clock::now()); });
  LONGS_EQUAL(1, store.writes_of(owner_lease::orderer_key_of("pool")));
}

TEST(owner_lease_test, orderers_key_names_its_pool) {
  STRCMP_EQUAL("pool",
               owner_lease::resource_of_orderer_key(owner_lease::orderer_key_of("pool"))->c_str());
  CHECK_FALSE(owner_lease::resource_of_orderer_key(owner_lease::key_of("pool")).has_value());
  CHECK_FALSE(owner_lease::resource_of_orderer_key("frostline/owners//orders").has_value());
}

TEST(owner_lease_test, acquisition_whose_answer_is_lost_counts_when_the_record_is_seen) {
  store.lose_answers(1);
  one.start();
  tell(one);
  run_until([&] { return store.revision_of(owner_lease::key_of("pool")) != 0; });
  tell(one);
  run_until([&] { return gained == 1; });
  CHECK(one.holds(boot_clock::now()));
}

TEST(owner_lease_test, released_pool_is_free_and_not_asked_for_again) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  spawn(context, one.release());
  run_until([&] { return store.revision_of(owner_lease::key_of("pool")) == 0; });
  tell(one);
  context.run_for(std::chrono::milliseconds(400));
  LONGS_EQUAL(1, gained);
  LONGS_EQUAL(1, lost);
}

TEST(owner_lease_test, weak_node_asks_for_a_free_pool_after_the_strong_ones) {
  LONGS_EQUAL(0, claim_delay_of(0.5).count());
  LONGS_EQUAL(0, claim_delay_of(4).count());
  CHECK(claim_delay_of(0.12) > claim_delay_of(0.25));
  owner_lease_options options = options_of("weak");
  options.claim_delay = milliseconds(2000);
  owner_lease weak{context, store, "pool", options};
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

TEST(owner_lease_test, lost_answer_of_a_renewal_does_not_end_the_ownership) {
  one.start();
  tell(one);
  run_until([&] { return gained == 1; });
  store.lose_renewals(2);
  time_point const former_end = boot_clock::now() + milliseconds(1500);
  run_until([&] { return boot_clock::now() > former_end; });
  CHECK(one.holds(boot_clock::now()));
  LONGS_EQUAL(0, lost);
}
