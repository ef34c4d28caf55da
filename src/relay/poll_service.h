/// @file Tells other nodes what this node's views hold beyond what they know.
#pragma once

#include <cstdint>
#include <functional>

#include "base/asio.h"
#include "base/endpoint.h"
#include "relay/asking_nodes.h"
#include "relay/topic_views.h"
#include "rpc/dispatcher.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {

class poll_service {
 public:
  /// Longest time that a call waits, whatever it asks for.
  static constexpr milliseconds k_longest_wait{2000};

  /// @param is_sure whether nothing of a topic is missing here, as far as this node can tell.
  poll_service(asio::io_context& context, topic_views const& views,
               std::function<bool(topic)> is_sure)
      : views_(views), is_sure_(std::move(is_sure)), changed_(context) {}

  /// Answers at once if there is something to tell, or if this node is not sure; else it waits. It
  /// also waits while neither node knows a topic: a node that starts is asked by all others.
  awaitable<rpc::PollReplyT> answer(rpc::PollCallT call);
  /// Runs with the address of a node that asks and knows more of a topic than this node, which is
  /// not sure of it.
  void on_newer(std::function<void(endpoint)> listener) { on_newer_ = std::move(listener); }
  /// To be called when a view has changed, or whether this node is sure.
  void notify() { changed_.notify_all(); }
  void add_methods(rpc::dispatcher& methods);
  std::uint64_t answered() const { return answered_; }
  /// Answers that held all wanted records of a topic, and those records.
  std::uint64_t snapshot_answers() const { return whole_answers_; }
  std::uint64_t snapshot_records() const { return whole_records_; }
  asking_nodes const& asking() const { return asking_; }

 private:
  void note_asking(rpc::PollCallT const& call);
  void note_newer(rpc::PollCallT const& call) const;
  /// What a position asks for, fitted to what this node holds.
  struct question {
    topic about{};
    record_selection wanted;
    /// Revision up to which the asking node holds all that is wanted.
    kv::revision after = 0;
    /// Whether this node holds all that is wanted.
    bool covered = false;
    /// The asking node knows already that this one is not sure.
    bool patient = false;
  };

  question read_question(rpc::TopicPositionT const& position, std::string const& node) const;
  bool can_wait(question const& one) const;
  bool can_wait(rpc::PollCallT const& call) const;
  rpc::TopicChangesT write_changes(question const& one);

  topic_views const& views_;
  std::function<bool(topic)> is_sure_;
  async_condition changed_;
  std::function<void(endpoint)> on_newer_;
  std::uint64_t answered_ = 0;
  std::uint64_t whole_answers_ = 0;
  std::uint64_t whole_records_ = 0;
  asking_nodes asking_;
};

}  // namespace frostline::relay
