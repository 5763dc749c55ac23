#pragma once

namespace zinnia::wire {

enum class DecodeError : unsigned char;
class Writer;
class Reader;
class Sealer;
class Opener;
enum class CoapError : unsigned char;
enum class ProxyError : unsigned char;
struct ProxiedDatagram;

} // namespace zinnia::wire
