// The parts of Boost.Asio and Boost.Beast that need not be compiled again in every file.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
