// Headers that take most of the compile time.
#include <flatbuffers/flatbuffers.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/outcome/result.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>
