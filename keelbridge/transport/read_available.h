// Reading a message on within one turn of the loop.
//
// A turn of a busy loop takes 70 to 100 ms, and a read that waits for the loop
// is worth one turn: a message that is there whole would come in pieces, each a
// turn later.
//
//   beast::error_code error = internal::ReadAvailable(socket, buffer, parser,
//   64); if (!error && !parser.is_done()) ...  // The rest is not there yet.

#ifndef KEELBRIDGE_TRANSPORT_READ_AVAILABLE_H_
#define KEELBRIDGE_TRANSPORT_READ_AVAILABLE_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace keelbridge::internal {

// Parses what `buffer` holds and what `socket` has, in `max_reads` reads at
// most, until the message is whole or nothing is left. No error: go on waiting
// unless the parser is done.
template <typename Parser>
boost::beast::error_code ReadAvailable(boost::asio::ip::tcp::socket& socket,
                                       boost::beast::flat_buffer& buffer,
                                       Parser& parser, int max_reads) {
  boost::beast::error_code error;
  socket.non_blocking(true, error);
  for (int i = 0; i < max_reads && !error && !parser.is_done(); ++i)
    boost::beast::http::read_some(socket, buffer, parser, error);
  const bool no_data_yet = error == boost::asio::error::would_block ||
                           error == boost::asio::error::try_again;
  return no_data_yet ? boost::beast::error_code() : error;
}

}  // namespace keelbridge::internal

#endif  // KEELBRIDGE_TRANSPORT_READ_AVAILABLE_H_
