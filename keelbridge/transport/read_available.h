// Reads the available part of an HTTP message within one loop iteration.
//
// One iteration of a busy loop takes 70 to 100 ms, and each asynchronous read
// takes one iteration. A message that has already arrived completely would
// otherwise be read piecewise over several iterations.
//
//   beast::error_code error =
//       internal::ReadAvailable(socket, buffer, parser, 64);
//   if (!error && !parser.is_done()) ...  // The rest has not arrived.

#ifndef KEELBRIDGE_TRANSPORT_READ_AVAILABLE_H_
#define KEELBRIDGE_TRANSPORT_READ_AVAILABLE_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace keelbridge::internal {

// Parses the contents of `buffer` and the data available on `socket`, with at
// most `max_reads` reads, until the message is complete or no data is left.
// After success the message is incomplete unless the parser is done; the caller
// then waits for more data.
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
