// Separate compilation of Boost.Asio and Boost.Beast, so that their sources are compiled only once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
