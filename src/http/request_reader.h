/// @file Reads a request, and limits what a client may send that is no part of its body.
#pragma once

#include "http/connection_set.h"
#include "http/message.h"
#include "http/request_memory.h"
#include "http/response_reader.h"

namespace frostline::http {

using request_parser = bhttp::request_parser<bhttp::string_body>;

/// Largest limit of a head that takes effect: a head must fit into the buffer of its connection.
inline constexpr std::size_t k_max_header_bytes = 48 * 1024;
static_assert(k_max_header_bytes < k_max_unparsed_bytes);
static_assert(k_idle_buffer_bytes <= request_memory::k_uncounted_bytes);

/// Most fields of a head and a trailer together. Each takes many times as much memory as it has
/// bytes if these are few.
inline constexpr std::size_t k_max_fields = 256;

/// Sets the limits of a new parser. A body that `memory` can never hold is over the limit.
void set_limits(request_parser& parser, std::size_t header_bytes, std::size_t body_bytes,
                request_memory const& memory);

/// Reads the head of a request. The caller sets the stream's timeout.
/// @return the error that ended the read. A request that `memory` has refused must be answered as
/// such, whatever the error.
awaitable<beast::error_code> read_head(served_connection& peer, request_parser& parser,
                                       request_memory::reservation& memory);

/// Reads the body of a request whose head has been read. Otherwise like `read_head`.
awaitable<beast::error_code> read_body(served_connection& peer, request_parser& parser,
                                       request_memory::reservation& memory);

/// Returns the status for a request that could not be read.
status status_for(beast::error_code const& failure);

}  // namespace frostline::http
